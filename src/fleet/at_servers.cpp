#include "fleet/at_servers.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace pinedoor::fleet {

bool ConnectionPace::may_open(Time now, std::uint64_t server, double share) {
    auto& at = servers_.try_emplace(server, At{Bucket(limit_, 1), {}}).first->second;
    at.demand.came(now);
    if (at.bucket.refill(now, share) < 1) {
        ++put_off_;
        return false;
    }
    at.bucket.take(1);
    return true;
}

bool ConnectionPace::has_room(Time now, std::uint64_t server, double share) {
    const auto at = servers_.find(server);
    return at == servers_.end() || at->second.bucket.refill(now, share) >= 1;
}

double ConnectionPace::need(Time now, double share) {
    double most = 0;
    for (auto at = servers_.begin(); at != servers_.end();) {
        const double need = at->second.demand.need(now);
        most = std::max(most, need);
        // One that would begin anew with no more than it has is not kept.
        const bool idle = need <= 0 && at->second.bucket.refill(now, share) >= 1;
        at = idle ? servers_.erase(at) : std::next(at);
    }
    return most;
}

void PartsOut::see(Time now, int most) {
    constexpr double kHalf = 10'000;
    const double since = at_ == 0 ? 0 : static_cast<double>(now - at_);
    at_ = now;
    most_ = std::max(static_cast<double>(most), most_ * std::exp2(-std::max(0.0, since) / kHalf));
}

}  // namespace pinedoor::fleet
