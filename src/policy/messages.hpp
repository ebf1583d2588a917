// The messages between the modules that decide, and their inboxes. No decision is made here.
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

struct Tick {};  // a turn has come

// Send this part to the server that the message goes to.
struct StartAttempt {
    Id part = 0;
    int send_number = 0;
    Time timeout = 0;
    Time overdue_after = 0;  // out for longer: overdue
    bool is_retry = false;
};

// How long answers take lately, over all index servers.
struct AnswerStats {
    double low_latency = 0;  // one that hardly waited
    double mean_latency = 0;
    double throughput = 0;  // answers in a tenth of a millisecond that this node has of a warm server
};

// Failing: ejected for its errors. On trial: it gets one part at a time until that is answered.
enum class HealthState { kHealthy, kEjected, kFailing, kOnTrial };

// What the choice of a replica knows of an index server.
struct ServerSnapshot {
    ServerId server;
    int ring_position = 0;
    bool listed_ready = false;
    bool is_removed = false;  // gone from the list, and nothing is out there
    HealthState health = HealthState::kHealthy;
    int calls_out = 0;
    int parts_out = 0;
    int free_slots = std::numeric_limits<int>::max();  // parts it may be sent now
    Time next_slot_at = 0;                             // when one in slow start has room again; 0 if it has
    double credit = 0;
    Time recent_latency = 0;  // what answers lately had to wait, when last seen
    Time latency_seen_at = 0;
    Time last_lost_at = 0;    // when it last failed a send, or was found never to answer one
    Time oldest_sent_at = 0;  // when the oldest send still out was sent; 0 if none, or ejected
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

// A send ended, or was found overdue; pressing: it timed out or was refused for want of room.
struct OverloadSample {
    ServerId server;
    bool overloaded = false;
};

struct LatencySample {
    Time latency = 0;
    bool warm = false;  // the server was not in slow start
};

// A multiget that may be answered in part came with this mean weight of its parts.
struct PartWeights {
    double mean = 0;
};

struct ReadyServers {
    int count = 0;
};

// A listed server entered slow start (1) or has left it (-1).
struct SlowStartChange {
    int delta = 0;
};

struct Alpha {
    double value = 0;
    double fair_share = 0;  // parts in a tenth of a millisecond: of what one core of each server bears
};

struct DispatchPart {
    Id part = 0;
};

using SendKey = std::pair<Id, int>;
using ServerMessage = std::variant<Tick, ListEntry, StartAttempt, SendEnded, AnswerStats, ServerWord>;
using OverloadMessage =
    std::variant<Tick, OverloadSample, LatencySample, PartWeights, ReadyServers, SlowStartChange>;
using ListMessage = std::variant<Tick, ListNews>;
using RequestMessage = std::variant<Tick, AttemptEnded, AttemptOverdue, Alpha, MultigetArrival, SecondStep,
                                    ClientLeft, DispatchPart, DeadlyKey>;

// One inbox for each module, the actions of this turn, and what all modules share: the time, chance, and this
// node's part of the fleet's limits.
struct Inboxes {
    std::map<ServerId, std::deque<ServerMessage>> servers;  // those with messages only
    std::set<ServerId> known_servers;                       // whoever the list named
    std::set<ServerId> active_servers;                      // who has something out or due
    std::deque<OverloadMessage> overload;
    std::deque<ListMessage> list;
    std::deque<RequestMessage> requests;
    std::deque<std::variant<ServerSnapshot>> snapshots;  // for requests too; read before their other messages
    std::vector<Action> actions;
    std::mt19937 rng;
    Time now = 0;
    FleetShare fleet_quota;            // of the fleet's limits; no limit unless told
    double further_sends = 0;          // since the start
    bool lease_forbids_sends = false;  // its lease has expired

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
    double random_fraction() { return static_cast<double>(rng()) / 4294967296.0; }
    Time random_up_to(Time max) { return static_cast<Time>(rng() % static_cast<std::uint32_t>(max + 1)); }
};

// Hands the oldest message of an inbox to its module; false if there is none.
template <class Module, class Inbox>
bool process_one(Module& module, Inbox& inbox) {
    if (inbox.empty()) return false;
    const auto message = std::move(inbox.front());
    inbox.pop_front();
    std::visit([&](const auto& content) { module.handle(content); }, message);
    return true;
}

}  // namespace pinedoor::policy
