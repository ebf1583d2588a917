// Fleet members that publish false reports. They join like front nodes but serve no requests, and report the
// opposite of each index server's state as if just observed. They use the front nodes' own messaging; only
// the reports are made here.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "lab/live/held_port.hpp"
#include "net/scheduler.hpp"
#include "peers/carrier.hpp"

namespace pinedoor::lab {

class MisreportingMembers {
public:
    // `peers`: cluster, secret, seeds and times; starts one member for each entry of `zones`.
    MisreportingMembers(net::Scheduler& scheduler, peers::PeerConfig peers, const std::vector<int>& zones);

    struct ServerState {
        std::string server;
        bool faulty = false;
    };
    void publish_reports(const std::vector<ServerState>& states);

private:
    struct Member {
        HeldPort port;
        std::unique_ptr<peers::PeerTransport> carrier;
    };
    std::vector<Member> members_;
};

}  // namespace pinedoor::lab
