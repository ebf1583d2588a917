#include "policy/list_lease.hpp"

#include <algorithm>

namespace pinedoor::policy {
namespace {

// Shares of the lease, or of what is left of it.
constexpr Time kBeatSlack = 12;     // on top of the time between two beats
constexpr Time kPausesLeft = 8;     // pauses shrink as expiry nears, so that several calls fit in
constexpr Time kPatiencesLeft = 5;  // and so does the wait for an answer
// However seldom discovery need be asked, the fixed and the random part of a pause are no longer than these.
constexpr Time kLeastPaceShare = 8;
constexpr Time kPaceShare = 4;
constexpr Time kDoubtedShare = 3;  // by so much the age of a known list counts at most

// Shares of the stated time in which discovery must be asked, which tells how many calls it bears.
constexpr Time kLeastPauseStated = 16;
constexpr Time kLeastPauseExpired = 4;
constexpr Time kPauseStated = 8;

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

Time ListLease::sparing_pause() const {
    return std::min(terms_.must_ask_in / kPauseStated, terms_.told_after / kPaceShare);
}

Time ListLease::longest_pause(Time now) const {
    const Time left_now = left(now);
    return left_now > 0 ? std::max(left_now / kPausesLeft, sparing_pause()) : terms_.told_after / kPaceShare;
}

Time ListLease::least_pause(Time now) const {
    const Time stated = terms_.must_ask_in / (is_expired(now) ? kLeastPauseExpired : kLeastPauseStated);
    return std::min(stated, terms_.told_after / kLeastPaceShare);
}

Time ListLease::patience(Time now) const {
    const Time left_now = left(now);
    return std::max(sparing_pause(), (left_now > 0 ? left_now : terms_.told_after) / kPatiencesLeft);
}

Time ListLease::first_span(Time age) const {
    return (terms_.told_after - std::min(age, terms_.told_after / kDoubtedShare)) / 2;
}

}  // namespace pinedoor::policy
