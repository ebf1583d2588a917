// Searches for the faults with the worst effect, without I/O: proposes worlds to try, given how bad the
// earlier ones were, and smaller worlds that may show the same effect. The caller (pinedoor-lab hunt) runs
// the worlds and reports the results. The sequence of worlds depends only on the seed and the reported
// values, not on the order of the runs or the number of threads.
#pragma once

#include <cstddef>
#include <vector>

#include "lab/world/world.hpp"

namespace pinedoor::lab {

// Evolutionary search: keeps the worst worlds found so far and varies their faults. A fault is added,
// removed, moved, replaced or changed in extent or severity, or taken from another kept world; a fixed share
// of the worlds is drawn from scratch.
class Hunter {
public:
    // All settings except the faults are taken from `base`; a world has at most `max_troubles` faults.
    Hunter(World base, std::uint64_t seed, int max_troubles);

    // Returns the worlds to run; calling it again before record_badness() returns the same worlds.
    std::vector<World> next(std::size_t count);
    // Reports how bad each world of next() was, in the same order; larger is worse. Throws
    // std::invalid_argument if the number of values differs from the number of worlds.
    void record_badness(const std::vector<double>& badness);

    const World& worst() const { return kept_.front().world; }
    double worst_badness() const { return kept_.front().badness; }
    bool found() const { return !kept_.empty(); }

private:
    struct Kept {
        World world;
        double badness = 0;
    };
    Trouble draw();
    World vary(const World& world);

    const World base_;
    const std::size_t max_troubles_;
    Chance chance_;
    std::vector<World> pending_;
    std::vector<Kept> kept_;  // worst first
};

// Smaller worlds that may show the same effect, the largest reduction first: without one fault or one kind of
// client, with half the servers, shards and requests, with half the front nodes, with a shorter run, with
// simpler clients, without message loss, or with a shorter or narrower fault. Empty if nothing can be
// reduced.
std::vector<World> reductions(const World& world);

}  // namespace pinedoor::lab
