#include "policy/overload_control.hpp"

#include <algorithm>
#include <utility>

namespace pinedoor::policy {
namespace {

constexpr Time kWindow = 10'000;             // one second
constexpr double kOverloadThreshold = 0.05;  // share of the samples in a window that show overload
constexpr int kMinSamples = 20;
// Alpha changes in steps of the mean weight of a part, so that a step has the same effect on a dozen shards
// and on several dozens.
constexpr double kStep = 0.5;
constexpr double kMaxAlpha = 2;
constexpr int kSevereDivisor = 4;  // overload is severe where more than 1 in 4 samples show it
constexpr double kLatencyGain = 1.0 / 32;
constexpr double kQuartileStep = 1.0 / 3;  // one step up for three steps down settles at the lower quartile
constexpr double kMinLowLatency = 10;      // one millisecond
constexpr double kSmoothing = 8;           // number of samples that a moving average covers

}  // namespace

OverloadControl::OverloadControl(Inboxes& inboxes, Time min_budget, int front_nodes)
    : inboxes_(inboxes), rare_interval_(2 * min_budget),
      front_nodes_(front_nodes), stats_{static_cast<double>(min_budget) / 8,
                                        static_cast<double>(min_budget) / 4, 0} {}

void OverloadControl::handle(const OverloadSample& sample) {
    ++samples_;
    sampled_servers_.insert(sample.server);
    if (!sample.overloaded) return;
    ++overload_samples_;
    overloaded_servers_.insert(sample.server);
}

// The low latency is the lower quartile, on which queues have little effect.
void OverloadControl::handle(const LatencySample& sample) {
    const auto latency = static_cast<double>(sample.latency);
    stats_.low_latency +=
        stats_.low_latency * kLatencyGain * (latency > stats_.low_latency ? kQuartileStep : -1);
    stats_.low_latency = std::max(stats_.low_latency, kMinLowLatency);
    stats_.mean_latency += (latency - stats_.mean_latency) * kLatencyGain;
    warm_answers_ += sample.warm ? 1 : 0;
}

void OverloadControl::handle(const PartWeights& weights) {
    const Time since = inboxes_.now - std::exchange(last_use_, inboxes_.now);
    mean_interval_ += (since - mean_interval_) / (mean_interval_ > 0 ? 4 : 1);
    mean_weight_ += (weights.mean - mean_weight_) / (mean_weight_ > 0 ? kSmoothing : 1);
}

void OverloadControl::handle(const Tick&) {
    if (last_use_ == 0) last_use_ = inboxes_.now;
    if (inboxes_.now < window_ends_) return;
    window_ends_ = inboxes_.now + kWindow;
    update_throughput();
    for (const auto& id : inboxes_.known_servers) inboxes_.servers[id].push_back(stats_);
    // With too few samples the counts carry over to the next window, while alpha falls. After severe
    // overload, where the multigets that alpha decides on are rare, it falls only once it was used; otherwise
    // it would be 0 again before each of them.
    const bool enough = samples_ >= kMinSamples;
    const bool unused = mean_interval_ > rare_interval_ && inboxes_.now - last_use_ > kWindow;
    if (!enough && unused && was_severe_) return;
    update_alpha(enough);
    const double share = static_cast<double>(ready_) / stats_.low_latency / front_nodes_;
    inboxes_.requests.push_back(Alpha{alpha_, share});
    if (!enough) return;
    was_severe_ = overload_samples_ * kSevereDivisor > samples_;
    reset_counts();
}

// The throughput is averaged over all warm servers and windows. Averaged over the servers that answered only,
// a node that sees little traffic would take its few answers from each for the throughput that servers
// sustain, and all nodes together would overload the servers in slow start. While most servers are in slow
// start the others say too little, and the previous value is kept.
void OverloadControl::update_throughput() {
    const double warm = static_cast<double>(ready_) - in_slow_start_;
    const double answered = std::exchange(warm_answers_, 0);
    if (2 * warm >= static_cast<double>(ready_))
        stats_.throughput += (answered / std::max(1.0, warm) / kWindow - stats_.throughput) / kSmoothing;
}

// Alpha responds to overload of the fleet. Time-outs at a few servers are a fault of these servers, which
// ejection and retries deal with; they must not raise alpha for all op types.
bool OverloadControl::is_widespread() const {
    const std::size_t few =
        std::max(std::min(ready_ / kFewServers, kFewServers), sampled_servers_.size() / kFewServers);
    return overloaded_servers_.size() > few;
}

void OverloadControl::update_alpha(bool enough) {
    const bool is_overload = enough && overload_samples_ > kOverloadThreshold * samples_;
    const double before = alpha_;
    const double step = kStep * mean_weight_;
    if (!is_overload) alpha_ = std::max(0.0, alpha_ - 2 * step);
    if (is_overload && is_widespread()) alpha_ = std::clamp(alpha_ * 2, step, kMaxAlpha * mean_weight_);
    if (before == 0 && alpha_ > 0) inboxes_.actions.emplace_back(LogLine{"pressure: alpha rises"});
}

void OverloadControl::reset_counts() {
    samples_ = overload_samples_ = 0;
    sampled_servers_.clear();
    overloaded_servers_.clear();
}

}  // namespace pinedoor::policy
