#include "policy/admission.hpp"

#include <algorithm>
#include <utility>

namespace pinedoor::policy {
namespace {

constexpr double kCreditPerTimelyAnswer =
    1.5;  // parts, by an answer within half its latency budget; a late one its inverse
constexpr double kOverloadLimitShare = 1.0 / 3;  // of the depth is saved while alpha cuts

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

// From a start until the first answer that is late, what was just answered in time may go out again at once,
// and half as much more: a fresh node knows too little of servers for its even share, and would turn idle
// ones' clients away.
void Admission::earn(double parts) {
    const double limit = alpha_ > 0 ? credit_limit_ * kOverloadLimitShare
                                    : std::max(credit_limit_, kCreditPerTimelyAnswer * timely_answers_);
    credit_ = std::min(limit, credit_ + parts);
}

// As deep as the longest multiget and, on top, this node's even share of a latency budget's work.
void Admission::raise_limit() {
    const double share = fair_share_ * static_cast<double>(min_budget_);
    const double limit = static_cast<double>(largest_multiget_) + share;
    if (limit > credit_limit_) credit_ += limit - std::exchange(credit_limit_, limit);
}

}  // namespace pinedoor::policy
