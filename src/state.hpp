// What the decision module keeps for one send, one part and one multiget. No decision is made here.
#pragma once

#include <algorithm>
#include <vector>

#include "logic.hpp"

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

}  // namespace pinedoor
