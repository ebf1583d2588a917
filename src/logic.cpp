// Event loop of the decision module (interface: logic.hpp). A caller creates one FrontNode for the life of a
// front node, passes each turn's events in order to turn(), and carries out the returned actions in order at
// that same time. No other state is kept, read or shared.
//
// The modules exchange messages (policy/messages.hpp); each turn processes the inboxes until they are empty:
//   list_follower      when to ask discovery for the server list, and what the list says
//   server_health      one index server: its outstanding sends, ejection, trial and return; slow_start: the
//                      number of parts that it may be sent
//   overload_control   alpha, from this node's own time-outs and refusals by full servers
//   request_lifecycle  requests and their parts: selection, retries, hedged sends, the one final answer; with
//                      replica_choice, admission, retry_budget, repeat_guess and deadly_keys
// docs/design.md describes the mechanism and where it departs from its source.
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

// Time until the next turn without events, in multiples of the minimum time between two turns.
constexpr Time kTurnInterval = 2;       // while requests are open
constexpr Time kIdleTurnInterval = 20;  // while none is open

}  // namespace

struct FrontNode::Impl {
    Impl(std::uint64_t seed, NodeConfig node_config, std::vector<OpType> op_types, ShardRing shard_ring,
         SendConfig sends, FurtherSendConfig further, ColdStartConfig cold, ServerListConfig list,
         ClientConfig clients)
        : node(node_config), ring(shard_ring), cold_start(cold), connect_timeout(sends.connect_timeout),
          min_budget(policy::min_latency_budget(op_types)), follower(inboxes, list, node_config.front_nodes),
          overload(inboxes, min_budget, node_config.front_nodes),
          requests(inboxes, std::move(op_types), shard_ring, sends, further, clients, node_config.turn) {
        inboxes.rng.seed(static_cast<std::uint32_t>(seed ^ (seed >> 32U)));
    }

    // Servers and their snapshots are processed before each message to requests: a decision must not use a
    // snapshot that an attempt of the same turn has made out of date, or a whole multiget would be sent to
    // the last free slot of one cold server.
    void process_inboxes() {
        for (bool busy = true; busy;) {
            busy = process_one(follower, inboxes.list);
            while (process_server_inboxes()) busy = true;
            while (process_one(overload, inboxes.overload)) busy = true;
            while (process_one(requests, inboxes.snapshots)) busy = true;
            if (!busy) busy = process_one(requests, inboxes.requests);
        }
    }

    void deliver(const FleetQuota& quota) { inboxes.fleet_quota = quota; }
    void deliver(const ListUpdate& update) { inboxes.list.push_back(update); }
    void deliver(const SendEnded& ended) { inboxes.servers[ended.server].push_back(ended); }
    void deliver(const ServerReport& report) {
        if (servers.contains(report.server)) inboxes.servers[report.server].push_back(report);
    }
    // All other events: messages to requests are queued. Timers only cause a turn; probes and messages of
    // other front nodes are not used.
    template <class Other>
    void deliver(const Other& event) {
        if constexpr (std::is_constructible_v<policy::RequestMessage, Other>)
            inboxes.requests.push_back(event);
    }

    void schedule_next_turn() {
        const Time next = inboxes.now + node.turn * (requests.idle() ? kIdleTurnInterval : kTurnInterval);
        if (timer_due > inboxes.now && timer_due <= next) return;
        timer_due = next;
        inboxes.actions.emplace_back(SetTimer{next - inboxes.now, 0});
    }

    NodeConfig node;
    ShardRing ring;
    ColdStartConfig cold_start;
    Time connect_timeout;
    Time min_budget;  // shortest latency budget of all op types
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
            // A server that has left the list for good would be kept for ever. If it returns it starts as
            // new.
            if (server->second.is_removed()) inboxes.remove(servers, server);
        }
        return busy;
    }
};

FrontNode::FrontNode(std::uint64_t seed, NodeConfig node, std::vector<OpType> op_types, ShardRing ring,
                     SendConfig sends, FurtherSendConfig further, ColdStartConfig cold, ServerListConfig list,
                     ClientConfig clients, std::vector<TenantQuota>, HintConfig)
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
