// The budget of further attempts: retries and second copies keep within the stated few, plus the stated share
// of what was taken in the same time, and within this node's part of the fleet's limit of them.
#pragma once

#include <deque>

#include "policy/messages.hpp"

namespace pinedoor::policy {

class RetryBudget {
public:
    // Slack: a turn and a connect time-out. An attempt counts when it arrives, maybe so much later: it counts
    // against the budget either way.
    RetryBudget(Inboxes& inboxes, FurtherSendTerms config, Time slack)
        : inboxes_(inboxes), config_(config), slack_(slack) {}

    void record_received(int requests_and_parts) { record({inboxes_.now, requests_and_parts, 0}); }
    void record_further_sends(int sends);
    bool allows(std::size_t more = 1) const;

private:
    struct Entry {
        Time when = 0;
        int received = 0;
        int further_sends = 0;
    };
    void record(const Entry& entry);
    int received_after(Time when) const;
    int further_sends_since(Time when) const;

    Inboxes& inboxes_;
    const FurtherSendTerms config_;
    const Time slack_;
    std::deque<Entry> log_;  // for as long as they count
};

}  // namespace pinedoor::policy
