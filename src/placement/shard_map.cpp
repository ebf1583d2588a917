#include "placement/shard_map.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <stdexcept>

namespace pinedoor::placement {
namespace {

std::string name(ShardId id) { return "shard " + std::to_string(id); }

std::string fault_of_replicas(const Shard& shard) {
    std::set<ServerNumber> boxes;
    int owners = 0;
    for (const auto& each : shard.replicas) {
        owners += each.role == Role::kOwner ? 1 : 0;
        if (!boxes.insert(each.box).second)
            return name(shard.id) + " is twice on box " + std::to_string(each.box);
    }
    if (owners == 0) return name(shard.id) + " has no owner";
    if (owners > 1) return name(shard.id) + " has " + std::to_string(owners) + " owners";
    return {};
}

}  // namespace

bool is_on(const std::vector<Replica>& replicas, ServerNumber box) {
    return std::any_of(replicas.begin(), replicas.end(), [box](const Replica& r) { return r.box == box; });
}

ServerNumber owner_of(const std::vector<Replica>& replicas) {
    for (const auto& each : replicas) {
        if (each.role == Role::kOwner) return each.box;
    }
    return 0;
}

std::string print(const Step& step) {
    struct Print {
        std::string operator()(const Split& s) const {
            return "split " + name(s.shard) + " at " + std::to_string(s.at) + " into " +
                   std::to_string(s.lower) + " and " + std::to_string(s.upper);
        }
        std::string operator()(const Merge& m) const {
            return "merge " + name(m.lower) + " and " + std::to_string(m.upper) + " into " +
                   std::to_string(m.merged);
        }
        std::string operator()(const AddReader& a) const {
            return "add box " + std::to_string(a.box) + " to " + name(a.shard);
        }
        std::string operator()(const RemoveReader& r) const {
            return "remove box " + std::to_string(r.box) + " from " + name(r.shard);
        }
        std::string operator()(const PassOwnership& p) const {
            return "pass " + name(p.shard) + " to box " + std::to_string(p.to);
        }
    };
    return std::visit(Print{}, step);
}

std::string ShardMap::fault_of(std::vector<Shard> shards) {
    if (shards.empty()) return "there are no shards";
    std::sort(shards.begin(), shards.end(), [](const Shard& a, const Shard& b) { return a.first < b.first; });
    std::set<ShardId> ids;
    Key next = 0;
    bool all_told = false;
    for (const auto& each : shards) {
        if (each.last < each.first) return name(each.id) + " ends before it begins";
        if (all_told || each.first < next) return name(each.id) + " overlaps with the one before it";
        if (each.first > next)
            return "no shard holds the keys from " + std::to_string(next) + " to " +
                   std::to_string(each.first - 1);
        if (!ids.insert(each.id).second) return name(each.id) + " is there twice";
        if (auto fault = fault_of_replicas(each); !fault.empty()) return fault;
        all_told = each.last == std::numeric_limits<Key>::max();
        next = each.last + 1;
    }
    return all_told ? std::string() : "no shard holds the keys from " + std::to_string(next) + " on";
}

ShardMap ShardMap::of(std::vector<Shard> shards, Version version) {
    if (const auto fault = fault_of(shards); !fault.empty()) throw std::invalid_argument(fault);
    std::sort(shards.begin(), shards.end(), [](const Shard& a, const Shard& b) { return a.first < b.first; });
    ShardMap map;
    map.version_ = version;
    map.size_ = shards.size();
    for (std::size_t from = 0; from < shards.size(); from += kChunk) {
        const auto until = std::min(shards.size(), from + kChunk);
        auto chunk = std::make_shared<Chunk>();
        for (auto i = from; i < until; ++i) {
            chunk->firsts.push_back(shards[i].first);
            chunk->shards.push_back(std::move(shards[i]));
        }
        map.firsts_.push_back(chunk->firsts.front());
        map.chunks_.push_back(std::move(chunk));
    }
    return map;
}

ShardMap ShardMap::even(std::size_t count, const std::vector<ServerNumber>& boxes, std::size_t replicas) {
    std::vector<Shard> shards;
    const Key step = std::numeric_limits<Key>::max() / count;
    for (std::size_t i = 0; i < count; ++i) {
        Shard shard;
        shard.id = i + 1;
        shard.first = i * step;
        shard.last = i + 1 == count ? std::numeric_limits<Key>::max() : (i + 1) * step - 1;
        for (std::size_t r = 0; r < std::min(replicas, boxes.size()); ++r)
            shard.replicas.push_back({boxes[(i + r) % boxes.size()], r == 0 ? Role::kOwner : Role::kReader});
        shards.push_back(std::move(shard));
    }
    return of(std::move(shards));
}

const Shard& ShardMap::at(Key key) const {
    const auto chunk = std::upper_bound(firsts_.begin(), firsts_.end(), key) - firsts_.begin() - 1;
    const auto& in = *chunks_[static_cast<std::size_t>(chunk)];
    const auto shard = std::upper_bound(in.firsts.begin(), in.firsts.end(), key) - in.firsts.begin() - 1;
    return in.shards[static_cast<std::size_t>(shard)];
}

const Shard* ShardMap::find(ShardId id) const {
    for (const auto& chunk : chunks_) {
        for (const auto& each : chunk->shards) {
            if (each.id == id) return &each;
        }
    }
    return nullptr;
}

std::vector<Shard> ShardMap::shards() const {
    std::vector<Shard> all;
    all.reserve(size_);
    for (const auto& chunk : chunks_) all.insert(all.end(), chunk->shards.begin(), chunk->shards.end());
    return all;
}

// Replaces a chunk by the shards: by no chunk if there are none, by two chunks if there are too many for one.
void ShardMap::put(std::size_t which, std::vector<Shard> shards) {
    const auto at = static_cast<std::ptrdiff_t>(which);
    firsts_.erase(firsts_.begin() + at);
    chunks_.erase(chunks_.begin() + at);
    const auto pieces = shards.empty() ? 0 : shards.size() > 2 * kChunk ? 2U : 1U;
    for (std::size_t piece = 0, from = 0; piece < pieces; ++piece) {
        const auto until = piece + 1 == pieces ? shards.size() : shards.size() / 2;
        auto chunk = std::make_shared<Chunk>();
        for (; from < until; ++from) {
            chunk->firsts.push_back(shards[from].first);
            chunk->shards.push_back(std::move(shards[from]));
        }
        firsts_.insert(firsts_.begin() + at + static_cast<std::ptrdiff_t>(piece), chunk->firsts.front());
        chunks_.insert(chunks_.begin() + at + static_cast<std::ptrdiff_t>(piece), std::move(chunk));
    }
}

std::pair<std::size_t, std::size_t> ShardMap::place_of(const Shard& shard) const {
    const auto chunk = static_cast<std::size_t>(
        std::upper_bound(firsts_.begin(), firsts_.end(), shard.first) - firsts_.begin() - 1);
    const auto& in = chunks_[chunk]->firsts;
    return {chunk,
            static_cast<std::size_t>(std::lower_bound(in.begin(), in.end(), shard.first) - in.begin())};
}

// The map with shard `was` replaced by shards that cover the same range.
std::variant<ShardMap, ShardMap::Refused> ShardMap::replaced(const Shard& was,
                                                             const std::vector<Shard>& by) const {
    for (const auto& each : by) {
        if (auto fault = fault_of_replicas(each); !fault.empty()) return Refused{std::move(fault)};
        if (each.id != was.id && find(each.id) != nullptr)
            return Refused{name(each.id) + " is there already"};
    }
    auto next = *this;
    ++next.version_;
    next.size_ = size_ + by.size() - 1;
    const auto [chunk, place] = place_of(was);
    auto shards = chunks_[chunk]->shards;
    shards.erase(shards.begin() + static_cast<std::ptrdiff_t>(place));
    shards.insert(shards.begin() + static_cast<std::ptrdiff_t>(place), by.begin(), by.end());
    next.put(chunk, std::move(shards));
    return next;
}

std::variant<ShardMap, ShardMap::Refused> ShardMap::merged(const Merge& merge) const {
    const auto* lower = find(merge.lower);
    const auto* upper = find(merge.upper);
    if (lower == nullptr || upper == nullptr)
        return Refused{"there is no " + name(lower == nullptr ? merge.lower : merge.upper)};
    if (lower->last == std::numeric_limits<Key>::max() || lower->last + 1 != upper->first)
        return Refused{name(merge.lower) + " does not end where " + name(merge.upper) + " begins"};
    auto same = [](std::vector<Replica> replicas) {
        std::sort(replicas.begin(), replicas.end());
        return replicas;
    };
    if (same(lower->replicas) != same(upper->replicas))
        return Refused{name(merge.lower) + " and " + std::to_string(merge.upper) +
                       " are on unlike boxes; move them first"};
    if (merge.merged != merge.lower && merge.merged != merge.upper && find(merge.merged) != nullptr)
        return Refused{name(merge.merged) + " is there already"};
    Shard whole = *lower;
    whole.id = merge.merged;
    whole.last = upper->last;
    whole.epoch = std::max(lower->epoch, upper->epoch) + 1;
    auto next = *this;
    ++next.version_;
    --next.size_;
    // Changes the upper shard's chunk first, since it may be the chunk after the lower shard's.
    const auto upper_at = place_of(*upper), lower_at = place_of(*lower);
    auto shards = chunks_[upper_at.first]->shards;
    shards.erase(shards.begin() + static_cast<std::ptrdiff_t>(upper_at.second));
    if (upper_at.first == lower_at.first) {
        shards[lower_at.second] = std::move(whole);
        next.put(upper_at.first, std::move(shards));
        return next;
    }
    next.put(upper_at.first, std::move(shards));
    shards = chunks_[lower_at.first]->shards;
    shards[lower_at.second] = std::move(whole);
    next.put(lower_at.first, std::move(shards));
    return next;
}

std::variant<ShardMap, ShardMap::Refused> ShardMap::after(const Step& step) const {
    if (const auto* merge = std::get_if<Merge>(&step)) return merged(*merge);
    const auto id = std::visit(
        [](const auto& what) -> ShardId {
            if constexpr (requires { what.shard; })
                return what.shard;
            else
                return 0;
        },
        step);
    const auto* was = find(id);
    if (was == nullptr) return Refused{"there is no " + name(id)};
    auto next = *was;
    ++next.epoch;
    const auto replica = [&next](ServerNumber box) {
        return std::find_if(next.replicas.begin(), next.replicas.end(),
                            [box](const Replica& r) { return r.box == box; });
    };
    if (const auto* split = std::get_if<Split>(&step)) {
        if (split->at <= was->first || split->at > was->last)
            return Refused{"key " + std::to_string(split->at) + " does not lie within " + name(id)};
        if (split->lower == split->upper) return Refused{"the two of a split need ids of their own"};
        auto upper = next;
        next.id = split->lower;
        next.last = split->at - 1;
        upper.id = split->upper;
        upper.first = split->at;
        return replaced(*was, {next, upper});
    }
    if (const auto* add = std::get_if<AddReader>(&step)) {
        if (replica(add->box) != next.replicas.end())
            return Refused{name(id) + " is on box " + std::to_string(add->box) + " already"};
        next.replicas.push_back({add->box, Role::kReader});
        return replaced(*was, {next});
    }
    if (const auto* remove = std::get_if<RemoveReader>(&step)) {
        const auto at = replica(remove->box);
        if (at == next.replicas.end())
            return Refused{name(id) + " is not on box " + std::to_string(remove->box)};
        if (at->role == Role::kOwner)
            return Refused{"box " + std::to_string(remove->box) + " owns " + name(id) + "; pass it on first"};
        next.replicas.erase(at);
        return replaced(*was, {next});
    }
    const auto& pass = std::get<PassOwnership>(step);
    const auto to = replica(pass.to);
    if (to == next.replicas.end())
        return Refused{name(id) + " is not on box " + std::to_string(pass.to) + "; add it first"};
    if (to->role == Role::kOwner)
        return Refused{"box " + std::to_string(pass.to) + " owns " + name(id) + " already"};
    for (auto& each : next.replicas) each.role = each.box == pass.to ? Role::kOwner : Role::kReader;
    return replaced(*was, {next});
}

std::size_t ShardMap::bytes() const {
    std::size_t sum = firsts_.capacity() * sizeof(Key) + chunks_.capacity() * sizeof(chunks_[0]);
    for (const auto& chunk : chunks_) {
        sum +=
            sizeof(Chunk) + chunk->firsts.capacity() * sizeof(Key) + chunk->shards.capacity() * sizeof(Shard);
        for (const auto& each : chunk->shards) sum += each.replicas.capacity() * sizeof(Replica);
    }
    return sum;
}

std::size_t ShardMap::own_bytes() const {
    std::size_t sum = firsts_.capacity() * sizeof(Key) + chunks_.capacity() * sizeof(chunks_[0]);
    for (const auto& chunk : chunks_) {
        if (chunk.use_count() > 1) continue;
        sum +=
            sizeof(Chunk) + chunk->firsts.capacity() * sizeof(Key) + chunk->shards.capacity() * sizeof(Shard);
        for (const auto& each : chunk->shards) sum += each.replicas.capacity() * sizeof(Replica);
    }
    return sum;
}

}  // namespace pinedoor::placement
