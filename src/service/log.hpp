// The log: one line a call, through one function, so many a second at most, and none while its reader is
// stuck: a full pipe must not hold up the loop.
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
    void write(net::Moment now, const std::string& text);

    std::FILE* out_;
    const net::Scheduler& scheduler_;
    Counters& counters_;
    net::Moment second_began_ = 0;
    int lines_ = 0;
    int suppressed_ = 0;
};

}  // namespace pinedoor::service
