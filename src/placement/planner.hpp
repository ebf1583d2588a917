// Where the replicas should be, and the order of steps that leads there. A decider without I/O: given the
// boxes, the shards with their heat and size, and what is asked of a placement, it finds a target in which
// the fullest box is as little full as it can make it, and then as few bytes move as that takes.
//
// The order keeps what is sound sound: a replica is copied before the one that it takes the place of goes, a
// copy has room on its box before it begins, ownership is passed before the owner is removed, and no box
// sends or takes more copies at once than is stated. A wave's steps go side by side; the next wave begins
// once they are done. check_plan() replays a plan step by step against all of that.
//
// Greedy with a bounded look at the emptiest boxes, measured against the exact answer of a solver for small
// fleets (exact.hpp, docs/placement.md).
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "placement/shard_map.hpp"

namespace pinedoor::placement {

struct Box {
    BoxId id = 0;
    int zone = 0;
    double capacity = 1;    // of load, in the units of Need::reads and writes
    double space = 1;       // in the units of Need::size
    bool draining = false;  // is to hold nothing in the end
};

struct Need {  // of one shard
    ShardId shard = 0;
    double reads = 0;   // a second, spread evenly over its replicas
    double writes = 0;  // a second, all of them the owner's
    double size = 0;
    std::size_t replicas = 1;     // wanted
    std::vector<Replica> now;     // one of them the owner
    std::vector<BoxId> pinned;    // boxes that it must be on
    std::vector<BoxId> never_on;  // boxes that it must not be on
};

struct PlanTerms {
    double fill = 0.9;                 // of a box's space, at any moment
    double near_enough = 0.05;         // the fullest box may be so much above the mean, as a share of it
    std::size_t most_copies = 10'000;  // in the whole plan, beyond what must move
    std::size_t at_once = 16;          // copies in one wave
    std::size_t at_once_box = 1;       // of them from one box, and to one
    std::size_t sound = 1;             // replicas that a shard keeps at any moment, or what it has, if less
};

struct Fleet {
    std::vector<Box> boxes;
    std::vector<Need> shards;
    PlanTerms terms;
};

struct PlanStep {
    enum class Kind : std::uint8_t { kCopy, kPass, kRemove } kind = Kind::kCopy;
    ShardId shard = 0;
    BoxId from = 0;  // who sends the copy, or whose ownership or replica goes
    BoxId to = 0;    // kCopy, kPass
    bool operator==(const PlanStep&) const = default;
};
std::string print(const PlanStep& step);

struct Plan {
    std::vector<std::vector<Replica>> target;  // by shard, in the fleet's order
    std::vector<std::vector<PlanStep>> waves;
    double fullest_before = 0, fullest_after = 0;  // load of the fullest box, as a share of its capacity
    double bytes_moved = 0;
    std::size_t copies = 0;
    std::vector<std::string> unmet;  // what is asked for and could not be had, in words
};

// Load of each box as a share of its capacity, in the fleet's order, with such replicas.
std::vector<double> loads(const Fleet& fleet, const std::vector<std::vector<Replica>>& placed);

// What is wrong with what is asked; empty: nothing.
std::string fault_of(const Fleet& fleet);

// What must hold of a placement whatever it costs: empty if it does, else the first that does not, in words.
std::string fault_of_target(const Fleet& fleet, const std::vector<std::vector<Replica>>& placed);

Plan plan(const Fleet& fleet);  // of a fleet without a fault; throws std::invalid_argument otherwise

// Replays a plan from the fleet as it is; empty if every moment keeps the terms and the end is the target,
// else what went wrong, in words.
std::string check_plan(const Fleet& fleet, const Plan& plan);

// The steps alone, for a target that something else has found.
Plan order_steps(const Fleet& fleet, std::vector<std::vector<Replica>> target);

}  // namespace pinedoor::placement
