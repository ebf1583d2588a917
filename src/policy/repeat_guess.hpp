// Whether a request is one that its client asks again, and when that client began. Tries of an op type last
// alike, but a repeat may end with its client's whole time, which tells when it began.
#pragma once

#include <vector>

#include "logic.hpp"

namespace pinedoor::policy {

class RepeatGuess {
public:
    RepeatGuess(std::size_t op_types, bool clients_mark_retries)
        : history_(op_types), clients_mark_retries_(clients_mark_retries) {}

    bool is_retry(const MultigetArrival& arrival, const OpType& type, Time now);
    void on_given_up(int op_type);  // one that was no repeat: its client may ask again

private:
    struct History {
        Time usual_span = 0;  // what clients mostly give one
        int confidence = 0;   // that it is still usual
        double expected_retries = 0;
    };
    std::vector<History> history_;  // by op type
    const bool clients_mark_retries_;
};

}  // namespace pinedoor::policy
