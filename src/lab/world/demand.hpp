// Random generation of client load. The simulation and the socket-based runs share it.
#pragma once

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

#include "lab/world/world.hpp"

namespace pinedoor::lab {

// A client's request, over all its tries.
struct Request {
    std::uint32_t kind = 0;
    Time first_asked = 0;
    int tries_left = 0;
    std::uint64_t effect = 0;  // multiget of the first try; identifies the effect that must not happen twice
    int tenant = 0;
    std::vector<PartArrival> parts;
};

inline Request draw_request(const World& world, std::uint32_t kind, Time now, Chance& chance) {
    const auto& clients = world.clients[kind];
    Request request{kind, now, clients.retries, 0, 0, {}};
    double shares = 0;
    for (const auto& each : world.tenants) shares += each.share;
    for (double at = world.tenants.size() > 1 ? chance.one() * shares : 0;
         request.tenant + 1 < static_cast<int>(world.tenants.size()); ++request.tenant) {
        at -= world.tenants[static_cast<std::size_t>(request.tenant)].share;
        if (at < 0) break;
    }
    const auto places = static_cast<std::uint64_t>(world.places());
    const auto count =
        std::clamp<std::uint64_t>(static_cast<std::uint64_t>(clients.parts(chance) + 0.5), 1, places);
    std::set<std::uint64_t> shards;
    while (shards.size() < count) shards.insert(chance.below(places));
    double sum = 0;
    for (const auto shard : shards) {
        PartArrival part;
        part.shard = static_cast<int>(shard);
        part.weight = clients.even            ? 1
                      : clients.heavy_weights ? 1 / (0.01 + chance.one())
                                              : 0.05 + chance.one();
        sum += part.weight;
        // The k-th key is drawn with a probability proportional to 1/k, so the logarithm is uniform.
        if (clients.keys > 0)
            part.key = static_cast<std::uint64_t>(std::exp(chance.one() * std::log(clients.keys + 1.0)));
        request.parts.push_back(part);
    }
    for (auto& part : request.parts) part.weight /= sum;
    return request;
}

// A load shift: while it lasts, this share of the requests goes to the front nodes of one zone, and the rest
// to any front node. Zone -1 means that there is no shift.
struct Shift {
    int zone = -1;
    double share = 0;
};

// Picks the front node for a try.
inline int draw_node(const World& world, const Shift& shift, Chance& chance) {
    const auto nodes = static_cast<std::uint64_t>(world.nodes);
    if (shift.zone < 0 || shift.zone >= world.nodes || chance.one() >= shift.share)
        return static_cast<int>(chance.below(nodes));
    const int there = (world.nodes - shift.zone + world.zones - 1) /
                      world.zones;  // nodes are assigned to zones round-robin
    return shift.zone + world.zones * static_cast<int>(chance.below(static_cast<std::uint64_t>(there)));
}

// The factor on a client kind's base request rate now. `surge` is the factor from active surge faults.
inline double rate_factor(const ClientKind& clients, Time now, double surge) {
    const bool burst = clients.burst_every > 0 && now % clients.burst_every < clients.burst_for;
    return surge * (burst ? clients.burst_factor : 1);
}

// The upper bound of rate_factor() over the whole run. Arrivals are generated at this rate and thinned to the
// current one.
inline double max_rate_factor(const World& world, const ClientKind& clients) {
    double most = clients.burst_every > 0 ? std::max(1.0, clients.burst_factor) : 1;
    for (const auto& trouble : world.troubles) {
        if (trouble.kind == Trouble::Kind::kSurge) most *= std::max(1.0, trouble.factor);
    }
    return most;
}

}  // namespace pinedoor::lab
