// Queue of requested moves that decides which of them run now, without I/O. It limits the running moves in
// total and per index server, zone and shard, keeps the order of the plan, and starts none while the fleet is
// under pressure.
//
// A wave begins only once the waves before it are done, since it may need the space that they free. A move
// that was undone without an operator's abort stops the queue: the remaining moves may not fit any more, and
// an operator must decide or plan again.
//
// Moves of one shard run one at a time and in the order of their ids, also when they are aborted: an index
// server refuses the requests of a move once a later one of the shard has ended there.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "placement/mover.hpp"

namespace pinedoor::placement {

struct MoveQueueConfig {
    std::size_t at_once = 4;       // limit on running moves
    std::size_t at_once_box = 1;   // limit on running moves from one index server, and to one
    std::size_t at_once_zone = 4;  // limit on running moves to one zone
    double pause_above = 0.02;     // pauses above this share of multigets turned away or failed
    double resume_below = 0.005;   // resumes below this share; less than pause_above for hysteresis
    int looks = 3;                 // consecutive samples beyond the threshold, for either
};

// A requested move.
struct QueuedMove {
    MoveId id = 0;
    ShardId shard = 0;
    ServerNumber from = 0, to = 0;
    std::size_t wave = 0;
    bool begun = false;       // began before a restart of the process; continues regardless of the limits
    int zone = 0;             // of `to`
    ShardId other_shard = 0;  // of a merge: the second of its shards
    bool aborted = false;     // is to be undone, regardless of limits and pauses
};

// Schedules moves within the configured limits.
class MoveQueue {
public:
    explicit MoveQueue(MoveQueueConfig terms) : config_(terms) {}  // expects valid settings
    // Validates the settings. Returns an error message, empty if they are valid.
    static std::string fault_of(const MoveQueueConfig& terms);

    void add(const QueuedMove& wanted);
    // Starts all moves that may run now, and returns their ids.
    std::vector<MoveId> begin();
    enum class End : std::uint8_t { kDone, kUndone, kAborted };
    void ended(MoveId id, End end);
    // A waiting move is begun, to be undone, as soon as the earlier moves of its shard have ended.
    void abort(MoveId id);

    // Samples the share of multigets that were turned away or failed since the last call, and pauses or
    // resumes.
    enum class Did : std::uint8_t { kNothing, kPaused, kResumed };
    Did look(double pressure);
    void by_hand(bool paused) { paused_by_hand_ = paused; }
    bool paused() const { return paused_ || paused_by_hand_; }

    bool done() const;        // no move is running and none can begin any more
    std::string why() const;  // why no move begins; empty if moves may begin
    std::size_t going_on() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }

private:
    bool within_limits(const QueuedMove& wanted) const;
    bool is_first_of_shard(const QueuedMove& wanted) const;
    bool may_begin(const QueuedMove& wanted) const;

    const MoveQueueConfig config_;
    std::vector<QueuedMove> waiting_;  // begun moves first, then by wave, then in order of add()
    std::map<MoveId, QueuedMove> running_;
    bool paused_ = false;
    bool paused_by_hand_ = false;
    bool stopped_ = false;
    MoveId stopped_by_ = 0;
    int samples_above_ = 0, samples_below_ = 0;
};

}  // namespace pinedoor::placement
