// Overload control. Computes alpha, the weight that a part must exceed to be sent, which rises with this
// node's own time-outs and refusals by full servers; and the statistics of answers over all index servers.
#pragma once

#include <set>

#include "policy/messages.hpp"

namespace pinedoor::policy {

// Servers are few up to one in this many of the ready ones, but at most this number, or up to one in this
// many of those in use.
inline constexpr std::size_t kFewServers = 4;

class OverloadControl {
public:
    // `min_budget`: the shortest latency budget of all op types.
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
    // `enough`: the window has enough samples to show overload.
    void update_alpha(bool enough);
    void reset_counts();

    Inboxes& inboxes_;
    const Time rare_interval_;  // multigets at longer intervals are rare
    const int front_nodes_;
    AnswerStats stats_;
    std::size_t ready_ = 0;  // servers that the list names as ready
    int in_slow_start_ = 0;  // number of these that are in slow start
    double alpha_ = 0;
    double mean_weight_ = 0;   // of a part
    Time last_use_ = 0;        // when alpha last decided on a multiget
    Time mean_interval_ = 0;   // recent mean interval between such multigets
    bool was_severe_ = false;  // overload was severe in the last window with enough samples

    // Counts of the current window.
    Time window_ends_ = 0;
    int samples_ = 0;
    int overload_samples_ = 0;
    std::set<ServerId> sampled_servers_;  // servers where a send ended or became overdue
    std::set<ServerId> overloaded_servers_;
    int warm_answers_ = 0;  // answers of servers that were not in slow start
};

}  // namespace pinedoor::policy
