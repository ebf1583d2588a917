#include "policy/list_lease.hpp"

#include <algorithm>

namespace pinedoor::policy {
namespace {

// Shares of the lease, or of what is left of it.
constexpr Time kBeatSlack = 12;        // on top of the time between two beats
constexpr Time kPausesLeft = 8;        // pauses shrink as expiry nears, so that several calls fit in
constexpr Time kPatiencesLeft = 5;     // and so does the wait for an answer
constexpr Time kLeastPauseShare = 24;  // of the lease
constexpr Time kPaceShare = 8;         // after expiry a pause is one to three eighths of the lease
constexpr Time kDoubtedShare = 3;      // of the lease: by so much the age of a known list counts at most

}  // namespace

void ListLease::heard(Time at) {
    if (at > heard_) heard_ = at;
}

Time ListLease::left(Time now) const {
    return is_granted() ? std::max<Time>(0, heard_ + terms_.told_after - now) : 0;
}

bool ListLease::forbids_sends(Time now) const {
    return is_expired(now) && answered_in_part_ != kNever && answered_in_part_ > heard_ &&
           now - answered_in_part_ < terms_.told_after;
}

Time ListLease::longest_silence() const { return terms_.beat + terms_.told_after / kBeatSlack; }

Time ListLease::longest_pause(Time now) const {
    const Time left_now = left(now);
    return left_now > 0 ? left_now / kPausesLeft : terms_.told_after * 2 / kPaceShare;
}

Time ListLease::least_pause(Time now) const {
    if (is_expired(now)) return std::min(terms_.must_ask_in / 4, terms_.told_after / kPaceShare);
    return std::min(terms_.must_ask_in / 16, terms_.told_after / kLeastPauseShare);
}

Time ListLease::patience(Time now) const {
    const Time left_now = left(now);
    return std::max(least_pause(now), (left_now > 0 ? left_now : terms_.told_after) / kPatiencesLeft);
}

Time ListLease::first_span(Time age) const {
    return (terms_.told_after - std::min(age, terms_.told_after / kDoubtedShare)) / 2;
}

}  // namespace pinedoor::policy
