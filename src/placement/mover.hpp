// State machine that moves ownership of a shard from one index server (`from`) to another (`to`). It does no
// I/O and reads no clock: the caller passes in events, executes the returned actions and reports their
// results as further events. The process that runs it may crash at any point: each step is saved durably
// before any request of that step is sent, and a new Mover resumes from the saved step.
//
//   step     | request                              | next step when            | can be undone
//   ---------+--------------------------------------+---------------------------+---------------------------
//   prepare  | to: copy the shard                   | `to` has a copy           | yes
//   catch-up | to: fetch writes since the copy      | few writes are missing    | yes
//   fence    | from: stop running parts             | `from` has stopped        |
//            | to: fetch writes up to that position | `to` has all of them      | yes
//   switch   | map: pass ownership                  | the map is published      |
//            | to: run parts from the new epoch on  | `to` confirms             | only if the map refuses it
//   drain    | from: are any parts still running?   | none are                  | no
//   retire   | from: drop the shard                 | it is dropped             | no
//   undo     | from: resume; to: drop the shard     | both have                 | -
//
// Every request carries the move's id, and both index servers durably store the highest id that was undone or
// completed there (box_guard.hpp), so they refuse delayed requests of older moves. Requests may therefore be
// lost, repeated, delayed and reordered; each is repeated until it is answered.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "placement/shard_map.hpp"

namespace pinedoor::placement {

using MoveId = std::uint64_t;    // increases by one with each move of the fleet
using Position = std::uint64_t;  // in an index server's log of the parts that it ran on a shard
using Time = std::int64_t;       // in tenths of a millisecond

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

// What is moved. Moving a reader needs no fence, and passing ownership to a reader needs no copy: the caller
// reports those steps as completed without sending a request.
enum class MoveKind : std::uint8_t {
    kOwner,   // ownership and data, to an index server that does not hold the shard
    kPass,    // ownership, to a reader; the old owner becomes a reader
    kReader,  // a reader's replica
    kCopy,    // adds a reader; `from` keeps its replica
    kRemove,  // removes a reader; `to` is 0
    kSplit,   // splits a shard in place: fenced at its owner until the owner runs the children; `to` is 0
    kMerge    // merges two shards in place, fenced in the same way; `to` is 0
};
std::string_view name_of(MoveKind kind);
std::optional<MoveKind> move_kind_named(std::string_view name);

// Keys and shard ids of a split or a merge.
struct Cut {
    Key at = 0;         // kSplit: the first key of the upper child
    ShardId other = 0;  // kMerge: the upper of the two shards
    ShardId lower = 0;  // kSplit: id of the lower child; kMerge: id of the merged shard
    ShardId upper = 0;  // kSplit: id of the upper child; kMerge: 0
    bool operator==(const Cut&) const = default;
};

// A move as it is stored in the move journal.
struct Move {
    MoveId id = 0;
    ShardId shard = 0;
    ServerNumber from = 0, to = 0;
    Epoch epoch = 0;  // the shard's epoch before the move
    MoveStep step = MoveStep::kPrepare;
    MoveKind kind = MoveKind::kOwner;
    Cut cut = {};
    bool operator==(const Move&) const = default;
};

struct MoverConfig {
    Position max_lag_at_fence = 100;      // fences once `to` lacks at most this many positions
    Time request_retry_interval = 2'000;  // repeats unanswered requests and saves
    Time max_fence_duration = 20'000;  // no server runs the shard during the fence; then the move is undone
};

namespace moving {

// Events.

// The step was saved durably.
struct Kept {
    MoveStep step = MoveStep::kPrepare;
};
// `to` holds a copy of the shard.
struct Copied {};
// Number of positions that `from` has and `to` lacks.
struct CopyLag {
    Position much = 0;
};
// `from` runs no more parts of the shard; `upto` is the last position that it ran.
struct Fenced {
    Position upto = 0;
};
// `to` has everything up to and including `upto`.
struct CaughtUp {
    Position upto = 0;
};
// The map with the new owner is published.
struct Published {};
// The change cannot be published: the map does not allow it, and certainly contains nothing of it.
struct PublishRefused {};
// `to` runs parts from the new epoch on.
struct Owns {};
// No part of the old epoch is running at `from`.
struct Drained {};
// `box`, which is `from` or `to`, dropped its replica.
struct Dropped {
    ServerNumber box = 0;
};
// `from` runs parts again.
struct Unfenced {};
// The operator requested an abort.
struct AbortRequested {};
// Sends no requests of the steps before the fence until Resume; later steps continue, so that no fence is
// left up.
struct Pause {};
struct Resume {};
struct Tick {};
using Event = std::variant<Kept, Copied, CopyLag, Fenced, CaughtUp, Published, PublishRefused, Owns, Drained,
                           Dropped, Unfenced, AbortRequested, Pause, Resume, Tick>;

// Actions.

// Saves the move with its step durably; the caller reports Kept afterwards.
struct Keep {
    Move move;
};
// Requests answered by Copied, CopyLag, Fenced and CaughtUp.
struct RequestCopy {};
struct RequestLag {};
struct RequestFence {};
struct RequestCatchUp {
    Position upto = 0;
};
// Publishes the map with the new owner; answered by Published or PublishRefused.
struct Publish {};
// Requests answered by Owns, Drained, Dropped and Unfenced.
struct RequestOwn {};
struct RequestDrained {};
struct RequestDrop {
    ServerNumber box = 0;
};
struct RequestUnfence {};
// Schedules a Tick at this time.
struct Wake {
    Time at = 0;
};
// The move is over.
struct Ended {
    bool done = false;  // false: it was undone
};
// An abort was requested after the switch; only another move can reverse this one.
struct CannotAbort {};
using Action = std::variant<Keep, RequestCopy, RequestLag, RequestFence, RequestCatchUp, Publish, RequestOwn,
                            RequestDrained, RequestDrop, RequestUnfence, Wake, Ended, CannotAbort>;
}  // namespace moving

class Mover {
public:
    Mover(Move move, MoverConfig terms) : config_(terms), move_(move) {}

