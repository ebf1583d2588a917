#include "placement/planner.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <stdexcept>
#include <unordered_map>

namespace pinedoor::placement {
namespace {

using Placement = std::vector<std::vector<Replica>>;
constexpr std::size_t kNotFound = std::numeric_limits<std::size_t>::max();
// Number of least loaded servers that a replica is tried on. Trying all 500 servers of a fleet gives the same
// highest load and takes ten times as long (docs/placement.md).
constexpr std::size_t kMaxCandidates = 24;
constexpr double kMinGain = 1e-9;

std::string shard_name(ShardId id) { return "shard " + std::to_string(id); }
std::string box_name(ServerNumber id) { return "box " + std::to_string(id); }

bool contains(const std::vector<ServerNumber>& boxes, ServerNumber box) {
    return std::find(boxes.begin(), boxes.end(), box) != boxes.end();
}

// Position of each server in Fleet::boxes, by id.
class ServerIndex {
public:
    explicit ServerIndex(const Fleet& fleet) {
        for (std::size_t i = 0; i < fleet.boxes.size(); ++i) at_[fleet.boxes[i].id] = i;
    }
    std::size_t operator[](ServerNumber id) const {
        const auto at = at_.find(id);
        return at == at_.end() ? kNotFound : at->second;
    }

private:
    std::unordered_map<ServerNumber, std::size_t> at_;
};

// Number of zones that replicas can be spread over: zones with a server that is not draining.
std::size_t zones_of(const Fleet& fleet) {
    std::set<int> zones;
    for (const auto& box : fleet.boxes) {
        if (!box.draining) zones.insert(box.zone);
    }
    return zones.size();
}

// A placement that is being changed, with the load, used space and shards of each server.
class DraftPlacement {
public:
    DraftPlacement(const Fleet& fleet, const Placement& placed)
        : fleet_(fleet), index_(fleet), placed_(placed) {
        load_.resize(fleet.boxes.size());
        used_.resize(fleet.boxes.size());
        shards_on_.resize(fleet.boxes.size());
        for (std::size_t s = 0; s < fleet.shards.size(); ++s) count(s, 1);
    }

    const Placement& placed() const { return placed_; }
    const std::vector<Replica>& of(std::size_t shard) const { return placed_[shard]; }
    double relative_load(std::size_t box) const { return load_[box] / fleet_.boxes[box].capacity; }
    const std::set<std::size_t>& shards_on(std::size_t box) const { return shards_on_[box]; }
    std::size_t box(ServerNumber id) const { return index_[id]; }

    void set(std::size_t shard, std::vector<Replica> replicas) {
        count(shard, -1);
        placed_[shard] = std::move(replicas);
        count(shard, 1);
    }

    // Load of one replica of a shard that has this many replicas.
    static double share(const Need& need, std::size_t replicas, bool owner) {
        return need.reads / static_cast<double>(std::max<std::size_t>(1, replicas)) +
               (owner ? need.writes : 0);
    }

    // Whether the server may hold a replica of the shard beside the `others`.
    bool can_hold(std::size_t shard, std::size_t box, const std::vector<Replica>& others) const {
        const auto& need = fleet_.shards[shard];
        const auto& to = fleet_.boxes[box];
        if (to.draining || is_on(others, to.id) || contains(need.never_on, to.id)) return false;
        const double held = is_on(placed_[shard], to.id) ? need.size : 0;
        if (used_[box] - held + need.size > to.space * fleet_.terms.fill) return false;
        return zone_has_capacity(others, to.zone);
    }

    // Whether one more replica in the zone keeps the replicas spread evenly over the zones.
    bool zone_has_capacity(const std::vector<Replica>& others, int zone) const {
        std::map<int, std::size_t> in;
        for (const auto& each : others) ++in[fleet_.boxes[index_[each.box]].zone];
        const auto zones = std::max<std::size_t>(1, zones_);
        return in[zone] < (others.size() + zones) / zones;
    }

private:
    void count(std::size_t shard, int sign) {
        const auto& need = fleet_.shards[shard];
        for (const auto& each : placed_[shard]) {
            const auto box = index_[each.box];
            load_[box] += sign * share(need, placed_[shard].size(), each.role == Role::kOwner);
            used_[box] += sign * need.size;
            if (sign > 0)
                shards_on_[box].insert(shard);
            else
                shards_on_[box].erase(shard);
        }
    }

