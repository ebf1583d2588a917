#include "fleet/about.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "fleet/leases.hpp"

namespace pinedoor::fleet {

std::string write_needs(const std::map<std::string, double>& needs) {
    std::ostringstream out;
    for (const auto& [name, need] : needs) {
        if (need > 0) out << name << ' ' << std::ceil(need) << ' ';
    }
    return out.str();
}

std::map<std::string, double> read_needs(const std::string& text) {
    constexpr double kMaxNeed = 1e9;
    std::map<std::string, double> needs;
    std::istringstream in(text);
    double need = 0;
    for (std::string name; in >> name >> need && needs.size() < kMaxApproximateLimits;) {
        if (need > 0) needs[name] = std::min(need, kMaxNeed);  // false for NaN
    }
    return needs;
}

// A need is published when it changed by more than a quarter, when it ended, and to renew the record.
std::optional<double> ApproximateShare::say(Time now) {
    if (published_at_ > 0 && now - published_at_ < terms_.publish_interval) return std::nullopt;
    const double difference = std::abs(need_ - published_need_);
    const bool changed = difference > published_need_ / 4 && difference > terms_.floor() / 4;
    const bool ended = need_ <= 0 && published_need_ > 0;
    if (!changed && !ended && (published_need_ <= 0 || now - published_at_ < terms_.record_lifetime / 3))
        return std::nullopt;
    published_at_ = now;
    published_need_ = need_;
    update_target(now);
    return published_need_;
}

void ApproximateShare::hear(Time now, const std::vector<double>& others, std::size_t members, bool ready) {
    other_needs_ = others;
    member_count_ = std::max<std::size_t>(1, members);
    ready_ = ready;
    update_target(now);
}

// Without the needs of others this node uses its floor only.
void ApproximateShare::update_target(Time now) {
    const double live_fraction =
        std::min(1.0, static_cast<double>(member_count_) / std::max(1, terms_.node_count));
    double share = 0;
    if (ready_ && member_count_ > 1) {
        auto needs = other_needs_;
        needs.push_back(published_need_);
        share = max_min(terms_.limit * (1 - terms_.floor_share) * live_fraction, needs).back();
    }
    if (!targets_.empty() && targets_.back().second == share) return;
    targets_.emplace_back(now, share);
}

// The smallest share computed within `propagation_delay`: decreases take effect at once, increases after it.
double ApproximateShare::allowance(Time now) {
    while (targets_.size() > 1 && targets_[1].first + terms_.propagation_delay <= now) targets_.pop_front();
    double smallest = targets_.empty() || targets_.front().first + terms_.propagation_delay > now
                          ? 0
                          : targets_.front().second;
    for (const auto& [since, share] : targets_) smallest = std::min(smallest, share);
    return terms_.floor() + smallest;
}

}  // namespace pinedoor::fleet
