// Benchmarks of placement: the shard map compared with standard containers, the planner with an exact solver,
// the load sketches with exact counts. Prints the tables of docs/placement.md.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "placement/exact.hpp"
#include "placement/gatherer.hpp"
#include "placement/heat.hpp"
#include "placement/planner.hpp"
#include "placement/shard_map.hpp"
#include "stand_ins/fleets.hpp"

namespace {

using namespace pinedoor::placement;
using Clock = std::chrono::steady_clock;

template <class Work>
double median_ns(int times, Work work) {  // nanoseconds per iteration, median of five runs
    std::vector<double> seen;
    for (int run = 0; run < 5; ++run) {
        const auto began = Clock::now();
        work();
        seen.push_back(std::chrono::duration<double>(Clock::now() - began).count() / times * 1e9);
    }
    std::sort(seen.begin(), seen.end());
    return seen[2];
}

void maps() {
    std::printf(
        "Looking a random key up, ns; the next version after one step, us and bytes of its own (median of "
        "5)\n");
    std::printf("  %9s %8s %10s %10s | %10s %12s %12s | %12s %12s\n", "shards", "map", "std::map", "vector",
                "step, us", "vector, us", "std::map, us", "own bytes", "all bytes");
    for (const std::size_t count : {10U, 100U, 1'000U, 10'000U, 100'000U, 1'000'000U}) {
        const auto map = ShardMap::even(count, {1, 2, 3, 4, 5}, 3);
        const auto sorted = map.shards();
        std::map<Key, Shard> tree;
        for (const auto& each : sorted) tree.emplace(each.first, each);
        std::mt19937_64 chance(7);
        constexpr int kTimes = 200'000;
        std::vector<Key> keys(kTimes);
        for (auto& key : keys) key = chance();
        std::uint64_t sum = 0;
        const double of_map = median_ns(kTimes, [&] {
            for (const auto key : keys) sum += map.at(key).epoch;
        });
        const double of_tree = median_ns(kTimes, [&] {
            for (const auto key : keys) sum += std::prev(tree.upper_bound(key))->second.epoch;
        });
        const double of_vector = median_ns(kTimes, [&] {
            for (const auto key : keys)
                sum +=
                    std::prev(std::upper_bound(sorted.begin(), sorted.end(), key, [](Key k, const Shard& s) {
                        return k < s.first;
                    }))->epoch;
        });
        const auto& one = map.at(keys[0]);
        const Step step = PassOwnership{one.id, one.replicas.back().box};
        std::size_t own = 0;
        const double stepping = median_ns(1, [&] {
            const auto next = std::get<ShardMap>(map.after(step));
            own = next.own_bytes();
        });
        const double copying = median_ns(1, [&] {
            auto next = sorted;
            next[0].epoch += 1;
            sum += next.back().epoch;
        });
        const double tree_copying = count > 100'000 ? 0 : median_ns(1, [&] {
            auto next = tree;
            next.begin()->second.epoch += 1;
            sum += next.size();
        });
        std::printf("  %9zu %8.1f %10.1f %10.1f | %10.1f %12.1f %12.1f | %12zu %12zu%s\n", count, of_map,
                    of_tree, of_vector, stepping / 1e3, copying / 1e3, tree_copying / 1e3, own, map.bytes(),
                    sum == 0 ? "!" : "");
        std::fflush(stdout);
    }
}

void plans() {
    std::printf("\nplans: one box in twenty is to be emptied\n  %6s %9s %9s | %8s %8s %8s %8s %7s %7s\n",
                "boxes", "replicas", "seconds", "fullest", "after", "mean", "copies", "waves", "unmet");
    for (const auto& [boxes, shards] :
         {std::pair<std::size_t, std::size_t>{20, 270}, {100, 1'340}, {500, 6'670}}) {
        auto fleet = pinedoor::test::random_fleet(1, {boxes, shards, 3, 5, 1, 1.3, true});
        fleet.terms.at_once = boxes;
        const auto began = Clock::now();
        const auto made = plan(fleet);
        const double seconds = std::chrono::duration<double>(Clock::now() - began).count();
        const auto fault = check_plan(fleet, made);
        double mean = 0, live = 0;
        const auto each = loads(fleet, made.target);
        for (std::size_t b = 0; b < boxes; ++b) {
            mean += each[b];
            live += fleet.boxes[b].draining ? 0 : 1;
        }
        std::printf("  %6zu %9zu %9.2f | %8.3f %8.3f %8.3f %8zu %7zu %7zu%s\n", boxes, shards * 3, seconds,
                    made.fullest_before, made.fullest_after, mean / live, made.copies, made.waves.size(),
                    made.unmet.size(), fault.c_str());
        std::fflush(stdout);
    }
    std::printf("\nagainst the best (GLPK, 20 s at most each)\n  %6s %9s %8s %8s %8s %9s %9s\n", "boxes",
                "replicas", "ours", "best", "ratio", "ours, ms", "GLPK, s");
    for (const auto& [boxes, shards] : {std::pair<std::size_t, std::size_t>{4, 8}, {5, 10}, {6, 12}}) {
        for (const unsigned seed : {1U, 2U, 3U}) {
            const auto fleet = pinedoor::test::random_fleet(seed, {boxes, shards, 2, 2, 1, 1.3, false});
            auto began = Clock::now();
            const auto made = plan(fleet);
            const double ours = std::chrono::duration<double>(Clock::now() - began).count();
            began = Clock::now();
            std::string why;
            const auto best = exact_target(fleet, 20, why);
            const double exact = std::chrono::duration<double>(Clock::now() - began).count();
            if (!best) {
                std::printf("  %6zu %9zu %8.4f  none: %s\n", boxes, shards * 2, made.fullest_after,
                            why.c_str());
                continue;
            }
            std::printf("  %6zu %9zu %8.4f %8.4f %8.3f %9.2f %9.2f%s\n", boxes, shards * 2,
                        made.fullest_after, best->fullest, made.fullest_after / best->fullest, ours * 1e3,
                        exact, best->proven ? "" : " not proven");
            std::fflush(stdout);
        }
    }
}

