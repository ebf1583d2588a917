// Which of the moves that are wanted go on now. A decider without I/O: bounded by number, by box, by zone and
// by shard, in the order of the plan, and none of them while the fleet is under pressure.
//
// A plan's waves are kept: a later one may need the room that an earlier one makes. A move that was undone,
// and not by hand, ends the plan: what comes after may not fit any more, and a person or a new plan must say.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "placement/mover.hpp"

namespace pinedoor::placement {

struct DeskTerms {
    std::size_t at_once = 4;       // moves that go on
    std::size_t at_once_box = 1;   // of them from one box, and to one
    std::size_t at_once_zone = 4;  // of them to one zone
    double pause_above = 0.02;     // of multigets turned away or failed, in a look
    double resume_below = 0.005;   // under pause_above, so that it does not flutter
    int looks = 3;                 // in a row, for either
};

struct WantedMove {
    MoveId id = 0;
    ShardId shard = 0;
    BoxId from = 0, to = 0;
    std::size_t wave = 0;
    bool begun = false;  // before the mover was started again: goes on whatever the bounds say
    int zone = 0;        // of `to`
};

class MoveDesk {
public:
    explicit MoveDesk(DeskTerms terms) : terms_(terms) {}  // without a fault
    static std::string fault_of(const DeskTerms& terms);

    void add(const WantedMove& wanted);
    std::vector<MoveId> begin();  // those that may begin now, and do
    enum class End : std::uint8_t { kDone, kUndone, kAborted };
    void ended(MoveId id, End end);
    void drop(MoveId id);  // of one that waits: it is not wanted any more

    // The share of multigets that were turned away or failed since the last look.
    enum class Did : std::uint8_t { kNothing, kPaused, kResumed };
    Did look(double pressure);
    void by_hand(bool paused) { paused_by_hand_ = paused; }
    bool paused() const { return paused_ || paused_by_hand_; }

    bool done() const;        // nothing goes on, and nothing may begin any more
    std::string why() const;  // nothing begins, or empty
    std::size_t going_on() const { return going_on_.size(); }
    std::size_t waiting() const { return waiting_.size(); }

private:
    bool fits(const WantedMove& wanted) const;

    const DeskTerms terms_;
    std::vector<WantedMove> waiting_;  // by wave, then as added
    std::map<MoveId, WantedMove> going_on_;
    bool paused_ = false;
    bool paused_by_hand_ = false;
    bool stopped_ = false;
    MoveId stopped_by_ = 0;
    int above_ = 0, below_ = 0;
};

}  // namespace pinedoor::placement