    const Fleet& fleet_;
    const ServerIndex index_;
    const std::size_t zones_ = zones_of(fleet_);
    Placement placed_;
    std::vector<double> load_, used_;
    std::vector<std::set<std::size_t>> shards_on_;
};

// Finds the target placement: repairs each shard, then balances the load.
class Planner {
public:
    explicit Planner(const Fleet& fleet) : fleet_(fleet), draft_(fleet, now(fleet)) {
        for (std::size_t b = 0; b < fleet.boxes.size(); ++b) by_load_.insert({draft_.relative_load(b), b});
    }

    Placement target(std::vector<std::string>& unmet) {
        // Places the shards with the highest load first, while there is most space.
        std::vector<std::size_t> order(fleet_.shards.size());
        for (std::size_t s = 0; s < order.size(); ++s) order[s] = s;
        std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
            const auto& x = fleet_.shards[a];
            const auto& y = fleet_.shards[b];
            return x.reads + x.writes > y.reads + y.writes;
        });
        for (const auto shard : order) enforce_constraints(shard, unmet);
        balance();
        return draft_.placed();
    }

private:
    static Placement now(const Fleet& fleet) {
        Placement placed;
        for (const auto& each : fleet.shards) placed.push_back(each.now);
        return placed;
    }

    void set(std::size_t shard, std::vector<Replica> replicas) {
        std::set<std::size_t> touched;
        for (const auto& each : draft_.of(shard)) touched.insert(draft_.box(each.box));
        for (const auto& each : replicas) touched.insert(draft_.box(each.box));
        for (const auto box : touched) by_load_.erase({draft_.relative_load(box), box});
        draft_.set(shard, std::move(replicas));
        for (const auto box : touched) by_load_.insert({draft_.relative_load(box), box});
    }

    // Enforces the hard constraints of a shard: no replica on draining or forbidden servers, replicas on the
    // pinned servers, even spread over the zones, and the configured number of replicas.
    void enforce_constraints(std::size_t shard, std::vector<std::string>& unmet) {
        const auto& need = fleet_.shards[shard];
        std::vector<Replica> kept;
        const auto wanted = need.replicas;
        const auto keep = [&](ServerNumber box) {
            if (kept.size() >= wanted || is_on(kept, box)) return;
            const auto at = draft_.box(box);
            if (fleet_.boxes[at].draining || contains(need.never_on, box)) return;
            if (!draft_.zone_has_capacity(kept, fleet_.boxes[at].zone)) return;
            kept.push_back({box, Role::kReader});
        };
        for (const auto box : need.pinned) {
            if (is_on(need.now, box))
                keep(box);
            else if (kept.size() < wanted && draft_.can_hold(shard, draft_.box(box), kept))
                kept.push_back({box, Role::kReader});
        }
        keep(owner_of(need.now));
        for (const auto& each : need.now) keep(each.box);
        while (kept.size() < wanted) {
            const auto to = least_loaded(shard, kept);
            if (to == kNotFound) break;
            kept.push_back({fleet_.boxes[to].id, Role::kReader});
        }
        if (kept.size() < wanted) {
            unmet.push_back(shard_name(need.shard) + ": only " + std::to_string(kept.size()) + " of " +
                            std::to_string(wanted) + " replicas find a box with room in another zone");
            // Keeps misplaced replicas rather than reduce the number of replicas.
            for (const auto& each : need.now) {
                if (kept.size() < std::min(wanted, need.now.size()) && !is_on(kept, each.box))
                    kept.push_back({each.box, Role::kReader});
            }
        }
        for (const auto box : need.pinned) {
            if (!is_on(kept, box))
                unmet.push_back(shard_name(need.shard) + ": pinned to " + box_name(box) +
                                ", which cannot hold it");
        }
        const auto owner = owner_of(need.now);
        for (auto& each : kept) each.role = Role::kReader;
        const auto at =
            std::find_if(kept.begin(), kept.end(), [&](const Replica& r) { return r.box == owner; });
        (at == kept.end() ? kept.front() : *at).role = Role::kOwner;
        set(shard, std::move(kept));
    }

