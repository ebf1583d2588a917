// A complete front node: the dispatcher with the decision module, the client and server connections and the
// optional components. To embed pinedoor, create a scheduler and a FrontNodeService, start it, and run the
// scheduler until done().
#pragma once

#include <cstdio>
#include <memory>
#include <string>

#include "net/scheduler.hpp"
#include "peers/carrier.hpp"
#include "service/client_side.hpp"
#include "service/counters.hpp"
#include "service/descriptors.hpp"
#include "service/exchange.hpp"
#include "service/fleet_side.hpp"
#include "service/input_budgets.hpp"
#include "service/limit_side.hpp"
#include "service/list_share.hpp"
#include "service/list_watch.hpp"
#include "service/log.hpp"
#include "service/placement_side.hpp"
#include "service/server_side.hpp"
#include "stated/installation.hpp"
#include "stated/launch.hpp"
#include "store/keeper.hpp"

namespace pinedoor::service {

// Creates and connects the components that the configuration asks for.
class FrontNodeService {
public:
    FrontNodeService(net::Scheduler& scheduler, const stated::LaunchConfig& launch,
                     const stated::NodeSettings& installation, std::FILE* log, LogOptions log_terms = {});

    void start();  // listens; throws if it cannot
    void stop();   // answers the accepted multigets first
    // Reads the configuration again; if it is invalid the fault is logged and nothing changes.
    void reload();
    bool done();
    std::string print_counters() const;

private:
    net::Task run_reloads();
    // Returns what is wrong with the configuration, or an empty string.
    std::string apply_configuration();
    std::unique_ptr<store::RecordKeeper> make_keeper(const stated::NodeSettings& installation);
    std::unique_ptr<PlacementHandler> make_placement(const stated::NodeSettings& installation);
    std::unique_ptr<peers::PeerTransport> make_peers(const stated::NodeSettings& installation);
    std::unique_ptr<FleetLimiter> make_limits(const stated::NodeSettings& installation);
    // The layers that handle requests, from the outermost to the innermost: limits, store, placement,
    // dispatcher.
    RequestHandler& request_handler();
    RequestHandler& recording_handler();
    RequestHandler& inner_handler();

    net::Scheduler& scheduler_;
    const stated::LaunchConfig launch_;
    Counters counters_;
    Log log_;
    const DescriptorBudget descriptors_;
    InputBudgets budgets_;                         // declared before the components that hold charges on it
    std::unique_ptr<PlacementHandler> placement_;  // null: shards are placed by the ring
    Dispatcher dispatcher_;
    std::unique_ptr<store::RecordKeeper> keeper_;    // null: nothing is recorded
    std::unique_ptr<FleetReporter> fleet_reporter_;  // only with peers
    std::unique_ptr<ServerListRelay> list_relay_;    // only with peers; declared before `peers_`, which runs
                                                     // the tasks that serve its followers
    std::unique_ptr<peers::PeerTransport> peers_;    // null: no peers are configured
    std::unique_ptr<FleetLimiter> limiter_;          // null: no limits for the whole fleet
    ServerConnections server_connections_;
    ServerListClient list_client_;
    ClientConnections client_connections_;
    int reads_left_ = 0;  // remaining attempts to read the configuration
    net::Waiter reload_waiter_;
    net::Task reload_task_;  // last member: destroyed first
};

}  // namespace pinedoor::service
