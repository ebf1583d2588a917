// One limit at one node: lets through what its share allows, and tells whoever it turns away when to return.
// A decider: a time in, a verdict out. What it lets through never adds up, over all nodes, to more than
//   per_second * W + burst + nodes      in any W seconds,
// since shares add up to the limit at most (fleet/leases), each bucket holds its share of the burst and one
// at least, and a share that grows begins with nothing saved for what it grew by.
#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <random>
#include <vector>

#include "fleet/terms.hpp"

namespace pinedoor::fleet {

// What may pass at a share that moves: it fills at the share, up to the share's part of the burst, one at
// least.
class Bucket {
public:
    // `saved`: at its begin. 0 where what an earlier life of the node saved may be in use still.
    explicit Bucket(const LimitTerms& limit, double initial_tokens = 0)
        : per_second_(limit.per_second), burst_(limit.burst), tokens_(initial_tokens) {}

    double refill(Time now, double share);  // what may pass now
    void take(double count) { tokens_ -= count; }

private:
    double capacity(double share) const;  // that may be saved at such a share

    double per_second_, burst_;
    double tokens_;
    Time refilled_at_ = 0;
    double share_ = 0;  // since then
};

// What comes, passed or not: a rate a second over a few seconds, that falls while nothing comes.
class Demand {
public:
    void came(Time now, double count = 1);
    // What this node needs of a limit: what came of late, and half as much again to grow into; soon nothing
    // once nothing comes.
    double need(Time now);

private:
    double rate_ = 0;
    Time rate_updated_at_ = 0;
    Time last_arrival_at_ = 0;  // last
};

class Gate {
public:
    Gate(const LimitTerms& limit, std::uint64_t seed) : bucket_(limit), random_(seed) {}

    // Whether one more may pass, at a share of so many a second; if not, after how long to return: between
    // half of and the whole time until as many as are turned away now could pass.
    bool pass(Time now, double share);
    bool has_room(Time now, double share) { return bucket_.refill(now, share) >= 1; }  // and takes nothing
    Time wait(double share, Time max_wait);
    double need(Time now) { return demand_.need(now); }

    std::uint64_t passed() const { return passed_; }
    std::uint64_t turned_away() const { return rejected_; }

private:
    Bucket bucket_;
    Demand demand_;
    std::mt19937_64 random_;
    std::uint64_t passed_ = 0, rejected_ = 0;
    double rejected_rate_ = 0;  // a second
    Time rejected_rate_updated_at_ = 0;
};

// What several limits speak of passes them all, or takes from none. Guards the others under a limit against
// one of them that is over a limit of its own: what that one turned away had used up the shared one before.
// `asks` takes from a limit with room, and lets a full one count what it turned away. Returns those that are
// full; none: it passed.
template <class Limit, class HasCapacity, class Acquire>
std::vector<Limit> turned_away_by(const std::vector<Limit>& limits, HasCapacity has_capacity,
                                  Acquire acquire) {
    std::vector<Limit> full;
    std::copy_if(limits.begin(), limits.end(), std::back_inserter(full),
                 [&](const auto& each) { return !has_capacity(each); });
    for (const auto& each : full.empty() ? limits : full) acquire(each);
    return full;
}

}  // namespace pinedoor::fleet