    std::size_t least_loaded(std::size_t shard, const std::vector<Replica>& others) const {
        for (const auto& [relative_load, box] : by_load_) {
            if (draft_.can_hold(shard, box, others)) return box;
        }
        return kNotFound;
    }

    double mean() const {
        double load = 0, capacity = 0;
        for (std::size_t b = 0; b < fleet_.boxes.size(); ++b) {
            const auto& box = fleet_.boxes[b];
            load += draft_.relative_load(b) * box.capacity;
            capacity += box.draining ? 0 : box.capacity;
        }
        return capacity > 0 ? load / capacity : 0;
    }

    struct Change {
        std::size_t shard = kNotFound;
        std::vector<Replica> replicas;
        double fullest = 0;  // higher load of the two servers concerned, after the change
        double size = 0;     // of the moved data
    };

    // Moves load off the most loaded server while that lowers the higher load of the two servers concerned.
    void balance() {
        const double enough = mean() * (1 + fleet_.terms.balance_tolerance);
        std::set<std::size_t> not_improvable;  // servers that no change can relieve
        for (std::size_t copies = 0; copies < fleet_.terms.max_balancing_copies;) {
            auto fullest = by_load_.rbegin();
            while (fullest != by_load_.rend() && not_improvable.contains(fullest->second)) ++fullest;
            if (fullest == by_load_.rend() || fullest->first <= enough) return;
            const auto box = fullest->second;
            auto change = best_relief(box);
            if (change.shard == kNotFound) change = best_swap(box);
            if (change.shard == kNotFound) {
                not_improvable.insert(box);
                continue;
            }
            copies += change.size > 0 ? 1 : 0;
            set(change.shard, std::move(change.replicas));
            if (swap_second_.shard != kNotFound) {
                set(swap_second_.shard, std::move(swap_second_.replicas));
                swap_second_.shard = kNotFound;
                ++copies;
            }
            not_improvable.clear();
        }
    }

    bool better(const Change& a, const Change& b) const {
        if (b.shard == kNotFound) return true;
        if (a.fullest < b.fullest - kMinGain) return true;
        return a.fullest < b.fullest + kMinGain && a.size < b.size;
    }

    // The change of one shard that minimizes the higher load of the two servers: either passes ownership to
    // another replica, which moves no data, or moves the replica to one of the least loaded servers.
    Change best_relief(std::size_t box) const {
        Change best;
        const auto id = fleet_.boxes[box].id;
        const double full = draft_.relative_load(box);
        const auto consider = [&](std::size_t shard, std::size_t to, std::vector<Replica> replicas,
                                  double off, double onto, double size) {
            const double here = full - off / fleet_.boxes[box].capacity;
            const double there = draft_.relative_load(to) + onto / fleet_.boxes[to].capacity;
            Change change{shard, {}, std::max(here, there), size};
            if (change.fullest >= full - kMinGain || !better(change, best)) return;
            change.replicas = std::move(replicas);
            best = std::move(change);
        };
        for (const auto shard : draft_.shards_on(box)) {
            const auto& need = fleet_.shards[shard];
            const auto& replicas = draft_.of(shard);
            const bool owner = owner_of(replicas) == id;
            if (owner && need.writes > 0) {
                for (const auto& each : replicas) {
                    if (each.box == id) continue;
                    auto passed = replicas;
                    for (auto& one : passed) one.role = one.box == each.box ? Role::kOwner : Role::kReader;
                    consider(shard, draft_.box(each.box), std::move(passed), need.writes, need.writes, 0);
                }
            }
            if (contains(need.pinned, id)) continue;
            auto others = replicas;
            std::erase_if(others, [id](const Replica& r) { return r.box == id; });
            const double share = DraftPlacement::share(need, replicas.size(), owner);
            if (share <= 0) continue;
            std::size_t tried = 0;
            for (const auto& [relative_load, to] : by_load_) {
                if (tried == kMaxCandidates || relative_load >= full) break;
                if (!draft_.can_hold(shard, to, others)) continue;
                ++tried;
                auto moved = others;
                moved.push_back({fleet_.boxes[to].id, owner ? Role::kOwner : Role::kReader});
                // A server that currently holds the shard needs no copy.
                const double size = is_on(need.now, fleet_.boxes[to].id) ? 0 : need.size;
                consider(shard, to, std::move(moved), share, share, size);
            }
        }
        return best;
    }

