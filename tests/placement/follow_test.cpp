// Tests of the JSON form of the map and of the map follower under updates that are delayed, repeated, out of
// order, incomplete or invalid.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>

#include "placement/map_follower.hpp"
#include "placement/map_text.hpp"

namespace {

using namespace pinedoor::placement;
using Did = MapFollower::Did;
constexpr Key kLast = std::numeric_limits<Key>::max();

ShardMap require_map(std::variant<ShardMap, ShardMap::Refused> result) {
    REQUIRE(std::holds_alternative<ShardMap>(result));
    return std::get<ShardMap>(result);
}

// A sequence of map versions and the steps between them.
struct History {
    ServerNames names;
    std::vector<ShardMap> maps;
    std::vector<Step> steps;

    explicit History(int length, std::uint64_t seed = 1) {
        for (const char* name : {"s-1", "s-2", "s-3"}) names.number(name);
        maps.push_back(ShardMap::even(3, {1, 2, 3}, 2));
        ShardId next = 100;
        for (int i = 0; i < length; ++i) {
            seed = seed * 6364136223846793005U + 1442695040888963407U;
            const auto all = maps.back().shards();
            const auto& one = all[(seed >> 33U) % all.size()];
            Step step =
                PassOwnership{one.id, one.replicas.back().box == one.owner() ? one.replicas.front().box
                                                                             : one.replicas.back().box};
            if ((seed >> 20U) % 3 == 0 && one.last - one.first > 10)
                step = Split{one.id, one.first + (one.last - one.first) / 2, next, next + 1};
            next += 2;
            steps.push_back(step);
            maps.push_back(require_map(maps.back().after(step)));
        }
    }
    MapUpdate whole(Version version) const { return WholeMap{version, maps[version - 1].shards()}; }
    MapUpdate changes(Version after, Version upto) const {
        return MapChanges{upto,
                          after,
                          {steps.begin() + static_cast<std::ptrdiff_t>(after - 1),
                           steps.begin() + static_cast<std::ptrdiff_t>(upto - 1)}};
    }
};

TEST_CASE("maps and changes survive a round trip; invalid text is rejected with a message") {
    History history(40);
    ServerNames names;
    for (const char* name : {"s-1", "s-2", "s-3"}) names.number(name);
    const auto& last = history.maps.back();
    const auto news = read_map_update(print_map(last, history.names), names);
    REQUIRE(std::holds_alternative<WholeMap>(news));
    CHECK(ShardMap::of(std::get<WholeMap>(news).shards, std::get<WholeMap>(news).version) == last);
    const std::vector<Step> steps{Split{1, 1'000, 7, 8}, Merge{7, 8, 9}, AddReader{9, 3}, PassOwnership{9, 3},
                                  RemoveReader{9, 2}};
    const auto changes = read_map_update(print_changes(4, steps, names), names);
    REQUIRE(std::holds_alternative<MapChanges>(changes));
    CHECK(std::get<MapChanges>(changes).after == 4);
    CHECK(std::get<MapChanges>(changes).version == 9);
    REQUIRE(std::get<MapChanges>(changes).steps.size() == 5);
    for (std::size_t i = 0; i < 5; ++i)
        CHECK(print(std::get<MapChanges>(changes).steps[i]) == print(steps[i]));
    const auto why = [&names](const std::string& line) {
        const auto read = read_map_update(line, names);
        return std::holds_alternative<Unreadable>(read) ? std::get<Unreadable>(read).why : "read";
    };
    CHECK(why("{\"version\":1,\"shards\":[]}") == "read");
    CHECK(why("{\"version\":1.5,\"shards\":[]}") == "version is no whole number");
    CHECK(why("{\"shards\":[]}") == "version is missing");
    CHECK(why(R"({"version":1,"shards":[{"id":1,"first":"0","last":"fffffffffffffffff","epoch":1}]})") ==
          "last is no key");
    CHECK(why(R"({"version":2,"after":1,"steps":[{"step":"burn","shard":1}]})") == "step burn is unknown");
    CHECK(why("{") != "read");
    CHECK(print_key(kLast) == "ffffffffffffffff");
    CHECK(read_key("0") == Key{0});
    CHECK(!read_key("0x1"));
    ServerNames few(1);
    CHECK(few.number("a") == ServerNumber{1});
    CHECK(!few.number("b"));
}

TEST_CASE(
    "delayed, repeated, reordered updates: the current map is always one that was sent, and never goes "
    "back") {
    CHECK(rc::check("follower", [] {
        const int length = *rc::gen::inRange(1, 25);
        const History history(length, *rc::gen::arbitrary<std::uint64_t>());
        MapFollower follower({});
        Time now = 0;
        Version held = 0;
        const int updates = *rc::gen::inRange(1, 60);
        for (int i = 0; i < updates; ++i) {
            now += *rc::gen::inRange(0, 2'000);
            const auto version = static_cast<Version>(*rc::gen::inRange(1, length + 2));
            if (*rc::gen::inRange(0, 4) == 0 || version == 1) {
                follower.hear(now, history.whole(version));
            } else {
                const auto after = static_cast<Version>(*rc::gen::inRange<int>(1, static_cast<int>(version)));
                follower.hear(now, history.changes(after, version));
            }
            const auto& present = follower.present();
            if (!present) continue;
            RC_ASSERT(present->version() >= held);
            held = present->version();
            RC_ASSERT(*present == history.maps[held - 1]);
            RC_ASSERT(follower.aside() <= 64U);
        }
        RC_ASSERT(follower.counted().refused == 0U);
        // A request for the whole map closes any remaining gap.
        if (follower.aside() > 0 || !follower.present()) {
            RC_ASSERT(follower.wake() != MapFollower::kNever);
            RC_ASSERT(follower.should_request_map(std::max(now, follower.wake())));
        }
        follower.hear(now, history.whole(static_cast<Version>(length + 1)));
        RC_ASSERT(*follower.present() == history.maps.back());
        RC_ASSERT(follower.aside() == 0U);
    }));
}

TEST_CASE("an invalid map is refused with a message, the current one stays, and the whole map is requested") {
    const History history(5);
    MapFollower follower({});
    CHECK(follower.hear(0, history.whole(2)).did == Did::kTaken);
    CHECK(follower.wake() == MapFollower::kNever);
    const auto refuse = [&](std::vector<Shard> shards, Version version) {
        const auto heard = follower.hear(100, WholeMap{version, std::move(shards)});
        CHECK(heard.did == Did::kRefused);
        CHECK(*follower.present() == history.maps[1]);
        return heard.why;
    };
    auto hole = history.maps[3].shards();
    hole.erase(hole.begin() + 1);
    CHECK(refuse(hole, 9).find("map version 9: no shard holds the keys from") == 0);
    auto overlap = history.maps[3].shards();
    ++overlap[0].last;
    CHECK(refuse(overlap, 9).find("overlaps") != std::string::npos);
    auto owners = history.maps[3].shards();
    for (auto& each : owners[0].replicas) each.role = Role::kOwner;
    CHECK(refuse(owners, 9).find("has 2 owners") != std::string::npos);
    auto unlike = history.maps[1].shards();
    ++unlike[0].epoch;
    CHECK(refuse(unlike, 2) == "map version 2: is unlike the map of this version that is in use");
    auto falls = history.maps[1].shards();
    falls[0].epoch = 0;
    CHECK(refuse(falls, 9).find("falls from epoch") != std::string::npos);
    CHECK(follower.hear(100, MapChanges{3, 2, {RemoveReader{99, 1}}}).why ==
          "map changes to version 3: remove box 1 from shard 99: there is no shard 99");
    CHECK(follower.hear(100, MapChanges{5, 2, {AddReader{1, 3}}}).did == Did::kRefused);
    CHECK(follower.hear(100, Unreadable{"noise"}).did == Did::kRefused);
    // Requested at once, then with backoff until a valid update arrives.
    CHECK(follower.should_request_map(100));
    CHECK(!follower.should_request_map(1'099));
    CHECK(follower.should_request_map(1'100));
    CHECK(!follower.should_request_map(3'099));
    CHECK(follower.should_request_map(3'100));
    CHECK(follower.hear(3'200, history.whole(1)).did == Did::kOlder);
    CHECK(follower.hear(3'200, history.whole(6)).did == Did::kTaken);
    CHECK(follower.wake() == MapFollower::kNever);
    CHECK(follower.counted().refused == 8);
}

TEST_CASE("the whole map is requested if a gap stays open or an index server knows a newer epoch") {
    const History history(6);
    MapFollower follower({});
    follower.hear(0, history.whole(1));
    CHECK(follower.hear(10, history.changes(2, 3)).did == Did::kAside);
    CHECK(follower.hear(10, history.changes(3, 5)).did == Did::kAside);
    CHECK(!follower.should_request_map(500));
    CHECK(follower.hear(500, history.changes(1, 2)).did == Did::kTaken);
    CHECK(*follower.present() == history.maps[4]);
    CHECK(follower.wake() == MapFollower::kNever);
    CHECK(follower.hear(500, history.changes(2, 4)).did == Did::kRepeated);
    CHECK(follower.hear(600, history.changes(6, 7)).did == Did::kAside);
    CHECK(!follower.should_request_map(1'599));
    CHECK(follower.should_request_map(1'600));
    CHECK(follower.hear(1'700, history.whole(7)).did == Did::kTaken);
    const auto shard = follower.present()->at(0);
    follower.on_epoch_seen(1'800, shard.id, shard.epoch);
    CHECK(!follower.should_request_map(1'800));
    follower.on_epoch_seen(1'800, shard.id, shard.epoch + 1);
    CHECK(follower.should_request_map(1'800));
}

}  // namespace
