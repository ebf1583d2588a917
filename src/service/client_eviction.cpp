#include "service/client_eviction.hpp"

#include <algorithm>
#include <utility>

namespace pinedoor::service {
namespace {

using Phase = ClientConnection::Phase;

constexpr Time kWriteGrace = 10'000;  // time in which a client usually reads its answer: 1 s
// While connections without a first request take more than this fraction of all, they go before idle ones.
constexpr std::size_t kNewDivisor = 2;

// Evicted first are connections after their last answer, then those without a first request within the usual
// time, then those between two requests. A new connection is likely to belong to a regular client, unless
// there are very many.
int descriptor_rank(const ClientConnection& connection, Time now, Time first_request_time, bool many_new) {
    switch (connection.phase) {
        case Phase::kLeaving: return 0;
        case Phase::kNew: return many_new || now - connection.phase_since >= first_request_time ? 1 : 3;
        case Phase::kIdle: return 2;
        case Phase::kReading: return 4;
        case Phase::kWriting:
        case Phase::kBusy: break;
    }
    return 5;
}

bool can_free_descriptor(const ClientConnection& connection, Time now) {
    if (connection.evicted || connection.phase == Phase::kBusy) return false;
    return connection.phase != Phase::kWriting || now - connection.phase_since >= kWriteGrace;
}

}  // namespace

ClientConnection* pick_for_descriptor(const ClientConnectionList& connections, Time now,
                                      Time first_request_time, std::size_t capacity) {
    const auto new_ones = std::count_if(connections.begin(), connections.end(),
                                        [](const auto& each) { return each->phase == Phase::kNew; });
    const bool many_new = static_cast<std::size_t>(new_ones) * kNewDivisor > capacity;
    const auto rank = [&](const ClientConnection& each) {
        return std::pair{descriptor_rank(each, now, first_request_time, many_new), each.phase_since};
    };
    ClientConnection* first = nullptr;
    for (const auto& connection : connections) {
        if (!can_free_descriptor(*connection, now)) continue;
        if (first == nullptr || rank(*connection) < rank(*first)) first = connection.get();
    }
    return first;
}

}  // namespace pinedoor::service