    // Swaps a replica of this server for a lighter one of another, for cases in which neither can move alone.
    Change best_swap(std::size_t box) {
        Change best;
        const auto id = fleet_.boxes[box].id;
        const double full = draft_.relative_load(box);
        std::size_t tried = 0;
        for (const auto& [relative_load, other] : by_load_) {
            if (tried++ == kMaxCandidates || relative_load >= full) break;
            const auto other_id = fleet_.boxes[other].id;
            if (fleet_.boxes[other].draining) continue;
            for (const auto mine : draft_.shards_on(box)) {
                if (is_on(draft_.of(mine), other_id) || contains(fleet_.shards[mine].pinned, id) ||
                    contains(fleet_.shards[mine].never_on, other_id))
                    continue;
                for (const auto theirs : draft_.shards_on(other)) {
                    const auto& need = fleet_.shards[theirs];
                    if (is_on(draft_.of(theirs), id) || contains(need.pinned, other_id) ||
                        contains(need.never_on, id) || fleet_.boxes[box].draining ||
                        need.size != fleet_.shards[mine].size)
                        continue;
                    consider_swap(best, {box, mine}, {other, theirs}, full);
                }
            }
        }
        return best;
    }

    void consider_swap(Change& best, std::pair<std::size_t, std::size_t> mine,
                       std::pair<std::size_t, std::size_t> theirs, double full) {
        const auto share = [this](const std::pair<std::size_t, std::size_t>& one) {
            const auto& replicas = draft_.of(one.second);
            return DraftPlacement::share(fleet_.shards[one.second], replicas.size(),
                                         owner_of(replicas) == fleet_.boxes[one.first].id);
        };
        const double off = share(mine) - share(theirs);
        if (off <= kMinGain) return;
        const auto& a = fleet_.boxes[mine.first];
        const auto& b = fleet_.boxes[theirs.first];
        Change change{mine.second, {}, 0, 2 * fleet_.shards[mine.second].size};
        change.fullest =
            std::max(full - off / a.capacity, draft_.relative_load(theirs.first) + off / b.capacity);
        if (change.fullest >= full - kMinGain || !better(change, best)) return;
        const auto swapped = [this](std::size_t shard, const Box& from,
                                    const Box& to) -> std::vector<Replica> {
            auto replicas = draft_.of(shard);
            std::vector<Replica> others;
            for (const auto& each : replicas) {
                if (each.box != from.id) others.push_back(each);
            }
            if (!draft_.zone_has_capacity(others, to.zone)) return {};
            for (auto& each : replicas) {
                if (each.box == from.id) each.box = to.id;
            }
            return replicas;
        };
        change.replicas = swapped(mine.second, a, b);
        Change second{theirs.second, swapped(theirs.second, b, a), 0, 0};
        if (change.replicas.empty() || second.replicas.empty()) return;
        best = std::move(change);
        swap_second_ = std::move(second);
    }

    const Fleet& fleet_;
    DraftPlacement draft_;
    std::set<std::pair<double, std::size_t>> by_load_;
    Change swap_second_;  // second half of a swap
};

// Applies steps to the current placement and tracks the replicas, the used space and the steps of the current
// wave.
class Replay {
public:
    explicit Replay(const Fleet& fleet) : fleet_(fleet), index_(fleet), used_(fleet.boxes.size()) {
        for (std::size_t s = 0; s < fleet.shards.size(); ++s) {
            const auto& need = fleet.shards[s];
            at_[need.shard] = s;
            placed_.push_back(need.now);
            min_replicas_.push_back(std::min(need.now.size(), fleet.terms.sound));
            for (const auto& each : need.now) used_[index_[each.box]] += need.size;
        }
        begin_wave();
    }