void sketches() {
    std::printf(
        "\nheavy keys of 2,000,000 parts over 1,000,000 keys (Zipf, 1.1): the 100 heaviest\n"
        "  %-28s %12s %10s %14s %8s\n",
        "", "bytes", "ns a part", "mean error, %%", "found");
    constexpr std::size_t kKeys = 1'000'000, kParts = 2'000'000;
    std::vector<double> cumulative(kKeys);
    double sum = 0;
    for (std::size_t k = 0; k < kKeys; ++k)
        cumulative[k] = sum += 1 / std::pow(static_cast<double>(k + 1), 1.1);
    std::mt19937_64 chance(5);
    std::vector<Key> stream(kParts);
    for (auto& key : stream) {
        const double at = std::uniform_real_distribution<double>(0, sum)(chance);
        key = static_cast<Key>(std::lower_bound(cumulative.begin(), cumulative.end(), at) -
                               cumulative.begin()) *
              0x9e3779b97f4a7c15U;
    }
    const auto ns_per_part = [](Clock::time_point began) {
        return std::chrono::duration<double>(Clock::now() - began).count() / kParts * 1e9;
    };
    auto began = Clock::now();
    std::unordered_map<Key, std::uint64_t> exact;
    for (const auto key : stream) ++exact[key];
    const double exact_ns = ns_per_part(began);
    std::vector<std::pair<std::uint64_t, Key>> heaviest;
    for (const auto& [key, count] : exact) heaviest.emplace_back(count, key);
    std::sort(heaviest.rbegin(), heaviest.rend());
    heaviest.resize(100);
    std::printf("  %-28s %12zu %10.1f %14.2f %8d\n", "exact counts",
                exact.size() * 32 + exact.bucket_count() * 8, exact_ns, 0.0, 100);
    for (const std::size_t counters : {256U, 1'024U, 4'096U}) {
        HeavyKeys sketch(counters);
        began = Clock::now();
        for (const auto key : stream) sketch.add(key);
        const double ns = ns_per_part(began);
        std::unordered_map<Key, std::uint64_t> counts;
        for (const auto& each : sketch.heaviest(100)) counts[each.key] = each.count;
        double error = 0;
        int found = 0;
        for (const auto& [count, key] : heaviest) {
            if (!counts.contains(key)) continue;
            ++found;
            error += static_cast<double>(counts[key] - count) / static_cast<double>(count) * 100;
        }
        std::printf("  Space-Saving, %-14zu %12zu %10.1f %14.2f %8d\n", counters, sketch.bytes(), ns,
                    found > 0 ? error / found : 0, found);
    }
    for (const std::size_t width : {1'024U, 16'384U}) {
        CountMin sketch(width, 4);
        began = Clock::now();
        for (const auto key : stream) sketch.add(key);
        const double ns = ns_per_part(began);
        double error = 0;
        for (const auto& [count, key] : heaviest)
            error +=
                static_cast<double>(sketch.upper_bound_of(key) - count) / static_cast<double>(count) * 100;
        std::printf("  Count-Min, 4 x %-13zu %12zu %10.1f %14.2f %8s\n", width, sketch.bytes(), ns,
                    error / 100, "-");
    }
}

void epoch_check() {
    const auto map = std::make_shared<const ShardMap>(ShardMap::even(10'000, {1, 2, 3, 4, 5}, 3));
    GathererConfig terms;
    terms.op_types = {{MergeRule::kSum, true, 0.5, 1, 1'000}};
    terms.splits = 5'000;
    Gatherer gatherer(terms);
    gatherer.map_is(0, map);
    std::vector<Route> routes;
    for (Number n = 0; n < 500; ++n) {
        for (auto& action : gatherer.ask(0, n, {0, 1'000, {{static_cast<int>(n) * 7, 1, 0, 0}}})) {
            if (const auto* leg = std::get_if<gathering::SendRound>(&action)) {
                for (const auto& piece : leg->pieces) routes.push_back(piece.route);
            }
        }
    }
    constexpr int kTimes = 500'000;
    std::uint64_t sum = 0;
    const double sending = median_ns(kTimes, [&] {
        for (int i = 0; i < kTimes; ++i)
            sum += gatherer.sending(routes[static_cast<std::size_t>(i) % routes.size()])->epoch;
    });
    const double boxes = median_ns(kTimes, [&] {
        for (int i = 0; i < kTimes; ++i) {
            const auto* piece = gatherer.piece(routes[static_cast<std::size_t>(i) % routes.size()]);
            sum += gatherer.eligible_servers(0, *piece).size();
        }
    });
    std::printf("\nof a piece, %zu open, 10,000 shards: its epoch at sending %.0f ns, its boxes %.0f ns%s\n",
                routes.size(), sending, boxes, sum == 0 ? "!" : "");
}

}  // namespace

int main(int count, char** arguments) {
    const std::string only = count > 1 ? arguments[1] : "";
    if (only.empty() || only == "maps") maps();
    if (only.empty() || only == "plans") plans();
    if (only.empty() || only == "heat") sketches();
    if (only.empty() || only == "epoch") epoch_check();
}
