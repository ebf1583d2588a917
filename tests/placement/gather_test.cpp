// Tests of the gatherer: fragments, refusals, splits and merges of shards under open multigets, merge rules,
// and the fates reported for missing splits.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <set>

#include "placement/gatherer.hpp"

namespace {

using namespace pinedoor::placement;
namespace g = pinedoor::placement::gathering;
constexpr Key kLast = std::numeric_limits<Key>::max();

TEST_CASE("values are merged by their rule or rejected") {
    using enum MergeRule;
    CHECK(merge_values(kSum, {"3", "-1", "40"}) == "42");
    CHECK(!merge_values(kSum, {"3", "x"}));
    CHECK(!merge_values(kSum, {"3", "1.5"}));
    CHECK(!merge_values(kSum, {"9223372036854775807", "1"}));
    CHECK(merge_values(kSum, {"what one box says"}) == "what one box says");
    CHECK(merge_values(kRanked, {"9 a\n5 b\n1 c", "7 d\n5 e"}) == "9 a\n7 d\n5 b");
    CHECK(merge_values(kRanked, {"", "7 d"}) == "7 d");
    CHECK(!merge_values(kRanked, {"5 b\n9 a", "1 c"}));  // not in descending order
    CHECK(!merge_values(kRanked, {"5", "1 c"}));
    CHECK(merge_values(kConcatenated, {"a", "", "b"}) == "ab");
    CHECK(!merge_values(kWhole, {"a", "b"}));
    CHECK(merge_values(kWhole, {"a"}) == "a");
    CHECK(!merge_values(kSum, {}));
    for (const auto rule : {kWhole, kSum, kRanked, kConcatenated})
        CHECK(merge_rule_named(name_of(rule)) == rule);
    CHECK(!merge_rule_named("guess"));
}

GathererConfig terms() {
    GathererConfig made;
    made.op_types = {{MergeRule::kSum, true, 0.5, 1, 1'000}, {MergeRule::kSum, false, 1, 1, 1'000}};
    made.splits = 4;
    return made;
}

std::shared_ptr<const ShardMap> share(ShardMap map) {
    return std::make_shared<const ShardMap>(std::move(map));
}
ShardMap after(const ShardMap& map, const Step& step) {
    auto made = map.after(step);
    if (auto* refused = std::get_if<ShardMap::Refused>(&made)) FAIL(refused->why);
    return std::get<ShardMap>(made);
}

struct Trace {
    std::vector<g::SendRound> legs;
    std::vector<g::End> ends;
    std::vector<g::AbandonRound> left;
    int wants_map = 0;
    Time wake = -1;

