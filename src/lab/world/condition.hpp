// The fault state of an emulated server and the service times that follow from it. The simulation and the
// socket-based runs share it.
#pragma once

#include <cstdint>
#include <vector>

#include "lab/world/world.hpp"

namespace pinedoor::lab {

// The current state of one emulated server: its active faults, its warm-up and its key cache.
struct Condition {
    Time started = -1'000'000'000;
    int down = 0, vanished = 0, hung = 0, full = 0;  // number of active faults of each kind
    bool draining = false;
    // `slow` and `links` multiply the service time and the network delay; the others are probabilities.
    double slow = 1, errors = 0, spoilt = 0, links = 1, loss = 0;
    std::vector<std::uint64_t> keys;  // direct-mapped cache of served keys, indexed by key modulo its size

    bool up() const { return down == 0; }

    // The factor by which a server that is still warming up is slower; 1 once it is warm.
    double cold_slowdown(const World& world, Time now) const {
        const Time age = now - started;
        if (world.servers.warm_after == 0 || age >= world.servers.warm_after) return 1;
        const double warm = static_cast<double>(age) / static_cast<double>(world.servers.warm_after);
        return world.servers.cold_factor + (1 - world.servers.cold_factor) * warm;
    }
    // Draws the service time, in ticks, of a part that starts now, and caches the part's key.
    Time work(const World& world, Time now, bool first_of_call, std::uint64_t key, Chance& chance) {
        double ms = world.servers.part_ms(chance);
        if (first_of_call) ms += world.servers.call_ms(chance);
        ms *= slow * cold_slowdown(world, now);
        if (key != 0 && !keys.empty()) {
            auto& held = keys[key % keys.size()];
            if (held != key) ms *= world.servers.unheld_factor;
            held = key;
        }
        return std::max<Time>(1, static_cast<Time>(ms * 10 + 0.5));
    }
    // Draws the one-way network delay between a front node and this server, in ticks, retransmissions
    // included.
    Time travel(const World& world, bool same_zone, Chance& chance) const {
        double ms = (same_zone ? world.delay_ms : world.zone_delay_ms)(chance)*links;
        const double lost = 1 - (1 - world.loss) * (1 - loss);
        while (lost > 0 && chance.one() < lost) ms += static_cast<double>(world.retransmit) / 10;
        return std::max<Time>(1, static_cast<Time>(ms * 10 + 0.5));
    }
    // Applies or reverts a fault of a kind that affects nothing but this state; ignores the other kinds.
    void apply_fault(const Trouble& trouble, bool begins) {
        using Kind = Trouble::Kind;
        const int delta = begins ? 1 : -1;
        switch (trouble.kind) {
            case Kind::kHang:
            case Kind::kPauses: hung += delta; break;
            case Kind::kSlow: slow *= begins ? trouble.factor : 1 / trouble.factor; break;
            case Kind::kSlowLinks: links *= begins ? trouble.factor : 1 / trouble.factor; break;
            case Kind::kFull: full += delta; break;
            case Kind::kErrors: errors = begins ? trouble.factor : 0; break;
            case Kind::kSpoilt: spoilt = begins ? trouble.factor : 0; break;
            case Kind::kLossy: loss = begins ? trouble.factor : 0; break;
            default: break;
        }
    }
};

// Returns the indexes of the servers, or of the front nodes, that the world's fault with this index affects.
// The choice depends only on the world's seed and the index, so it is the same when the fault begins and
// ends.
std::vector<std::uint32_t> affected_by(const World& world, std::uint32_t trouble);

}  // namespace pinedoor::lab