    void begin_wave() {
        copies_in_ = copies_out_ = std::vector<std::size_t>(fleet_.boxes.size());
        copies_ = 0;
        touched_.clear();
    }

    const Placement& placed() const { return placed_; }
    std::size_t shard(ShardId id) const {
        const auto at = at_.find(id);
        return at == at_.end() ? kNotFound : at->second;
    }

    // Why the step is not allowed in this wave; empty if it is allowed.
    std::string violation_of(const PlanStep& step) const {
        const auto s = shard(step.shard);
        if (s == kNotFound) return "there is no " + shard_name(step.shard);
        const auto& need = fleet_.shards[s];
        const auto& replicas = placed_[s];
        const auto from = index_[step.from], to = index_[step.to];
        if (from == kNotFound || !is_on(replicas, step.from))
            return shard_name(step.shard) + " is not on " + box_name(step.from);
        if (touched_.contains(s)) return shard_name(step.shard) + " has a step in this wave already";
        switch (step.kind) {
            case PlanStep::Kind::kCopy:
                if (to == kNotFound) return "there is no " + box_name(step.to);
                if (is_on(replicas, step.to)) return shard_name(step.shard) + " is on " + box_name(step.to);
                if (used_[to] + need.size > fleet_.boxes[to].space * fleet_.terms.fill)
                    return box_name(step.to) + " has no room for " + shard_name(step.shard);
                if (copies_ >= fleet_.terms.at_once) return "too many copies at once";
                if (copies_in_[to] >= fleet_.terms.at_once_box ||
                    copies_out_[from] >= fleet_.terms.at_once_box)
                    return "too many copies at once at one box";
                return {};
            case PlanStep::Kind::kPass:
                if (owner_of(replicas) != step.from || !is_on(replicas, step.to))
                    return shard_name(step.shard) + " cannot be passed from " + box_name(step.from) + " to " +
                           box_name(step.to);
                return {};
            case PlanStep::Kind::kRemove:
                if (owner_of(replicas) == step.from)
                    return box_name(step.from) + " owns " + shard_name(step.shard);
                if (replicas.size() <= std::max<std::size_t>(1, min_replicas_[s]))
                    return shard_name(step.shard) + " would fall below its sound replicas";
                return {};
        }
        return {};
    }

    void apply(const PlanStep& step) {
        const auto s = shard(step.shard);
        auto& replicas = placed_[s];
        touched_.insert(s);
        const double size = fleet_.shards[s].size;
        switch (step.kind) {
            case PlanStep::Kind::kCopy:
                replicas.push_back({step.to, Role::kReader});
                used_[index_[step.to]] += size;
                ++copies_in_[index_[step.to]];
                ++copies_out_[index_[step.from]];
                ++copies_;
                return;
            case PlanStep::Kind::kPass:
                for (auto& each : replicas) each.role = each.box == step.to ? Role::kOwner : Role::kReader;
                return;
            case PlanStep::Kind::kRemove:
                std::erase_if(replicas, [&](const Replica& r) { return r.box == step.from; });
                // Frees the space in the next wave, since the removal may take until the end of this one.
                freed_.emplace_back(index_[step.from], size);
                return;
        }
    }

    void end_wave() {
        for (const auto& [box, size] : freed_) used_[box] -= size;
        freed_.clear();
        begin_wave();
    }

private:
    const Fleet& fleet_;
    const ServerIndex index_;
    std::unordered_map<ShardId, std::size_t> at_;
    Placement placed_;
    std::vector<std::size_t> min_replicas_;
    std::vector<double> used_;
    std::vector<std::size_t> copies_in_, copies_out_;
    std::size_t copies_ = 0;
    std::set<std::size_t> touched_;
    std::vector<std::pair<std::size_t, double>> freed_;
};