    Trace& operator()(const Gatherer::Actions& actions) {
        for (const auto& action : actions) {
            if (const auto* leg = std::get_if<g::SendRound>(&action)) legs.push_back(*leg);
            if (const auto* end = std::get_if<g::End>(&action)) ends.push_back(*end);
            if (const auto* leave = std::get_if<g::AbandonRound>(&action)) left.push_back(*leave);
            if (const auto* wake_at = std::get_if<g::Wake>(&action)) wake = wake_at->at;
            wants_map += std::holds_alternative<g::RequestMap>(action) ? 1 : 0;
        }
        return *this;
    }
};

RoundResult answered(const g::SendRound& leg, const std::map<Route, std::string>& values) {
    RoundResult end;
    end.kind = RoundResult::Kind::kAnswered;
    for (const auto& piece : leg.pieces) {
        const auto value = values.find(piece.route);
        end.fates.emplace_back(piece.route,
                               value == values.end() ? FragmentFate::kNeverSent : FragmentFate::kRan);
        if (value != values.end()) end.values.emplace_back(piece.route, value->second);
    }
    return end;
}

const GatherRequest kTwoSplits{0, 2'000, {{0, 0.25, 0, 0}, {1, 0.75, 0, 0}}};

TEST_CASE("a split that lies in two shards is requested from both, with divided weight and summed value") {
    Gatherer gatherer(terms());
    auto map = ShardMap::even(2, {1, 2}, 2);  // two count splits per shard
    map = after(map, Split{1, Gatherer::keys_of(1, 4).first + (kLast / 4) / 2, 11, 12});
    Trace trace;
    trace(gatherer.map_is(0, share(map)))(gatherer.ask(0, 7, kTwoSplits));
    REQUIRE(trace.legs.size() == 1);
    const auto& pieces = trace.legs[0].pieces;
    REQUIRE(pieces.size() == 3);
    CHECK(pieces[0].shard == 11);
    CHECK(pieces[1].shard == 11);
    CHECK(pieces[2].shard == 12);
    CHECK(pieces[1].last + 1 == pieces[2].first);
    CHECK(pieces[1].weight == doctest::Approx(0.375));
    CHECK(pieces[1].weight + pieces[2].weight == doctest::Approx(0.75));
    CHECK(pieces[0].boxes.size() == 2);
    std::map<Route, std::string> values{
        {pieces[0].route, "1"}, {pieces[1].route, "20"}, {pieces[2].route, "300"}};
    SUBCASE("all fragments answered") {
        trace(gatherer.on_round_ended(5, 7, 0, answered(trace.legs[0], values)));
        REQUIRE(trace.ends.size() == 1);
        CHECK(trace.ends[0].whole);
        CHECK(trace.ends[0].values == std::vector<std::pair<int, std::string>>{{0, "1"}, {1, "320"}});
    }
    SUBCASE("a partly answered split has no value") {
        values.erase(pieces[2].route);
        trace(gatherer.on_round_ended(5, 7, 0, answered(trace.legs[0], values)));
        REQUIRE(trace.ends.size() == 1);
        // Fragments of weight 0.25 + 0.375 are answered, but complete splits only of 0.25: below the least
        // share.
        CHECK(trace.ends[0].kind == RoundResult::Kind::kFailed);
        CHECK(trace.ends[0].values.empty());
        CHECK(trace.ends[0].fates[1].second == FragmentFate::kMayHaveRun);
    }
    SUBCASE("the least share is reached without the missing split") {
        values.erase(pieces[0].route);
        trace(gatherer.on_round_ended(5, 7, 0, answered(trace.legs[0], values)));
        CHECK(trace.ends[0].kind == RoundResult::Kind::kAnswered);
        CHECK(!trace.ends[0].whole);
        CHECK(trace.ends[0].values == std::vector<std::pair<int, std::string>>{{1, "320"}});
    }
    SUBCASE("values that do not merge fail the multiget without a repeat") {
        values[pieces[1].route] = "x";
        trace(gatherer.on_round_ended(5, 7, 0, answered(trace.legs[0], values)));
        CHECK(trace.ends[0].kind == RoundResult::Kind::kFailed);
        CHECK(gatherer.counted().unmerged == 1);
    }
    CHECK(gatherer.open() == 0);
    CHECK(gatherer.routes() == 0);
}

TEST_CASE(
    "a shard is split under a multiget: the refused fragment is cut for the children once the map is "
    "known") {
    Gatherer gatherer(terms());
    const auto map = ShardMap::even(4, {1, 2}, 2);
    Trace trace;
    trace(gatherer.map_is(0, share(map)))(gatherer.ask(0, 7, kTwoSplits));
    const auto leg = trace.legs[0];
    REQUIRE(leg.pieces.size() == 2);
    trace(gatherer.refused(10, leg.pieces[1].route, 2));
    CHECK(trace.wants_map == 1);
    CHECK(trace.legs.size() == 1);  // the location of its keys is not known yet
    const auto [first, last] = Gatherer::keys_of(1, 4);
    const auto split = after(map, Split{2, first + 1'000, 21, 22});
    SUBCASE("the children's fragments are sent") {
        trace(gatherer.map_is(20, share(split)));
        REQUIRE(trace.legs.size() == 2);
        const auto again = trace.legs[1];
        REQUIRE(again.pieces.size() == 2);
        CHECK(again.pieces[0].shard == 21);
        CHECK(again.pieces[1].last == last);
        CHECK(again.pieces[0].weight + again.pieces[1].weight == doctest::Approx(0.75));
        trace(gatherer.on_round_ended(30, 7, 0, answered(leg, {{leg.pieces[0].route, "1"}})));
        CHECK(trace.ends.empty());
        SUBCASE("both answered") {
            trace(gatherer.on_round_ended(
                40, 7, 1, answered(again, {{again.pieces[0].route, "5"}, {again.pieces[1].route, "6"}})));
            REQUIRE(trace.ends.size() == 1);
            CHECK(trace.ends[0].whole);
            CHECK(trace.ends[0].values == std::vector<std::pair<int, std::string>>{{0, "1"}, {1, "11"}});
        }
        SUBCASE("one child moves again, several map versions later") {
            auto later = after(after(split, PassOwnership{22, 1}), Split{22, first + 2'000, 31, 32});
            later = after(later, PassOwnership{21, 1});
            later = after(later, Merge{21, 31, 41});
            trace(gatherer.refused(35, again.pieces[1].route, 4))(gatherer.map_is(36, share(later)));
            REQUIRE(trace.legs.size() == 3);
            REQUIRE(trace.legs[2].pieces.size() == 2);
            CHECK(trace.legs[2].pieces[0].shard == 41);
            CHECK(trace.legs[2].pieces[0].first == again.pieces[1].first);
            trace(gatherer.on_round_ended(40, 7, 1, answered(again, {{again.pieces[0].route, "5"}})));
            CHECK(trace.ends.empty());
            trace(gatherer.on_round_ended(41, 7, 2,
                                          answered(trace.legs[2], {{trace.legs[2].pieces[0].route, "2"},
                                                                   {trace.legs[2].pieces[1].route, "4"}})));
            REQUIRE(trace.ends.size() == 1);
            CHECK(trace.ends[0].values.back().second == "11");
        }
        SUBCASE("the second round fails: the multiget ends at once") {
            RoundResult failed;
            trace(gatherer.on_round_ended(40, 7, 1, failed));
            REQUIRE(trace.ends.size() == 1);
            CHECK(trace.ends[0].kind == RoundResult::Kind::kFailed);
        }
    }
    SUBCASE("given up at the deadline if no map arrives") {
        trace(gatherer.on_round_ended(30, 7, 0, answered(leg, {{leg.pieces[0].route, "1"}})));
        CHECK(trace.ends.empty());
        CHECK(trace.wake == 1'800);  // 0.25 is below the least share, so it waits until the deadline
        trace(gatherer.tick(1'800));
        REQUIRE(trace.ends.size() == 1);
        CHECK(trace.ends[0].kind == RoundResult::Kind::kFailed);
        CHECK(trace.ends[0].fates[1].second == FragmentFate::kNeverSent);
    }
    CHECK(gatherer.open() == 0);
    CHECK(gatherer.routes() == 0);
}

TEST_CASE("non-repeatable parts go only to the owner, and are repeated only if they never ran") {
    Gatherer gatherer(terms());
    const auto map = ShardMap::even(4, {1, 2}, 2);
    Trace trace;
    trace(gatherer.map_is(0, share(map)))(gatherer.ask(0, 7, {1, 2'000, {{1, 1, 0, 0}}}));
    const auto leg = trace.legs[0];
    CHECK(leg.pieces[0].boxes == std::vector<ServerNumber>{2});
    const auto passed = after(map, PassOwnership{2, 1});
    CHECK(gatherer.eligible_servers(1, leg.pieces[0]) == std::vector<ServerNumber>{2});
    trace(gatherer.map_is(1, share(passed)));
    CHECK(gatherer.eligible_servers(1, leg.pieces[0]) ==
          std::vector<ServerNumber>{1});  // not sent yet: goes to the new owner
    REQUIRE(gatherer.sending(leg.pieces[0].route) != nullptr);
    CHECK(gatherer.sending(leg.pieces[0].route)->epoch == 2);
    SUBCASE("refused by a server with an older epoch: repeated after a delay") {
        trace(gatherer.refused(10, leg.pieces[0].route, 1));
        CHECK(trace.wake == 10);
        trace(gatherer.tick(10));
        CHECK(trace.legs.size() == 1);
        CHECK(trace.wake == 210);
        trace(gatherer.on_round_ended(12, 7, 0, answered(leg, {})));
        CHECK(trace.ends.empty());
        trace(gatherer.tick(210));
        REQUIRE(trace.legs.size() == 2);
        CHECK(trace.legs[1].pieces[0].boxes == std::vector<ServerNumber>{1});
        trace(gatherer.on_round_ended(220, 7, 1,
                                      answered(trace.legs[1], {{trace.legs[1].pieces[0].route, "8"}})));
        CHECK(trace.ends.at(0).whole);
    }
    SUBCASE("not answered: no second round, and the fate says that it may have run") {
        RoundResult failed;
        failed.fates = {{leg.pieces[0].route, FragmentFate::kMayHaveRun}};
        trace(gatherer.on_round_ended(12, 7, 0, failed));
        CHECK(trace.legs.size() == 1);
        CHECK(trace.ends.at(0).kind == RoundResult::Kind::kFailed);
        CHECK(trace.ends.at(0).fates[0].second == FragmentFate::kMayHaveRun);
    }
    SUBCASE("pushed back") {
        RoundResult pushed;
        pushed.kind = RoundResult::Kind::kPushedBack;
        pushed.wait = 50;
        trace(gatherer.on_round_ended(12, 7, 0, pushed));
        CHECK(trace.ends.at(0).kind == RoundResult::Kind::kPushedBack);
        CHECK(trace.ends.at(0).wait == 50);
    }
    SUBCASE("the client disconnects") {
        CHECK(gatherer.open_rounds(7) == std::vector<int>{0});
        const auto fates = gatherer.left(7, {{leg.pieces[0].route, FragmentFate::kRan}});
        CHECK(fates == std::vector<std::pair<int, FragmentFate>>{{1, FragmentFate::kRan}});
        CHECK(gatherer.refused(20, leg.pieces[0].route, 9).empty());
    }
    CHECK(gatherer.open() == 0);
    CHECK(gatherer.routes() == 0);
}

TEST_CASE("repeated fragments are limited per multiget and by a common budget") {
    auto made = terms();
    made.further_floor = 2;
    made.further_look_back = 10'000;
    made.max_rounds = 3;
    Gatherer gatherer(made);
    auto map = ShardMap::even(4, {1, 2}, 2);
    gatherer.map_is(0, share(map));
    Trace trace;
    trace(gatherer.ask(0, 1, {0, 2'000, {{0, 1, 0, 0}}}));
    for (std::size_t leg = 0; leg < 2; ++leg) {
        map = after(map, PassOwnership{1, leg == 0 ? ServerNumber{2} : ServerNumber{1}});
        gatherer.map_is(0, share(map));
        trace(gatherer.refused(0, trace.legs[leg].pieces[0].route, leg + 2))(gatherer.tick(0));
        REQUIRE(trace.legs.size() == leg + 2);
    }
    map = after(map, PassOwnership{1, 2});
    gatherer.map_is(0, share(map));
    trace(gatherer.refused(0, trace.legs[2].pieces[0].route, 4))(gatherer.tick(0));
    REQUIRE(trace.ends.size() == 1);  // the third round was the last, so the multiget ends at once
    CHECK(trace.left.size() == 3);
    // The budget is used up for all multigets until the look-back window has passed.
    trace(gatherer.ask(0, 2, {0, 2'000, {{0, 1, 0, 0}}}));
    map = after(map, PassOwnership{1, 1});
    gatherer.map_is(0, share(map));
    trace(gatherer.refused(0, trace.legs.back().pieces[0].route, 5))(gatherer.tick(0));
    CHECK(trace.ends.size() == 2);
    CHECK(gatherer.counted().given_up == 2);
    trace(gatherer.ask(20'000, 3, {0, 22'000, {{0, 1, 0, 0}}}));
    map = after(map, PassOwnership{1, 2});
    gatherer.map_is(20'000, share(map));
    trace(gatherer.refused(20'000, trace.legs.back().pieces[0].route, 6))(gatherer.tick(20'000));
    CHECK(trace.ends.size() == 2);
}

TEST_CASE("fragments refused at the same time are repeated in one round") {
    Gatherer gatherer(terms());
    auto map = ShardMap::even(4, {1, 2}, 2);
    gatherer.map_is(0, share(map));
    Trace trace;
    trace(gatherer.ask(0, 1, kTwoSplits));
    map = after(after(map, PassOwnership{1, 2}), PassOwnership{2, 1});
    gatherer.map_is(5, share(map));
    const auto leg = trace.legs[0];
    trace(gatherer.refused(9, leg.pieces[0].route, 2))(gatherer.refused(9, leg.pieces[1].route, 2));
    CHECK(trace.legs.size() == 1);
    CHECK(trace.wake == 9);
    trace(gatherer.tick(9));
    REQUIRE(trace.legs.size() == 2);
    CHECK(trace.legs[1].pieces.size() == 2);
}

TEST_CASE("a cold server gets the configured share of the reads, whatever the number of nodes") {
    auto made = terms();
    made.cold_from = 0.2;
    made.warm_after = 10'000;
    const auto before = ShardMap::even(4, {1, 2}, 2);
    const auto with = after(before, AddReader{1, 3});
    // Share of the reads of twenty nodes that may go to server 3.
    const auto share = [&](Time now, const ShardMap& map) {
        int all = 0, there = 0;
        for (int node = 0; node < 20; ++node) {
            Gatherer gatherer(made);
            gatherer.map_is(0, std::make_shared<const ShardMap>(before));
            gatherer.map_is(100, std::make_shared<const ShardMap>(with));
            if (map.version() > with.version()) gatherer.map_is(now, std::make_shared<const ShardMap>(map));
            for (Number n = 0; n < 200; ++n) {
                Trace trace;
                trace(gatherer.ask(now, n, {0, now + 2'000, {{0, 1, 0, 0}}}));
                const auto boxes = gatherer.eligible_servers(now, trace.legs[0].pieces[0]);
                CHECK(std::count(boxes.begin(), boxes.end(), 1U) == 1);
                there += std::count(boxes.begin(), boxes.end(), 3U) > 0 ? 1 : 0;
                ++all;
            }
        }
        return static_cast<double>(there) / all;
    };
    CHECK(share(100, with) == doctest::Approx(0.2).epsilon(0.1));
    CHECK(share(5'100, with) == doctest::Approx(0.6).epsilon(0.1));
    CHECK(share(10'100, with) == 1);
    // A split leaves the server as cold as it was.
    const auto split = after(with, Split{1, 1'000, 50, 51});
    CHECK(share(5'100, split) == doctest::Approx(0.6).epsilon(0.1));
    Gatherer owner(made);
    owner.map_is(0, std::make_shared<const ShardMap>(before));
    owner.map_is(100, std::make_shared<const ShardMap>(after(with, PassOwnership{1, 3})));
    CHECK(owner.cold() == 1);
    Trace trace;
    trace(owner.ask(100, 1, {1, 2'000, {{0, 1, 0, 0}}}));
    CHECK(owner.eligible_servers(100, trace.legs[0].pieces[0]) == std::vector<ServerNumber>{3});
    owner.map_is(200,
                 std::make_shared<const ShardMap>(after(after(with, AddReader{2, 4}), RemoveReader{1, 3})));
    CHECK(owner.cold() == 1);  // server 3 was removed and server 4 added
    made.cold_from = 1;
    CHECK(share(100, with) == 1);
}

TEST_CASE("without a map nothing is sent and multigets are pushed back") {
    Gatherer gatherer(terms());
    Trace trace;
    trace(gatherer.ask(0, 1, kTwoSplits));
    CHECK(trace.ends.at(0).kind == RoundResult::Kind::kPushedBack);
    CHECK(trace.ends.at(0).fates[0].second == FragmentFate::kNeverSent);
}

// Index servers use the newest map and the node an older one; each answer is compared with the complete data
// set. The value of a fragment is the number of points in its keys; each count split has 64 points.
std::string points_in(Key first, Key last) {
    const Key step = kLast / 256;
    const Key from = first / step + (first % step == 0 ? 0 : 1), upto = last / step;
    return std::to_string(upto >= from ? upto - from + 1 : 0);
}

TEST_CASE("under random splits, merges and moves, every value is that of the complete data set") {
    CHECK(rc::check("gatherer", [] {
        auto made = terms();
        made.max_rounds = 8;
        Gatherer gatherer(made);
        std::mt19937_64 chance(*rc::gen::arbitrary<std::uint64_t>());
        auto newest_map = ShardMap::even(3, {1, 2}, 2);
        auto node_map = newest_map;
        gatherer.map_is(0, share(node_map));
        ShardId next = 100;
        Time now = 0;
        Number number = 0;
        std::map<Number, std::map<int, g::SendRound>> open;
        std::map<std::pair<Number, int>, std::map<Route, std::string>> in;
        std::map<std::pair<Number, int>, std::set<Route>> pending_routes;
        std::size_t ended = 0, whole = 0;
        const auto handle = [&](const Gatherer::Actions& actions) {
            for (const auto& action : actions) {
                if (const auto* leg = std::get_if<g::SendRound>(&action)) {
                    open[leg->number][leg->leg] = *leg;
                    for (const auto& piece : leg->pieces)
                        pending_routes[{leg->number, leg->leg}].insert(piece.route);
                }
                if (const auto* leave = std::get_if<g::AbandonRound>(&action)) {
                    open[leave->number].erase(leave->leg);
                    pending_routes.erase({leave->number, leave->leg});
                }
                if (const auto* end = std::get_if<g::End>(&action)) {
                    ++ended;
                    open.erase(end->number);
                    RC_ASSERT(end->kind != RoundResult::Kind::kAnswered || !end->values.empty());
                    whole += end->whole ? 1 : 0;
                    for (const auto& [split, value] : end->values) {
                        const auto [first, last] = Gatherer::keys_of(split, 4);
                        RC_ASSERT(value == points_in(first, last));
                    }
                }
            }
        };
        for (int step = 0; step < 300; ++step) {
            now += 10;
            switch (chance() % 8) {
                case 0: {  // the fleet's map changes; the node has not received it yet
                    const auto all = newest_map.shards();
                    const auto at = chance() % all.size();
                    const auto& one = all[at];
                    Step change = PassOwnership{one.id, one.owner() == 1 ? ServerNumber{2} : ServerNumber{1}};
                    if (chance() % 3 == 0 && one.last - one.first > 100)
                        change =
                            Split{one.id, one.first + 1 + chance() % (one.last - one.first), next, next + 1};
                    else if (chance() % 2 == 0 && at + 1 < all.size())
                        change = Merge{one.id, all[at + 1].id, next};
                    next += 2;
                    if (auto made_map = newest_map.after(change); std::holds_alternative<ShardMap>(made_map))
                        newest_map = std::get<ShardMap>(made_map);
                    break;
                }
                case 1:  // the node receives the map
                    node_map = newest_map;
                    handle(gatherer.map_is(now, share(node_map)));
                    break;
                case 2: handle(gatherer.tick(now)); break;
                case 3: {
                    GatherRequest asked{static_cast<int>(chance() % 2), now + 2'000, {}};
                    for (int split = 0; split < 4; ++split) asked.splits.push_back({split, 0.25, 0, 0});
                    handle(gatherer.ask(now, ++number, asked));
                    break;
                }
                default: {  // an index server runs or refuses a fragment by the newest map
                    if (pending_routes.empty()) break;
                    auto at = pending_routes.begin();
                    std::advance(at, static_cast<std::ptrdiff_t>(chance() % pending_routes.size()));
                    const auto key = at->first;
                    if (at->second.empty()) {
                        const auto leg = open.at(key.first).at(key.second);
                        open.at(key.first).erase(key.second);
                        pending_routes.erase(at);
                        handle(gatherer.on_round_ended(now, key.first, key.second, answered(leg, in[key])));
                        break;
                    }
                    const auto route = *at->second.begin();
                    at->second.erase(at->second.begin());
                    const auto* piece = gatherer.piece(route);
                    RC_ASSERT(piece != nullptr);
                    const auto& shard = newest_map.at(piece->first);
                    const bool owned =
                        shard.id == piece->shard && shard.epoch == piece->epoch && shard.holds(piece->last);
                    if (owned) {
                        in[key][route] = points_in(piece->first, piece->last);
                    } else {
                        const auto* same = newest_map.find(piece->shard);
                        handle(
                            gatherer.refused(now, route, same == nullptr ? piece->epoch + 1 : same->epoch));
                    }
                }
            }
        }
        now += 100'000;
        handle(gatherer.map_is(now, share(newest_map)));
        for (auto& [n, legs] : std::map(open)) {
            for (auto& [leg, asked] : legs)
                handle(gatherer.on_round_ended(now, n, leg, answered(asked, in[{n, leg}])));
        }
        handle(gatherer.tick(now));
        for (auto& [n, legs] : std::map(open)) {
            for (auto& [leg, asked] : legs) handle(gatherer.on_round_ended(now, n, leg, RoundResult{}));
        }
        RC_ASSERT(ended == number);
        RC_ASSERT(gatherer.routes() == 0U);
        RC_CLASSIFY(whole * 2 > ended, "most were whole");
    }));
}

}  // namespace
