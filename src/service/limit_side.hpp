// Limits that hold for the whole fleet. Multigets are limited in front of the dispatcher: a rejected one is
// pushed back at once, before anything is sent. For further sends, and for parts outstanding at a server, the
// module receives this node's share and decides with it. For connections, the server connections ask before
// opening one. Shares are lent among members (fleet/leases) or computed from the needs that all of them
// publish (fleet/about); or each node has a fixed even share and exchanges nothing with others.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/at_servers.hpp"
#include "fleet/gate.hpp"
#include "peers/carrier.hpp"
#include "service/exchange.hpp"
#include "service/log.hpp"
#include "service/request_handler.hpp"

namespace pinedoor::service {

// Request handler that enforces the fleet limits.
class FleetLimiter : public RequestHandler {
public:
    struct Options {
        std::vector<std::string> tenants, op_types;
        int nodes = 1;
        Time max_retry_after = 0;  // longest Retry-After advice, in tenths of a millisecond; 0: none is given
    };
    // `carrier`: null if no limit needs other nodes. Throws std::invalid_argument if a limit names an unknown
    // tenant or op type.
    FleetLimiter(net::Scheduler& scheduler, RequestHandler& inner, Dispatcher& dispatcher,
                 peers::PeerTransport* carrier, Log& log, const fleet::FleetTerms& terms, Options options,
                 std::uint64_t seed);

    void start();
    void stop();  // gives back leased shares
    SubmitResult ask(MultigetRequest multiget, std::function<void(MultigetResult)> ended) override;
    store::PartOutcomes leave(Ticket multiget) override { return inner_.leave(multiget); }
    Acceptance check_acceptance(const std::string& name) const override {
        return inner_.check_acceptance(name);
    }
    bool limits_connections() const { return has_limit(fleet::LimitConfig::Of::kConnections); }
    bool may_connect(net::Endpoint at);
    std::string print_gauges() const;

private:
    using Of = fleet::LimitConfig::Of;
    struct Limit {
        fleet::LimitConfig terms;
        int tenant = -1, op_type = -1;  // -1: any
        double even_share = 0;          // fixed even share, where neither of the next two is set
        std::optional<fleet::LeaseParticipant> leases;
        std::optional<fleet::ApproximateShare> about;
        fleet::Gate gate;  // used according to what is limited
        fleet::ConnectionRateLimiter pace;
        fleet::PartsOutDemand parts_out;
        fleet::TokenBucket further_sends;
        fleet::DemandEstimator further_demand;
        bool owned = false;
        double allowance(Time now) {
            return leases ? leases->allowance(now) : about ? about->allowance(now) : even_share;
        }
        double need(Time now);
        std::string print_use() const;
    };
    bool has_limit(Of kind) const;

    net::Task run();
    // Registers the handlers for membership changes, lease messages and operator queries.
    void register_handlers();
    void send_leases(std::vector<fleet::OutgoingLeaseMessage> all);
    void receive_lease(const std::string& from, const std::string& bytes);
    void update_members();
    void exchange_needs(Time now);  // reads the needs of other nodes and publishes this node's
    // Passes this node's share to the decision module.
    void update_module(Time now);
    std::string print() const;

    net::Scheduler& scheduler_;
    RequestHandler& inner_;
    Dispatcher& dispatcher_;
    peers::PeerTransport* const carrier_;
    Log& log_;
    const Time max_retry_after_;
    std::vector<std::unique_ptr<Limit>> limits_;
    std::uint64_t unreadable_messages_ = 0;
    Time next_needs_at_ = 0;
    Time next_module_update_at_ = net::kNever;  // kNever: no limit concerns the module
    double further_sends_seen_ = 0;             // as last read
    bool caught_up_ = false;                    // the gossip state has been complete once since the start
    net::Waiter waiter_;
    net::Task task_;
};

}  // namespace pinedoor::service
