// Admission for one limit at one front node: lets through what the node's share allows, and tells clients
// that are rejected when to retry. Without I/O: takes the current time, returns a decision. Over all nodes it
// never admits more than
//   per_second * W + burst + nodes      in any W seconds,
// since shares add up to at most the limit (fleet/leases), each bucket holds its share of the burst and at
// least one token, and the part by which a share grew starts without saved tokens.
#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <random>
#include <vector>

#include "fleet/terms.hpp"

namespace pinedoor::fleet {

// Token bucket for a share that varies. It fills at the rate of the share, up to the share's part of the
// burst but at least one token.
class TokenBucket {
public:
    // `initial_tokens`: 0 where tokens of an earlier incarnation of the node may still be in use.
    explicit TokenBucket(const LimitConfig& limit, double initial_tokens = 0)
        : per_second_(limit.per_second), burst_(limit.burst), tokens_(initial_tokens) {}

    double refill(Time now, double share);  // returns the tokens available now
    void take(double count) { tokens_ -= count; }

private:
    double capacity(double share) const;

    double per_second_, burst_;
    double tokens_;
    Time refilled_at_ = 0;
    double share_ = 0;  // since refilled_at_, per second
};

// Estimates the demand from arrivals, admitted or not: a rate per second averaged over a few seconds, which
// decays while nothing arrives.
class DemandEstimator {
public:
    void came(Time now, double count = 1);
    // What this node needs of a limit: the recent rate with half as much again for growth. Falls to zero soon
    // after the last arrival.
    double need(Time now);

private:
    double rate_ = 0;
    Time rate_updated_at_ = 0;
    Time last_arrival_at_ = 0;
};

// Admits requests at the rate of this node's share, and estimates the need for it.
class Gate {
public:
    Gate(const LimitConfig& limit, std::uint64_t seed) : bucket_(limit), random_(seed) {}

    // Whether one more may pass now. `share`: this node's, per second.
    bool pass(Time now, double share);
    bool has_room(Time now, double share) { return bucket_.refill(now, share) >= 1; }  // takes no token
    // Retry delay for a rejected request: random, between half of and the full time after which as many as
    // are rejected now could pass, but no longer than `max_wait`.
    Time wait(double share, Time max_wait);
    double need(Time now) { return demand_.need(now); }

    std::uint64_t passed() const { return passed_; }
    std::uint64_t turned_away() const { return rejected_; }

private:
    TokenBucket bucket_;
    DemandEstimator demand_;
    std::mt19937_64 random_;
    std::uint64_t passed_ = 0, rejected_ = 0;
    double rejected_rate_ = 0;  // per second
    Time rejected_rate_updated_at_ = 0;
};

// Admits a request under all of its limits or under none. Otherwise a tenant over a limit of its own would
// use up a shared limit with requests that its own limit rejects. `acquire` takes from a limit that has
// capacity and counts a rejection at one that has none. Returns the limits without capacity; empty if the
// request is admitted.
template <class Limit, class HasCapacity, class Acquire>
std::vector<Limit> acquire_all(const std::vector<Limit>& limits, HasCapacity has_capacity, Acquire acquire) {
    std::vector<Limit> full;
    std::copy_if(limits.begin(), limits.end(), std::back_inserter(full),
                 [&](const auto& each) { return !has_capacity(each); });
    for (const auto& each : full.empty() ? limits : full) acquire(each);
    return full;
}

}  // namespace pinedoor::fleet
