#include "policy/admission.hpp"

#include <algorithm>
#include <utility>

namespace pinedoor::policy {
namespace {

// Credit, in parts, for an answer within half its latency budget; a later one gives the inverse.
constexpr double kCreditPerTimelyAnswer = 1.5;
constexpr double kOverloadLimitShare = 1.0 / 3;  // of the credit limit, while alpha is above 0

}  // namespace

void Admission::on_sent() { credit_ = std::max(0.0, credit_ - 1); }

void Admission::on_request(std::size_t parts) {
    largest_multiget_ = std::max(largest_multiget_, parts);
    raise_limit();
}

void Admission::set_overload(double alpha, double fair_share) {
    alpha_ = alpha;
    fair_share_ = fair_share;
    raise_limit();
}

void Admission::on_answer(bool timely) {
    if (!timely) no_late_answers_ = false;
    timely_answers_ += no_late_answers_ ? 1 : 0;
    earn(timely ? kCreditPerTimelyAnswer : 1 / kCreditPerTimelyAnswer);
}

void Admission::advance(Time now) {
    const auto since = static_cast<double>(now - std::exchange(advanced_to_, now));
    timely_answers_ -= timely_answers_ * std::min(1.0, since / static_cast<double>(min_budget_));
    earn(fair_share_ * since / 2);
}

// From the start of the node until the first late answer, as many parts as were recently answered in time,
// and half as many more, may be sent at once. A new node knows too little of the servers for its fair share,
// and would turn clients of idle servers away.
void Admission::earn(double parts) {
    const double limit = alpha_ > 0 ? credit_limit_ * kOverloadLimitShare
                                    : std::max(credit_limit_, kCreditPerTimelyAnswer * timely_answers_);
    credit_ = std::min(limit, credit_ + parts);
}

// The limit is the size of the largest multiget plus this node's fair share over one latency budget.
void Admission::raise_limit() {
    const double share = fair_share_ * static_cast<double>(min_budget_);
    const double limit = static_cast<double>(largest_multiget_) + share;
    if (limit > credit_limit_) credit_ += limit - std::exchange(credit_limit_, limit);
}

}  // namespace pinedoor::policy
