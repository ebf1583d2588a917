// Runs a world on sockets: real pinedoor processes on loopback, and emulated index servers, discovery and
// clients in this process. The log has the simulation's format, so the checker, timelines and reports read
// both.
#pragma once

#include <functional>
#include <string>

#include "lab/world/totals.hpp"
#include "lab/world/world.hpp"

namespace pinedoor::lab {

// Options of a run on sockets.
struct LiveOptions {
    std::string program;                                      // path of the pinedoor program; required
    std::size_t connections = 2'000;                          // maximum number of client connections
    std::function<void(int second, std::size_t open)> watch;  // called once a second, if set
};
// The counters of a run on sockets.
struct LiveTotals : Totals {
    double node_cpu_seconds = 0;  // of all front node processes
    double own_cpu_seconds = 0;
    std::size_t most_connections = 0;
    std::uint64_t without_room = 0;  // requests that failed because no client connection was free
    int bad_exits = 0;               // front nodes that did not exit with 0 when terminated
};
// Runs for the world's length. Throws stated::ConfigError or std::system_error if the setup fails. All
// processes that it started have ended when it returns.
LiveTotals play_live(const World& world, const LiveOptions& words,
                     const std::function<void(const std::string&)>& log);

// Returns the platform configuration of one front node of the world (ROUTER_CONFIG; see the deploy pages).
std::string node_config(const World& world, int node, const std::string& listen, const std::string& discovery,
                        const std::string& known, std::uint64_t seed);

}  // namespace pinedoor::lab
