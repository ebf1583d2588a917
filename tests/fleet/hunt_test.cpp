// The search for the worst schedule of faults, without processes; a node's timeline from a log; and the rules
// for judging repeated runs.
#include <doctest/doctest.h>

#include <set>
#include <sstream>

#include "fleet/judged.hpp"
#include "lab/fleet/fleet_hunt.hpp"
#include "lab/fleet/verdict.hpp"

namespace {

using namespace pinedoor;
using namespace pinedoor::lab;

FleetWorld base() {
    return FleetWorld::from_text("seconds = 20\nnodes = 20\n[[clients]]\n[fleet]\npeers = true\n",
                                 "base.toml");
}

// Scores a world without running it: only long stops of many nodes count.
double badness(const FleetWorld& world) {
    double worst = 0;
    for (const auto& each : world.faults) {
        if (each.kind != Fault::Kind::kStop) continue;
        worst = std::max(worst, each.share * static_cast<double>(each.until - each.from));
    }
    return worst;
}

TEST_CASE(
    "the hunt finds bad schedules, is deterministic by seed, and its worlds survive a round trip through "
    "TOML") {
    std::vector<std::string> first;
    for (int time = 0; time < 2; ++time) {
        FleetHunter hunter(base(), 7, 4);
        std::set<Fault::Kind> kinds;
        for (int round = 0; round < 200; ++round) {
            const auto world = hunter.next();
            CHECK(world.faults.size() >= 1);
            CHECK(world.faults.size() <= 4);
            for (const auto& each : world.faults) {
                kinds.insert(each.kind);
                CHECK(each.from < each.until);
                CHECK(each.until <= world.world.length);
            }
            const auto text = world.to_toml();
            if (round < 20) CHECK(FleetWorld::from_text(text, "again.toml").to_toml() == text);
            if (time == 0)
                first.push_back(text);
            else
                CHECK(first[static_cast<std::size_t>(round)] == text);
            hunter.told(badness(world));
        }
        CHECK(kinds.size() == fault_names().size());  // every kind was drawn
        CHECK(hunter.worst_bad() > 20'000);           // the maximum that can be drawn is 56,000
    }
}

TEST_CASE("a found schedule is reduced to the one fault that causes it") {
    auto world = base();
    for (const auto kind : {Fault::Kind::kKill, Fault::Kind::kStop, Fault::Kind::kReset}) {
        Fault fault;
        fault.kind = kind;
        fault.until = 100'000;
        fault.share = 0.5;
        world.faults.push_back(fault);
    }
    const double found = badness(world);
    for (bool reduced = true; reduced;) {
        reduced = false;
        for (const auto& each : reductions(world)) {
            if (badness(each) < 0.8 * found) continue;
            world = each;
            reduced = true;
            break;
        }
    }
    REQUIRE(world.faults.size() == 1);
    CHECK(world.faults[0].kind == Fault::Kind::kStop);
}

TEST_CASE("a node's timeline merges all log sources in order of time") {
    std::istringstream log(R"(0 fault 0 kill begins
10 ask 7 node 3 kind 0 until 900 parts 0:1
12 send 7.0 node 3 server 2 number 0
30 answer 7 whole shards 0
40 ask 8 node 4 kind 0 until 900 parts 0:1
50 killed 3
9000 begun 3
9500 told 3 server 2 gone
20 said 3 level=info event=list_source msg="x"
)");
    const auto timeline = node_timeline(log, 3);
    std::string text;
    for (const auto& line : timeline) text += line + '\n';
    CHECK(text == R"(0.00 s  fault 0 kill begins
0.00 s  said 3 level=info event=list_source msg="x"
0.01 s  killed 3
0.90 s  begun 3
0.95 s  told 3 server 2 gone
1.00 s  in this second: 1 to server 2, 1 answer
)");
    std::istringstream empty("0 fault 0 kill begins\n");
    CHECK(node_timeline(empty, 5).empty());
}

TEST_CASE(
    "figures of repeated runs: the first run decides if it meets all of them, otherwise two of three; others "
    "are missed") {
    // Each letter is a run: good, bad, or slow (the machine was too busy to judge it).
    const auto missed = [](const std::string& plays) {
        std::size_t at = 0;
        struct Run {
            lab::FleetTotals totals;
            bool good = true;
        };
        const auto text = test::missed_expectations(
            [&] {
                Run play;
                const char what = plays.at(at++);
                play.good = what == 'g';
                play.totals.late_share = what == 's' ? 1 : 0;
                return play;
            },
            [](const auto& play, test::Expectations& figures) { FIGURE(play.good); }, 5);
        return text + ' ' + std::to_string(at);
    };
    if (test::kSanitized) return;  // figures are not checked with sanitizers
    CHECK(missed("g") == " 1");
    CHECK(missed("bgg") == " 3");
    CHECK(missed("bgb") == "play.good | play.good 3");
    CHECK(missed("bb") == "play.good | play.good 2");
    CHECK(missed("sss") == " 3");  // no run could be judged
    CHECK(missed("bssss") == "play.good 5");
    CHECK(missed("bgsss") == "play.good 5");
}

}  // namespace
