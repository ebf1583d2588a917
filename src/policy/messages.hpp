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
struct AttemptOrder {
    Id part = 0;
    int send = 0;
    Time try_for = 0;
    Time patience = 0;  // out for longer: overdue
    bool is_retry = false;
};

// How long answers take lately, over all index servers.
struct AnswerPace {
    double quick = 0;  // one that hardly waited
    double mean = 0;
    double borne = 0;  // answers in a tenth of a millisecond that this node has of a warm server
};

// Failing: ejected for its errors. On trial: it gets one part at a time until that is answered.
enum class Standing { kGood, kEjected, kFailing, kOnTrial };

// What the choice of a replica knows of an index server.
struct ServerCard {
    ServerId server;
    int place = 0;
    bool listed_ready = false;
    bool is_over = false;  // gone from the list, and nothing is out there
    Standing standing = Standing::kGood;
    int calls_out = 0;
    int parts_out = 0;
    int room = std::numeric_limits<int>::max();  // parts it may be sent now
    Time room_at = 0;                            // when one in slow start has room again; 0 if it has
    double credit = 0;
    Time wait = 0;  // what answers lately had to wait, when last seen
    Time wait_seen = 0;
    Time lost = 0;        // when it last failed a send, or was found never to answer one
    Time oldest_out = 0;  // when the oldest send still out was sent; 0 if none, or ejected
    bool operator==(const ServerCard&) const = default;
};

struct AttemptEnded {
    Id part = 0;
    int send = 0;
    Outcome outcome = Outcome::kReturned;
};

struct AttemptOverdue {
    Id part = 0;
    int send = 0;
};

// A send ended, or was found overdue; pressing: it timed out or was refused for want of room.
struct AttemptPressure {
    ServerId server;
    bool pressing = false;
};

struct AnswerTook {
    Time took = 0;
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
    int by = 0;
};

struct Alpha {
    double value = 0;
    double even_share = 0;  // parts in a tenth of a millisecond: of what one core of each server bears
};

struct PlacePart {
    Id part = 0;
};

using SendKey = std::pair<Id, int>;
using ServerMessage = std::variant<Tick, ListEntry, AttemptOrder, SendEnded, AnswerPace, ServerWord>;
using OverloadMessage =
    std::variant<Tick, AttemptPressure, AnswerTook, PartWeights, ReadyServers, SlowStartChange>;
using ListMessage = std::variant<Tick, ListNews>;
using RequestMessage = std::variant<Tick, AttemptEnded, AttemptOverdue, Alpha, MultigetArrival, SecondStep,
                                    ClientLeft, PlacePart, DeadlyKey>;

// One inbox for each module, the actions of this turn, and what all modules share: the time, chance, and this
// node's part of the fleet's limits.
struct Inboxes {
    std::map<ServerId, std::deque<ServerMessage>> servers;  // those with messages only
    std::set<ServerId> known;                               // whoever the list named
    std::set<ServerId> awake;                               // who has something out or due
    std::deque<OverloadMessage> overload;
    std::deque<ListMessage> list;
    std::deque<RequestMessage> requests;
    std::deque<std::variant<ServerCard>> cards;  // for requests too; read before their other messages
    std::vector<Action> actions;
    std::mt19937 chance;
    Time now = 0;
    FleetShare share;                 // of the fleet's limits; no limit unless told
    double further_sent = 0;          // since the start
    bool list_forbids_sends = false;  // its lease has expired

    bool may_send_further(std::size_t more) const {
        return share.allows(now, further_sent + static_cast<double>(more));
    }
    void wake(ServerId id, bool due) {
        if (due) awake.insert(id);
        if (!due) awake.erase(id);
    }
    void tell(const ListEntry& entry) {
        known.insert(entry.server);
        servers[entry.server].push_back(entry);
    }
    template <class Modules>
    void forget(Modules& modules, typename Modules::iterator one) {
        known.erase(one->first);
        awake.erase(one->first);
        modules.erase(one);
    }
    void tick_all() {
        list.push_back(Tick{});
        for (const auto& id : awake) servers[id].push_back(Tick{});
        overload.push_back(Tick{});
        requests.push_back(Tick{});
    }
    double random_share() { return static_cast<double>(chance()) / 4294967296.0; }
    Time random_part(Time most) { return static_cast<Time>(chance() % static_cast<std::uint32_t>(most + 1)); }
};

// Hands the oldest message of an inbox to its module; false if there is none.
template <class Module, class Inbox>
bool empty_one(Module& module, Inbox& inbox) {
    if (inbox.empty()) return false;
    const auto message = std::move(inbox.front());
    inbox.pop_front();
    std::visit([&](const auto& what) { module.take(what); }, message);
    return true;
}

}  // namespace pinedoor::policy
