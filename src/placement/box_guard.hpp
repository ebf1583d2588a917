// Decides which parts of one shard an index server may run, and answers the requests of moves (mover.hpp).
// The object is the server's durable state for the shard: the server saves it before it answers a request,
// and restores it after a crash. The test servers use it, and implementations of an index server can.
//
// A part carries the epoch of its shard. It is run only if this server owns the shard, no fence is up and the
// epochs are equal; otherwise it is refused without being run, with the epoch that this server knows. No part
// can run on two servers: `to` owns the shard only after an own request, which is sent only once `from` has
// confirmed its fence; `from` is unfenced only by undoing the same move, and a move is not undone after its
// switch; delayed fence and own requests of a move that ended here are refused by the move's id.
// docs/placement.md has the full argument, and tests explore all interleavings.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "placement/mover.hpp"

namespace pinedoor::placement {

// The state of one shard at one index server.
class ShardGuard {
public:
    ShardGuard() = default;
    ShardGuard(bool owns, Epoch epoch, bool reads = false)
        : owns_(owns), reads_(reads), has_copy_(owns || reads), epoch_(epoch) {}

    struct Verdict {
        bool run = false;
        Epoch known =
            0;  // epoch known here; if a refusal has a higher one than the part, the node is outdated
    };
    Verdict may_run(Epoch epoch) const {
        if (owns_ && fenced_by_ == 0 && epoch == epoch_) return {true, epoch_};
        return {false, fenced_by_ != 0 || !owns_ ? std::max(epoch_, passed_to_) : epoch_};
    }

    // Repeatable parts also run at readers and behind a fence, on any server that has the data of the epoch.
    // After the fence that is the old owner until the switch, and from then on the new one.
    Verdict may_read(Epoch epoch) const {
        if ((owns_ || reads_) && epoch == epoch_) return {true, epoch_};
        return {false, std::max(epoch_, passed_to_)};
    }

    // Requests of a move. Each returns false if it is refused, because the move has ended here or the state
    // does not allow it.
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
    // Marks the move as ended even without a fence, so that a delayed fence request is refused.
    bool unfence(MoveId move) {
        ended_ = std::max(ended_, move);
        if (fenced_by_ == move) fenced_by_ = 0;
        return true;
    }
    // Owns the shard from the new epoch `epoch` on.
    bool own(MoveId move, Epoch epoch) {
        if (owns_ && epoch_ == epoch) return true;
        if (move <= ended_ || !has_copy_) return false;
        owns_ = true;
        reads_ = false;
        epoch_ = epoch;
        return true;
    }
    // Becomes a reader under this epoch; also for an owner whose ownership was passed on.
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
        if (owns_ && fenced_by_ != move)
            return false;  // owns the shard by another move, so the data is needed
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
    Epoch passed_to_ = 0;   // epoch under which the shard moved to another server
    MoveId fenced_by_ = 0;  // 0: no fence is up
    MoveId ended_ = 0;      // requests of moves up to this id are refused
};

}  // namespace pinedoor::placement
