// State of the open requests (multigets), of their parts, and of the attempts at each part. No decision is
// made here.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "logic.hpp"

namespace pinedoor::policy {

struct AttemptState {
    ServerId server;
    Time sent_at = 0;
    bool ended = false;
    bool may_have_run = true;
};

struct PartState {
    // kLost: no further send is possible. kLeftOut: not sent, by decision of the selection.
    enum class Stage { kWaiting, kOut, kAnswered, kLost, kLeftOut };
    PartArrival arrival;
    Stage stage = Stage::kWaiting;
    std::vector<AttemptState> attempts;
    bool wants_further_send = false;  // an attempt is overdue, and no further send has been made for it yet

    bool all_proven_not_run() const {
        return std::none_of(attempts.begin(), attempts.end(), [](const auto& a) { return a.may_have_run; });
    }
    bool any_out() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const auto& a) { return !a.ended; });
    }
    std::ptrdiff_t count_out() const {
        return std::count_if(attempts.begin(), attempts.end(), [](const auto& a) { return !a.ended; });
    }
    bool was_sent_to(ServerId id) const {
        return std::any_of(attempts.begin(), attempts.end(), [&](const auto& a) { return a.server == id; });
    }
    bool is_open() const { return stage == Stage::kWaiting || stage == Stage::kOut; }
};

// Totals over the parts of a multiget.
struct Tally {
    double answered_weight = 0;
    double open_weight = 0;
    bool all_answered = true;
    int parts_answered = 0;
    int parts_open = 0;
};

struct MultigetState {
    MultigetArrival arrival;
    std::vector<PartState> parts;
    Time budget_ends = 0;  // an answer sent by then is within the latency budget
    Time step_ends = 0;    // end of the current step's time, which leaves time for a second step that follows
    Time answer_by = 0;    // latest time for any final answer
    bool is_retry = false;  // as marked by the client, or as guessed
    int step = 1;
    bool first_step_whole = true;
    bool awaits_second_step = false;
    std::set<ServerId> crashed_servers;  // crashed under its parts before any part was answered
    bool one_at_a_time = false;          // suspected of crashing servers: its parts are sent one at a time
    Id single_part = 0;                  // the part that is out alone; 0: none

    Tally tally() const {
        Tally sum;
        for (const auto& part : parts) {
            const bool is_answered = part.stage == PartState::Stage::kAnswered;
            sum.answered_weight += is_answered ? part.arrival.weight : 0;
            sum.open_weight += part.is_open() ? part.arrival.weight : 0;
            sum.all_answered = sum.all_answered && is_answered;
            sum.parts_answered += is_answered ? 1 : 0;
            sum.parts_open += part.is_open() ? 1 : 0;
        }
        return sum;
    }
    bool all_proven_not_run() const {
        return std::all_of(parts.begin(), parts.end(), [](const auto& p) { return p.all_proven_not_run(); });
    }
};

// The open requests, and an index from each part to its request.
class OpenRequests {
public:
    struct Found {
        MultigetState* request = nullptr;  // null: not found
        PartState* part = nullptr;
    };

    bool empty() const { return requests_.empty(); }
    MultigetState& add(Id id) { return requests_[id]; }
    MultigetState* find(Id id) {
        const auto found = requests_.find(id);
        return found == requests_.end() ? nullptr : &found->second;
    }
    Found find_part(Id part) {
        const auto found = location_of_.find(part);
        if (found == location_of_.end()) return {};
        auto& request = requests_.at(found->second.request);
        return {&request, &request.parts[found->second.index]};
    }
    std::vector<Id> ids() const {
        std::vector<Id> all;
        all.reserve(requests_.size());
        for (const auto& [id, request] : requests_) all.push_back(id);
        return all;
    }
    // Replaces the parts of the request.
    void add_parts(MultigetState& request, const std::vector<PartArrival>& parts) {
        request.parts.clear();
        for (const auto& part : parts) {
            location_of_[part.id] = {request.arrival.id, request.parts.size()};
            request.parts.push_back({part, PartState::Stage::kWaiting, {}, false});
        }
    }
    void drop_parts(MultigetState& request) {
        for (const auto& part : request.parts) location_of_.erase(part.arrival.id);
        request.parts.clear();
    }
    void erase(Id id) { requests_.erase(id); }

private:
    struct Location {
        Id request = 0;
        std::size_t index = 0;  // among the parts of the request
    };
    std::map<Id, MultigetState> requests_;
    std::map<Id, Location> location_of_;  // by part
};

}  // namespace pinedoor::policy
