// The limited capacity of emulated discovery: a FIFO queue that serves one call at a time and rejects calls
// while it is full. It records every call; the verdict on the callers is based on this record.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "lab/live/agenda.hpp"

namespace pinedoor::lab {

struct CallTerms {
    double per_second = 0;     // service rate; 0: unlimited, every call is served at once
    int waiting = 10;          // queue length behind the call being served; further calls are refused
    net::Moment time_out = 0;  // of a queued call; 0: none
};

class CallQueue {
public:
    enum class End { kWaiting, kServed, kRefused, kTimedOut, kGone };
    struct Call {
        net::Moment at = 0;  // when the request was complete
        int node = 0;        // the calling front node
        End end = End::kWaiting;
        net::Moment ended = 0;
    };

    CallQueue(TimerQueue& timers, CallTerms terms) : timers_(timers), terms_(terms) {}

    // Submits a call and returns its number. `done` is called once, at once or later: true if the call was
    // served, false if it was refused or timed out.
    std::size_t ask(int node, std::function<void(bool served)> done);
    void leave(std::size_t call);  // the caller disconnected; `done` is not called
    void clear();                  // discovery went down: drops the waiting calls
    void refuse_all(bool on) { refuse_all_ = on; }

    const std::vector<Call>& calls() const { return calls_; }
    // The maximum number of calls being served and waiting.
    std::size_t most_at_once() const { return max_outstanding_; }
    std::uint64_t count(End end) const;
    std::uint64_t max_calls_within(net::Moment span) const;  // maximum within any such span

private:
    struct Waiting {
        std::size_t call;
        std::function<void(bool)> done;
    };
    void serve_next();
    void end(std::size_t call, End result);

    TimerQueue& timers_;
    const CallTerms terms_;
    std::vector<Call> calls_;
    std::deque<Waiting> waiting_;
    bool busy_ = false;
    bool refuse_all_ = false;
    std::uint64_t generation_ = 0;
    std::size_t max_outstanding_ = 0;
};

}  // namespace pinedoor::lab
