// What is compared: who decides, on which changes of the world, in which build of the laboratory.
#pragma once

#include <cstdint>
#include <string>

#include "lab/sim/policy.hpp"
#include "lab/world/totals.hpp"
#include "lab/world/world.hpp"

namespace pinedoor::lab {

struct Variant {
    std::string name;  // as it was written
    PolicyKind policy = PolicyKind::kPinedoor;
    World::Changes changes;
    std::string program;  // another build's pinedoor-lab; empty: this one

    // "pinedoor", "random", and so on; "pinedoor,sends.most=2,servers.queue=8"; "build:/a/b/pinedoor-lab",
    // with changes behind it likewise. Throws stated::ConfigError.
    static Variant read(const std::string& text);
};

struct Played {
    double service = 0;
    std::uint64_t broken = 0;
    std::string json;  // Totals::to_json()
};
// One run, here or by another build's program (whose word is taken). Throws stated::ConfigError if that
// fails.
Played play(const std::string& world_toml, const std::string& path, const Variant& variant,
            std::uint64_t seed);

}  // namespace pinedoor::lab
