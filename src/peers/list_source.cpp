#include "peers/list_source.hpp"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace pinedoor::peers {
namespace {

constexpr Time kNever = std::numeric_limits<Time>::max();

std::uint64_t hash_of(const std::string& name) { return XXH64(name.data(), name.size(), 0); }

}  // namespace

ListSource::ListSource(std::string name, std::uint64_t seed, ListSourceSettings settings)
    : name_(std::move(name)), settings_(settings), rng_(seed) {}

void ListSource::set_members(Time now, Members members) {
    if (started_at_ == 0) started_at_ = now;
    if (members == members_) return;
    members_ = std::move(members);
    // A few late joiners among many members change hardly any rank.
    const auto tolerated = members_.size() / 32;
    const auto difference =
        std::max(members_.size(), members_at_change_) - std::min(members_.size(), members_at_change_);
    if (difference > tolerated || !is_unsettled_) {
        changed_at_ = now;
        members_at_change_ = members_.size();
    }
    is_unsettled_ = true;
    // If the source is no longer a member, do not wait for the call to end.
    const bool removed = current_ && !current_->discovery &&
                         std::none_of(members_.begin(), members_.end(),
                                      [this](const auto& each) { return each.first == current_->name; });
    if (removed && call_at_ == 0) lost(now);
    due_ = 0;
}

void ListSource::settle(Time now) {
    is_unsettled_ = false;
    ranking_ = members_;
    std::sort(ranking_.begin(), ranking_.end(), [](const auto& a, const auto& b) {
        return std::pair(hash_of(a.first), a.first) > std::pair(hash_of(b.first), b.first);
    });
    ranks_.clear();
    for (std::size_t i = 0; i < ranking_.size(); ++i) ranks_[ranking_[i].first] = static_cast<int>(i);
    const bool was_root = is_root(), was_settled = rank_ >= 0;
    const auto own = std::find_if(ranking_.begin(), ranking_.end(),
                                  [this](const auto& each) { return each.first == name_; });
    rank_ =
        own == ranking_.end() ? static_cast<int>(ranking_.size()) : static_cast<int>(own - ranking_.begin());
    // A follower that is being served keeps its source whatever its rank is now; otherwise each joining
    // member would make many others switch.
    if (was_settled && was_root == is_root()) return;
    const bool served = current_ && without_list_since_ == 0 && call_at_ == 0;
    if (!was_settled && served && !is_root()) return;
    call_at_ = now;
    if (without_list_since_ == 0) without_list_since_ = now;
    if (was_settled) return;
    for (int rank = rank_; rank >= settings_.roots; rank = (rank - settings_.roots) / settings_.fan_out)
        call_at_ += settings_.level_delay;
}

bool ListSource::should_call_discovery(Time now) const {
    // As long as some members advertise the list, twice as many failures are tolerated.
    const int max_failures = settings_.max_member_failures * (list_holders_.empty() ? 1 : 2);
    return is_root() || (consecutive_failures_ >= max_failures &&
                         now - without_list_since_ >= settings_.max_time_without_list);
}

ListSource::Source ListSource::next_source(Time now) {
    if (newer_holder_) return *std::exchange(newer_holder_, std::nullopt);
    if (should_call_discovery(now)) return {true, "", {}};
    const bool use_holders = consecutive_failures_ > 0 || rank_ < 0;
    // A suspended member may still be advertised as a holder for seconds, so the one lost last is avoided.
    if (use_holders && !list_holders_.empty()) {
        const auto index = rng_() % list_holders_.size();
        return list_holders_[list_holders_[index].source.name == last_lost_
                                 ? (index + 1) % list_holders_.size()
                                 : index]
            .source;
    }
    if (consecutive_failures_ == 0)
        return {false, ranking_[parent_rank()].first, ranking_[parent_rank()].second};
    // After the parent failed: any member up to the parent's rank, or any root.
    const auto candidates =
        std::min(ranking_.size(), std::max(parent_rank() + 1, static_cast<std::size_t>(settings_.roots)));
    auto index = rng_() % candidates;
    if (ranking_[index].first == last_lost_) index = (index + 1) % candidates;
    return {false, ranking_[index].first, ranking_[index].second};
}

void ListSource::heard(Time) {
    consecutive_failures_ = 0;
    without_list_since_ = 0;
    response_due_at_ = 0;
}

