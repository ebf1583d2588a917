// What a box may run of one shard: the other side of the fence (mover.hpp). A decider that is its own durable
// state: a box keeps it before it answers, and is what it kept after a crash. Stand-ins use it, and whoever
// writes a box can.
//
// A part carries its shard's epoch. It is run only if this box owns the shard, no fence stands, and the
// epochs are the same; else it is refused as never run, with the epoch that this box knows of. The argument
// that nothing runs on two boxes: `to` owns only after Own, which is asked only once `from` has said that it
// is fenced; `from` is unfenced only by the undoing of the same move, and a move that has switched is not
// undone; a late Fence or Own of a move that was ended here is refused by its number. docs/placement.md has
// it in full; tests explore it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "placement/mover.hpp"

namespace pinedoor::placement {

class BoxGuard {
public:
    BoxGuard() = default;
    BoxGuard(bool owns, Epoch epoch, bool reads = false)
        : owns_(owns), reads_(reads), has_copy_(owns || reads), epoch_(epoch) {}

    struct Verdict {
        bool run = false;
        Epoch known = 0;  // with a refusal: what this box knows of; above the part's, the node is behind
    };
    Verdict may_run(Epoch epoch) const {
        if (owns_ && fenced_by_ == 0 && epoch == epoch_) return {true, epoch_};
        return {false, fenced_by_ != 0 || !owns_ ? std::max(epoch_, passed_to_) : epoch_};
    }

    // What may run as often as it likes runs at readers too, and behind a fence: whoever has the data of the
    // epoch. After a fence that is the old owner's until the switch, and both boxes' right then.
    Verdict may_read(Epoch epoch) const {
        if ((owns_ || reads_) && epoch == epoch_) return {true, epoch_};
        return {false, std::max(epoch_, passed_to_)};
    }

    // Requests of a move; false: it is of one that has ended here, and nothing has changed.
    bool copy(MoveId move) {
        if (move <= ended_) return false;
        has_copy_ = true;
        return true;
    }
    bool fence(MoveId move, Epoch epoch) {
        if (move <= ended_ || !owns_ || epoch != epoch_) return fenced_by_ == move && move != 0;
        fenced_by_ = move;
        return true;
    }
    bool unfence(MoveId move) {  // also without a fence: a late one must find the move ended
        ended_ = std::max(ended_, move);
        if (fenced_by_ == move) fenced_by_ = 0;
        return true;
    }
    bool own(MoveId move, Epoch epoch) {  // the epoch is the new one
        if (owns_ && epoch_ == epoch) return true;
        if (move <= ended_ || !has_copy_) return false;
        owns_ = true;
        reads_ = false;
        epoch_ = epoch;
        return true;
    }
    // It reads from now on, by this epoch; an owner whose ownership has been passed, too.
    bool read(MoveId move, Epoch epoch) {
        if (reads_ && epoch_ >= epoch) return true;
        if (move <= ended_ || !has_copy_ || (owns_ && fenced_by_ != move)) return false;
        owns_ = false;
        fenced_by_ = 0;
        reads_ = true;
        epoch_ = epoch;
        return true;
    }
    bool drop(MoveId move, Epoch passed_to = 0) {
        if (move < ended_) return false;
        ended_ = std::max(ended_, move);
        if (owns_ && fenced_by_ != move) return false;  // it owns by another move: what it has is needed
        owns_ = reads_ = has_copy_ = false;
        fenced_by_ = 0;
        passed_to_ = std::max(passed_to_, passed_to);
        return true;
    }

    bool owns() const { return owns_; }
    bool reads() const { return reads_; }
    bool fenced() const { return fenced_by_ != 0; }
    bool has_copy() const { return has_copy_; }
    Epoch epoch() const { return epoch_; }
    std::string state() const {
        return std::string(owns_ ? "o" : "-") + (has_copy_ ? "c" : "-") + std::to_string(epoch_) + 'f' +
               std::to_string(fenced_by_) + 'e' + std::to_string(ended_);
    }

private:
    bool owns_ = false;
    bool reads_ = false;
    bool has_copy_ = false;
    Epoch epoch_ = 0;
    Epoch passed_to_ = 0;  // the epoch that the shard had when it went away
    MoveId fenced_by_ = 0;
    MoveId ended_ = 0;  // no request of a move up to here counts
};

}  // namespace pinedoor::placement
