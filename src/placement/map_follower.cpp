#include "placement/map_follower.hpp"

#include <algorithm>
#include <utility>

namespace pinedoor::placement {

MapFollower::Heard MapFollower::hear(Time now, MapUpdate news) {
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

void MapFollower::schedule_request(Time at) {
    if (backoff_ > 0) at = std::max(at, requested_at_ + backoff_);
    request_at_ = std::min(request_at_, at);
}

void MapFollower::reset_backoff() {
    if (!aside_.empty()) return;
    request_at_ = kNever;
    backoff_ = 0;
}

bool MapFollower::should_request_map(Time now) {
    if (now < request_at_) return false;
    request_at_ = kNever;
    requested_at_ = now;
    backoff_ = backoff_ == 0 ? config_.min_backoff : std::min(2 * backoff_, config_.max_backoff);
    ++counted_.asked_whole;
    // Repeats the request unless a valid update arrives.
    request_at_ = now + backoff_;
    return true;
}

MapFollower::Heard MapFollower::take(Time now, WholeMap map) {
    const auto refuse = [&](std::string why) {
        schedule_request(now);
        return count(Did::kRefused, "map version " + std::to_string(map.version) + ": " + std::move(why));
    };
    if (current_ && map.version < current_->version()) {
        return count(Did::kOlder, "map version " + std::to_string(map.version) + " is older than " +
                                      std::to_string(current_->version()));
    }
    if (auto fault = ShardMap::fault_of(map.shards); !fault.empty()) return refuse(std::move(fault));
    auto made = ShardMap::of(std::move(map.shards), map.version);
    if (current_ && map.version == current_->version()) {
        if (!(made == *current_)) return refuse("is unlike the map of this version that is in use");
        reset_backoff();
        return count(Did::kRepeated);
    }
    // With a falling epoch, a server could run parts that another server owns.
    if (current_) {
        for (const auto& was : current_->shards()) {
            const auto& is = made.at(was.first);
            if (is.id == was.id && is.epoch < was.epoch)
                return refuse("shard " + std::to_string(is.id) + " falls from epoch " +
                              std::to_string(was.epoch) + " to " + std::to_string(is.epoch));
        }
    }
    current_ = std::make_shared<const ShardMap>(std::move(made));
    close_gaps();
    reset_backoff();
    return count(Did::kTaken);
}

// Applies all of the steps or none.
std::string MapFollower::apply(const MapChanges& changes) {
    auto map = *current_;
    const auto known = current_->version() - changes.after;
    for (std::size_t i = known; i < changes.steps.size(); ++i) {
        auto next = map.after(changes.steps[i]);
        if (const auto* refused = std::get_if<ShardMap::Refused>(&next))
            return print(changes.steps[i]) + ": " + refused->why;
        map = std::move(std::get<ShardMap>(next));
    }
    current_ = std::make_shared<const ShardMap>(std::move(map));
    return {};
}

void MapFollower::close_gaps() {
    for (auto at = aside_.begin(); at != aside_.end() && at->first <= current_->version();) {
        // Changes that do not apply are dropped; the whole map replaces them.
        if (at->second.version > current_->version()) apply(at->second);
        at = aside_.erase(at);
    }
}

MapFollower::Heard MapFollower::take(Time now, MapChanges changes) {
    const auto version = changes.version;
    const auto refuse = [&](std::string why) {
        schedule_request(now);
        return count(Did::kRefused,
                     "map changes to version " + std::to_string(version) + ": " + std::move(why));
    };
    if (changes.steps.empty() || changes.version < changes.after ||
        changes.version - changes.after != changes.steps.size())
        return refuse("are not as many steps as versions");
    if (current_ && version <= current_->version()) return count(Did::kRepeated);
    if (!current_ || changes.after > current_->version()) {
        schedule_request(current_ ? now + config_.max_gap_wait : now);
        const auto known = current_ ? current_->version() : 0;
        if (aside_.size() >= config_.max_set_aside) aside_.erase(std::prev(aside_.end()));
        aside_.insert_or_assign(changes.after, std::move(changes));
        return count(Did::kAside, "map changes to version " + std::to_string(version) +
                                      " wait for those from " + std::to_string(known));
    }
    if (auto fault = apply(changes); !fault.empty()) return refuse(std::move(fault));
    close_gaps();
    reset_backoff();
    return count(Did::kTaken);
}

MapFollower::Heard MapFollower::take(Time now, const Unreadable& unreadable) {
    schedule_request(now);
    return count(Did::kRefused, "map news cannot be read: " + unreadable.why);
}

void MapFollower::lost(Time now) { schedule_request(now); }

void MapFollower::on_epoch_seen(Time now, ShardId shard, Epoch epoch) {
    if (!current_) return;
    const auto* known = current_->find(shard);
    // A shard that is not in the map was split or merged by a step that this map already contains.
    if (known != nullptr && known->epoch < epoch) schedule_request(now);
}

}  // namespace pinedoor::placement
