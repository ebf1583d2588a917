#include "placement/map_follower.hpp"

#include <algorithm>
#include <utility>

namespace pinedoor::placement {

MapFollower::Heard MapFollower::hear(Time now, MapNews news) {
    return std::visit([&](auto&& what) { return take(now, std::forward<decltype(what)>(what)); },
                      std::move(news));
}

MapFollower::Heard MapFollower::count(Did did, std::string why) {
    switch (did) {
        case Did::kTaken: ++counted_.taken; break;
        case Did::kRepeated: ++counted_.repeated; break;
        case Did::kOlder: ++counted_.older; break;
        case Did::kAside: ++counted_.aside; break;
        case Did::kRefused: ++counted_.refused; break;
    }
    return {did, std::move(why)};
}

void MapFollower::want_whole(Time at) {
    if (wait_ > 0) at = std::max(at, asked_at_ + wait_);
    ask_at_ = std::min(ask_at_, at);
}

void MapFollower::settled() {
    if (!aside_.empty()) return;
    ask_at_ = kNever;
    wait_ = 0;
}

bool MapFollower::wants_whole(Time now) {
    if (now < ask_at_) return false;
    ask_at_ = kNever;
    asked_at_ = now;
    wait_ = wait_ == 0 ? terms_.ask_from : std::min(2 * wait_, terms_.ask_to);
    ++counted_.asked_whole;
    // Repeats the request unless a valid update arrives.
    ask_at_ = now + wait_;
    return true;
}

MapFollower::Heard MapFollower::take(Time now, WholeMap map) {
    const auto refuse = [&](std::string why) {
        want_whole(now);
        return count(Did::kRefused, "map version " + std::to_string(map.version) + ": " + std::move(why));
    };
    if (present_ && map.version < present_->version()) {
        return count(Did::kOlder, "map version " + std::to_string(map.version) + " is older than " +
                                      std::to_string(present_->version()));
    }
    if (auto fault = ShardMap::fault_of(map.shards); !fault.empty()) return refuse(std::move(fault));
    auto made = ShardMap::of(std::move(map.shards), map.version);
    if (present_ && map.version == present_->version()) {
        if (!(made == *present_)) return refuse("is unlike the map of this version that is in use");
        settled();
        return count(Did::kRepeated);
    }
    // With a falling epoch, a server could run parts that another server owns.
    if (present_) {
        for (const auto& was : present_->shards()) {
            const auto& is = made.at(was.first);
            if (is.id == was.id && is.epoch < was.epoch)
                return refuse("shard " + std::to_string(is.id) + " falls from epoch " +
                              std::to_string(was.epoch) + " to " + std::to_string(is.epoch));
        }
    }
    present_ = std::make_shared<const ShardMap>(std::move(made));
    close_gaps();
    settled();
    return count(Did::kTaken);
}

// Applies all of the steps or none.
std::string MapFollower::follow(const MapChanges& changes) {
    auto map = *present_;
    const auto known = present_->version() - changes.after;
    for (std::size_t i = known; i < changes.steps.size(); ++i) {
        auto next = map.after(changes.steps[i]);
        if (const auto* refused = std::get_if<ShardMap::Refused>(&next))
            return print(changes.steps[i]) + ": " + refused->why;
        map = std::move(std::get<ShardMap>(next));
    }
    present_ = std::make_shared<const ShardMap>(std::move(map));
    return {};
}

void MapFollower::close_gaps() {
    for (auto at = aside_.begin(); at != aside_.end() && at->first <= present_->version();) {
        // Changes that do not apply are dropped; the whole map replaces them.
        if (at->second.version > present_->version()) follow(at->second);
        at = aside_.erase(at);
    }
}

MapFollower::Heard MapFollower::take(Time now, MapChanges changes) {
    const auto version = changes.version;
    const auto refuse = [&](std::string why) {
        want_whole(now);
        return count(Did::kRefused,
                     "map changes to version " + std::to_string(version) + ": " + std::move(why));
    };
    if (changes.steps.empty() || changes.version < changes.after ||
        changes.version - changes.after != changes.steps.size())
        return refuse("are not as many steps as versions");
    if (present_ && version <= present_->version()) return count(Did::kRepeated);
    if (!present_ || changes.after > present_->version()) {
        want_whole(present_ ? now + terms_.gap_patience : now);
        const auto known = present_ ? present_->version() : 0;
        if (aside_.size() >= terms_.most_aside) aside_.erase(std::prev(aside_.end()));
        aside_.insert_or_assign(changes.after, std::move(changes));
        return count(Did::kAside, "map changes to version " + std::to_string(version) +
                                      " wait for those from " + std::to_string(known));
    }
    if (auto fault = follow(changes); !fault.empty()) return refuse(std::move(fault));
    close_gaps();
    settled();
    return count(Did::kTaken);
}

MapFollower::Heard MapFollower::take(Time now, const Unreadable& unreadable) {
    want_whole(now);
    return count(Did::kRefused, "map news cannot be read: " + unreadable.why);
}

void MapFollower::lost(Time now) { want_whole(now); }

void MapFollower::epoch_seen(Time now, ShardId shard, Epoch epoch) {
    if (!present_) return;
    const auto* known = present_->find(shard);
    // A shard that is not in the map was split or merged by a step that this map already contains.
    if (known != nullptr && known->epoch < epoch) want_whole(now);
}

}  // namespace pinedoor::placement
