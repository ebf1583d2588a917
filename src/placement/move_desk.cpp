#include "placement/move_desk.hpp"

#include <algorithm>

namespace pinedoor::placement {
namespace {

std::vector<ShardId> shards_of(const QueuedMove& move) {
    if (move.other_shard == 0) return {move.shard};
    return {move.shard, move.other_shard};
}

bool share_shard(const QueuedMove& one, const QueuedMove& other) {
    const auto shards = shards_of(one), others = shards_of(other);
    return std::find_first_of(shards.begin(), shards.end(), others.begin(), others.end()) != shards.end();
}

}  // namespace

std::string MoveQueue::fault_of(const MoveQueueConfig& terms) {
    if (terms.at_once == 0 || terms.at_once_box == 0 || terms.at_once_zone == 0)
        return "at_once, at_once_box and at_once_zone must be at least 1";
    if (!(terms.resume_below < terms.pause_above)) return "resume_below must be less than pause_above";
    if (terms.looks < 1) return "looks must be at least 1";
    return {};
}

void MoveQueue::add(const QueuedMove& wanted) {
    const auto behind = std::upper_bound(waiting_.begin(), waiting_.end(), wanted,
                                         [](const QueuedMove& a, const QueuedMove& b) {
                                             return std::pair{!a.begun, a.wave} < std::pair{!b.begun, b.wave};
                                         });
    waiting_.insert(behind, wanted);
}

bool MoveQueue::within_limits(const QueuedMove& wanted) const {
    std::size_t total = 0, from = 0, to = 0, zone = 0;
    for (const auto& [id, other] : running_) {
        if (share_shard(other, wanted)) return false;
        if (other.aborted) continue;
        if (other.wave < wanted.wave) return false;
        ++total;
        from += other.from == wanted.from ? 1 : 0;
        to += other.to == wanted.to ? 1 : 0;
        zone += other.zone == wanted.zone ? 1 : 0;
    }
    return total < config_.at_once && from < config_.at_once_box && to < config_.at_once_box &&
           zone < config_.at_once_zone;
}

bool MoveQueue::is_first_of_shard(const QueuedMove& wanted) const {
    const auto blocks = [&wanted](const QueuedMove& other) { return share_shard(other, wanted); };
    return std::none_of(running_.begin(), running_.end(),
                        [&](const auto& each) { return blocks(each.second); }) &&
           std::none_of(waiting_.begin(), waiting_.end(),
                        [&](const QueuedMove& other) { return other.id < wanted.id && blocks(other); });
}

bool MoveQueue::may_begin(const QueuedMove& wanted) const {
    // A begun move must continue regardless of limits and pauses, since its fence may be up.
    if (wanted.begun) return true;
    if (wanted.aborted) return is_first_of_shard(wanted);
    return !paused() && !stopped_ && within_limits(wanted);
}

std::vector<MoveId> MoveQueue::begin() {
    std::vector<MoveId> begun;
    for (auto at = waiting_.begin(); at != waiting_.end();) {
        const bool earlier_waits =
            std::any_of(waiting_.begin(), at, [&](const QueuedMove& other) { return other.wave < at->wave; });
        if (!may_begin(*at) || (earlier_waits && !at->begun && !at->aborted)) {
            ++at;
            continue;
        }
        running_[at->id] = *at;
        begun.push_back(at->id);
        at = waiting_.erase(at);
    }
    return begun;
}

void MoveQueue::ended(MoveId id, End end) {
    if (running_.erase(id) == 0 || end != End::kUndone) return;
    stopped_ = true;
    stopped_by_ = id;
}

void MoveQueue::abort(MoveId id) {
    for (auto& each : waiting_) each.aborted = each.aborted || each.id == id;
}

MoveQueue::Did MoveQueue::look(double pressure) {
    samples_above_ = pressure > config_.pause_above ? samples_above_ + 1 : 0;
    samples_below_ = pressure < config_.resume_below ? samples_below_ + 1 : 0;
    if (!paused_ && samples_above_ >= config_.looks) {
        paused_ = true;
        return Did::kPaused;
    }
    if (paused_ && samples_below_ >= config_.looks) {
        paused_ = false;
        return Did::kResumed;
    }
    return Did::kNothing;
}

bool MoveQueue::done() const {
    if (!running_.empty()) return false;
    if (waiting_.empty()) return true;
    return stopped_ && std::none_of(waiting_.begin(), waiting_.end(), [this](const QueuedMove& each) {
               return each.aborted && may_begin(each);
           });
}

std::string MoveQueue::why() const {
    if (stopped_) return "move " + std::to_string(stopped_by_) + " was undone; plan again";
    if (paused_by_hand_) return "paused by hand";
    if (paused_) return "paused: the fleet is under pressure";
    return {};
}

}  // namespace pinedoor::placement
