// The lease on the list of index servers: how old what this front node goes by may be, and every limit on the
// way to a newer list, derived from what is left of it. docs/design.md, "The list is a lease".
#pragma once

#include "logic.hpp"

namespace pinedoor::policy {

class ListLease {
public:
    explicit ListLease(ListTerms terms) : terms_(terms) {}

    // Discovery is known to have been heard then. Earlier moments change nothing.
    void heard(Time at);
    // Discovery answered a call, though not with a whole list.
    void answered_in_part(Time at) { answered_in_part_ = at; }
    // It refused a call, or could not be reached: it may be down since it last answered.
    void refused() { answered_in_part_ = kNever; }

    bool is_granted() const { return heard_ != kNever; }  // a list is held
    Time left(Time now) const;                            // 0: expired, or never granted
    bool is_expired(Time now) const { return is_granted() && left(now) == 0; }
    // Expired while discovery can be reached, so that what it had to tell counts as told: nothing may be sent
    // by the list. While discovery is down or cut off the list stays in use.
    bool forbids_sends(Time now) const;

    // A watch that says nothing for longer is taken for dead.
    Time longest_silence() const;
    // After a failed call: a pause that is at least so long, and a random part of at most so much more.
    Time least_pause(Time now) const;
    Time longest_pause(Time now) const;
    // After so long another call is made beside one that is not answered.
    Time patience(Time now) const;
    // Over which the first call after a start is spread, with a known list of this age.
    Time first_span(Time age) const;

private:
    // Crowded discovery spends its time on refusals where calls come closer.
    Time sparing_pause() const;

    static constexpr Time kNever = std::numeric_limits<Time>::min();

    ListTerms terms_;
    Time heard_ = kNever;
    Time answered_in_part_ = kNever;
};

}  // namespace pinedoor::policy
