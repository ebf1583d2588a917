// One limit at one node: lets through what its share allows, and tells whoever it turns away when to return. A
// decider: a time in, a verdict out. What it lets through never adds up, over all nodes, to more than
//   per_second * W + burst + nodes      in any W seconds,
// since shares add up to the limit at most (fleet/leases), each bucket holds its share of the burst and one at least,
// and a share that grows begins with nothing saved for what it grew by.
#pragma once

#include <cstdint>
#include <random>

#include "fleet/terms.hpp"

namespace pinedoor::fleet {

class Gate {
public:
    Gate(const LimitTerms& limit, std::uint64_t seed) : limit_(limit), chance_(seed) {}

    // Whether one more may pass, at a share of so many a second; if not, after how long to return: between half of
    // and the whole time until as many as are turned away now could pass.
    bool pass(Time now, double share);
    Time wait(double share, Time most);
    // What this node needs of the limit: what came of late, passed or not, and half as much again to grow into; soon
    // nothing once nothing comes.
    double need(Time now);

    std::uint64_t passed() const { return passed_; }
    std::uint64_t turned_away() const { return turned_away_; }

private:
    double most(double share) const;  // that may be saved at such a share
    void refill(Time now, double share);
    void count(Time now);

    const LimitTerms limit_;
    std::mt19937_64 chance_;
    double saved_ = 0;
    Time filled_at_ = 0;
    double share_ = 0;  // since then
    double rate_ = 0;  // a second, of what came
    Time rate_at_ = 0;
    Time came_at_ = 0;  // last
    std::uint64_t came_ = 0, passed_ = 0, turned_away_ = 0;
    double away_lately_ = 0;
};

}  // namespace pinedoor::fleet
