#include "peers/connection_table.hpp"

#include <algorithm>
#include <utility>

namespace pinedoor::peers {
namespace {

using Role = PeerConnection::Role;

// Together 128, the descriptors that the peer layer may take.
constexpr std::size_t kMaxIncoming = 104;
constexpr std::size_t kMaxOutgoing = 16;
constexpr std::size_t kMaxControl = 8;
// The followers of the list and some that are turned away; the rest of the incoming ones is for states.
constexpr std::size_t kMaxHttp = 80;

std::size_t limit_of(Role role) {
    switch (role) {
        case Role::kIncoming: return kMaxIncoming;
        case Role::kOutgoing: return kMaxOutgoing;
        case Role::kControl: break;
    }
    return kMaxControl;
}

}  // namespace

bool ConnectionTable::can_evict(const PeerConnection& connection) {
    return connection.is_unfinished && !connection.is_evicted;
}

void ConnectionTable::evict(PeerConnection& connection) {
    connection.is_evicted = true;
    connection.stream.waiter().signal();
    ++evicted_;
}

bool ConnectionTable::has_room(Role role) const {
    const auto count = std::count_if(connections_.begin(), connections_.end(),
                                     [role](const auto& each) { return each->role == role; });
    return static_cast<std::size_t>(count) < limit_of(role);
}

PeerConnection& ConnectionTable::add(net::Scheduler& scheduler, net::Fd fd, Role role) {
    auto added = std::make_unique<PeerConnection>(scheduler, std::move(fd), role);
    return *connections_.emplace_back(std::move(added));
}

void ConnectionTable::remove(const PeerConnection& connection) {
    std::erase_if(connections_, [&connection](const auto& each) { return each.get() == &connection; });
}

bool ConnectionTable::has_room_for_http() const {
    const auto count = std::count_if(connections_.begin(), connections_.end(),
                                     [](const auto& each) { return each->is_handed_over; });
    return static_cast<std::size_t>(count) < kMaxHttp;
}

bool ConnectionTable::evict_unfinished(Role role, std::size_t wanted) {
    auto pending = static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [role](const auto& each) { return each->role == role && each->is_evicted; }));
    for (auto& connection : connections_) {
        if (pending >= wanted) break;
        if (connection->role != role || !can_evict(*connection)) continue;
        evict(*connection);
        ++pending;
    }
    return pending > 0;
}

std::size_t ConnectionTable::free_memory() {
    std::size_t evicted = 0;
    while (buffered_bytes() > max_buffered_bytes_) {
        PeerConnection* largest = nullptr;
        for (auto& connection : connections_) {
            if (!can_evict(*connection)) continue;
            const auto bytes = connection->stream.buffer().capacity();
            if (largest == nullptr || bytes > largest->stream.buffer().capacity()) largest = connection.get();
        }
        if (largest == nullptr) break;
        evict(*largest);
        ++evicted;
    }
    return evicted;
}

std::size_t ConnectionTable::buffered_bytes() const {
    std::size_t sum = 0;
    for (const auto& connection : connections_)
        sum += connection->is_evicted ? 0 : connection->stream.buffer().capacity();
    return sum;
}

}  // namespace pinedoor::peers
