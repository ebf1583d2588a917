#include "placement/move_desk.hpp"

#include <algorithm>

namespace pinedoor::placement {

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
    if (running_.size() >= config_.at_once) return false;
    std::size_t from = 0, to = 0, zone = 0;
    for (const auto& [id, other] : running_) {
        if (other.shard == wanted.shard || other.wave < wanted.wave) return false;
        from += other.from == wanted.from ? 1 : 0;
        to += other.to == wanted.to ? 1 : 0;
        zone += other.zone == wanted.zone ? 1 : 0;
    }
    return from < config_.at_once_box && to < config_.at_once_box && zone < config_.at_once_zone;
}

std::vector<MoveId> MoveQueue::begin() {
    std::vector<MoveId> begun;
    for (auto at = waiting_.begin(); at != waiting_.end();) {
        // A begun move must continue regardless of limits and pauses, since its fence may be up.
        const bool may = at->begun || (!paused() && !stopped_ && within_limits(*at));
        const bool earlier_waits =
            std::any_of(waiting_.begin(), at, [&](const QueuedMove& other) { return other.wave < at->wave; });
        if (!may || (earlier_waits && !at->begun)) {
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

void MoveQueue::drop(MoveId id) {
    std::erase_if(waiting_, [id](const QueuedMove& each) { return each.id == id; });
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

bool MoveQueue::done() const { return running_.empty() && (waiting_.empty() || stopped_); }

std::string MoveQueue::why() const {
    if (stopped_) return "move " + std::to_string(stopped_by_) + " was undone; plan again";
    if (paused_by_hand_) return "paused by hand";
    if (paused_) return "paused: the fleet is under pressure";
    return {};
}

}  // namespace pinedoor::placement
