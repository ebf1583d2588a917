// The shard map against plain ways, as ratios within one run; prints the table of docs/placement.md.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <limits>
#include <map>
#include <random>
#include <vector>

#include "placement/shard_map.hpp"

namespace {

using namespace pinedoor::placement;
using Clock = std::chrono::steady_clock;

template <class Work>
double median_ns(int times, Work work) {  // of five runs
    std::vector<double> seen;
    for (int run = 0; run < 5; ++run) {
        const auto began = Clock::now();
        work();
        seen.push_back(std::chrono::duration<double>(Clock::now() - began).count() / times * 1e9);
    }
    std::sort(seen.begin(), seen.end());
    return seen[2];
}

}  // namespace

int main() {
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
