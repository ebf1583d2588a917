#include "policy/list_lease.hpp"

#include <algorithm>

namespace pinedoor::policy {
namespace {

// Divisors of the lease duration, or of the time that is left of the lease.
constexpr Time kHeartbeatSlackDivisor = 12;  // slack on top of the heartbeat interval
constexpr Time kMaxPauseDivisor = 8;         // pauses shrink towards expiry, so that several calls fit in
constexpr Time kOverdueDivisor = 5;          // the wait for an answer shrinks likewise
// Upper limits on the fixed and the random part of a pause, however long `refresh_within` is.
constexpr Time kFixedPauseDivisor = 8;
constexpr Time kRandomPauseDivisor = 4;
constexpr Time kSavedAgeDivisor = 3;  // limit on the age that a saved list counts with

// Divisors of `refresh_within`, which is a measure of the calls that discovery sustains.
constexpr Time kMinPauseDivisor = 16;
constexpr Time kMinPauseExpiredDivisor = 4;
constexpr Time kSparingPauseDivisor = 8;

}  // namespace

void ListLease::on_contact(Time when) {
    if (when > last_contact_) last_contact_ = when;
}

Time ListLease::left(Time now) const {
    return is_granted() ? std::max<Time>(0, last_contact_ + config_.told_after - now) : 0;
}

bool ListLease::forbids_sends(Time now) const {
    return is_expired(now) && incomplete_answer_at_ != kNever && incomplete_answer_at_ > last_contact_ &&
           now - incomplete_answer_at_ < config_.told_after;
}

Time ListLease::max_silence() const { return config_.beat + config_.told_after / kHeartbeatSlackDivisor; }

Time ListLease::sparing_pause() const {
    return std::min(config_.refresh_within / kSparingPauseDivisor, config_.told_after / kRandomPauseDivisor);
}

Time ListLease::max_pause(Time now) const {
    const Time left_now = left(now);
    return left_now > 0 ? std::max(left_now / kMaxPauseDivisor, sparing_pause())
                        : config_.told_after / kRandomPauseDivisor;
}

Time ListLease::min_pause(Time now) const {
    const Time by_refresh_time =
        config_.refresh_within / (is_expired(now) ? kMinPauseExpiredDivisor : kMinPauseDivisor);
    return std::min(by_refresh_time, config_.told_after / kFixedPauseDivisor);
}

Time ListLease::overdue_timeout(Time now) const {
    const Time left_now = left(now);
    return std::max(sparing_pause(), (left_now > 0 ? left_now : config_.told_after) / kOverdueDivisor);
}

Time ListLease::first_span(Time age) const {
    return (config_.told_after - std::min(age, config_.told_after / kSavedAgeDivisor)) / 2;
}

}  // namespace pinedoor::policy
