#include "fleet/gate.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pinedoor::fleet {
namespace {

constexpr double kSecond = 10'000;
constexpr double kAveragingSeconds = 2;  // time constant of average rates
constexpr double kHeadroomFactor = 1.5;
// A silence in which this many arrivals were expected occurs by chance with probability e^-4 (one in fifty).
constexpr double kExpectedArrivals = 4;

// Factor of an exponentially weighted average for the time since `updated_at`, which it sets to now.
double decay_factor(Time& updated_at, Time now) {
    const double since = updated_at == 0 ? 0 : static_cast<double>(now - updated_at) / kSecond;
    updated_at = now;
    return std::exp(-std::max(0.0, since) / kAveragingSeconds);
}

}  // namespace

double TokenBucket::capacity(double share) const {
    return std::max(1.0, per_second_ > 0 ? burst_ * share / per_second_ : 0);
}

// Tokens up to now accrue at the previous share. Otherwise an idle node whose share grows would at once have
// the burst of the added part, which the node that gave it up may just have used.
double TokenBucket::refill(Time now, double share) {
    const double since = refilled_at_ == 0 ? 0 : static_cast<double>(now - refilled_at_) / kSecond;
    if (refilled_at_ == 0) share_ = share;
    refilled_at_ = now;
    tokens_ = std::min(capacity(share_), tokens_ + std::max(0.0, since) * share_);
    // A share that shrank gives up its part of the burst.
    tokens_ = std::min(capacity(share), tokens_);
    share_ = share;
    return tokens_;
}

void DemandEstimator::came(Time now, double count) {
    rate_ = rate_ * decay_factor(rate_updated_at_, now) + count / kAveragingSeconds;
    last_arrival_at_ = now;
}

double DemandEstimator::need(Time now) {
    rate_ *= decay_factor(rate_updated_at_, now);
    // Lowers the estimate early during a silence: by the average alone, a node whose tenant moved to another
    // node would hold part of the limit for seconds. At a higher rate something would have arrived by now
    // with a probability of 49 in 50.
    const double silent_seconds = static_cast<double>(now - last_arrival_at_) / kSecond;
    const double rate = silent_seconds > 0 ? std::min(rate_, kExpectedArrivals / silent_seconds) : rate_;
    return rate < 0.01 ? 0 : kHeadroomFactor * rate + 1;
}

bool Gate::pass(Time now, double share) {
    demand_.came(now);
    rejected_rate_ *= decay_factor(rejected_rate_updated_at_, now);
    if (bucket_.refill(now, share) < 1) {
        ++rejected_;
        rejected_rate_ += 1 / kAveragingSeconds;
        return false;
    }
    bucket_.take(1);
    ++passed_;
    return true;
}

Time Gate::wait(double share, Time max_wait) {
    const double seconds_per_token = 1 / std::max(share, 1e-3);  // seconds
    const double backlog = std::max(1.0, rejected_rate_) * seconds_per_token * kSecond;
    const auto delay = std::clamp<Time>(static_cast<Time>(backlog), 1, std::max<Time>(1, max_wait));
    return delay - static_cast<Time>(random_() % static_cast<std::uint64_t>(delay / 2 + 1));
}

}  // namespace pinedoor::fleet
