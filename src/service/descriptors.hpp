// Divides the configured number of descriptors: a reserve for the process itself, the rest for index servers
// and clients.
#pragma once

#include <cstddef>

namespace pinedoor::service {

class DescriptorBudget {
public:
    // Standard streams, epoll, the listener, signals, discovery's connections and a few spare ones.
    static constexpr std::size_t kReserve = 16;

    explicit DescriptorBudget(std::size_t total)
        : for_servers_((total - kReserve) / 2), for_clients_(total - kReserve - for_servers_) {}

    std::size_t for_servers() const { return for_servers_; }
    std::size_t for_clients() const { return for_clients_; }

private:
    std::size_t for_servers_;
    std::size_t for_clients_;
};

}  // namespace pinedoor::service
