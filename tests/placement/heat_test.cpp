// Tests of the load statistics: the sketches compared with exact counts, and no oscillating proposals under a
// load near the thresholds.
#include "placement/heat.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <random>

namespace {

using namespace pinedoor::placement;
constexpr Time kSecond = 10'000;

TEST_CASE("the most frequent keys are held, and their counts lie within the error bounds") {
    CHECK(rc::check("heavy keys", [] {
        const auto counters = *rc::gen::inRange<std::size_t>(4, 64);
        HeavyKeys sketch(counters);
        CountMin count_min(256, 4);
        std::map<Key, std::uint64_t> exact;
        std::mt19937_64 chance(*rc::gen::arbitrary<std::uint64_t>());
        const double skew = *rc::gen::element(0.5, 1.0, 2.0);
        const int length = *rc::gen::inRange(1, 4'000);
        for (int i = 0; i < length; ++i) {
            const auto rank = std::pow(std::uniform_real_distribution<double>(0, 1)(chance), 1 + skew);
            const auto key = static_cast<Key>(rank * 500);
            sketch.add(key);
            count_min.add(key);
            ++exact[key];
        }
        const auto entries = sketch.heaviest(counters);
        std::map<Key, HeavyKeys::Entry> held;
        for (const auto& each : entries) held[each.key] = each;
        for (const auto& [key, entry] : held) {
            RC_ASSERT(entry.count >= exact[key]);
            RC_ASSERT(entry.count - entry.error <= exact[key]);
        }
        for (const auto& [key, count] : exact) {
            RC_ASSERT(count_min.upper_bound_of(key) >= count);
            if (count * counters > static_cast<std::uint64_t>(length)) RC_ASSERT(held.contains(key));
        }
        for (std::size_t i = 1; i < entries.size(); ++i) RC_ASSERT(entries[i - 1].count >= entries[i].count);
    }));
}

// A map and a LoadTracker under a simulated load.
struct LoadSimulation {
    explicit LoadSimulation(double scale = 1) : terms(scaled(scale)) {}
    static LoadTrackerConfig scaled(double scale) {
        LoadTrackerConfig made;
        made.split_above *= scale;
        made.merge_below *= scale;
        return made;
    }

    ShardMap map = ShardMap::even(4, {1, 2}, 2);
    LoadTrackerConfig terms;
    LoadTracker book{terms, 1};
    Time now = 0;
    std::mt19937_64 chance{5};

    // Simulates a second of load, in parts per shard, spread over the lowest tenth of each shard's keys.
    std::vector<Proposal> second(const std::map<ShardId, double>& load) {
        for (const auto& [id, parts] : load) {
            const auto* shard = map.find(id);
            if (shard == nullptr) continue;
            const Key width = (shard->last - shard->first) / 10;
            for (int i = 0; i < static_cast<int>(parts); ++i)
                book.asked(*shard, shard->first + chance() % width, now + i);
        }
        now += kSecond;
        return book.look(map, now);
    }
};

TEST_CASE("a hot shard is split at the median of its load, after its rest period") {
    LoadSimulation simulation;
    simulation.book.look(simulation.map, 0);
    int proposed = 0;
    for (int second = 0; second < 300; ++second) {
        for (const auto& each : simulation.second({{2, 1'500}, {1, 300}, {3, 300}, {4, 300}})) {
            ++proposed;
            CHECK(each.kind == Proposal::Kind::kSplit);
            CHECK(each.shard == 2);
            CHECK(second >= 59);  // no proposals during the rest period
            const auto& shard = *simulation.map.find(2);
            const double into =
                static_cast<double>(each.at - shard.first) / static_cast<double>(shard.last - shard.first);
            CHECK(into > 0.02);  // about the middle of the lowest tenth
            CHECK(into < 0.08);
        }
    }
    CHECK(proposed > 0);
    CHECK(simulation.book.load(2) == doctest::Approx(1'500).epsilon(0.01));
    CHECK(simulation.book.hottest(1).front().first == 2);
}

TEST_CASE("a shard with one hot key is reported and not split") {
    LoadSimulation simulation;
    simulation.book.look(simulation.map, 0);
    bool reported = false;
    for (int second = 0; second < 100; ++second) {
        for (int i = 0; i < 1'500; ++i)
            simulation.book.asked(*simulation.map.find(2), simulation.map.find(2)->first + 77, 0);
        for (const auto& each : simulation.second({{1, 300}, {3, 300}, {4, 300}})) {
            CHECK(each.kind == Proposal::Kind::kOneKey);
            CHECK(each.at == simulation.map.find(2)->first + 77);
            reported = true;
        }
    }
    CHECK(reported);
    CHECK(simulation.book.heavy_keys(1).front().key == simulation.map.find(2)->first + 77);
}

TEST_CASE("two adjacent cold shards on the same servers are merged") {
    LoadSimulation simulation;
    const std::vector<Replica> same{{1, Role::kOwner}, {2, Role::kReader}};
    auto shards = simulation.map.shards();
    for (auto& each : shards) each.replicas = same;
    shards[3].replicas = {{2, Role::kOwner}, {1, Role::kReader}};
    simulation.map = ShardMap::of(shards);
    simulation.book.look(simulation.map, 0);
    std::vector<Proposal> all;
    for (int second = 0; second < 70; ++second) {
        for (const auto& each : simulation.second({{1, 600}, {2, 150}, {3, 150}, {4, 50}}))
            all.push_back(each);
    }
    REQUIRE(!all.empty());
    for (const auto& each : all) {
        CHECK(each.kind == Proposal::Kind::kMerge);
        CHECK(each.shard == 2);
        CHECK(each.other == 3);
    }
}

TEST_CASE("a load near the thresholds does not cause alternating splits and merges") {
    CHECK(rc::check("hovering", [] {
        LoadSimulation simulation(0.1);
        auto shards = simulation.map.shards();
        for (auto& each : shards) each.replicas = {{1, Role::kOwner}, {2, Role::kReader}};
        simulation.map = ShardMap::of(shards);
        std::mt19937 chance(*rc::gen::arbitrary<std::uint32_t>());
        const double about = *rc::gen::element(40.0, 50.0, 100.0);
        const double by = *rc::gen::element(0.05, 0.2, 0.3);
        simulation.book.look(simulation.map, 0);
        std::vector<Proposal::Kind> changes;
        ShardId next = 100;
        for (int second = 0; second < 300; ++second) {
            // The first quarter of the keys has the load, in whatever shards it lies.
            std::map<ShardId, double> load;
            std::vector<const Shard*> hot;
            const auto all = simulation.map.shards();
            for (const auto& each : all) {
                if (each.first < (Key{1} << 62U) - 2) hot.push_back(&each);
                load[each.id] = 45;
            }
            const double swing = std::uniform_real_distribution<double>(1 - by, 1 + by)(chance);
            for (const auto* each : hot) load[each->id] = about * swing / static_cast<double>(hot.size());
            for (const auto& each : simulation.second(load)) {
                if (each.kind == Proposal::Kind::kOneKey) continue;
                const Step step = each.kind == Proposal::Kind::kSplit
                                      ? Step(Split{each.shard, each.at, next, next + 1})
                                      : Step(Merge{each.shard, each.other, next});
                next += 2;
                auto made = simulation.map.after(step);
                if (std::holds_alternative<ShardMap>(made)) {
                    simulation.map = std::get<ShardMap>(made);
                    changes.push_back(each.kind);
                }
            }
        }
        // Either splits or merges may be right, but never both.
        const bool split = std::count(changes.begin(), changes.end(), Proposal::Kind::kSplit) > 0;
        const bool merged = std::count(changes.begin(), changes.end(), Proposal::Kind::kMerge) > 0;
        RC_ASSERT(!(split && merged));
    }));
}

TEST_CASE("thresholds that are too close to each other are refused") {
    LoadTrackerConfig terms;
    terms.merge_below = 0.7 * terms.split_above;
    CHECK_THROWS(LoadTracker(terms, 1));
}

}  // namespace
