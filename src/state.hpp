// What the decision module keeps, grouped by how long it lives: for one send, one part, one multiget, one
// index server. No decision is made here.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "logic.hpp"
#include "notes.hpp"

namespace pinedoor {

struct SendState {
    ServerId server;
    Time sent = 0;
    bool over = false;
    bool may_have_run = true;
};

struct PartState {
    enum class Stage { kWaiting, kOut, kIn, kLost, kLeftOut };
    PartArrival told;
    Stage stage = Stage::kWaiting;
    std::vector<SendState> sends;
    bool further_wanted = false;  // a send is overdue, and no copy or other try has gone out yet

    bool all_proven_not_run() const {
        return std::none_of(sends.begin(), sends.end(), [](const auto& s) { return s.may_have_run; });
    }
    bool any_out() const {
        return std::any_of(sends.begin(), sends.end(), [](const auto& s) { return !s.over; });
    }
    bool open() const { return stage == Stage::kWaiting || stage == Stage::kOut; }
};

struct MultigetState {
    MultigetArrival told;
    std::vector<PartState> parts;
    Time budget_ends = 0;  // an answer sent by then is in time
    Time answer_by = 0;    // the last moment for any final answer
    int step = 1;
    bool step_one_whole = true;
    bool awaiting_step = false;
};

struct OutSend {  // one send, as its index server sees it
    Time sent = 0;
    Time overdue_at = 0;
    int call = 0;
    bool strained = false;  // told to the pulse
};

struct IndexServerState {
    ListEntry entry;
    Card shown;  // to the desk
    std::map<SendKey, OutSend> out;
    std::map<int, int> calls_out;  // parts out of each call
    int call = 0;                  // the one that sends of this turn may join
    int call_parts = 0;
    Time call_turn = -1;
    Standing standing = Standing::kGood;
    bool silent = false;  // why it is aside
    bool trial_used = false;
    Time aside_until = 0;
    Time heard = 0;
    Time slow = 0;  // a longer silence is suspicious
    Time wait = 0;  // what answers lately had to wait, when last seen
    Time wait_seen = 0;
    double errors = 0;
    double credit = 0;
    Time started = 0;  // as told or as guessed from lost connections
    double usual_cost = 0;
    double borne = 0;
    double cold_room = 0;  // parts that it may be sent now
    Time room_filled = 0;
};

struct PulseState {  // of the instance; the counts are of the present window
    int ended = 0;
    int pressing = 0;
    std::set<ServerId> pressed_servers;
    int borne = 0;  // answers of warm servers
    std::set<ServerId> bearing;
    Time window_ends = 0;
    int ready = 0;  // servers listed
    double mean_weight = 0;
    double alpha = 0;
    Pace pace;
};

struct InstanceState {
    std::map<Id, MultigetState> multigets;
    std::map<Id, std::pair<Id, std::size_t>> part_of;  // its multiget, and which of its parts
    std::map<ServerId, Card> cards;
    std::vector<Time> longest_try;  // seen, by op type
    double alpha = 0;
};

}  // namespace pinedoor
