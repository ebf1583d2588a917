#include "fleet/at_servers.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace pinedoor::fleet {

bool ConnectionRateLimiter::try_open(Time now, std::uint64_t server, double share) {
    auto& entry = servers_.try_emplace(server, Server{TokenBucket(limit_, 1), {}}).first->second;
    entry.demand.came(now);
    if (entry.bucket.refill(now, share) < 1) {
        ++deferred_;
        return false;
    }
    entry.bucket.take(1);
    return true;
}

bool ConnectionRateLimiter::has_room(Time now, std::uint64_t server, double share) {
    const auto found = servers_.find(server);
    return found == servers_.end() || found->second.bucket.refill(now, share) >= 1;
}

double ConnectionRateLimiter::need(Time now, double share) {
    double max_need = 0;
    for (auto it = servers_.begin(); it != servers_.end();) {
        const double need = it->second.demand.need(now);
        max_need = std::max(max_need, need);
        // An entry with no need and a full token equals a new one, so it is dropped.
        const bool idle = need <= 0 && it->second.bucket.refill(now, share) >= 1;
        it = idle ? servers_.erase(it) : std::next(it);
    }
    return max_need;
}

void PartsOutDemand::see(Time now, int max_parts_out) {
    constexpr double kHalfLife = 10'000;
    const double since = observed_at_ == 0 ? 0 : static_cast<double>(now - observed_at_);
    observed_at_ = now;
    peak_ =
        std::max(static_cast<double>(max_parts_out), peak_ * std::exp2(-std::max(0.0, since) / kHalfLife));
}

}  // namespace pinedoor::fleet
