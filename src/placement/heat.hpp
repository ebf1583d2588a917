// Where load is, in bounded memory, and what it asks for: which shards should be split or merged. Deciders
// without I/O; times are whole tenths of a millisecond.
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

// The heaviest keys of a stream with a fixed number of counters: Space-Saving (Metwally, Agrawal, El Abbadi,
// 2005). A key's true count lies between count - error and count, and no key that is not held counted more
// than total / counters.
class HeavyKeys {
public:
    explicit HeavyKeys(std::size_t counters) : most_(counters) {
        heap_.reserve(counters);
        at_.reserve(counters);
    }

    struct Entry {
        Key key = 0;
        std::uint64_t count = 0, error = 0;
    };
    void add(Key key, std::uint64_t times = 1);
    std::vector<Entry> heaviest(std::size_t most) const;  // the heaviest first
    std::uint64_t total() const { return total_; }
    void halve();  // all counts: what is old counts less
    std::size_t bytes() const;

private:
    void sink(std::size_t at);
    void rise(std::size_t at);
    void swap(std::size_t a, std::size_t b);

    const std::size_t most_;
    std::uint64_t total_ = 0;
    std::vector<Entry> heap_;  // the lightest first
    std::unordered_map<Key, std::size_t> at_;
};

// Counts of any key, never too low: Count-Min (Cormode, Muthukrishnan, 2005), with conservative update. What
// HeavyKeys was measured against.
class CountMin {
public:
    CountMin(std::size_t width, std::size_t depth) : width_(width), cells_(width * depth), depth_(depth) {}
    void add(Key key, std::uint64_t times = 1);
    std::uint64_t at_most(Key key) const;
    std::size_t bytes() const { return cells_.capacity() * sizeof(cells_[0]); }

private:
    std::size_t cell(Key key, std::size_t row) const;
    const std::size_t width_;
    std::vector<std::uint64_t> cells_;
    const std::size_t depth_;
};

struct HeatTerms {
    double split_above = 1'000;  // parts a second of one shard
    double merge_below = 400;    // of two that lie side by side; at most 0.6 of split_above
    Time look = 10'000;          // between two looks
    int looks = 5;               // in a row that a need must stand before it is told
    Time rest = 600'000;         // after a shard was made, nothing is proposed for it
    std::size_t sample = 64;     // keys kept of each shard
    double one_key = 0.5;        // of a shard's load on one key: a split does not help
};

struct Proposal {
    enum class Kind : std::uint8_t { kSplit, kMerge, kOneKey } kind = Kind::kSplit;
    ShardId shard = 0;  // the lower one of a merge
    ShardId other = 0;  // kMerge: the upper one
    Key at = 0;         // kSplit: the first key of the upper part; kOneKey: that key
    double load = 0;    // parts a second
};
std::string print(const Proposal& proposal);

// Counts what is asked of each shard and says, look by look, what should be split or merged. A load that
// hovers at a mark causes nothing: a need must stand for several looks in a row, a shard rests after it was
// made, and two that would be merged carry well less than what is split.
class HeatBook {
public:
    HeatBook(HeatTerms terms, std::uint64_t seed);  // throws std::invalid_argument

    void asked(const ShardMap& map, Key key, Time now) { asked(map.at(key), key, now); }
    void asked(const Shard& shard, Key key, Time now);
    // At each look, under the present map; between looks it returns nothing.
    std::vector<Proposal> look(const ShardMap& map, Time now);

    double load(ShardId shard) const;  // parts a second, at the last look
    std::vector<std::pair<ShardId, double>> hottest(std::size_t most) const;
    std::vector<HeavyKeys::Entry> heavy_keys(std::size_t most) const { return keys_.heaviest(most); }
    std::size_t shards() const { return shards_.size(); }

private:
    struct Heat {
        std::uint64_t seen = 0;  // since the last look
        double load = 0;
        int above = 0;            // looks in a row
        int below = 0;            // likewise, with the shard behind it
        Time since = 0;           // it was first met
        std::vector<Key> sample;  // of what was asked since the load last rested, each as likely
        std::uint64_t sampled = 0;
    };
    Proposal split_of(const Shard& shard, const Heat& heat) const;

    const HeatTerms terms_;
    std::mt19937 chance_;
    HeavyKeys keys_;
    std::unordered_map<ShardId, Heat> shards_;
    Time next_look_ = 0;
    Time last_look_ = 0;
    bool looked_ = false;
};

}  // namespace pinedoor::placement
