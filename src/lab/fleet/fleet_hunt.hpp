// A search for the worst schedule of faults. Runs are sequential, since a fleet of processes uses the whole
// machine. The hunter proposes worlds and receives how bad each was. Each new schedule omits some kinds of
// fault, so that kinds which mask others are not always present (swarm testing: Groce et al., ISSTA 2012).
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "lab/fleet/rig.hpp"
#include "lab/read/checker.hpp"
#include "lab/world/draw.hpp"

namespace pinedoor::lab {

// Scores a run; higher is worse. Violated rules and failed exits dominate, then lost service, then calls at
// discovery.
double badness_of(const FleetWorld& world, const FleetTotals& seen, const std::vector<Breach>& breaches);

// Proposes worlds and keeps the worst one. It runs nothing itself.
class FleetHunter {
public:
    FleetHunter(FleetWorld base, std::uint64_t seed, std::size_t max_faults);

    FleetWorld next();
    void told(double bad);  // reports the score of the world that next() returned
    const std::optional<FleetWorld>& worst() const { return worst_; }
    double worst_bad() const { return worst_bad_; }

private:
    Fault draw();
    FleetWorld draw_schedule();
    FleetWorld mutate_worst();

    const FleetWorld base_;
    const std::size_t max_faults_;
    Chance chance_;
    std::vector<Fault::Kind> kinds_;  // kinds of the current schedule
    std::optional<FleetWorld> candidate_, worst_;
    double worst_bad_ = -1;
};

// Returns worlds reduced by one step each: without a fault, or with a shorter or narrower one.
std::vector<FleetWorld> reductions(const FleetWorld& world);

}  // namespace pinedoor::lab
