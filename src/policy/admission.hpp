// Admission: how many parts may be sent, earned by answers. A multiget is taken only as far as timely answers
// have earned it: a node that sees little of a fleet learns of its queues too late, and all nodes together
// would keep them full for ever.
#pragma once

#include <cstddef>

#include "logic.hpp"

namespace pinedoor::policy {

class Admission {
public:
    explicit Admission(Time min_budget) : min_budget_(min_budget) {}

    std::size_t parts_allowed() const { return static_cast<std::size_t>(credit_); }
    void on_sent();
    void on_request(std::size_t parts);
    // Even share: parts in a tenth of a millisecond that this node's share of the fleet bears.
    void set_overload(double alpha, double fair_share);
    void on_answer(bool timely);
    void on_not_run() { earn(1); }  // it weighs on no server any more
    void advance(Time now);

private:
    void earn(double parts);
    void raise_limit();

    const Time min_budget_;
    double credit_ = 0;
    std::size_t largest_multiget_ = 0;  // parts of the longest multiget so far
    double credit_limit_ = 0;           // the most of it that is saved, or
    bool no_late_answers_ = true;       // no answer was late yet: that, and half as much:
    double timely_answers_ = 0;         // parts answered in time of late
    double fair_share_ = 0;
    double alpha_ = 0;
    Time advanced_to_ = 0;
};

}  // namespace pinedoor::policy
