// Settings of the peer layer (membership, gossip and their transport), read from the [peers] section
// (deploy/peers.toml). The layer is off unless [peers] sets `on`.
#pragma once

#include <string>
#include <vector>

#include "net/socket.hpp"
#include "peers/decide.hpp"

namespace pinedoor::peers {

struct PeerConfig {
    bool on = false;
    std::string cluster = "pinedoor";  // messages of other clusters are rejected
    net::Endpoint listen;              // for datagrams and streams
    net::Endpoint advertise;           // address given to other members; defaults to `listen`
    std::vector<net::Endpoint> seeds;
    std::string seeds_file;  // one address per line, re-read periodically; empty: no file
    std::string secret;      // key for message authentication; empty: messages are not authenticated
    std::string control;     // path of the local control socket (`pinedoor peers`); empty: no socket
    MembershipConfig membership;
};

}  // namespace pinedoor::peers
