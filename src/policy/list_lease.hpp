// The lease on the server list: how old the list that this front node acts on may be. All limits on the calls
// for a newer list are derived from the time that is left of it. See docs/design.md, "The list is a lease".
#pragma once

#include "logic.hpp"

namespace pinedoor::policy {

class ListLease {
public:
    explicit ListLease(ServerListConfig config) : config_(config) {}

    // Records a contact with discovery. A time before the last contact changes nothing.
    void on_contact(Time when);
    // Discovery answered a call, but with an incomplete list.
    void on_incomplete_answer(Time when) { incomplete_answer_at_ = when; }
    // A call was refused or did not reach discovery: it may have been down since its last answer.
    void on_refusal() { incomplete_answer_at_ = kNever; }

    bool is_granted() const { return last_contact_ != kNever; }  // a list is held
    Time left(Time now) const;                                   // 0: expired, or never granted
    bool is_expired(Time now) const { return is_granted() && left(now) == 0; }
    // The lease expired while discovery was reachable, so that any change there counts as received: the list
    // must not be used for sends. While discovery is down or unreachable the list stays in use.
    bool forbids_sends(Time now) const;

    // A watch that is silent for longer is considered dead.
    Time max_silence() const;
    // The pause after a failed call is at least min_pause(), plus a random part of at most max_pause().
    Time min_pause(Time now) const;
    Time max_pause(Time now) const;
    // Time after which another call is made beside an unanswered one.
    Time overdue_timeout(Time now) const;
    // Time over which the first call after a start is spread, for a saved list of this age.
    Time first_span(Time age) const;

private:
    // Lower limit on the spacing of calls: with closer calls an overloaded discovery would spend its time on
    // refusals.
    Time sparing_pause() const;

    static constexpr Time kNever = std::numeric_limits<Time>::min();

    ServerListConfig config_;
    Time last_contact_ = kNever;
    Time incomplete_answer_at_ = kNever;
};

}  // namespace pinedoor::policy
