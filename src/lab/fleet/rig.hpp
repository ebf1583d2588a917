// Runs many real front node processes on loopback, with emulated index servers, discovery and clients in this
// process, and injects faults into processes and links. The verdict is based on what servers, discovery and
// clients observed, never on what the front nodes report.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/fleet/fleet_world.hpp"
#include "lab/live/call_desk.hpp"
#include "lab/live/live.hpp"

namespace pinedoor::lab {

// The results of a fleet run.
struct FleetTotals {
    LiveTotals totals;
    std::vector<CallQueue::Call> calls;  // at discovery, by time since the world's begin
    std::size_t most_calls_at_once = 0;
    std::uint64_t most_calls_in_a_second = 0;
    std::vector<std::uint64_t> connections;          // accepted by each server
    std::uint64_t most_connections_in_a_second = 0;  // at one server
    // Fractions of the run's time: during which the rig's event loop was late (its servers, clients and
    // discovery were paused too), and which a front node spent waiting for a core, on average. Beyond a few
    // hundredths the results describe the machine, not the fleet.
    double late_share = 0, waiting_share = 0;
    std::uint64_t peer_bytes = 0,
                  peer_datagrams = 0;  // sent between front nodes, as logged by those that exited in order

    std::uint64_t count(CallQueue::End end) const {
        std::uint64_t sum = 0;
        for (const auto& each : calls) sum += each.end == end ? 1U : 0U;
        return sum;
    }
};

// Runs for the world's length. Throws stated::ConfigError or std::system_error if the setup fails. All
// processes that it started have ended when it returns.
FleetTotals play_fleet(const FleetWorld& world, const LiveOptions& words,
                       const std::function<void(const std::string&)>& log);

}  // namespace pinedoor::lab
