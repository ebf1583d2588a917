#include "policy/slow_start.hpp"

#include <algorithm>

namespace pinedoor::policy {
namespace {

constexpr double kSafetyFactor = 0.9;  // on the configured overload multiple
constexpr double kMinRate = 1e-12;     // avoids a division by 0

}  // namespace

void SlowStart::begin(Time started_at, Time now, double slots) {
    started_at_ = started_at;
    slots_ = slots;
    accrued_to_ = now;
}

void SlowStart::accrue(Time now, const AnswerStats& stats) {
    if (!is_on(now)) return;
    const auto age = static_cast<double>(std::max<Time>(0, now - started_at_));
    const double warmth = config_.from + (1 - config_.from) * age / static_cast<double>(config_.warm_after);
    const double throughput = std::max(stats.throughput, 1 / stats.low_latency / front_nodes_);
    const double share = kSafetyFactor * config_.overload_multiple * warmth * throughput;
    const double rate = std::clamp(front_nodes_ * share - others_rate_, 0.0, share);
    const double max_slots = std::max(1.0, rate * static_cast<double>(config_.overload_after) / 2);
    slots_ = std::min(max_slots, slots_ + rate * static_cast<double>(now - accrued_to_));
    accrued_to_ = now;
    // With an initial share of 0 the rate is 0 at first. A slot is free at the latest when the server is
    // warm.
    const double wait =
        std::min((1 - slots_) / std::max(rate, kMinRate), static_cast<double>(config_.warm_after));
    next_slot_at_ = slots_ >= 1 ? 0 : now + static_cast<Time>(wait);
}

void SlowStart::on_sent() {
    slots_ -= 1;
    ++parts_sent_;
}

int SlowStart::free_slots() const { return static_cast<int>(std::max(0.0, slots_)); }

}  // namespace pinedoor::policy
