// Fleet-wide limits that hold approximately: many nodes in simulated time, whose published needs arrive with
// random delays. Bound on the shares in use over any W seconds, with C changes of needs or members that took
// S seconds to reach all:
//   limit * (W + C * max(0, S - propagation_delay))
#include "fleet/about.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace {

using namespace pinedoor;
using namespace pinedoor::fleet;

constexpr peers::Time kSecond = 10'000, kStep = 500;
constexpr double kLimit = 1'000;
constexpr int kNodes = 20;

// Nodes that exchange needs with random delays of up to `max_delay`, in steps of kStep.
struct SimulatedFleet {
    SimulatedFleet(ApproximateLimitConfig terms, unsigned seed, peers::Time max_message_delay)
        : rng(seed), max_delay(max_message_delay), received(kNodes, std::vector<double>(kNodes)),
          partition(kNodes, 0) {
        for (int i = 0; i < kNodes; ++i) nodes.push_back(std::make_unique<ApproximateShare>(terms));
    }
    // Advances by kStep with the given needs. Each publication reaches each other node after a delay of its
    // own.
    void step(const std::vector<double>& needs) {
        now += kStep;
        for (int i = 0; i < kNodes; ++i) {
            auto& node = *nodes[static_cast<std::size_t>(i)];
            node.need(needs[static_cast<std::size_t>(i)]);
            if (const auto need = node.say(now)) {
                for (int j = 0; j < kNodes; ++j) {
                    const auto delay = static_cast<peers::Time>(rng() % static_cast<unsigned>(max_delay + 1));
                    if (j != i) messages.push_back({now + delay, i, j, *need});
                }
            }
        }
        std::stable_sort(messages.begin(), messages.end(),
                         [](const Message& a, const Message& b) { return a.arrives_at < b.arrives_at; });
        while (!messages.empty() && messages.front().arrives_at <= now) {
            const auto message = messages.front();
            messages.erase(messages.begin());
            if (partition[static_cast<std::size_t>(message.from)] ==
                partition[static_cast<std::size_t>(message.to)])
                received[static_cast<std::size_t>(message.to)][static_cast<std::size_t>(message.from)] =
                    message.need;
        }
        in_use = 0;
        used = 0;
        for (int i = 0; i < kNodes; ++i) {
            const auto self = static_cast<std::size_t>(i);
            std::vector<double> others;
            std::size_t members = 0;
            for (std::size_t j = 0; j < kNodes; ++j) {
                if (partition_detected && partition[j] != partition[self]) continue;
                ++members;
                if (j != self) others.push_back(received[self][j]);
            }
            nodes[self]->hear(now, others, members, true);
            const double share = nodes[self]->allowance(now);
            in_use += share;
            used += std::min(share, needs[self]);
        }
    }
    struct Message {
        peers::Time arrives_at = 0;
        int from = 0, to = 0;
        double need = 0;
    };
    std::mt19937 rng;
    peers::Time max_delay, now = 0;
    std::vector<std::unique_ptr<ApproximateShare>> nodes;
    std::vector<std::vector<double>> received;
    std::vector<int> partition;  // by node: its side; messages between sides are lost
    bool partition_detected = false;
    std::vector<Message> messages;
    double in_use = 0, used = 0;
};

ApproximateLimitConfig terms(peers::Time propagation_delay = 2 * kSecond) {
    ApproximateLimitConfig settings;
    settings.limit = kLimit;
    settings.node_count = kNodes;
    settings.propagation_delay = propagation_delay;
    return settings;
}

// `excess_seconds`: the excess over the limit, as a fraction of the limit, integrated over time. `min_used`:
// the least that was used of the limit while more than it was needed.
struct RunResult {
    double max_in_use = 0, excess_seconds = 0, min_used = 1e9;
    int changes = 0;
};
// Runs the fleet while needs of random nodes change at random.
RunResult run(ApproximateLimitConfig limit_terms, unsigned seed, peers::Time max_delay) {
    SimulatedFleet fleet(limit_terms, seed, max_delay);
    RunResult result;
    std::vector<double> needs(kNodes, 0);
    std::mt19937 rng(seed + 1);
    for (int step = 0; step < 4'000; ++step) {
        if (step % 120 == 0) {
            auto& need = needs[rng() % kNodes];
            need = need > 0
                       ? 0
                       : kLimit * static_cast<double>(1 + rng() % 10);  // in units of the limit: 0 or 1 to 10
            ++result.changes;
        }
        fleet.step(needs);
        result.max_in_use = std::max(result.max_in_use, fleet.in_use);
        result.excess_seconds += std::max(0.0, fleet.in_use / kLimit - 1) * kStep / kSecond;
        double total_need = 0;
        for (const double each : needs) total_need += each;
        if (step % 120 == 119 && total_need > kLimit) result.min_used = std::min(result.min_used, fleet.used);
    }
    return result;
}

