// The soak's checker finds each kind of breach in a log, and accepts what the protocol excuses.
#include <doctest/doctest.h>

#include <sstream>

#include "lab/soak/soak_checker.hpp"
#include "lab/soak/soak_plan.hpp"

namespace {

using namespace pinedoor::lab;

// The rules that a log breaks, one line each.
std::string broken_by(const std::string& log) {
    SoakChecker checker;
    std::istringstream lines("0 limit memory 1000 sockets 10\n0 begun\n" + log);
    for (std::string line; std::getline(lines, line);) checker.take(line);
    std::string rules;
    for (const auto& breach : checker.finish()) rules += name_of(breach.rule) + '\n';
    return rules;
}

TEST_CASE("a run in which everything is answered in time keeps the soak's rules") {
    CHECK(broken_by("10 ask a wait 400 safe\n20 run a.1\n30 end a 200\n") == "");
    CHECK(broken_by("10 ask a wait 400 safe\n900 end a 200\n") == "");
    CHECK(broken_by("10 stays a1\n3000 over a1\n") == "");
    CHECK(broken_by("10 memory 1000\n10 descriptors 10\n20 signal 15\n30 exit 0\n") == "");
    CHECK(broken_by("10 signal 9\n11 exit -9\n") == "");
}

TEST_CASE("late, lost and doubled answers are found by the soak's checker") {
    const std::string answered = "every request is answered in time\n";
    const std::string served = "ordinary clients are served\n";
    CHECK(broken_by("10 ask a wait 400 safe\n920 end a 200\n") == answered);
    CHECK(broken_by("10 ask a wait 400 safe\n") == answered + served);
    CHECK(broken_by("10 ask a wait 400 safe\n20 cut a\n") == answered + served);
    CHECK(broken_by("10 ask a wait 400 safe\n20 end a 200\n30 end a 200\n") == answered);
    // A kill without warning excuses what was open, one after SIGTERM does not.
    CHECK(broken_by("10 ask a wait 400 safe\n20 signal 9\n21 exit -9\n22 cut a\n") == "");
    CHECK(broken_by("5 signal 15\n10 ask a wait 400 safe\n2705 signal 9\n2706 exit -9\n2707 cut a\n") ==
          answered + served);
    // The time that was spent waiting for the machine is excused.
    CHECK(broken_by("10 ask a wait 400 safe\n500 late 100\n1000 end a 200\n") == "");
}

TEST_CASE("what begins too late or twice is found by the soak's checker") {
    const std::string after_close = "nothing begins after a client's close\n";
    const std::string twice = "no effect twice\n";
    CHECK(broken_by("10 ask a abusive once\n20 left a\n110 run a.1\n") == "");
    CHECK(broken_by("10 ask a abusive once\n20 left a\n130 run a.1\n") == after_close);
    CHECK(broken_by("10 ask a abusive once\n20 run a.1\n40 run a.1\n") == twice);
    CHECK(broken_by("10 ask a abusive safe\n20 run a.1\n40 run a.1\n") == "");
    CHECK(broken_by("10 ask a abusive once\n20 run a.1\n30 full a.1\n40 run a.1\n") == "");
    CHECK(broken_by("20 run a.1\n") == twice);
}

TEST_CASE("limits, ends and unfinished clients are judged by the soak's checker") {
    CHECK(broken_by("10 memory 1001\n") == "memory within its limit\n");
    CHECK(broken_by("10 descriptors 11\n") == "descriptors within their limit\n");
    CHECK(broken_by("10 exit -6\n") == "the process ends only when told to\n");
    CHECK(broken_by("10 exit 0\n") == "the process ends only when told to\n");
    CHECK(broken_by("10 stays a1\n3070 over a1\n") == "unfinished requests end in time\n");
}

TEST_CASE("a refusal of an ordinary request for want of room is found by the soak's checker") {
    const std::string others = "ordinary requests are not refused for what others cost\n";
    const std::string served = "5 ask a wait 400 safe\n6 end a 200\n";
    CHECK(broken_by(served + "10 ask b wait 400 safe\n20 end b 503\n") == "");
    CHECK(broken_by(served + "10 ask b wait 400 safe\n20 end b 503 budget\n") == others);
    CHECK(broken_by(served + "10 ask b abusive safe\n20 end b 503 budget\n") == "");
}

TEST_CASE("a plan of the soak follows from its seed, and its kills after SIGTERM come at the earliest time") {
    CHECK(draw_soak_plan(7, 12'000).text() == draw_soak_plan(7, 12'000).text());
    for (std::uint64_t seed = 1; seed < 200; ++seed) {
        const auto plan = draw_soak_plan(seed, 12'000);
        for (std::size_t i = 0; i < plan.signals.size(); ++i) {
            if (plan.signals[i].signal != 15) continue;
            REQUIRE(i + 1 < plan.signals.size());
            CHECK(plan.signals[i + 1].signal == 9);
            CHECK(plan.signals[i + 1].at == plan.signals[i].at + kSoakKillAfterTerm);
        }
    }
}

}  // namespace
