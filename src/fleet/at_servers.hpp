// Limits that apply at each index server, at one front node. The node's share of such a limit holds for each
// server separately. The node reports as its need what it uses at the server where it uses most. All shares
// together are within the limit, so at each server the use by all nodes is as well. What front nodes exchange
// about such a limit therefore does not grow with the number of servers. Without I/O: the classes take the
// current time and return a decision.
#pragma once

#include <cstdint>
#include <map>

#include "fleet/gate.hpp"

namespace pinedoor::fleet {

// Limits the rate of new connections to each server. All nodes together open at one server, in any W seconds,
// at most
//   per_second * W + burst + nodes + starts of front nodes in W
// connections, since each bucket starts with one token: a node that has just started must reach its servers
// and has nothing but its floor.
class ConnectionRateLimiter {
public:
    explicit ConnectionRateLimiter(const LimitConfig& limit) : limit_(limit) {}

    // `server`: derived from its address, which stays the same when it leaves the list and returns. A
    // flapping server is listed as a different one each time; limited by that identity, all front nodes would
    // connect to it at once each time.
    bool try_open(Time now, std::uint64_t server, double share);
    bool has_room(Time now, std::uint64_t server, double share);  // takes no token
    double need(Time now, double share);                          // at the server with the highest need
    std::uint64_t put_off() const { return deferred_; }

private:
    struct Server {
        TokenBucket bucket;
        DemandEstimator demand;
    };
    const LimitConfig limit_;
    std::map<std::uint64_t, Server> servers_;
    std::uint64_t deferred_ = 0;
};

// Need for parts out at each server: the recent peak at one server with half as much again for growth, and
// one more, since parts that the share held back are not observed.
class PartsOutDemand {
public:
    void see(Time now, int max_parts_out);
    double need() const { return 1.5 * peak_ + 1; }

private:
    double peak_ = 0;  // halves every second
    Time observed_at_ = 0;
};

}  // namespace pinedoor::fleet
