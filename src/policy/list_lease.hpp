// The lease on the list of index servers: how old what this front node goes by may be, and every limit on the
// way to a newer list, derived from what is left of it. docs/design.md, "The list is a lease".
#pragma once

#include "logic.hpp"

namespace pinedoor::policy {

class ListLease {
public:
    explicit ListLease(ListTerms config) : config_(config) {}

    // Discovery is known to have been heard then. Earlier moments change nothing.
    void on_contact(Time when);
    // Discovery answered a call, though not with a whole list.
    void on_incomplete_answer(Time when) { incomplete_answer_at_ = when; }
    // It refused a call, or could not be reached: it may be down since it last answered.
    void on_refusal() { incomplete_answer_at_ = kNever; }

    bool is_granted() const { return last_contact_ != kNever; }  // a list is held
    Time left(Time now) const;                                   // 0: expired, or never granted
    bool is_expired(Time now) const { return is_granted() && left(now) == 0; }
    // Expired while discovery can be reached, so that what it had to tell counts as told: nothing may be sent
    // by the list. While discovery is down or cut off the list stays in use.
    bool forbids_sends(Time now) const;

    // A watch that says nothing for longer is taken for dead.
    Time max_silence() const;
    // After a failed call: a pause that is at least so long, and a random part of at most so much more.
    Time min_pause(Time now) const;
    Time max_pause(Time now) const;
    // After so long another call is made beside one that is not answered.
    Time overdue_timeout(Time now) const;
    // Over which the first call after a start is spread, with a known list of this age.
    Time first_span(Time age) const;

private:
    // Crowded discovery spends its time on refusals where calls come closer.
    Time sparing_pause() const;

    static constexpr Time kNever = std::numeric_limits<Time>::min();

    ListTerms config_;
    Time last_contact_ = kNever;
    Time incomplete_answer_at_ = kNever;
};

}  // namespace pinedoor::policy
