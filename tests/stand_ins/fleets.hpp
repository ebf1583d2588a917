// Random fleets for the planner, from a seed, with uneven loads, sizes and capacities. Replicas are placed on
// any box that has space.
#pragma once

#include <algorithm>
#include <cmath>
#include <random>

#include "placement/planner.hpp"

namespace pinedoor::test {

// Parameters of a random fleet.
struct FleetShape {
    std::size_t boxes = 6, shards = 20, replicas = 2;
    int zones = 3;
    double space = 1;      // factor of the boxes' space; 1 is 1.5 times what an even spread needs
    double crowding = 1;   // above 1 the first boxes hold more replicas than the rest
    bool empties = false;  // one box in twenty is draining
};

inline placement::Fleet random_fleet(std::uint64_t seed, FleetShape shape) {
    using namespace placement;
    std::mt19937_64 generator(seed);
    const auto uniform = [&generator] { return std::uniform_real_distribution<double>(0, 1)(generator); };
    Fleet fleet;
    double size = 0, load = 0;
    for (std::size_t s = 0; s < shape.shards; ++s) {
        Need need;
        need.shard = s + 1;
        need.reads = 10 / (0.05 + uniform());  // a few shards are hot
        need.writes = uniform() < 0.3 ? 20 * uniform() : 0;
        need.size = 1 + std::floor(4 * uniform());
        need.replicas = shape.replicas;
        size += need.size * static_cast<double>(shape.replicas);
        load += need.reads + need.writes;
        fleet.shards.push_back(std::move(need));
    }
    const auto count = static_cast<double>(shape.boxes);
    for (std::size_t b = 0; b < shape.boxes; ++b) {
        Box box;
        box.id = static_cast<ServerNumber>(b + 1);
        box.zone = static_cast<int>(b) % shape.zones;
        box.capacity = (1 + std::floor(2 * uniform())) * 1.4 * load / count;
        box.space = shape.space * 1.5 * size / count / fleet.terms.fill + 5;
        box.draining = shape.empties && b % 20 == 0;
        fleet.boxes.push_back(box);
    }
    std::vector<double> used(shape.boxes);
    for (auto& need : fleet.shards) {
        for (int tries = 0; need.now.size() < shape.replicas && tries < 1'000; ++tries) {
            const auto b = static_cast<std::size_t>(std::pow(uniform(), shape.crowding) * count);
            const auto id = static_cast<ServerNumber>(b + 1);
            if (is_on(need.now, id) || used[b] + need.size > fleet.boxes[b].space * fleet.terms.fill)
                continue;
            used[b] += need.size;
            need.now.push_back({id, need.now.empty() ? Role::kOwner : Role::kReader});
        }
    }
    return fleet;
}

}  // namespace pinedoor::test