bool ListSource::compare(Time now, std::uint64_t revision, const std::vector<ListHolder>& others) {
    // The first advertisement ends the retry delay, with jitter because other members wait as well.
    const bool was_waiting = call_at_ > now && consecutive_failures_ > 0 && !is_root();
    const bool had_none = list_holders_.empty();
    list_holders_.clear();
    for (const auto& each : others) {
        const auto rank = ranks_.find(each.source.name);
        if (rank_ < 0)
            list_holders_.push_back(each);
        else if (rank != ranks_.end() && (rank->second < rank_ || rank->second < settings_.roots))
            list_holders_.push_back(each);
    }
    if (had_none && !list_holders_.empty() && was_waiting) {
        call_at_ = std::min(
            call_at_, now + static_cast<Time>(rng_() % static_cast<std::uint64_t>(settings_.retry_delay)));
        due_ = 0;
    }
    // A node that has just started need not wait for its rank when others have the list already.
    if (rank_ < 0 && !list_holders_.empty() && !current_ && call_at_ == 0) {
        without_list_since_ = now;
        call_at_ = now + 1 + static_cast<Time>(rng_() % static_cast<std::uint64_t>(settings_.retry_delay));
        due_ = 0;
    }
    const auto newest =
        std::max_element(list_holders_.begin(), list_holders_.end(),
                         [](const auto& a, const auto& b) { return a.revision < b.revision; });
    const bool behind =
        newest != list_holders_.end() && newest->revision > revision && current_ && call_at_ == 0;
    if (!behind) return behind_since_ = 0, false;
    if (behind_since_ == 0) behind_since_ = now;
    if (now - behind_since_ < settings_.max_lag_time || now < next_switch_at_) return false;
    behind_since_ = 0;
    // Prevents repeated switches if the new source is the present one or is no better.
    next_switch_at_ = now + settings_.switch_interval +
                      static_cast<Time>(rng_() % static_cast<std::uint64_t>(settings_.switch_interval));
    newer_holder_ = newest->source;
    call_at_ = now;
    due_ = 0;
    return true;
}

bool ListSource::is_cycle(const std::vector<std::string>& via) const {
    // A tree with two roots and a fan-out of sixteen has at most four levels.
    constexpr std::size_t kMaxPathLength = 16;
    return via.size() >= kMaxPathLength || std::find(via.begin(), via.end(), name_) != via.end();
}

// Schedules the next call. Members are called again soon; calls to discovery are spread over the time that it
// would need for all the members that may have lost their source at the same time.
void ListSource::lost(Time now) {
    response_due_at_ = 0;
    last_lost_ = current_ ? current_->name : std::string();
    consecutive_failures_ = std::min(consecutive_failures_ + 1, 16);
    if (without_list_since_ == 0) without_list_since_ = now;
    const Time max_delay = is_root() ? settings_.max_root_retry_delay : settings_.max_retry_delay;
    const Time delay = std::min(max_delay, settings_.retry_delay << std::min(consecutive_failures_ - 1, 8));
    const Time all_calls = settings_.discovery_call_time * static_cast<Time>(members_.size()) / 2;
    const Time span = should_call_discovery(now) && !is_root() ? std::max(delay, all_calls) : delay;
    call_at_ = now + delay / 2 + static_cast<Time>(rng_() % static_cast<std::uint64_t>(span + 1));
    due_ = 0;
}

std::optional<ListSource::Source> ListSource::tick(Time now) {
    if (is_unsettled_) {
        // An isolated node waits longer, because others that started with it may not have joined yet.
        const bool isolated = members_.size() <= 1;
        const bool stable = now - changed_at_ >= settings_.settle_time && !isolated;
        if (stable || now - started_at_ >= settings_.max_settle_time) settle(now);
    }
    std::optional<Source> call;
    const bool can_call = rank_ >= 0 || !list_holders_.empty();
    if (can_call && call_at_ > 0 && now >= call_at_) {
        call_at_ = 0;
        current_ = call = next_source(now);
        response_due_at_ = call->discovery ? 0 : now + settings_.response_timeout;
    }
    due_ = call_at_ > 0 && can_call ? call_at_ : kNever;
    if (response_due_at_ > now) due_ = std::min(due_, response_due_at_);
    if (is_unsettled_)
        due_ = std::min(due_, std::max(now + 1, std::min(changed_at_ + settings_.settle_time,
                                                         started_at_ + settings_.max_settle_time)));
    if (is_unsettled_ && due_ <= now) due_ = now + settings_.settle_time;
    return call;
}

}  // namespace pinedoor::peers