// Possible next steps of one shard towards its target, in order of preference; empty if it is there.
std::vector<PlanStep> next_steps(const Need& need, const std::vector<Replica>& now,
                                 const std::vector<Replica>& target) {
    using Kind = PlanStep::Kind;
    std::vector<PlanStep> steps;
    const auto owner = owner_of(now), wanted = owner_of(target);
    for (const auto& each : target) {
        if (is_on(now, each.box)) continue;
        // One candidate per source; the caller takes the first that is allowed in the wave.
        for (const auto& from : now) steps.push_back({Kind::kCopy, need.shard, from.box, each.box});
    }
    if (owner != wanted && is_on(now, wanted)) steps.push_back({Kind::kPass, need.shard, owner, wanted});
    for (const auto& each : now) {
        if (!is_on(target, each.box) && each.box != owner)
            steps.push_back({Kind::kRemove, need.shard, each.box, 0});
    }
    return steps;
}

}  // namespace

std::string print(const PlanStep& step) {
    switch (step.kind) {
        case PlanStep::Kind::kCopy:
            return "copy " + shard_name(step.shard) + " from " + box_name(step.from) + " to " +
                   box_name(step.to);
        case PlanStep::Kind::kPass:
            return "pass " + shard_name(step.shard) + " from " + box_name(step.from) + " to " +
                   box_name(step.to);
        case PlanStep::Kind::kRemove:
            return "remove " + shard_name(step.shard) + " from " + box_name(step.from);
    }
    return {};
}

std::vector<double> loads(const Fleet& fleet, const std::vector<std::vector<Replica>>& placed) {
    const DraftPlacement draft(fleet, placed);
    std::vector<double> all;
    for (std::size_t b = 0; b < fleet.boxes.size(); ++b) all.push_back(draft.relative_load(b));
    return all;
}

std::string fault_of(const Fleet& fleet) {
    const ServerIndex index(fleet);
    std::set<ServerNumber> boxes;
    bool any = false;
    for (const auto& box : fleet.boxes) {
        if (!boxes.insert(box.id).second) return box_name(box.id) + " is there twice";
        if (!(box.capacity > 0) || !(box.space >= 0)) return box_name(box.id) + " has no capacity";
        any = any || !box.draining;
    }
    if (!any) return "every box is draining";
    std::set<ShardId> shards;
    for (const auto& need : fleet.shards) {
        const auto name = shard_name(need.shard);
        if (!shards.insert(need.shard).second) return name + " is there twice";
        if (!(need.reads >= 0) || !(need.writes >= 0) || !(need.size >= 0))
            return name + " has a load or a size below 0";
        if (need.replicas == 0) return name + " is to have no replica";
        std::set<ServerNumber> on_boxes;
        int owners = 0;
        for (const auto& each : need.now) {
            if (index[each.box] == kNotFound)
                return name + " is on " + box_name(each.box) + ", which is not there";
            if (!on_boxes.insert(each.box).second) return name + " is twice on " + box_name(each.box);
            owners += each.role == Role::kOwner ? 1 : 0;
        }
        if (owners != 1) return name + (owners == 0 ? " has no owner" : " has two owners");
        for (const auto box : need.pinned) {
            if (index[box] == kNotFound)
                return name + " is pinned to " + box_name(box) + ", which is not there";
            if (contains(need.never_on, box))
                return name + " is pinned to " + box_name(box) + " and kept off it";
        }
    }
    return {};
}

std::string violation_of_target(const Fleet& fleet, const std::vector<std::vector<Replica>>& placed) {
    const ServerIndex index(fleet);
    const auto zones = std::max<std::size_t>(1, zones_of(fleet));
    std::vector<double> used(fleet.boxes.size());
    for (std::size_t s = 0; s < fleet.shards.size(); ++s) {
        const auto& need = fleet.shards[s];
        const auto name = shard_name(need.shard);
        if (placed[s].size() != need.replicas)
            return name + " has " + std::to_string(placed[s].size()) + " replicas of " +
                   std::to_string(need.replicas);
        std::map<int, std::size_t> in_zone;
        std::set<ServerNumber> boxes;
        int owners = 0;
        for (const auto& each : placed[s]) {
            const auto& box = fleet.boxes[index[each.box]];
            if (box.draining) return name + " is on " + box_name(box.id) + ", which is draining";
            if (contains(need.never_on, box.id))
                return name + " is on " + box_name(box.id) + ", where it must not be";
            if (!boxes.insert(box.id).second) return name + " is twice on " + box_name(box.id);
            if (++in_zone[box.zone] > (need.replicas + zones - 1) / zones)
                return name + " has too many replicas in zone " + std::to_string(box.zone);
            owners += each.role == Role::kOwner ? 1 : 0;
            used[index[box.id]] += need.size;
        }
        if (owners != 1) return name + " has " + std::to_string(owners) + " owners";
        for (const auto box : need.pinned) {
            if (!is_on(placed[s], box)) return name + " is not on " + box_name(box) + ", where it is pinned";
        }
    }
    for (std::size_t b = 0; b < used.size(); ++b) {
        if (used[b] > fleet.boxes[b].space * fleet.terms.fill * (1 + 1e-9))
            return box_name(fleet.boxes[b].id) + " is over its space";
    }
    return {};
}

