// Overload control: alpha, the weight that a part must exceed to be sent, which rises with this node's own
// time-outs and full refusals; and what a part usually costs, over all index servers.
#pragma once

#include <set>

#include "policy/messages.hpp"

namespace pinedoor::policy {

// Up to a quarter of so many servers, or of all, is a few.
inline constexpr std::size_t kFewServers = 4;

class OverloadControl {
public:
    OverloadControl(Inboxes& inboxes, Time min_budget, int front_nodes);

    void handle(const OverloadSample& sample);
    void handle(const LatencySample& sample);
    void handle(const PartWeights& weights);
    void handle(const SlowStartChange& change) { in_slow_start_ += change.delta; }
    void handle(const ReadyServers& servers) { ready_ = static_cast<std::size_t>(servers.count); }
    void handle(const Tick&);

private:
    void update_throughput();
    bool is_widespread() const;
    void update_alpha(bool enough);
    void reset_counts();

    Inboxes& inboxes_;
    const Time rare_interval_;  // multigets that come further apart are
    const int front_nodes_;
    AnswerStats stats_;
    std::size_t ready_ = 0;  // servers listed
    int in_slow_start_ = 0;  // of these
    double alpha_ = 0;
    double mean_weight_ = 0;
    Time last_use_ = 0;        // when alpha last decided on a multiget
    Time mean_interval_ = 0;   // from one such to the next, of late
    bool was_severe_ = false;  // over a quarter pressed when last counted

    // Of the present window.
    Time window_ends_ = 0;
    int samples_ = 0;
    int overload_samples_ = 0;
    std::set<ServerId> sampled_servers_;  // where a send ended or became overdue
    std::set<ServerId> overloaded_servers_;
    int warm_answers_ = 0;  // answers of servers that were not in slow start
};

}  // namespace pinedoor::policy
