// The front node's one loop over the modules that decide. The interface is logic.hpp: a caller makes one
// FrontNode for each front node's life, hands it every turn's events, in order, by turn(), and carries out
// the actions returned, in order, at that same time. Nothing else is kept, read or shared.
//
// The modules speak by messages (policy/messages.hpp); a turn empties their inboxes:
//   list_follower      when discovery is asked for the list, and what the list says
//   server_health      one index server: what is out there, ejection, trial and return; slow_start: its room
//   overload_control   alpha, from this node's own time-outs and full refusals
//   request_lifecycle  requests and their parts: selection, retries, hedges, the one final answer; with
//                      replica_choice, admission, retry_budget, repeat_guess and deadly_keys
// The mechanism and every departure from it are described in docs/design.md.
#include "logic.hpp"

#include <map>
#include <type_traits>
#include <utility>

#include "policy/list_follower.hpp"
#include "policy/messages.hpp"
#include "policy/overload_control.hpp"
#include "policy/request_lifecycle.hpp"
#include "policy/server_health.hpp"

namespace pinedoor {
namespace {

constexpr Time kTurnInterval = 2;       // turns, while requests are open
constexpr Time kIdleTurnInterval = 20;  // while there are none

}  // namespace

struct FrontNode::Impl {
    Impl(std::uint64_t seed, NodePlace node_config, std::vector<OpType> op_types, ShardRing shard_ring,
         SendTerms sends, FurtherSendTerms further, ColdTerms cold, ListTerms list, ClientTerms clients)
        : node(node_config), ring(shard_ring), cold_start(cold), connect_timeout(sends.connect_timeout),
          min_budget(policy::min_latency_budget(op_types)), follower(inboxes, list, node_config.front_nodes),
          overload(inboxes, min_budget, node_config.front_nodes),
          requests(inboxes, std::move(op_types), shard_ring, sends, further, clients, node_config.turn) {
        inboxes.rng.seed(static_cast<std::uint32_t>(seed ^ (seed >> 32U)));
    }

    // Index servers and their cards go before each message to requests: they must not be decided by a card
    // that an order of the same turn has made untrue, or a whole multiget goes to one cold server's last free
    // place.
    void process_inboxes() {
        for (bool busy = true; busy;) {
            busy = process_one(follower, inboxes.list);
            while (process_server_inboxes()) busy = true;
            while (process_one(overload, inboxes.overload)) busy = true;
            while (process_one(requests, inboxes.snapshots)) busy = true;
            if (!busy) busy = process_one(requests, inboxes.requests);
        }
    }

    void deliver(const FleetShare& quota) { inboxes.fleet_quota = quota; }
    void deliver(const ListNews& update) { inboxes.list.push_back(update); }
    void deliver(const SendEnded& ended) { inboxes.servers[ended.server].push_back(ended); }
    void deliver(const ServerWord& report) {
        if (servers.contains(report.server)) inboxes.servers[report.server].push_back(report);
    }
    template <class Other>
    void deliver(const Other& event) {  // bells only make a turn; probes and peers are not asked
        if constexpr (std::is_constructible_v<policy::RequestMessage, Other>)
            inboxes.requests.push_back(event);
    }

    void schedule_next_turn() {
        const Time next = inboxes.now + node.turn * (requests.idle() ? kIdleTurnInterval : kTurnInterval);
        if (timer_due > inboxes.now && timer_due <= next) return;
        timer_due = next;
        inboxes.actions.emplace_back(SetBell{next - inboxes.now, 0});
    }

    NodePlace node;
    ShardRing ring;
    ColdTerms cold_start;
    Time connect_timeout;
    Time min_budget;
    policy::Inboxes inboxes;
    policy::ListFollower follower;
    std::map<ServerId, policy::ServerHealth> servers;
    policy::OverloadControl overload;
    policy::RequestLifecycle requests;
    Time timer_due = 0;

private:
    bool process_server_inboxes() {
        bool busy = false;
        for (; !inboxes.servers.empty(); inboxes.servers.erase(inboxes.servers.begin())) {
            auto& [id, inbox] = *inboxes.servers.begin();
            const auto server =
                servers.try_emplace(id, inboxes, id, cold_start, node, ring, connect_timeout, min_budget)
                    .first;
            while (process_one(server->second, inbox)) busy = true;
            // One that left the list for good would be kept for ever; if it returns it is a new one.
            if (server->second.is_removed()) inboxes.remove(servers, server);
        }
        return busy;
    }
};

FrontNode::FrontNode(std::uint64_t seed, NodePlace node, std::vector<OpType> op_types, ShardRing ring,
                     SendTerms sends, FurtherSendTerms further, ColdTerms cold, ListTerms list,
                     ClientTerms clients, std::vector<TenantShare>, HintTerms)
    : impl_(std::make_unique<Impl>(seed, node, std::move(op_types), ring, sends, further, cold, list,
                                   clients)) {}
FrontNode::~FrontNode() = default;
FrontNode::FrontNode(FrontNode&&) noexcept = default;
FrontNode& FrontNode::operator=(FrontNode&&) noexcept = default;

std::vector<ServerView> FrontNode::servers() const {
    std::vector<ServerView> all;
    for (const auto& [id, server] : impl_->servers) all.push_back(server.view());
    return all;
}

std::vector<DeadlyKey> FrontNode::deadly_keys() const { return impl_->requests.deadly_keys(); }
double FrontNode::further_sends() const { return impl_->inboxes.further_sends; }

std::vector<Action> FrontNode::turn(Time now, const std::vector<Event>& events) {
    auto& inboxes = impl_->inboxes;
    inboxes.now = now;
    for (const auto& event : events) {
        std::visit([&](const auto& content) { impl_->deliver(content); }, event);
        impl_->process_inboxes();
    }
    inboxes.tick_all();
    impl_->process_inboxes();
    impl_->schedule_next_turn();
    return std::exchange(inboxes.actions, {});
}

}  // namespace pinedoor