Plan order_steps(const Fleet& fleet, std::vector<std::vector<Replica>> target) {
    Plan made;
    const auto fullest = [&](const Placement& placed) {
        const auto all = loads(fleet, placed);
        return all.empty() ? 0 : *std::max_element(all.begin(), all.end());
    };
    Replay replay(fleet);
    made.fullest_before = fullest(replay.placed());
    made.fullest_after = fullest(target);
    std::set<std::size_t> open;
    for (std::size_t s = 0; s < fleet.shards.size(); ++s) {
        if (!next_steps(fleet.shards[s], replay.placed()[s], target[s]).empty()) open.insert(s);
    }
    // Each wave takes at most one allowed step per shard. Steps that free space come before copies, so that a
    // full fleet can make progress.
    while (!open.empty()) {
        std::vector<PlanStep> wave;
        for (const bool copies : {false, true}) {
            for (const auto s : open) {
                for (const auto& step : next_steps(fleet.shards[s], replay.placed()[s], target[s])) {
                    if ((step.kind == PlanStep::Kind::kCopy) != copies || !replay.violation_of(step).empty())
                        continue;
                    replay.apply(step);
                    wave.push_back(step);
                    if (copies) {
                        ++made.copies;
                        made.bytes_moved += fleet.shards[s].size;
                    }
                    break;
                }
            }
        }
        if (wave.empty()) break;
        made.waves.push_back(std::move(wave));
        replay.end_wave();
        std::erase_if(open, [&](std::size_t s) {
            return next_steps(fleet.shards[s], replay.placed()[s], target[s]).empty();
        });
    }
    for (const auto s : open) {
        const auto steps = next_steps(fleet.shards[s], replay.placed()[s], target[s]);
        made.unmet.push_back(print(steps.front()) + ": " + replay.violation_of(steps.front()));
        target[s] = replay.placed()[s];
    }
    if (!open.empty()) made.fullest_after = fullest(target);
    made.target = std::move(target);
    return made;
}

Plan plan(const Fleet& fleet) {
    if (const auto fault = fault_of(fleet); !fault.empty()) throw std::invalid_argument(fault);
    std::vector<std::string> unmet;
    auto target = Planner(fleet).target(unmet);
    auto made = order_steps(fleet, std::move(target));
    made.unmet.insert(made.unmet.begin(), unmet.begin(), unmet.end());
    return made;
}

std::string check_plan(const Fleet& fleet, const Plan& plan) {
    Replay replay(fleet);
    for (std::size_t w = 0; w < plan.waves.size(); ++w) {
        for (const auto& step : plan.waves[w]) {
            if (const auto why = replay.violation_of(step); !why.empty())
                return "wave " + std::to_string(w + 1) + ", " + print(step) + ": " + why;
            replay.apply(step);
        }
        replay.end_wave();
    }
    for (std::size_t s = 0; s < fleet.shards.size(); ++s) {
        auto ends = replay.placed()[s], wanted = plan.target[s];
        std::sort(ends.begin(), ends.end());
        std::sort(wanted.begin(), wanted.end());
        if (ends != wanted) return shard_name(fleet.shards[s].shard) + " does not end where it should";
    }
    return {};
}

}  // namespace pinedoor::placement
