// Limits that hold at each index server, at one front node. One share of a limit goes for every server: a
// node needs as much as it uses at the one it uses most, and all shares together are within the limit, so at
// each server all nodes are. What front nodes tell each other of such a limit does not grow with the servers.
// Deciders: a time in, a verdict out.
#pragma once

#include <cstdint>
#include <map>

#include "fleet/gate.hpp"

namespace pinedoor::fleet {

// New connections. All nodes together open at one server, in any W seconds, at most
//   per_second * W + burst + nodes + starts of front nodes in W
// since a bucket begins with one saved: a node that has just started must reach its servers, and has a floor
// alone.
class ConnectionPace {
public:
    explicit ConnectionPace(const LimitTerms& limit) : limit_(limit) {}

    // `server`: by its address, which stays while it leaves the list and returns. Guards against a server
    // that flaps: it is listed as another each time, and would be met by all front nodes at once each time.
    bool may_open(Time now, std::uint64_t server, double share);
    bool has_room(Time now, std::uint64_t server, double share);  // and takes nothing
    double need(Time now, double share);                          // at the server that needs most
    std::uint64_t put_off() const { return deferred_; }

private:
    struct Server {
        Bucket bucket;
        Demand demand;
    };
    const LimitTerms limit_;
    std::map<std::uint64_t, Server> servers_;
    std::uint64_t deferred_ = 0;
};

// Parts out. The most at one server of late, and half as much again to grow into; one more, since nobody sees
// what a share kept from going out.
class PartsOut {
public:
    void see(Time now, int max_parts_out);
    double need() const { return 1.5 * peak_ + 1; }

private:
    double peak_ = 0;  // it falls by half in a second
    Time observed_at_ = 0;
};

}  // namespace pinedoor::fleet
