// Reserved TCP ports on loopback.
#pragma once

#include "net/socket.hpp"

namespace pinedoor::lab {

// Reserves a port of 127.0.0.1 while the emulated server on it is down. Connections are refused then, and no
// other listener or outgoing connection (which could connect to itself) gets the port. A listener on the port
// must set SO_REUSEADDR, as net::listen_on does (socket(7)).
class HeldPort {
public:
    HeldPort();  // throws std::system_error if there is none

    net::Endpoint at() const { return at_; }

private:
    net::Fd fd_;  // bound, never listened on
    net::Endpoint at_;
};

}  // namespace pinedoor::lab
