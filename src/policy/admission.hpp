// Admission control by credit: the number of parts that may be sent, earned by answers. A multiget is
// admitted only as far as timely answers have earned it. A node that sees a small share of a fleet's traffic
// learns of server queues too late, and all nodes together would otherwise keep the queues full for ever.
#pragma once

#include <cstddef>

#include "logic.hpp"

namespace pinedoor::policy {

class Admission {
public:
    // `min_budget`: the shortest latency budget of all op types.
    explicit Admission(Time min_budget) : min_budget_(min_budget) {}

    std::size_t parts_allowed() const { return static_cast<std::size_t>(credit_); }
    void on_sent();
    void on_request(std::size_t parts);
    // `fair_share`: this node's share of the fleet's capacity, in parts per tenth of a millisecond.
    void set_overload(double alpha, double fair_share);
    void on_answer(bool timely);
    void on_not_run() { earn(1); }  // the send puts no load on any server
    // Earns credit for the time since the last call.
    void advance(Time now);

private:
    void earn(double parts);
    void raise_limit();

    const Time min_budget_;
    double credit_ = 0;
    std::size_t largest_multiget_ = 0;  // in parts
    double credit_limit_ = 0;
    bool no_late_answers_ = true;  // since the start; until then timely answers may raise the limit
    double timely_answers_ = 0;    // recent ones, decaying over a latency budget
    double fair_share_ = 0;
    double alpha_ = 0;
    Time advanced_to_ = 0;
};

}  // namespace pinedoor::policy
