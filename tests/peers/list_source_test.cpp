// Choice of the server list source: roots call discovery and the others form a tree behind them; sources that
// fail or lag, and members that join one by one.
#include "peers/list_source.hpp"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <set>

namespace {

using namespace pinedoor::peers;

constexpr Time kSecond = 10'000;

ListSource::Members members(int count, int except = -1) {
    ListSource::Members all;
    for (int i = 0; i < count; ++i) {
        if (i != except) all.emplace_back("n" + std::to_string(i), At{1, static_cast<std::uint16_t>(i + 1)});
    }
    return all;
}

// Advances the time until a call is due or `until` is reached.
std::optional<ListSource::Source> next_call(ListSource& source, Time& now, Time until) {
    while (now < until) {
        if (const auto call = source.tick(now)) return call;
        now = std::min(until, std::max(now + 1, source.due()));
    }
    return std::nullopt;
}

TEST_CASE(
    "two of three hundred members call discovery; the others form a tree without cycles, up to sixteen per "
    "member") {
    std::map<std::string, std::string> parents;
    std::map<std::string, int> followers;
    int discovery = 0;
    for (int i = 0; i < 300; ++i) {
        ListSource source("n" + std::to_string(i), static_cast<std::uint64_t>(i), {});
        Time now = 1;
        source.set_members(now, members(300));
        const auto call = next_call(source, now, 10 * kSecond);
        REQUIRE(call);
        CHECK(now < 4 * kSecond);
        discovery += call->discovery ? 1 : 0;
        CHECK(call->discovery == source.is_root());
        if (!call->discovery) parents["n" + std::to_string(i)] = call->name, ++followers[call->name];
    }
    CHECK(discovery == 2);
    for (const auto& [name, count] : followers) CHECK(count <= 16);
    for (const auto& [name, parent] : parents) {
        int steps = 0;
        for (auto ancestor = name; parents.contains(ancestor); ancestor = parents.at(ancestor))
            REQUIRE(++steps <= 3);
    }
}

TEST_CASE(
    "after its source is lost a member calls other members, and only later discovery, spread over time") {
    std::set<Time> at_discovery;
    for (int i = 0; i < 100; ++i) {
        ListSource source("n" + std::to_string(i), static_cast<std::uint64_t>(i) + 7, {});
        Time now = 1;
        source.set_members(now, members(100));
        if (const auto call = next_call(source, now, 10 * kSecond); !call || call->discovery) continue;
        source.heard(now);
        now += kSecond;
        const Time since = now;
        for (int calls = 0; calls < 40; ++calls) {
            source.lost(now);
            const auto call = next_call(source, now, now + 60 * kSecond);
            REQUIRE(call);
            if (!call->discovery) continue;
            CHECK(calls >= 3);
            CHECK(now - since >= 6 * kSecond);
            at_discovery.insert((now - since) / kSecond);
            break;
        }
    }
    CHECK(at_discovery.size() >= 5);  // spread over several seconds
}

TEST_CASE(
    "a served member keeps its source while others join and leave, unless its source leaves or its role "
    "changes") {
    ListSource source("n7", 1, {});
    Time now = 1;
    source.set_members(now, members(60));
    const auto call = next_call(source, now, 10 * kSecond);
    REQUIRE(call);
    REQUIRE(!call->discovery);
    source.heard(now);
    source.set_members(now, members(60, 3));
    if (call->name != "n3") CHECK(!next_call(source, now, now + 20 * kSecond));
    const int parent = std::stoi(call->name.substr(1));
    source.set_members(now, members(60, parent));
    const auto other = next_call(source, now, now + 20 * kSecond);
    REQUIRE(other);
    CHECK(other->name != call->name);
    CHECK(!other->discovery);
}

TEST_CASE("an isolated member calls discovery after a while, and a root that is outranked later stops") {
    ListSource source("n0", 1, {});
    Time now = 1;
    source.set_members(now, members(1));
    auto call = next_call(source, now, 20 * kSecond);
    REQUIRE(call);
    CHECK(call->discovery);
    CHECK(now >= 6 * kSecond);
    source.heard(now);
    source.set_members(now, members(50));
    if (call = next_call(source, now, now + 20 * kSecond); !source.is_root()) {
        REQUIRE(call);
        CHECK(!call->discovery);
    }
}

std::string member_at_rank(int count, int rank) {
    for (int i = 0; i < count; ++i) {
        ListSource source("n" + std::to_string(i), 1, {});
        Time now = 1;
        source.set_members(now, members(count));
        next_call(source, now, 10 * kSecond);
        if (source.place() == rank) return "n" + std::to_string(i);
    }
    return {};
}

TEST_CASE("a member waiting to retry that sees an advertised list calls its holder soon, and not discovery") {
    const auto first = member_at_rank(50, 0), second = member_at_rank(50, 1);
    for (int i = 0; i < 50; ++i) {
        ListSource source("n" + std::to_string(i), static_cast<std::uint64_t>(i) + 3, {});
        Time now = 1;
        source.set_members(now, members(50));
        auto call = next_call(source, now, 10 * kSecond);
        REQUIRE(call);
        if (call->discovery) continue;
        for (int calls = 0; calls < 2; ++calls) {  // no member has the list for a while
            source.lost(now);
            REQUIRE(next_call(source, now, now + 20 * kSecond));
        }
        source.lost(now);
        CHECK(!source.compare(now, 0, {{{false, first, {1, 8}}, 12}, {{false, second, {1, 10}}, 12}}));
        const Time advertised_at = now;
        call = next_call(source, now, now + 20 * kSecond);
        REQUIRE(call);
        CHECK(!call->discovery);
        CHECK((call->name == first || call->name == second));
        CHECK(now - advertised_at <= 3'000);
    }
}

TEST_CASE("a source that lags behind another for two seconds is replaced by it, also discovery at a root") {
    const auto ahead_of_all = member_at_rank(50, 0);
    for (int i = 0; i < 50; ++i) {
        if ("n" + std::to_string(i) == ahead_of_all) continue;
        ListSource source("n" + std::to_string(i), 1, {});
        Time now = 1;
        source.set_members(now, members(50));
        REQUIRE(next_call(source, now, 10 * kSecond));
        source.heard(now);
        const std::vector<ListSource::ListHolder> same{{{false, ahead_of_all, {1, 8}}, 12}},
            ahead{{{false, ahead_of_all, {1, 8}}, 13}};
        CHECK(!source.compare(now, 12, same));
        CHECK(!source.compare(now, 12, ahead));
        CHECK(!source.compare(now += kSecond, 12, ahead));
        CHECK(!source.compare(now, 13, ahead));  // this node caught up
        CHECK(!source.compare(now, 13, {{{false, ahead_of_all, {1, 8}}, 14}}));
        now += 2 * kSecond;
        CHECK(source.compare(now, 13, {{{false, ahead_of_all, {1, 8}}, 14}}));
        const auto call = next_call(source, now, now + kSecond);
        REQUIRE(call);
        CHECK(call->name == ahead_of_all);
        source.heard(now);
        // The new source is no better: no further switch for a while, whatever is advertised.
        for (int second = 0; second < 4; ++second, now += kSecond)
            CHECK(!source.compare(now, 13, {{{false, ahead_of_all, {1, 8}}, 15}}));
    }
}

// Guards against a suspended source, whose kernel accepts the connection although nothing is sent: members
// waited three seconds for the first response, and then often called the same source again.
TEST_CASE(
    "a member that does not respond is given up after 1.5 s, and another one is called next, also roots") {
    const auto first = member_at_rank(60, 0), second = member_at_rank(60, 1);
    const std::vector<ListSource::ListHolder> both{{{false, first, {1, 8}}, 12},
                                                   {{false, second, {1, 10}}, 12}};
    std::set<std::string> next;
    for (int i = 0; i < 60; ++i) {
        ListSource source("n" + std::to_string(i), static_cast<std::uint64_t>(i), {});
        Time now = 1;
        source.set_members(now, members(60));
        auto call = next_call(source, now, 10 * kSecond);
        REQUIRE(call);
        if (call->discovery) continue;
        CHECK(!source.is_silent(now + 14'999));
        CHECK(source.due() <= now + 15'000);
        CHECK(source.is_silent(now += 15'000));
        for (int calls = 0; calls < 6; ++calls) {
            const auto silent = call->name;
            source.lost(now);
            CHECK(!source.is_silent(now));
            if (calls % 2 == 1) source.compare(now, 0, both);
            call = next_call(source, now, now + 10 * kSecond);
            REQUIRE(call);
            CHECK(call->name != silent);
            if (calls == 0) next.insert(call->name);
        }
        source.heard(now);
        // After the first response the caller detects silence itself.
        CHECK(!source.is_silent(now + 60 * kSecond));
    }
    CHECK(next.contains(first));
    CHECK(next.contains(second));
}

// Guards against cycles: two members that waited at the same time saw each other's advertisement, called each
// other and passed one full list back and forth thousands of times a second, and no change reached them.
TEST_CASE(
    "members never get the list from each other in a cycle: none calls a member of a higher rank or accepts "
    "its own list") {
    constexpr int kMembers = 30;
    std::map<std::string, int> places;
    const auto settled_source = [&](int i) {
        auto source = std::make_unique<ListSource>("n" + std::to_string(i), static_cast<std::uint64_t>(i) + 5,
                                                   ListSourceSettings{});
        Time now = 1;
        source->set_members(now, members(kMembers));
        next_call(*source, now, 20 * kSecond);
        return source;
    };
    for (int i = 0; i < kMembers; ++i) places["n" + std::to_string(i)] = settled_source(i)->place();
    std::vector<ListSource::ListHolder> all;  // all members advertise the list
    for (const auto& [name, place] : places) all.push_back({{false, name, {1, 1}}, 7});
    for (int i = 0; i < kMembers; ++i) {
        const auto name = "n" + std::to_string(i);
        const auto source = settled_source(i);
        Time now = 30 * kSecond;
        for (int calls = 0; calls < 20; ++calls) {
            source->lost(now);
            source->compare(now, 0, all);
            const auto call = next_call(*source, now, now + 60 * kSecond);
            REQUIRE(call);
            if (!call->discovery) CHECK(places[call->name] < std::max(2, places[name]));
            CHECK(call->name != name);
        }
        CHECK(source->is_cycle({"n0", name}));
        CHECK(!source->is_cycle({"someone", "another"}));
        CHECK(source->is_cycle(std::vector<std::string>(16, "someone")));
    }
}

}  // namespace