    // Starts a new move, or resumes a saved one from its step. If an abort was requested before, a move that
    // can be undone is undone without a request of an earlier step.
    std::vector<moving::Action> start(Time now, bool abort_requested = false);
    std::vector<moving::Action> take(Time now, const moving::Event& event);

    const Move& move() const { return move_; }
    bool ended() const { return move_.step == MoveStep::kDone || move_.step == MoveStep::kUndone; }
    bool paused() const { return paused_; }
    std::uint64_t impossible() const { return impossible_; }

    // Fingerprint for state space exploration: movers with equal text behave alike from here on, apart from
    // timing.
    std::string state() const;

private:
    bool can_undo() const { return move_.step <= MoveStep::kFence; }
    void enter_step(MoveStep step);
    void send_requests();
    void on(const moving::Kept& kept);
    void on(const moving::Copied&);
    void on(const moving::CopyLag& missing);
    void on(const moving::Fenced& fenced);
    void on(const moving::CaughtUp& reached);
    void on(const moving::Published&);
    void on(const moving::PublishRefused&);
    void on(const moving::Owns&);
    void on(const moving::Drained&);
    void on(const moving::Dropped& dropped);
    void on(const moving::Unfenced&);
    void on(const moving::AbortRequested&);
    void on(const moving::Pause&);
    void on(const moving::Resume&);
    void on(const moving::Tick&);

    MoverConfig config_;
    Move move_;
    Time now_ = 0;
    bool step_saved_ = false;  // the current step is saved durably
    bool paused_ = false;
    bool fenced_ = false;
    Position fence_position_ = 0;
    Time fence_requested_at_ = -1;  // time of the first fence request; -1: none was sent
    bool published_ = false;
    bool unfenced_ = false, dropped_ = false;  // kUndo: requests that were answered
    Time last_request_at_ = 0;
    std::uint64_t impossible_ = 0;
    std::vector<moving::Action> actions_;
};

}  // namespace pinedoor::placement
