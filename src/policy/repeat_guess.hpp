// Detects whether a request is a client's retry. First tries of an op type have about the same time to their
// deadline; the deadline of a retry may be that of the client's whole operation, from which the start of that
// operation follows.
#pragma once

#include <vector>

#include "logic.hpp"

namespace pinedoor::policy {

class RepeatGuess {
public:
    RepeatGuess(std::size_t op_types, bool clients_mark_retries)
        : history_(op_types), clients_mark_retries_(clients_mark_retries) {}

    bool is_retry(const MultigetArrival& arrival, const OpType& type, Time now);
    // A request that was no retry was given up: its client may retry.
    void on_given_up(int op_type);

private:
    struct History {
        Time usual_span = 0;  // usual time from the arrival of a request to its deadline
        int confidence = 0;   // that it is still usual
        double expected_retries = 0;
    };
    std::vector<History> history_;  // by op type
    const bool clients_mark_retries_;
};

}  // namespace pinedoor::policy
