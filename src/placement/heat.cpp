#include "placement/heat.hpp"

#include <algorithm>
#include <cstdio>
#include <limits>
#include <set>
#include <stdexcept>
#include <utility>

namespace pinedoor::placement {
namespace {

constexpr std::size_t kHeavyKeys = 1024;
constexpr double kSecond = 10'000;     // in units of Time
constexpr double kLatestWeight = 0.5;  // weight of the latest interval in the smoothed load

std::uint64_t mix(std::uint64_t value) {  // splitmix64's finalizer (Steele, Lea, Flood, 2014)
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

}  // namespace

void HeavyKeys::swap(std::size_t a, std::size_t b) {
    std::swap(heap_[a], heap_[b]);
    positions_[heap_[a].key] = a;
    positions_[heap_[b].key] = b;
}

void HeavyKeys::sift_down(std::size_t at) {
    for (;;) {
        auto least = at;
        for (const auto child : {2 * at + 1, 2 * at + 2}) {
            if (child < heap_.size() && heap_[child].count < heap_[least].count) least = child;
        }
        if (least == at) return;
        swap(at, least);
        at = least;
    }
}

void HeavyKeys::sift_up(std::size_t at) {
    while (at > 0 && heap_[at].count < heap_[(at - 1) / 2].count) {
        swap(at, (at - 1) / 2);
        at = (at - 1) / 2;
    }
}

void HeavyKeys::add(Key key, std::uint64_t times) {
    total_ += times;
    if (const auto found = positions_.find(key); found != positions_.end()) {
        heap_[found->second].count += times;
        return sift_down(found->second);
    }
    if (heap_.size() < counters_) {
        heap_.push_back({key, times, 0});
        positions_[key] = heap_.size() - 1;
        return sift_up(heap_.size() - 1);
    }
    // Replaces the key with the lowest count. The new key may have occurred up to that many times before,
    // which is recorded as its error.
    auto& lightest = heap_.front();
    positions_.erase(lightest.key);
    lightest = {key, lightest.count + times, lightest.count};
    positions_[key] = 0;
    sift_down(0);
}

std::vector<HeavyKeys::Entry> HeavyKeys::heaviest(std::size_t most) const {
    auto all = heap_;
    std::sort(all.begin(), all.end(), [](const Entry& a, const Entry& b) {
        return a.count != b.count ? a.count > b.count : a.key < b.key;
    });
    all.resize(std::min(all.size(), most));
    return all;
}

void HeavyKeys::halve() {
    total_ -= total_ / 2;
    for (auto& each : heap_) {
        each.count -= each.count / 2;  // keeps the heap order
        each.error -= each.error / 2;
    }
}

std::size_t HeavyKeys::bytes() const {
    return heap_.capacity() * sizeof(Entry) + positions_.bucket_count() * sizeof(void*) +
           positions_.size() * (sizeof(std::pair<const Key, std::size_t>) + 2 * sizeof(void*));
}

std::size_t CountMin::cell(Key key, std::size_t row) const {
    return row * width_ + mix(key + 0x9e3779b97f4a7c15U * (row + 1)) % width_;
}

void CountMin::add(Key key, std::uint64_t times) {
    const auto now = upper_bound_of(key) + times;
    for (std::size_t row = 0; row < depth_; ++row) {
        auto& each = cells_[cell(key, row)];
        each = std::max(each, now);
    }
}

std::uint64_t CountMin::upper_bound_of(Key key) const {
    auto least = std::numeric_limits<std::uint64_t>::max();
    for (std::size_t row = 0; row < depth_; ++row) least = std::min(least, cells_[cell(key, row)]);
    return least;
}

std::string print(const Proposal& proposal) {
    char load[48];
    std::snprintf(load, sizeof load, ", %.0f parts a second", proposal.load);
    const auto shard = "shard " + std::to_string(proposal.shard);
    switch (proposal.kind) {
        case Proposal::Kind::kSplit: return "split " + shard + " at " + std::to_string(proposal.at) + load;
        case Proposal::Kind::kMerge:
            return "merge " + shard + " and " + std::to_string(proposal.other) + load;
        case Proposal::Kind::kOneKey:
            return shard + " is hot by the one key " + std::to_string(proposal.at) + load;
    }
    return {};
}

LoadTracker::LoadTracker(LoadTrackerConfig terms, std::uint64_t seed)
    : config_(terms), random_(static_cast<std::mt19937::result_type>(seed)), keys_(kHeavyKeys) {
    if (!(terms.split_above > 0) || terms.merge_below < 0 || terms.merge_below > 0.6 * terms.split_above)
        throw std::invalid_argument("merge_below must be at most 0.6 of split_above");
    if (terms.look <= 0 || terms.looks < 1 || terms.sample < 2)
        throw std::invalid_argument("look must be positive, looks at least 1 and sample at least 2");
}

void LoadTracker::asked(const Shard& shard, Key key, Time now) {
    keys_.add(key);
    auto [at, is_new] = shards_.try_emplace(shard.id);
    auto& heat = at->second;
    if (is_new) heat.since = now;
    ++heat.seen;
    // Reservoir sampling: every key has the same probability (Vitter's algorithm R, 1985).
    ++heat.sampled;
    if (heat.sample.size() < config_.sample) {
        heat.sample.push_back(key);
        return;
    }
    const auto place = std::uniform_int_distribution<std::uint64_t>(0, heat.sampled - 1)(random_);
    if (place < heat.sample.size()) heat.sample[place] = key;
}

// Splits at the median of the sampled keys, not of the range, so that each child receives half of the load.
Proposal LoadTracker::propose_split(const Shard& shard, const ShardLoad& heat) const {
    auto keys = heat.sample;
    std::sort(keys.begin(), keys.end());
    const Key middle = keys[keys.size() / 2];
    const auto same = std::count(keys.begin(), keys.end(), middle);
    if (static_cast<double>(same) >= config_.one_key * static_cast<double>(keys.size()))
        return {Proposal::Kind::kOneKey, shard.id, 0, middle, heat.load};
    // The first key of the upper child must be greater than the first key of the shard.
    Key at = middle;
    if (at <= shard.first) at = *std::upper_bound(keys.begin(), keys.end(), middle);
    return {Proposal::Kind::kSplit, shard.id, 0, at, heat.load};
}

std::vector<Proposal> LoadTracker::look(const ShardMap& map, Time now) {
    if (!looked_) {
        looked_ = true;
        last_look_ = now;
        next_look_ = now + config_.look;
        return {};
    }
    if (now < next_look_) return {};
    const double seconds = static_cast<double>(now - last_look_) / kSecond;
    last_look_ = now;
    next_look_ = now + config_.look;
    keys_.halve();
    const auto all = map.shards();
    std::set<ShardId> there;
    for (const auto& shard : all) {
        there.insert(shard.id);
        auto [at, is_new] = shards_.try_emplace(shard.id);
        auto& heat = at->second;
        if (is_new) heat.since = now;
        const double latest = static_cast<double>(std::exchange(heat.seen, 0)) / seconds;
        heat.load = kLatestWeight * latest + (1 - kLatestWeight) * heat.load;
    }
    std::erase_if(shards_, [&there](const auto& each) { return !there.contains(each.first); });
    std::vector<Proposal> found;
    const auto rested = [&](const ShardLoad& heat) { return now - heat.since >= config_.rest; };
    for (std::size_t i = 0; i < all.size(); ++i) {
        auto& heat = shards_.at(all[i].id);
        heat.above = heat.load > config_.split_above ? heat.above + 1 : 0;
        if (heat.above >= config_.looks && rested(heat) && heat.sample.size() >= 2 &&
            all[i].first < all[i].last) {
            found.push_back(propose_split(all[i], heat));
            heat.above = 0;
        }
        if (heat.load <= config_.split_above && heat.above == 0 && heat.sampled > 4 * config_.sample) {
            // Lets new keys replace old ones faster, since old keys do not show where the load is now.
            heat.sampled = heat.sample.size();
        }
        if (i + 1 == all.size()) {
            heat.below = 0;
            continue;
        }
        const auto& next = shards_.at(all[i + 1].id);
        auto here = all[i].replicas, there_too = all[i + 1].replicas;
        std::sort(here.begin(), here.end());
        std::sort(there_too.begin(), there_too.end());
        heat.below = heat.load + next.load < config_.merge_below && here == there_too ? heat.below + 1 : 0;
        if (heat.below < config_.looks || !rested(heat) || !rested(next)) continue;
        // Skips a shard that this evaluation already merges with the one before it.
        const bool taken =
            !found.empty() && found.back().kind == Proposal::Kind::kMerge && found.back().other == all[i].id;
        if (taken) continue;
        found.push_back({Proposal::Kind::kMerge, all[i].id, all[i + 1].id, 0, heat.load + next.load});
        heat.below = 0;
    }
    return found;
}

double LoadTracker::load(ShardId shard) const {
    const auto at = shards_.find(shard);
    return at == shards_.end() ? 0 : at->second.load;
}

std::vector<std::pair<ShardId, double>> LoadTracker::hottest(std::size_t most) const {
    std::vector<std::pair<ShardId, double>> all;
    for (const auto& [id, heat] : shards_) all.emplace_back(id, heat.load);
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
        return a.second != b.second ? a.second > b.second : a.first < b.first;
    });
    all.resize(std::min(all.size(), most));
    return all;
}

}  // namespace pinedoor::placement
