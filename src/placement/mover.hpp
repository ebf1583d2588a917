// One move of a shard's ownership from one box to another, as a decider: no I/O, no clock. It is handed what
// happened and returns what to do; the carrier does it, and tells how it went. Whoever moves may die at any
// point: the step is durable before anything is asked that belongs to it, and a new Mover goes on from the
// step that was kept.
//
//   step     | asked of                        | goes on when         | may still be undone
//   ---------+---------------------------------+----------------------+--------------------
//   prepare  | to: copy the shard              | it has a copy        | yes
//   catch-up | to: take what came meanwhile    | little is missing    | yes
//   fence    | from: run nothing more          | it runs nothing more |
//            | to: take all up to that point   | it has all           | yes
//   switch   | the map: pass ownership         | it is published      |
//            | to: run from the new epoch on   | it does              | no: the new epoch may be known
//   drain    | from: is anything left out      | nothing              | no
//   retire   | from: drop the shard            | it is gone           | no
//   undo     | from: run again; to: drop it    | both have            | -
//
// Every request carries the move's number, and both boxes keep, durably, the highest number that was undone
// or done with them (box_guard.hpp): what a lost or late request of an older move asks is refused. So
// requests may be lost, repeated, late and out of order; each is asked again until it is answered.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "placement/shard_map.hpp"

namespace pinedoor::placement {

using MoveId = std::uint64_t;    // one more with each move of the fleet
using Position = std::uint64_t;  // in what a box has run of a shard
using Time = std::int64_t;       // whole tenths of a millisecond

enum class MoveStep : std::uint8_t {
    kPrepare,
    kCatchUp,
    kFence,
    kSwitch,
    kDrain,
    kRetire,
    kDone,
    kUndo,
    kUndone
};
std::string_view name_of(MoveStep step);
std::optional<MoveStep> move_step_named(std::string_view name);

// What moves. A reader's move needs no fence, and passing to a reader no copy: the carrier answers those
// steps itself.
enum class MoveKind : std::uint8_t {
    kOwner,   // ownership and data, from one box to another that has none of it
    kPass,    // ownership, to a box that reads; the old owner reads from then on
    kReader,  // a reader's data
    kCopy,    // one more reader; `from` has it and keeps it
    kRemove,  // a reader goes; `to` is none
    kSplit,   // of a shard in place: fenced at its owner, until the owner runs the children; `to` is none
    kMerge    // of two in place, likewise
};
std::string_view name_of(MoveKind kind);
std::optional<MoveKind> move_kind_named(std::string_view name);

struct Cut {            // of a split and a merge
    Key at = 0;         // kSplit: the first key of the upper child
    ShardId other = 0;  // kMerge: the upper one
    ShardId lower = 0;  // kSplit: the children's ids; kMerge: the merged one's, and 0
    ShardId upper = 0;
    bool operator==(const Cut&) const = default;
};

struct Move {  // as it is kept
    MoveId id = 0;
    ShardId shard = 0;
    BoxId from = 0, to = 0;
    Epoch epoch = 0;  // the shard's, before
    MoveStep step = MoveStep::kPrepare;
    MoveKind kind = MoveKind::kOwner;
    Cut cut = {};
    bool operator==(const Move&) const = default;
};

struct MoveTerms {
    Position close_enough = 100;  // so little may be missing when the fence goes up
    Time ask_again = 2'000;       // a request that is not answered
    Time longest_fence = 20'000;  // while nobody runs the shard; then it is undone
};

namespace moving {  // what happens
struct Kept {       // the step is durable
    MoveStep step = MoveStep::kPrepare;
};
struct Copied {};  // by `to`
struct Missing {   // at `to`: so much of what `from` has
    Position much = 0;
};
struct Fenced {  // `from` runs nothing more, and has run up to there
    Position upto = 0;
};
struct Reached {  // `to` has all up to there
    Position upto = 0;
};
struct Published {};
struct Owns {};     // `to` runs from the new epoch on
struct Drained {};  // nothing is out at `from`
struct Dropped {    // by either
    BoxId box = 0;
};
struct Unfenced {};  // `from` runs again
struct AbortAsked {};
struct Pause {};  // asks for nothing more until Resume; a fence that stands is not left standing
struct Resume {};
struct Tick {};
using Event = std::variant<Kept, Copied, Missing, Fenced, Reached, Published, Owns, Drained, Dropped,
                           Unfenced, AbortAsked, Pause, Resume, Tick>;

// What is done about it.
struct Keep {  // the move with this step, durably; Kept is told after
    Move move;
};
struct AskCopy {};
struct AskMissing {};
struct AskFence {};
struct AskReach {
    Position upto = 0;
};
struct Publish {};
struct AskOwn {};
struct AskDrained {};
struct AskDrop {
    BoxId box = 0;
};
struct AskUnfence {};
struct Wake {
    Time at = 0;
};
struct Ended {
    bool done = false;  // else undone
};
struct CannotAbort {};  // it has switched: another move leads back
using Action = std::variant<Keep, AskCopy, AskMissing, AskFence, AskReach, Publish, AskOwn, AskDrained,
                            AskDrop, AskUnfence, Wake, Ended, CannotAbort>;
}  // namespace moving

class Mover {
public:
    Mover(Move move, MoveTerms terms) : terms_(terms), move_(move) {}

    // At the begin, or anew from what was kept.
    std::vector<moving::Action> start(Time now);
    std::vector<moving::Action> take(Time now, const moving::Event& event);

    const Move& move() const { return move_; }
    bool ended() const { return move_.step == MoveStep::kDone || move_.step == MoveStep::kUndone; }
    bool paused() const { return paused_; }
    std::uint64_t impossible() const { return impossible_; }

    // For explorers: two movers with the same text act alike from here on, but for the time.
    std::string state() const;

private:
    bool may_undo() const { return move_.step <= MoveStep::kFence; }
    void go(MoveStep step);
    void ask();
    void on(const moving::Kept& kept);
    void on(const moving::Copied&);
    void on(const moving::Missing& missing);
    void on(const moving::Fenced& fenced);
    void on(const moving::Reached& reached);
    void on(const moving::Published&);
    void on(const moving::Owns&);
    void on(const moving::Drained&);
    void on(const moving::Dropped& dropped);
    void on(const moving::Unfenced&);
    void on(const moving::AbortAsked&);
    void on(const moving::Pause&);
    void on(const moving::Resume&);
    void on(const moving::Tick&);

    MoveTerms terms_;
    Move move_;
    Time now_ = 0;
    bool kept_ = false;  // the present step is durable
    bool paused_ = false;
    bool fenced_ = false;
    Position fence_at_ = 0;
    Time fence_since_ = -1;  // when it was asked for; -1: it was not
    bool published_ = false;
    bool unfenced_ = false, dropped_ = false;  // of undoing
    Time asked_at_ = 0;
    std::uint64_t impossible_ = 0;
    std::vector<moving::Action> actions_;
};

}  // namespace pinedoor::placement
