// Enforcement of a node's share of a limit: admission gates, limits at each server, the need that a node
// reports, and the settings of limits.
#include "fleet/gate.hpp"

#include <doctest/doctest.h>

#include <algorithm>

#include "fleet/at_servers.hpp"
#include "logic.hpp"
#include "stated/installation.hpp"
#include "stated/stated.hpp"

namespace {

using namespace pinedoor;

constexpr Time kSecond = 10'000;

TEST_CASE("a gate passes its share and one burst; idle time saves nothing beyond; retry delays are spread") {
    fleet::LimitConfig terms;
    terms.per_second = 100;
    terms.burst = 20;
    fleet::Gate gate(terms, 7);
    int passed = 0;
    Time now = kSecond;
    for (int i = 0; i < 10'000; ++i, now += 10) passed += gate.pass(now, 25) ? 1 : 0;  // 10 s
    CHECK(passed <= 25 * 10 + 5 + 1);
    CHECK(passed >= 25 * 10 - 1);
    now += 100 * kSecond;
    int burst = 0;
    while (gate.pass(now, 25)) ++burst;
    CHECK(burst == 5);  // a quarter of the burst of 20, as of the rate
    CHECK(gate.need(now + 100 * kSecond) == 0);
    Time min_wait = kSecond, max_wait = 0;
    for (int i = 0; i < 100; ++i) {
        const auto wait = gate.wait(2, 5'000);
        min_wait = std::min(min_wait, wait);
        max_wait = std::max(max_wait, wait);
    }
    CHECK(max_wait <= 5'000);
    CHECK(min_wait >= 2'500);
    CHECK(max_wait - min_wait > 1'000);
}

TEST_CASE("tokens saved at a small share do not grow with the share") {
    fleet::LimitConfig terms;
    terms.per_second = 100;
    terms.burst = 20;
    fleet::Gate gate(terms, 7);
    Time now = kSecond;
    const auto pass_all = [&](double share) {
        int passed = 0;
        while (gate.pass(now, share)) ++passed;
        return passed;
    };
    pass_all(1);
    now += 100 * kSecond;
    CHECK(pass_all(100) == 1);  // saved at a share of 1; 20 would be the whole burst
    now += kSecond / 10;
    CHECK(pass_all(100) == 10);
    now += 100 * kSecond;
    CHECK(pass_all(10) == 2);
}

// Two tenants share a limit of 100 per second. One of them has a limit of 10 of its own and requests about
// 900. Guards against requests that its own limit rejects using up the shared limit: the other tenant got
// none of its 83 per second.
TEST_CASE("a request that one limit rejects takes nothing from its other limits") {
    fleet::LimitConfig shared_terms, greedy_terms;
    shared_terms.per_second = 100;
    shared_terms.burst = 20;
    greedy_terms.per_second = 10;
    fleet::Gate shared(shared_terms, 7), greedy_only(greedy_terms, 8);
    int passed = 0, greedy_passed = 0;
    Time now = kSecond;
    const auto share = [&](fleet::Gate* each) { return each == &shared ? 100.0 : 10.0; };
    const auto full_limits = [&](const std::vector<fleet::Gate*>& gates) {
        return fleet::acquire_all(
            gates, [&](auto* each) { return each->has_room(now, share(each)); },
            [&](auto* each) { each->pass(now, share(each)); });
    };
    for (int i = 0; i < 10'000; ++i, now += 10) {  // 10 s
        if (i % 12 == 0)
            passed += full_limits({&shared}).empty() ? 1 : 0;
        else
            greedy_passed += full_limits({&shared, &greedy_only}).empty() ? 1 : 0;
    }
    CHECK(passed > 790);
    CHECK(greedy_passed > 85);
    CHECK(greedy_passed < 105);
    CHECK(shared.need(now) < 200);  // rejected by the other limit: not part of the need
    CHECK(greedy_only.need(now) > 1'000);
    CHECK(full_limits({&shared, &greedy_only}) == std::vector<fleet::Gate*>{&greedy_only});
    fleet::ConnectionRateLimiter limiter(shared_terms);
    for (int i = 0; i < 10; ++i) CHECK(limiter.has_room(now, 1, 1));
    CHECK(limiter.try_open(now, 1, 1));
    CHECK(!limiter.has_room(now, 1, 1));
}

TEST_CASE("the need follows arrivals and ends soon after them") {
    fleet::LimitConfig terms;
    terms.per_second = 100;
    fleet::Gate gate(terms, 7);
    Time now = kSecond;
    for (int i = 0; i < 4'000; ++i, now += 10) gate.pass(now, 10);  // 4 s, 1,000 a second
    CHECK(gate.need(now) > 1'200);
    CHECK(gate.need(now + kSecond / 2) < 14);
    CHECK(gate.need(now + 500 * kSecond) == 0);
    for (int i = 0; i < 20; ++i, now += kSecond)
        gate.pass(now, 10);  // a steady request per second keeps a need
    CHECK(gate.need(now) > 1.5);
}

TEST_CASE(
    "connections are limited for each server; a new one has one token; a flapping server gains nothing") {
    fleet::LimitConfig terms;
    terms.per_second = 8;
    terms.burst = 4;
    fleet::ConnectionRateLimiter limiter(terms);
    Time now = kSecond;
    CHECK(limiter.try_open(now, 1, 2));
    CHECK(!limiter.try_open(now, 1, 2));
    CHECK(limiter.try_open(now, 2, 2));  // another server
    int opened = 0;
    for (int i = 0; i < 1'000;
         ++i, now += 100) {  // attempts for 10 s at one server, each followed by an update of all
        opened += limiter.try_open(now, 1, 2) ? 1 : 0;
        limiter.need(now, 2);
    }
    CHECK(opened >= 18);
    CHECK(opened <= 20);
    CHECK(limiter.need(now, 2) > 100);
    now += 60 * kSecond;
    CHECK(limiter.need(now, 2) == 0);  // the entry is dropped; a new one has one token
    CHECK(limiter.try_open(now, 1, 2));
    CHECK(!limiter.try_open(now, 1, 2));
}

TEST_CASE("the need for parts out is the recent peak with half as much again and decays soon") {
    fleet::PartsOutDemand parts_out;
    CHECK(parts_out.need() == 1);
    parts_out.see(kSecond, 20);
    CHECK(parts_out.need() == 31);
    parts_out.see(2 * kSecond, 0);
    CHECK(parts_out.need() == 16);
    for (int i = 0; i < 20; ++i) parts_out.see((3 + i) * kSecond, 0);
    CHECK(parts_out.need() < 1.01);
}

TEST_CASE(
    "the module's share: one part at each server is always allowed; an expired share allows nothing more; "
    "default is unlimited") {
    const FleetQuota unlimited;
    CHECK(unlimited.room(kSecond, 1'000'000) > 0);
    CHECK(unlimited.allows(kSecond, 1e18));
    FleetQuota share;
    share.parts_out = 3;
    share.further = 10;
    share.until = 2 * kSecond;
    CHECK(share.room(kSecond, 2) == 1);
    CHECK(share.room(kSecond, 5) == 0);
    CHECK(share.allows(kSecond, 10));
    CHECK(!share.allows(kSecond, 11));
    CHECK(share.room(2 * kSecond, 0) == 1);  // the share has expired
    CHECK(share.room(2 * kSecond, 1) == 0);
    CHECK(!share.allows(2 * kSecond, 1));
    share.parts_out = 0;
    CHECK(share.room(kSecond, 0) == 1);
}

TEST_CASE("limits of each kind are read; errors name the key") {
    const auto read = [](const std::string& limit, bool peers = true) -> std::string {
        try {
            const auto installation = stated::NodeSettings::from_text(
                std::string(peers ? "[peers]\non = true\nlisten = \"127.0.0.1:7946\"\n" : "") +
                    "[fleet]\non = true\nvoters = [\"a\"]\n[[fleet.limits]]\nname = \"x\"\n" + limit,
                "f.toml");
            return fleet::name_of(installation.fleet.limits.at(0).of);
        } catch (const stated::ConfigError& error) {
            return error.what();
        }
    };
    CHECK(read("per_second = 5\ntenant = \"t\"") == "multigets");
    CHECK(read("of = \"connections\"\nper_second = 5") == "connections");
    CHECK(read("of = \"further-sends\"\nper_second = 5") == "further-sends");
    CHECK(read("of = \"parts-out\"\nat_once = 5\nkind = \"about\"") == "parts-out");
    CHECK(read("of = \"parts-out\"\nat_once = 5").find("limits.kind") != std::string::npos);
    CHECK(read("of = \"parts-out\"\nper_second = 5\nkind = \"about\"").find("limits.at_once") !=
          std::string::npos);
    CHECK(read("of = \"connections\"").find("limits.per_second") != std::string::npos);
    CHECK(read("of = \"connections\"\nper_second = 5\ntenant = \"t\"").find("limits.tenant") !=
          std::string::npos);
    CHECK(read("of = \"connections\"\nper_second = 5\nkind = \"alone\"", false) == "connections");
    CHECK(read("of = \"connections\"\nper_second = 5\nkind = \"about\"", false).find("fleet.on") !=
          std::string::npos);
    CHECK(read("of = \"sockets\"\nper_second = 5").find("limits.of") != std::string::npos);
}

}  // namespace
