// The connections of a node's peer layer: how many there may be of each kind, and which are closed when
// places or memory run out. Those that have not sent a whole message yet go first, so that a crowd of them
// keeps neither members nor an operator's commands waiting.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

#include "net/stream.hpp"

namespace pinedoor::peers {

struct PeerConnection {
    // kIncoming: accepted from members and followers of the list; kOutgoing: opened for a state sync;
    // kControl: of an operator's command.
    enum class Role { kIncoming, kOutgoing, kControl };

    PeerConnection(net::Scheduler& scheduler, net::Fd fd, Role role_of)
        : stream(scheduler, std::move(fd)), role(role_of) {}

    net::Stream stream;
    const Role role;
    bool is_http = false;         // handed over, or to be handed over, to the handler of HTTP
    bool is_handed_over = false;  // the handler of HTTP runs on it
    bool is_unfinished = true;    // no whole message has been read
    bool is_evicted = false;      // to be closed; its task ends soon
    net::Task task;               // last member: destroyed first
};

class ConnectionTable {
public:
    using Role = PeerConnection::Role;

    // `max_buffered_bytes`: received bytes that wait for the rest of their message, on all connections
    // together, as allocated.
    explicit ConnectionTable(std::size_t max_buffered_bytes) : max_buffered_bytes_(max_buffered_bytes) {}

    bool has_room(Role role) const;
    PeerConnection& add(net::Scheduler& scheduler, net::Fd fd, Role role);
    // Not to be called while the connection's own task runs.
    void remove(const PeerConnection& connection);
    // Whether one more connection may be handed over to the handler of HTTP.
    bool has_room_for_http() const;
    // Evicts unfinished connections, oldest first, until `wanted` are about to end. Returns whether any is.
    bool evict_unfinished(Role role, std::size_t wanted);
    // Evicts unfinished connections, those first that hold most, until the rest is within the limit. Returns
    // how many it evicted.
    std::size_t free_memory();
    std::uint64_t evicted() const { return evicted_; }

private:
    static bool can_evict(const PeerConnection& connection);
    void evict(PeerConnection& connection);
    std::size_t buffered_bytes() const;  // without evicted connections

    const std::size_t max_buffered_bytes_;
    std::uint64_t evicted_ = 0;
    std::list<std::unique_ptr<PeerConnection>> connections_;  // oldest first
};

}  // namespace pinedoor::peers
