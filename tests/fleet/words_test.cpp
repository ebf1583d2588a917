// Reports on servers among members: which are published, how verdicts arise from reports that disagree, and
// how the decision module applies them. tests/fleet/verdicts_test.cpp runs the same with processes.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include "fleet/server_words.hpp"
#include "script.hpp"

namespace {

using namespace pinedoor;
using namespace pinedoor::fleet;
using pinedoor::peers::PublishedRecord;
using pinedoor::test::Script;

constexpr peers::Time kSecond = 10'000;
constexpr int kWholly = 1;
using Zones = std::map<std::string, int>;
using OpinionKind = MemberReport::Opinion;

PublishedRecord fact(const std::string& origin, const std::string& value, peers::Time age = 0) {
    return {origin, kServersTopic, 1, 1, 1, value, 15 * kSecond, age};
}

Zones members(int count, int zones = 1) {
    Zones all;
    for (int i = 0; i < count; ++i) all["n" + std::to_string(i)] = i % zones;
    return all;
}

Said parse(peers::Time now, const std::vector<PublishedRecord>& facts, const Zones& zones,
           const std::string& self = "n0") {
    return ReportReader({}).read(now, facts, zones, self);
}

TEST_CASE(
    "a record is parsed again when its text changes; evidence ages with it; departed members are forgotten") {
    ReportReader reader({});
    std::map<std::string, MemberReport> reports;
    reports["s-1"] = {OpinionKind::kBad, 500, -1, 0};
    const auto first = write_reports(reports);
    reports["s-2"] = {OpinionKind::kGood, 0, -1, 0};
    const auto second = write_reports(reports);
    const auto read = [&](const std::string& text, peers::Time now, peers::Time age, const Zones& zones) {
        return reader.read(now, {fact("n1", text, age)}, zones, "n0").servers;
    };
    CHECK(read(first, 10 * kSecond, 0, members(3)).at("s-1").opinions.at(0).seen == 10 * kSecond - 500);
    CHECK(read(first, 12 * kSecond, kSecond, members(3)).at("s-1").opinions.at(0).seen == 11 * kSecond - 500);
    const auto both_servers = read(second, 13 * kSecond, 0, members(3));
    CHECK(both_servers.size() == 2);
    CHECK(both_servers.at("s-1").opinions.size() == 1);
    CHECK(read(second, 14 * kSecond, 0, members(1)).empty());
    CHECK(read(first, 15 * kSecond, 0, members(3)).size() == 1);
}

TEST_CASE(
    "reports are read as written, as many as fit with faulty servers first; malformed text is ignored") {
    std::map<std::string, MemberReport> reports;
    for (int i = 0; i < 200; ++i)
        reports["cold-" + std::to_string(i)] = {OpinionKind::kNone, 0, 10'000, static_cast<double>(i)};
    reports["hung"] = {OpinionKind::kBad, 12'340, -1, 0};
    reports["well"] = {OpinionKind::kGood, 50, -1, 0};
    reports["both"] = {OpinionKind::kBad, 10, 20'000, 7};
    reports["a name with blanks"] = {OpinionKind::kBad, 0, -1, 0};
    const auto text = write_reports(reports);
    CHECK(text.size() <= peers::kLongestValue);
    const auto read = read_reports(text);
    CHECK(read.at("hung").opinion == OpinionKind::kBad);
    CHECK(read.at("hung").evidence_age == 12'340);
    CHECK(read.at("well").opinion == OpinionKind::kGood);
    CHECK(read.at("both").cold_duration == 20'000);
    CHECK(read.at("both").parts_per_second == 7);
    CHECK(read.contains("cold-199"));  // the highest rate
    CHECK(!read.contains("cold-0"));
    CHECK(read_reports("x b - - nonsense y - - 99999999999999999999 1 z b").empty());
    CHECK(rc::check("any text is read safely", [](const std::string& any) {
        for (const auto& [name, each] : read_reports(any))
            RC_ASSERT(each.parts_per_second >= 0 && !name.empty());
        for (const auto& [key, remaining] : read_keys(any)) RC_ASSERT(key != 0 && remaining >= 0);
    }));
    std::vector<std::pair<std::uint64_t, Time>> keys;
    for (std::uint64_t i = 1; i <= 200; ++i) keys.emplace_back(i << 32U, 10 * static_cast<Time>(i));
    const auto parsed = read_keys(write_keys(keys));
    CHECK(parsed.back() == keys.back());
    CHECK(parsed.size() >= 50);
}

TEST_CASE("a change is published at once, renewed in time and withdrawn once") {
    ReportPublisher publisher({});
    const auto tell = [&](peers::Time now, const std::vector<ServerObservation>& seen) {
        return publisher.tell(now, seen, parse(now, {}, members(1)));
    };
    const auto faulty = [](Time failed) { return ServerObservation{"s1", true, failed, 5'000, -1, 0}; };
    CHECK(!tell(kSecond, {}));
    CHECK(tell(2 * kSecond, {faulty(15'000)}) == "s1 b 500 - 0 ");
    CHECK(!tell(2 * kSecond + 500, {}));          // within the minimum interval
    CHECK(!tell(3 * kSecond, {faulty(15'000)}));  // no change
    CHECK(!tell(3 * kSecond, {faulty(25'000)}));  // later evidence is not urgent
    CHECK(tell(4 * kSecond, {faulty(25'000)}) == "s1 b 1500 - 0 ");
    CHECK(tell(9 * kSecond, {faulty(25'000)}));  // renewed after a third of its lifetime
    CHECK(tell(9 * kSecond + 1'000, {}) == "");
    CHECK(!tell(12 * kSecond, {}));
    CHECK(tell(13 * kSecond, {{"s1", false, 0, 0, 500, 40}}) == "s1 - - 50 0 ");
    CHECK(tell(15 * kSecond, {{"s1", false, 0, 0, 20'500, 100}}) == "s1 - - 2050 30 ");  // 60 parts in 2 s
}

// Bounds the number of messages: a hung server is reported by as many members as a verdict needs and one or
// two more, not by all.
TEST_CASE(
    "a node stays silent where enough report the same; one that has reported goes on while its report "
    "holds") {
    const auto zones = members(20);
    std::vector<PublishedRecord> others;
    const ServerObservation faulty{"s1", true, 9'000, 0, -1, 0};
    for (int i = 1; i <= 3; ++i) others.push_back(fact("n" + std::to_string(i), "s1 b 100 - 0 "));
    ReportPublisher reporter({}), newcomer({});
    CHECK(reporter.tell(kSecond, {faulty}, parse(kSecond, others, zones)));
    others.push_back(fact("n4", "s1 b 100 - 0 "));
    CHECK(!newcomer.tell(kSecond, {faulty}, parse(kSecond, others, zones)));  // three are needed, four report
    CHECK(reporter.tell(6 * kSecond, {faulty}, parse(6 * kSecond, others, zones)) == "s1 b 5100 - 0 ");
    // A member with a later answer contradicts enough faulty reports.
    ReportPublisher healthy_reporter({});
    const ServerObservation recent_answer{"s1", false, 0, 59'500, -1, 0},
        old_answer{"s1", false, 0, 40'000, -1, 0};
    CHECK(!healthy_reporter.tell(6 * kSecond, {old_answer}, parse(6 * kSecond, others, zones)));
    CHECK(healthy_reporter.tell(6 * kSecond, {recent_answer}, parse(6 * kSecond, others, zones)) ==
          "s1 g 50 - 0 ");
    CHECK(
        !ReportPublisher({}).tell(6 * kSecond, {recent_answer},
                                  parse(6 * kSecond, {others[0]}, zones)));  // a single report has no effect
}

TEST_CASE(
    "setting aside takes three reporters; departed members and old evidence do not count; only few nodes "
    "probe") {
    const auto zones = members(20);
    ConsensusTracker tracker({}, "n0");
    const auto update = [&](Time now, const std::vector<std::string>& who,
                            const char* report = "s1 b 100 - 0 ") {
        std::vector<PublishedRecord> facts;
        for (const auto& name : who) facts.push_back(fact(name, report));
        const auto news = tracker.hear(now, parse(now, facts, zones));
        return news.contains("s1") ? (news.at("s1").aside ? "aside" : "not") : "nothing new";
    };
    const Time now = 30 * kSecond;
    CHECK(update(now, {"n1", "n2"}) == std::string("nothing new"));
    CHECK(update(now, {"n1", "n2", "gone"}) == std::string("nothing new"));
    CHECK(update(now, {"n0", "n1", "n2"}) == std::string("nothing new"));  // its own report does not count
    CHECK(update(now, {"n1", "n2", "n3"}, "s1 b 15000 - 0 ") == std::string("nothing new"));
    CHECK(update(now, {"n1", "n2", "n3"}) == std::string("aside"));
    CHECK(update(now, {"n1", "n2", "n3"}) == std::string("nothing new"));
    CHECK(update(now, {"n1", "n2"}) == std::string("not"));
    // Of a hundred nodes about two probe the server; after a reported recovery about four and a half.
    int probers = 0, recovery_probers = 0;
    for (int i = 0; i < 1'000; ++i) {
        Verdict verdict{true, 1, 3, 0, false, 3};
        const auto name = "n" + std::to_string(i);
        probers += is_prober({}, now, 99, verdict, name, "s1") ? 1 : 0;
        verdict.recovery_reported = true;
        recovery_probers += is_prober({}, now, 99, verdict, name, "s1") ? 1 : 0;
    }
    CHECK(probers > 5);
    CHECK(probers < 45);
    CHECK(recovery_probers > 20);
    CHECK(recovery_probers < 75);
}

TEST_CASE(
    "reporters of the own zone count if there are at least six: unreachable from another zone is not "
    "faulty") {
    const auto far_apart = members(21, 3);
    std::vector<PublishedRecord> facts;
    for (int i = 1; i < 21; ++i) {
        if (i % 3 != 0) facts.push_back(fact("n" + std::to_string(i), "s1 b 100 - 0 "));
    }
    ConsensusTracker tracker({}, "n0");
    CHECK(tracker.hear(kSecond, parse(kSecond, facts, far_apart)).empty());
    for (const char* name : {"n3", "n6", "n9"}) facts.push_back(fact(name, "s1 b 100 - 0 "));
    CHECK(tracker.hear(kSecond, parse(kSecond, facts, far_apart)).at("s1").aside);
    CHECK(parse(kSecond, facts, members(10, 3)).voices.size() == 9);  // too few in its zone: all count
}

// The guarantee of fleet/verdict.hpp, for arbitrary reports of fewer members than are needed.
TEST_CASE("fewer misreporting members than are needed neither cause nor prevent a verdict") {
    CHECK(rc::check("arbitrary reports", [] {
        const VerdictConfig terms;
        const auto reporters = static_cast<std::size_t>(*rc::gen::inRange(4, 200));
        const auto needed = reports_needed(terms, reporters);
        const auto misreporting = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(needed)));
        const Time now = 100 * kSecond;
        const bool hung = *rc::gen::arbitrary<bool>();
        std::vector<Opinion> all;
        for (std::size_t i = 0; i < misreporting; ++i)
            all.push_back({"l" + std::to_string(i), *rc::gen::arbitrary<bool>(),
                           now - *rc::gen::inRange<Time>(0, 20'000)});
        const auto misreported = judge(terms, now, reporters, all);
        RC_ASSERT(!misreported.aside);
        // As many correct members as are needed report, each with evidence of the last 5 s.
        for (std::size_t i = 0; i < needed && reporters >= needed + misreporting; ++i)
            all.push_back({"n" + std::to_string(i), hung, now - *rc::gen::inRange<Time>(0, 50'000)});
        if (all.size() == misreporting) return;
        const auto verdict = judge(terms, now, reporters, all);
        RC_ASSERT(verdict.aside == hung);
        RC_ASSERT(!verdict.aside || now - verdict.evidence_at < terms.lives);
        // Independent of the order of reports.
        std::shuffle(all.begin(), all.end(), std::mt19937(*rc::gen::arbitrary<unsigned>()));
        const auto reordered = judge(terms, now, reporters, all);
        RC_ASSERT(reordered.aside == verdict.aside && reordered.evidence_at == verdict.evidence_at &&
                  reordered.bad == verdict.bad);
        // Opinions expire.
        RC_ASSERT(!judge(terms, now + terms.lives, reporters, all).aside);
    }));
}

TEST_CASE("cold takes two reports that agree on the longer duration; the rates of all reporters add up") {
    const auto zones = members(4);
    ConsensusTracker tracker({}, "n0");
    CHECK(tracker.hear(kSecond, parse(kSecond, {fact("n1", "s1 - - 100 50 ")}, zones)).empty());
    const std::vector<PublishedRecord> both{fact("n1", "s1 - - 100 50 "),
                                            fact("n2", "s1 - - 3000 20 ", kSecond)};
    const auto news = tracker.hear(kSecond, parse(kSecond, both, zones));
    CHECK(news.at("s1").cold_for == 40'000);  // 3 s and the record's age of 1 s
    CHECK(news.at("s1").taken == 70);
    CHECK(!tracker.hear(kSecond, parse(kSecond, {}, zones)).at("s1").says_something());
}

ServerReport set_aside(char server, bool held = false, Time seen = 0) {
    ServerReport message;
    message.server = {static_cast<std::uint32_t>(server), 1};
    message.aside = true;
    message.held = held;
    message.seen = seen;
    return message;
}

TEST_CASE("the module sets aside what others set aside unless it has a later answer itself") {
    Script s;
    s.list("A0 B1 C2 D3").arrive(1, kWholly, {1}, 0).pass(10).quietly();
    s.end({100}).play(
        {set_aside('A'), set_aside('B'), set_aside('C'), set_aside('D')});  // B has answered since
    CHECK(s.trace() == R"(
10 answer 1 whole
10 log aside 65: told
10 log aside 67: told
10 log aside 68: told
)");
    s.quietly();
    for (Id id = 2; id <= 4; ++id) s.arrive(id, kWholly, {1}, 0);  // A and B hold the shard
    CHECK(s.trace() == R"(
10 send 200 to B
10 send 300 to B
10 send 400 to B
)");
    s.quietly()
        .end({200})
        .end({300})
        .end({400})
        .pass(10)
        .play({set_aside('B', false, 150)})
        .arrive(5, kWholly, {1}, 0);
    CHECK(s.trace() == R"(
10 answer 2 whole
10 answer 3 whole
10 answer 4 whole
20 log aside 66: told
20 send 500 to A
)");
}

// A part that is out at the server does not wait until this node itself suspects the server.
TEST_CASE("a part out at a server that others found hung is sent elsewhere at once") {
    Script s;
    s.list("A0 B1").arrive(1, kWholly, {1}, 0);
    const bool at_a = s.trace() == "\n0 send 100 to A\n";
    s.pass(20).quietly().play({set_aside(at_a ? 'A' : 'B')});
    CHECK(s.trace() == (at_a ? "\n20 log aside 65: told\n20 send 100 to B\n"
                             : "\n20 log aside 66: told\n20 send 100 to A\n"));
}

TEST_CASE("a node does not send to a server set aside while others probe it; then it takes its turn") {
    Script s;
    s.list("A0 B1 C2 D3").play({set_aside('A', true)}).pass(5'000).quietly();
    for (Id id = 1; id <= 3; ++id) s.arrive(id, kWholly, {1}, 0);
    CHECK(s.trace() == "\n5000 send 100 to B\n5000 send 200 to B\n5000 send 300 to B\n");
    s.quietly().play({set_aside('A', false)}).pass(5);  // this node is to probe it
    s.quietly().arrive(4, kWholly, {1}, 0);
    CHECK(s.trace() == "\n5005 send 400 to A\n");
}

// Limits the deaths of servers by a multiget that has killed servers at other front nodes.
TEST_CASE(
    "a multiget whose key killed servers elsewhere starts with a single part while the key is in force") {
    Script s;
    s.list("A0 B1 C2 D3").play({DeadlyKey{77, 20'000}}).arrive(1, kWholly, {0.5, 0.5}, 0, 1'000, 77);
    CHECK(s.trace().find("send 100 to") != std::string::npos);
    CHECK(s.trace().find("send 101 to") == std::string::npos);
    s.end({100}).end({101}).pass(2'500).quietly().arrive(2, kWholly, {0.5, 0.5}, 0, 1'000, 77);
    CHECK(s.trace().find("send 200 to") != std::string::npos);
    CHECK(s.trace().find("send 201 to") != std::string::npos);
}

// This node's share of fleet-wide limits; one part at each server is allowed whatever the share.
TEST_CASE("a server with all parts that the share allows is not picked; an expired share allows one part") {
    Script s;
    s.list("A0 B1").play({FleetQuota{2, 100, 10'000}}).quietly();
    for (Id id = 1; id <= 5; ++id) s.arrive(id, kWholly, {1}, 0);
    const auto count = [&s] {
        const auto text = s.trace();
        std::size_t sends = 0;
        for (auto at = text.find("send "); at != std::string::npos; at = text.find("send ", at + 1)) ++sends;
        return sends;
    };
    CHECK(count() == 4);
    CHECK(s.trace().find("push back 5 for") != std::string::npos);  // at once, with a retry delay
    for (Id id = 1; id <= 4; ++id) s.end({id * 100});
    s.pass(1'100).quietly();  // past the expiry of the share
    for (Id id = 6; id <= 8; ++id) s.arrive(id, kWholly, {1}, 0);
    CHECK(count() == 2);
}

TEST_CASE("nothing is sent again beyond this node's share of the fleet's further sends") {
    Script s;
    s.list("A0 B1").play({FleetQuota{100, 0, 100'000}}).arrive(1, kWholly, {1}, 0).quietly();
    s.end({100}, Outcome::kError).pass(10);
    CHECK(s.trace().find("send") == std::string::npos);
    s.quietly().play({FleetQuota{100, 1, 100'000}}).pass(10);
    CHECK(s.trace().find("send 100 to") != std::string::npos);
    s.quietly().end({100}, Outcome::kError).pass(10);  // the share of one is used up
    CHECK(s.trace().find("send") == std::string::npos);
}

}  // namespace
