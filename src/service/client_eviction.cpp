#include "service/client_eviction.hpp"

#include <algorithm>
#include <utility>

namespace pinedoor::service {
namespace {

using Phase = ClientConnection::Phase;
using Eviction = ClientConnection::Eviction;

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
    if (connection.eviction != Eviction::kNone || connection.phase == Phase::kBusy) return false;
    return connection.phase != Phase::kWriting || now - connection.phase_since >= kWriteGrace;
}

bool can_free_memory(const ClientConnection& connection, ChargeOfConnection charge) {
    return connection.eviction == Eviction::kNone && connection.phase != Phase::kBusy &&
           (connection.*charge).bytes() > ClientConnection::kAssuredBytes;
}

// Memory held times the time for which it was held: a large request that arrives at once costs little.
double memory_cost(const ClientConnection& connection, Time now) {
    return static_cast<double>(connection.memory.bytes()) *
           static_cast<double>(1 + std::max<Time>(0, now - connection.phase_since));
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

std::vector<ClientConnection*> pick_for_memory(const ClientConnectionList& connections, Time now,
                                               ChargeOfConnection charge, std::size_t bytes) {
    std::vector<ClientConnection*> candidates;
    for (const auto& connection : connections) {
        if (can_free_memory(*connection, charge)) candidates.push_back(connection.get());
    }
    std::sort(candidates.begin(), candidates.end(),
              [now](const auto* a, const auto* b) { return memory_cost(*a, now) > memory_cost(*b, now); });
    std::size_t freed = 0;
    std::size_t count = 0;
    while (count < candidates.size() && freed < bytes) freed += (candidates[count++]->*charge).bytes();
    candidates.resize(count);
    return candidates;
}

std::size_t bytes_being_freed(const ClientConnectionList& connections, ChargeOfConnection charge) {
    std::size_t sum = 0;
    for (const auto& connection : connections) {
        if (connection->eviction == Eviction::kForMemory) sum += ((*connection).*charge).bytes();
    }
    return sum;
}

}  // namespace pinedoor::service
