#include "lab/live/live.hpp"

#include "lab/fleet/rig.hpp"

namespace pinedoor::lab {

// Runs the world as a fleet whose front nodes are up before it begins, without relays.
LiveTotals play_live(const World& world, const LiveOptions& words,
                     const std::function<void(const std::string&)>& log) {
    FleetWorld fleet;
    fleet.world = world;
    return play_fleet(fleet, words, log).totals;
}

}  // namespace pinedoor::lab
