#include "policy/retry_budget.hpp"

namespace pinedoor::policy {

void RetryBudget::record_further_sends(int sends) {
    record({inboxes_.now, 0, sends});
    inboxes_.further_sends += sends;
}

bool RetryBudget::allows(std::size_t more) const {
    if (config_.look_back == 0) return inboxes_.allows_further_sends(more);
    const double earned = config_.ratio * sums().received;
    const double left = config_.floor + earned - sums().further_sends;
    return left >= static_cast<double>(more) && inboxes_.allows_further_sends(more);
}

const RetryBudget::Sums& RetryBudget::sums() const {
    const Time now = inboxes_.now;
    if (sums_.at != now) {
        sums_ = {now, received_after(now - config_.look_back + slack_),
                 further_sends_since(now - config_.look_back - slack_)};
    }
    return sums_;
}

void RetryBudget::record(const Entry& entry) {
    if (sums_.at == entry.when) {
        sums_.received += config_.look_back > slack_ ? entry.received : 0;
        sums_.further_sends += entry.further_sends;
    }
    const Time keep_from = inboxes_.now - config_.look_back - slack_;
    while (!log_.empty() && log_.front().when < keep_from) log_.pop_front();
    if (log_.empty() || log_.back().when != entry.when) {
        log_.push_back(entry);
        return;
    }
    log_.back().received += entry.received;
    log_.back().further_sends += entry.further_sends;
}

int RetryBudget::received_after(Time when) const {
    int sum = 0;
    for (const auto& entry : log_) sum += entry.when > when ? entry.received : 0;
    return sum;
}

int RetryBudget::further_sends_since(Time when) const {
    int sum = 0;
    for (const auto& entry : log_) sum += entry.when >= when ? entry.further_sends : 0;
    return sum;
}

}  // namespace pinedoor::policy