TEST_CASE(
    "shares stay within the limit and are used fully if every need arrives within the propagation delay") {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        const auto result = run(terms(), seed, kSecond * 2 - kStep);
        CHECK(result.max_in_use <= kLimit + 1e-6);
        CHECK(result.min_used >= 0.9 * kLimit);
    }
}

TEST_CASE("later arrival exceeds the limit by at most the limit for the time of the delay of each change") {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        const auto result = run(terms(kSecond), seed, 4 * kSecond);
        CHECK(result.excess_seconds > 0);  // otherwise the test would be vacuous
        CHECK(result.excess_seconds <= result.changes * 3.0);
    }
}

TEST_CASE("injected defect: a share that rises at once exceeds the limit although all needs arrive in time") {
    CHECK(run(terms(0), 1, kSecond).excess_seconds > 0);
}

TEST_CASE("30 s partition into halves with needs moving to one side: each side has half of the limit") {
    SimulatedFleet fleet(terms(), 3, kSecond / 2);
    std::vector<double> needs(kNodes, kLimit / 5);
    const auto run = [&](peers::Time length) {
        double max_in_use = 0;
        for (const auto until = fleet.now + length; fleet.now < until;) {
            fleet.step(needs);
            max_in_use = std::max(max_in_use, fleet.in_use);
        }
        return max_in_use;
    };
    run(10 * kSecond);
    CHECK(fleet.used == doctest::Approx(kLimit));
    for (std::size_t i = 0; i < kNodes / 2; ++i) fleet.partition[i] = 1;
    for (std::size_t i = 0; i < kNodes / 2; ++i)
        needs[i] = 2 * kLimit, needs[i + kNodes / 2] = 0;  // all on one side
    CHECK(run(10 * kSecond) <= kLimit + 1e-6);             // the partition is not detected yet
    fleet.partition_detected = true;
    CHECK(run(20 * kSecond) <= kLimit + 1e-6);
    CHECK(fleet.used >= 0.45 * kLimit);  // half of the limit
    fleet.partition_detected = false;
    std::fill(fleet.partition.begin(), fleet.partition.end(), 0);
    for (std::size_t i = 0; i < kNodes; ++i) {
        for (std::size_t j = 0; j < kNodes; ++j)
            fleet.received[i][j] = fleet.nodes[j]->said();  // records are exchanged
    }
    CHECK(run(10 * kSecond) <= kLimit + 1e-6);
    CHECK(fleet.used >= 0.9 * kLimit);
}

TEST_CASE(
    "a node that just started or is isolated has its floor; needs are published again in time and "
    "withdrawn") {
    ApproximateShare share(terms());
    share.need(500);
    CHECK(share.say(kSecond) == 500);
    CHECK(share.allowance(kSecond) == doctest::Approx(kLimit * 0.1 / kNodes));
    share.hear(2 * kSecond, {}, 1, true);
    CHECK(share.allowance(10 * kSecond) == doctest::Approx(kLimit * 0.1 / kNodes));
    share.hear(10 * kSecond, {300}, 20, false);
    CHECK(share.allowance(20 * kSecond) == doctest::Approx(kLimit * 0.1 / kNodes));
    share.hear(20 * kSecond, {300}, 20, true);
    CHECK(share.allowance(21 * kSecond) == doctest::Approx(kLimit * 0.1 / kNodes));  // increase is delayed
    CHECK(share.allowance(22 * kSecond) == doctest::Approx(500 + kLimit * 0.1 / kNodes));
    share.hear(23 * kSecond, {900}, 20, true);
    CHECK(share.allowance(23 * kSecond) == doctest::Approx(450 + kLimit * 0.1 / kNodes));  // decrease is not
    share.need(520);
    CHECK(!share.say(24 * kSecond));  // changed by less than a quarter
    CHECK(share.say(42 * kSecond) == 520);
    share.need(0);
    CHECK(!share.say(42 * kSecond + 100));
    CHECK(share.say(43 * kSecond) == 0);
    CHECK(!share.say(100 * kSecond));
}

TEST_CASE("needs are read as written; malformed text is ignored") {
    CHECK(read_needs(write_needs({{"all", 12.3}, {"none", 0}, {"b", 1e12}})) ==
          std::map<std::string, double>{{"all", 13}, {"b", 1e9}});
    CHECK(read_needs("all nan b -1 c inf d").size() <= 1);
    CHECK(rc::check("any text is read safely", [](const std::string& any) {
        for (const auto& [name, need] : read_needs(any)) RC_ASSERT(need > 0 && need <= 1e9);
    }));
}

}  // namespace
