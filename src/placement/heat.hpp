// Load statistics in bounded memory, and proposals for which shards to split or merge. No I/O; times are in
// tenths of a millisecond.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "placement/mover.hpp"
#include "placement/shard_map.hpp"

namespace pinedoor::placement {

// The most frequent keys of a stream with a fixed number of counters: Space-Saving (Metwally, Agrawal, El
// Abbadi, 2005). A key's true count lies between count - error and count, and a key that is not held has a
// count of at most total / counters.
class HeavyKeys {
public:
    explicit HeavyKeys(std::size_t counters) : counters_(counters) {
        heap_.reserve(counters);
        positions_.reserve(counters);
    }

    struct Entry {
        Key key = 0;
        std::uint64_t count = 0, error = 0;
    };
    void add(Key key, std::uint64_t times = 1);
    std::vector<Entry> heaviest(std::size_t most) const;  // in descending order of count
    std::uint64_t total() const { return total_; }
    void halve();  // halves all counts, so that older keys weigh less
    std::size_t bytes() const;

private:
    void sift_down(std::size_t at);
    void sift_up(std::size_t at);
    void swap(std::size_t a, std::size_t b);

    const std::size_t counters_;
    std::uint64_t total_ = 0;
    std::vector<Entry> heap_;  // min-heap by count
    std::unordered_map<Key, std::size_t> positions_;
};

// Upper bounds of the count of any key: Count-Min (Cormode, Muthukrishnan, 2005) with conservative update.
// Used by tests and benchmarks for comparison with HeavyKeys.
class CountMin {
public:
    CountMin(std::size_t width, std::size_t depth) : width_(width), cells_(width * depth), depth_(depth) {}
    void add(Key key, std::uint64_t times = 1);
    std::uint64_t upper_bound_of(Key key) const;
    std::size_t bytes() const { return cells_.capacity() * sizeof(cells_[0]); }

private:
    std::size_t cell(Key key, std::size_t row) const;
    const std::size_t width_;
    std::vector<std::uint64_t> cells_;
    const std::size_t depth_;
};

struct LoadTrackerConfig {
    double split_above = 1'000;  // load of a shard, in parts per second
    double merge_below = 400;    // joint load of two adjacent shards; at most 0.6 of split_above
    Time look = 10'000;          // evaluation interval
    int looks = 5;               // consecutive evaluations over a threshold before a proposal is made
    Time rest = 600'000;         // no proposals for a shard for this long after it was created
    std::size_t sample = 64;     // sampled keys per shard
    double one_key = 0.5;        // share of a shard's load on one key from which a split does not help
};

// A proposed split or merge, or the report of a shard whose load is on one key.
struct Proposal {
    enum class Kind : std::uint8_t { kSplit, kMerge, kOneKey } kind = Kind::kSplit;
    ShardId shard = 0;  // kMerge: the lower shard
    ShardId other = 0;  // kMerge: the upper shard
    Key at = 0;         // kSplit: the first key of the upper child; kOneKey: the hot key
    double load = 0;    // parts per second
};
std::string print(const Proposal& proposal);

// Counts the parts of each shard and proposes splits and merges at each evaluation. To avoid oscillation at a
// threshold, a threshold must be crossed in several consecutive evaluations, new shards are exempt for a rest
// period, and the merge threshold lies well below the split threshold.
class LoadTracker {
public:
    LoadTracker(LoadTrackerConfig terms, std::uint64_t seed);  // throws std::invalid_argument

    void asked(const ShardMap& map, Key key, Time now) { asked(map.at(key), key, now); }
    void asked(const Shard& shard, Key key, Time now);
    // Evaluates the load under the current map once per interval; returns nothing in between.
    std::vector<Proposal> look(const ShardMap& map, Time now);

    double load(ShardId shard) const;  // parts per second, at the last evaluation
    std::vector<std::pair<ShardId, double>> hottest(std::size_t most) const;
    std::vector<HeavyKeys::Entry> heavy_keys(std::size_t most) const { return keys_.heaviest(most); }
    std::size_t shards() const { return shards_.size(); }

private:
    struct ShardLoad {
        std::uint64_t seen = 0;     // parts since the last evaluation
        double load = 0;            // parts per second, smoothed
        int above = 0;              // consecutive evaluations above split_above
        int below = 0;              // consecutive evaluations below merge_below, with the next shard
        Time since = 0;             // when the shard was first seen
        std::vector<Key> sample;    // uniform sample of recently requested keys
        std::uint64_t sampled = 0;  // number of keys that the sample stands for; reset while the load is low
    };
    Proposal propose_split(const Shard& shard, const ShardLoad& heat) const;

    const LoadTrackerConfig config_;
    std::mt19937 random_;
    HeavyKeys keys_;
    std::unordered_map<ShardId, ShardLoad> shards_;
    Time next_look_ = 0;
    Time last_look_ = 0;
    bool looked_ = false;
};

}  // namespace pinedoor::placement
