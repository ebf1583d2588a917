// Budget of further sends: retries and second copies stay within a configured floor plus a configured ratio
// of the requests and parts received in the same window, and within this node's share of the fleet's limit.
#pragma once

#include <deque>

#include "policy/messages.hpp"

namespace pinedoor::policy {

class RetryBudget {
public:
    // `slack`: longest time from a decision until the send arrives: a turn and a connect time-out. A send
    // counts from its arrival, which is not known here; the budget holds whenever in this time it arrives.
    RetryBudget(Inboxes& inboxes, FurtherSendConfig config, Time slack)
        : inboxes_(inboxes), config_(config), slack_(slack) {}

    void record_received(int requests_and_parts) { record({inboxes_.now, requests_and_parts, 0}); }
    void record_further_sends(int sends);
    // Whether `more` further sends are within the budget.
    bool allows(std::size_t more = 1) const;

private:
    struct Entry {
        Time when = 0;
        int received = 0;  // requests and parts
        int further_sends = 0;
    };
    // What counts now, of requests and parts and of further sends.
    struct Sums {
        Time at = -1;
        int received = 0;
        int further_sends = 0;
    };
    void record(const Entry& entry);
    // Worked out once a turn: many parts may ask for a further send in one.
    const Sums& sums() const;
    int received_after(Time when) const;
    int further_sends_since(Time when) const;

    Inboxes& inboxes_;
    const FurtherSendConfig config_;
    const Time slack_;
    std::deque<Entry> log_;  // entries that still count, one for each turn, oldest first
    mutable Sums sums_;      // of the turn in which they were last asked for
};

}  // namespace pinedoor::policy
