// Start times of index servers by this process's clock.
//
// Discovery reports start times by the wall clock, which may be stepped; this process uses a clock that never
// jumps (net/scheduler.hpp). A start time is converted once, when it is first received, and is not converted
// again: a later step of the wall clock does not change the age of a server.
#pragma once

#include <map>
#include <set>
#include <string>

#include "net/scheduler.hpp"

namespace pinedoor::service {

// Converts and keeps the start times of listed servers.
class ServerStarts {
public:
    // Returns the start time of a server that was reported as wall time; 0 (long ago) stays 0. `now` and
    // `wall` are this process's clock and the wall clock, read at the same moment.
    net::Moment convert(const std::string& server, net::Moment reported, net::Moment now, net::Moment wall);
    void forget(const std::string& server) { starts_.erase(server); }
    // Forgets all servers except these, which a full list names.
    void keep_only(const std::set<std::string>& servers);

private:
    struct Start {
        net::Moment reported = 0;
        net::Moment started = 0;
    };
    std::map<std::string, Start> starts_;  // start times of listed servers
};

}  // namespace pinedoor::service
