// Tests of the planner: for random fleets, its steps keep every intermediate placement valid, its target
// meets the constraints, and its highest load is close to the optimum proven by a solver.
#include "placement/planner.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "placement/exact.hpp"
#include "stand_ins/fleets.hpp"

namespace {

using namespace pinedoor::placement;
using pinedoor::test::FleetShape;
using pinedoor::test::random_fleet;

TEST_CASE("for random fleets, each step is valid and the plan ends at its target") {
    CHECK(rc::check("plans", [] {
        FleetShape shape;
        shape.boxes = *rc::gen::inRange<std::size_t>(3, 15);
        shape.shards = *rc::gen::inRange<std::size_t>(1, 60);
        shape.replicas = *rc::gen::inRange<std::size_t>(1, 4);
        shape.zones = *rc::gen::inRange(1, 5);
        shape.space = *rc::gen::element(0.75, 1.0, 3.0);
        auto fleet = random_fleet(*rc::gen::arbitrary<std::uint64_t>(), shape);
        fleet.terms.at_once = *rc::gen::inRange<std::size_t>(1, 8);
        fleet.terms.at_once_box = *rc::gen::inRange<std::size_t>(1, 3);
        fleet.terms.sound = *rc::gen::inRange<std::size_t>(1, 4);
        if (*rc::gen::arbitrary<bool>()) fleet.boxes.front().draining = true;
        for (const auto& need : fleet.shards) {
            if (need.now.empty()) return;  // the generated shard did not fit on any server
        }
        const auto made = plan(fleet);
        RC_ASSERT(check_plan(fleet, made) == "");
        if (!made.unmet.empty()) return;
        RC_ASSERT(violation_of_target(fleet, made.target) == "");
    }));
}

TEST_CASE("draining empties a server, pins and zones are respected, missing replicas are added") {
    auto fleet = random_fleet(3, {8, 60, 3, 4, 1, 1, false});
    fleet.boxes[2].draining = true;
    fleet.shards[5].pinned = {7};
    fleet.shards[6].never_on = {1, 2};
    fleet.shards[7].now.resize(1);
    const auto made = plan(fleet);
    CHECK(made.unmet.empty());
    CHECK(violation_of_target(fleet, made.target) == "");
    CHECK(check_plan(fleet, made) == "");
    CHECK(made.fullest_after < made.fullest_before);
    for (const auto& replicas : made.target) {
        for (const auto& each : replicas) CHECK(each.box != 3);
    }
}

TEST_CASE("unsatisfiable constraints are reported, and existing replicas stay") {
    Fleet fleet;
    fleet.boxes = {{1, 0, 100, 10, false}, {2, 1, 100, 2, false}};
    fleet.shards = {{1, 10, 0, 5, 2, {{1, Role::kOwner}}, {}, {}}};
    const auto made = plan(fleet);
    REQUIRE(made.unmet.size() == 1);
    CHECK(made.unmet[0] == "shard 1: only 1 of 2 replicas find a box with room in another zone");
    CHECK(made.waves.empty());
    CHECK(fault_of(fleet) == "");
    // Two full servers that should swap their shards: no order of steps reaches the target.
    Fleet full;
    full.boxes = {{1, 0, 100, 10, false}, {2, 0, 100, 10, false}};
    full.terms.fill = 1;
    full.shards = {{1, 10, 0, 10, 1, {{1, Role::kOwner}}, {}, {1}},
                   {2, 10, 0, 10, 1, {{2, Role::kOwner}}, {}, {2}}};
    const auto stuck = order_steps(full, {{{2, Role::kOwner}}, {{1, Role::kOwner}}});
    CHECK(stuck.waves.empty());
    REQUIRE(stuck.unmet.size() == 2);
    CHECK(stuck.unmet[0] == "copy shard 1 from box 1 to box 2: box 2 has no room for shard 1");
}

TEST_CASE("an invalid fleet is rejected with an error message") {
    Fleet fleet;
    fleet.boxes = {{1, 0, 100, 10, false}};
    fleet.shards = {{1, 10, 0, 5, 1, {{1, Role::kOwner}}, {}, {}}};
    CHECK(fault_of(fleet) == "");
    auto wrong = fleet;
    wrong.shards[0].now[0].box = 9;
    CHECK(fault_of(wrong) == "shard 1 is on box 9, which is not there");
    wrong = fleet;
    wrong.shards[0].now.push_back({1, Role::kReader});
    CHECK(fault_of(wrong) == "shard 1 is twice on box 1");
    wrong = fleet;
    wrong.shards[0].now[0].role = Role::kReader;
    CHECK(fault_of(wrong) == "shard 1 has no owner");
    wrong = fleet;
    wrong.boxes[0].draining = true;
    CHECK(fault_of(wrong) == "every box is draining");
    wrong = fleet;
    wrong.shards[0].pinned = wrong.shards[0].never_on = {1};
    CHECK(fault_of(wrong) == "shard 1 is pinned to box 1 and kept off it");
    CHECK_THROWS(plan(wrong));
}

TEST_CASE("check_plan() finds steps that a plan must not contain") {
    auto fleet = random_fleet(5, {6, 12, 2, 3, 2, 1, false});
    const auto good = plan(fleet);
    REQUIRE(check_plan(fleet, good) == "");
    const auto& need = fleet.shards[0];
    using Kind = PlanStep::Kind;
    const auto wrong = [&](PlanStep step) {
        auto made = good;
        made.waves = {{step}};
        return check_plan(fleet, made);
    };
    CHECK(wrong({Kind::kRemove, 1, need.now[0].box, 0}).find("owns shard 1") != std::string::npos);
    CHECK(wrong({Kind::kCopy, 1, need.now[0].box, need.now[1].box}).find("is on box") != std::string::npos);
    CHECK(wrong({Kind::kPass, 1, need.now[1].box, need.now[0].box}).find("cannot be passed") !=
          std::string::npos);
    CHECK(wrong({Kind::kCopy, 99, 1, 2}).find("there is no shard 99") != std::string::npos);
    fleet.terms.sound = 2;
    CHECK(wrong({Kind::kRemove, 1, need.now[1].box, 0}).find("below its sound replicas") !=
          std::string::npos);
}

TEST_CASE("for small fleets the highest load is close to the solver's optimum") {
    double worst = 1, sum = 0;
    int seen = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const auto fleet = random_fleet(seed, {4, 8, 2, 2, 2, 1, false});
        std::string why;
        const auto best = exact_target(fleet, 10, why);
        REQUIRE_MESSAGE(best.has_value(), why);
        CHECK(violation_of_target(fleet, best->target) == "");
        const auto made = plan(fleet);
        CHECK(made.unmet.empty());
        if (!best->proven) continue;
        CHECK(made.fullest_after >= best->fullest - 1e-6);
        const double gap = made.fullest_after / best->fullest;
        worst = std::max(worst, gap);
        sum += gap;
        ++seen;
        CHECK(check_plan(fleet, order_steps(fleet, best->target)) == "");
    }
    REQUIRE(seen >= 3);
    MESSAGE("highest load relative to the optimum: mean " << sum / seen << ", worst " << worst);
    CHECK(worst < 1.25);
    auto impossible = random_fleet(1, {2, 3, 2, 2, 2, 1, false});
    impossible.boxes[0].space = 0.1;
    std::string why;
    CHECK(!exact_target(impossible, 5, why));
    CHECK(why.find("no placement") != std::string::npos);
}

}  // namespace
