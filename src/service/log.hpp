// The log: one line a call, through one function, so many a second at most.
#pragma once

#include <cstdio>
#include <string>

#include "net/scheduler.hpp"
#include "service/counters.hpp"

namespace pinedoor::service {

class Log {
public:
    Log(std::FILE* out, const net::Scheduler& scheduler, Counters& counters)
        : out_(out), scheduler_(scheduler), counters_(counters) {}

    void line(const std::string& text);

private:
    std::FILE* out_;
    const net::Scheduler& scheduler_;
    Counters& counters_;
    net::Moment second_began_ = 0;
    int lines_ = 0;
    int suppressed_ = 0;
};

}  // namespace pinedoor::service
