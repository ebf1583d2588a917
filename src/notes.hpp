// The notes that the decision module's actors put into each other's inboxes. No decision is made here.
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

namespace pinedoor {

struct Tick {};
struct Order {  // send this part
    Id part = 0;
    int send = 0;
    Time try_for = 0;
    Time patience = 0;  // out for longer: overdue
    bool further = false;
};
struct Pace {          // how long answers take lately, over all index servers
    double quick = 0;  // one that hardly waited
    double mean = 0;
    double borne = 0;  // answers in a tenth of a millisecond that this node has of a warm server
};
enum class Standing { kGood, kAside, kFailing, kTrial };  // failing: aside for its errors
struct Card {                                             // what an index server lets the desk know of itself
    ServerId server;
    int place = 0;
    bool listed_ready = false;
    bool over = false;  // gone from the list, and nothing is out there
    Standing standing = Standing::kGood;
    int calls_out = 0;
    int parts_out = 0;
    int room = std::numeric_limits<int>::max();  // parts it may be sent now
    Time room_at = 0;                            // when a cold one has room again; 0 if it has
    double credit = 0;
    Time wait = 0;  // what answers lately had to wait, when last seen
    Time wait_seen = 0;
    Time lost = 0;        // when it last failed a send, or was found never to answer one
    Time oldest_out = 0;  // when the oldest send still out was sent; 0 if none, or aside
    bool operator==(const Card&) const = default;
};
struct SendOver {
    Id part = 0;
    int send = 0;
    Outcome outcome = Outcome::kReturned;
};
struct Overdue {
    Id part = 0;
    int send = 0;
};
struct Strain {  // a send ended, or was found overdue
    ServerId server;
    bool pressing = false;
};
struct Took {  // an answer came
    Time took = 0;
    bool warm = false;
};
struct Weighed {  // a multiget that may be answered in part came with this mean weight of its parts
    double mean = 0;
};
struct Fleet {
    int ready = 0;
};
struct Chill {  // a listed server became cold, or is so no more
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
using ServerNote = std::variant<Tick, ListEntry, Order, SendEnded, Pace, ServerWord>;
using PulseNote = std::variant<Tick, Strain, Took, Weighed, Fleet, Chill>;
using FollowerNote = std::variant<Tick, ListNews>;
using DeskNote = std::variant<Tick, SendOver, Overdue, Alpha, MultigetArrival, SecondStep, ClientLeft,
                              PlacePart, DeadlyKey>;

struct Post {
    std::map<ServerId, std::deque<ServerNote>> servers;  // those with notes only
    std::set<ServerId> known;                            // whoever the list named
    std::set<ServerId> awake;                            // who has something out or due
    std::deque<PulseNote> pulse;
    std::deque<FollowerNote> follower;
    std::deque<DeskNote> desk;
    std::deque<std::variant<Card>> cards;  // the desk's too; read before its other notes
    std::vector<Action> actions;
    std::mt19937 chance;
    Time now = 0;
    FleetShare share;         // of the fleet's limits; no limit unless told
    double further_sent = 0;  // since the start

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
    template <class Actors>
    void forget(Actors& actors, typename Actors::iterator one) {
        known.erase(one->first);
        awake.erase(one->first);
        actors.erase(one);
    }
    void tick_all() {
        follower.push_back(Tick{});
        for (const auto& id : awake) servers[id].push_back(Tick{});
        pulse.push_back(Tick{});
        desk.push_back(Tick{});
    }
    double random_share() { return static_cast<double>(chance()) / 4294967296.0; }
    Time random_part(Time most) { return static_cast<Time>(chance() % static_cast<std::uint32_t>(most + 1)); }
};

// Hands the oldest note of an inbox to its actor; false if there is none.
template <class Actor, class Inbox>
bool empty_one(Actor& actor, Inbox& inbox) {
    if (inbox.empty()) return false;
    const auto note = std::move(inbox.front());
    inbox.pop_front();
    std::visit([&](const auto& what) { actor.take(what); }, note);
    return true;
}

}  // namespace pinedoor
