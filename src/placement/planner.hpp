// Computes a target placement of replicas and an order of steps that leads to it, without I/O. Given the
// index servers, the shards with their load and size, and the constraints, it first minimizes the relative
// load of the most loaded server, and then the number of bytes moved.
//
// The order of steps keeps every intermediate placement valid: a replica is copied before the one it replaces
// is removed, a copy has space on its server before it begins, ownership is passed before the owner is
// removed, and no server sends or receives more copies at once than configured. The steps of a wave run in
// parallel; the next wave begins once they are done. check_plan() replays a plan and checks each step.
//
// The search is greedy and tries a bounded number of the least loaded servers. Tests compare it with an exact
// solver for small fleets (exact.hpp, docs/placement.md).
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "placement/shard_map.hpp"

namespace pinedoor::placement {

// An index server.
struct Box {
    ServerNumber id = 0;
    int zone = 0;
    double capacity = 1;    // load limit, in the units of Need::reads and Need::writes
    double space = 1;       // storage, in the units of Need::size
    bool draining = false;  // the target places no replica here
};

// Load, size and placement constraints of one shard.
struct Need {
    ShardId shard = 0;
    double reads = 0;   // per second, spread evenly over the replicas
    double writes = 0;  // per second, all at the owner
    double size = 0;
    std::size_t replicas = 1;            // number of replicas in the target
    std::vector<Replica> now;            // current replicas, exactly one of them the owner
    std::vector<ServerNumber> pinned;    // servers that must hold a replica
    std::vector<ServerNumber> never_on;  // servers that must not hold a replica
};

struct PlanConfig {
    double fill = 0.9;                // usable share of a server's space, at any moment
    double balance_tolerance = 0.05;  // balancing stops at this excess over the mean load, as a share of it
    std::size_t max_balancing_copies = 10'000;  // limit on copies made for balancing, per plan
    std::size_t at_once = 16;                   // limit on copies per wave
    std::size_t at_once_box = 1;                // limit on copies per wave from one server, and to one server
    std::size_t sound = 1;  // replicas a shard keeps at any moment, or its current number if lower
};

// Input of the planner.
struct Fleet {
    std::vector<Box> boxes;
    std::vector<Need> shards;
    PlanConfig terms;
};

// One step of a plan. A copy adds a reader; a pass makes the reader `to` the owner and the owner a reader.
struct PlanStep {
    enum class Kind : std::uint8_t { kCopy, kPass, kRemove } kind = Kind::kCopy;
    ShardId shard = 0;
    ServerNumber from = 0;  // kCopy: source; kPass: current owner; kRemove: server whose replica is removed
    ServerNumber to = 0;    // kCopy, kPass: destination
    bool operator==(const PlanStep&) const = default;
};
std::string print(const PlanStep& step);

struct Plan {
    std::vector<std::vector<Replica>> target;  // by shard, in the fleet's order
    std::vector<std::vector<PlanStep>> waves;
    double fullest_before = 0, fullest_after = 0;  // highest load of a server, as a share of its capacity
    double bytes_moved = 0;                        // in the units of Need::size
    std::size_t copies = 0;
    std::vector<std::string> unmet;  // messages about constraints and steps that could not be satisfied
};

// Load of each server as a share of its capacity, in the fleet's order, under this placement.
std::vector<double> loads(const Fleet& fleet, const std::vector<std::vector<Replica>>& placed);

// Validates the input. Returns an error message, empty if the fleet is valid.
std::string fault_of(const Fleet& fleet);

// Checks the hard constraints of a placement. Returns the first violation, empty if there is none.
std::string violation_of_target(const Fleet& fleet, const std::vector<std::vector<Replica>>& placed);

// Computes target and steps. Throws std::invalid_argument if the fleet is invalid.
Plan plan(const Fleet& fleet);

// Replays a plan from the current placement. Returns an empty text if every step keeps the constraints and
// the plan ends at its target, else the first violation.
std::string check_plan(const Fleet& fleet, const Plan& plan);

// Orders the steps to a given target.
Plan order_steps(const Fleet& fleet, std::vector<std::vector<Replica>> target);

}  // namespace pinedoor::placement
