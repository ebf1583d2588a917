// How the told number of descriptors is shared: a reserve for what every process holds, the rest for both
// sides.
#pragma once

#include <cstddef>

namespace pinedoor::service {

class Descriptors {
public:
    // Standard streams, epoll, the listener, signals, discovery's connections and a few to spare.
    static constexpr std::size_t kReserve = 16;

    explicit Descriptors(std::size_t told)
        : for_servers_((told - kReserve) / 2), for_clients_(told - kReserve - for_servers_) {}

    std::size_t for_servers() const { return for_servers_; }
    std::size_t for_clients() const { return for_clients_; }

private:
    std::size_t for_servers_;
    std::size_t for_clients_;
};

}  // namespace pinedoor::service
