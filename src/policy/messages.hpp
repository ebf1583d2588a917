// Messages between the modules of the decision logic, their inboxes, and the state that the modules share. No
// decision is made here.
#pragma once

#include <deque>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "logic.hpp"

namespace pinedoor::policy {

// Sent once per turn to every module that has time-driven work.
struct Tick {};

// Asks a server's module to send a part to that server.
struct StartAttempt {
    Id part = 0;
    int send_number = 0;
    Time timeout = 0;
    Time overdue_after = 0;
    bool is_retry = false;
};

// Statistics of recent answers over all index servers.
struct AnswerStats {
    double low_latency = 0;   // lower quartile, in tenths of a millisecond: an answer that hardly queued
    double mean_latency = 0;  // in tenths of a millisecond
    double throughput = 0;    // answers per tenth of a millisecond that this node gets from a warm server
};

// kEjected: ejected since it is silent, full or unreachable. kFailing: ejected for its errors. kOnTrial: gets
// one part at a time until one is answered.
enum class HealthState { kHealthy, kEjected, kFailing, kOnTrial };

// Snapshot of an index server, as input to the choice of a replica.
struct ServerSnapshot {
    ServerId server;
    int ring_position = 0;
    bool listed_ready = false;
    bool is_removed = false;  // removed from the list, and no send is out
    HealthState health = HealthState::kHealthy;
    int calls_out = 0;
    int parts_out = 0;
    int free_slots = std::numeric_limits<int>::max();  // parts that may be sent to it now
    Time next_slot_at = 0;    // when a server in slow start has a free slot again; 0: it has one now
    double credit = 0;        // further sends that it may get
    Time recent_latency = 0;  // of its answers, as of `latency_seen_at`
    Time latency_seen_at = 0;
    Time last_lost_at = 0;    // when it last failed a send, or was found to leave one unanswered for good
    Time oldest_sent_at = 0;  // when the oldest send that is out was sent; 0: none is out, or it is ejected
    bool operator==(const ServerSnapshot&) const = default;
};

struct AttemptEnded {
    Id part = 0;
    int send_number = 0;
    Outcome outcome = Outcome::kReturned;
};

struct AttemptOverdue {
    Id part = 0;
    int send_number = 0;
};

// A send ended or became overdue. It is a sign of overload if it timed out, is overdue or was refused as
// full.
struct OverloadSample {
    ServerId server;
    bool overloaded = false;
};

struct LatencySample {
    Time latency = 0;
    bool warm = false;  // the server was not in slow start
};

// A multiget that may be answered in part arrived, with this mean weight of its parts.
struct PartWeights {
    double mean = 0;
};

// Number of servers that the list names as ready.
struct ReadyServers {
    int count = 0;
};

// A listed server entered slow start (1) or left it (-1).
struct SlowStartChange {
    int delta = 0;
};

struct Alpha {
    double value = 0;
    // This node's share of the fleet's capacity, counted as one core per server, in parts per tenth of a
    // millisecond.
    double fair_share = 0;
};

// Asks for a waiting part to be sent to a replica.
struct DispatchPart {
    Id part = 0;
};

using SendKey = std::pair<Id, int>;  // part and send number
using ServerMessage = std::variant<Tick, ListEntry, StartAttempt, SendEnded, AnswerStats, ServerReport>;
using OverloadMessage =
    std::variant<Tick, OverloadSample, LatencySample, PartWeights, ReadyServers, SlowStartChange>;
using ListMessage = std::variant<Tick, ListUpdate>;
using RequestMessage = std::variant<Tick, AttemptEnded, AttemptOverdue, Alpha, MultigetArrival, SecondStep,
                                    ClientDisconnected, DispatchPart, DeadlyKey>;

// The inboxes of the modules, the actions of the current turn, and the state that all modules share.
struct Inboxes {
    std::map<ServerId, std::deque<ServerMessage>> servers;  // servers with pending messages only
    std::set<ServerId> known_servers;                       // servers that the list has named
    std::set<ServerId> active_servers;                      // servers that need a Tick each turn
    std::deque<OverloadMessage> overload;
    std::deque<ListMessage> list;
    std::deque<RequestMessage> requests;
    std::deque<std::variant<ServerSnapshot>> snapshots;  // for requests; processed before `requests`
    std::vector<Action> actions;
    std::mt19937 rng;
    Time now = 0;
    FleetQuota fleet_quota;            // unlimited until one is received
    double further_sends = 0;          // since the start of this node
    bool lease_forbids_sends = false;  // the list is expired, and discovery is reachable

    bool allows_further_sends(std::size_t more) const {
        return fleet_quota.allows(now, further_sends + static_cast<double>(more));
    }
    void set_active(ServerId id, bool active) {
        if (active) active_servers.insert(id);
        if (!active) active_servers.erase(id);
    }
    void post(const ListEntry& entry) {
        known_servers.insert(entry.server);
        servers[entry.server].push_back(entry);
    }
    // Removes a server's module. `Modules` maps ServerId to module.
    template <class Modules>
    void remove(Modules& modules, typename Modules::iterator server) {
        known_servers.erase(server->first);
        active_servers.erase(server->first);
        modules.erase(server);
    }
    void tick_all() {
        list.push_back(Tick{});
        for (const auto& id : active_servers) servers[id].push_back(Tick{});
        overload.push_back(Tick{});
        requests.push_back(Tick{});
    }
    // Uniform in [0, 1).
    double random_fraction() { return static_cast<double>(rng()) / 4294967296.0; }
    // Uniform in [0, max].
    Time random_up_to(Time max) { return static_cast<Time>(rng() % static_cast<std::uint32_t>(max + 1)); }
};

// Passes the oldest message of an inbox to its module. Returns false if the inbox is empty.
template <class Module, class Inbox>
bool process_one(Module& module, Inbox& inbox) {
    if (inbox.empty()) return false;
    const auto message = std::move(inbox.front());
    inbox.pop_front();
    std::visit([&](const auto& content) { module.handle(content); }, message);
    return true;
}

}  // namespace pinedoor::policy
