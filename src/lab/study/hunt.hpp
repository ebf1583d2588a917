// The search for bad days, without I/O: which worlds to try next, given how bad those tried were, and which
// smaller worlds might still show it. Whoever plays them (pinedoor-lab hunt) tells what came of each. The
// same seed and the same answers give the same worlds, in whatever order or on however many threads they were
// played.
#pragma once

#include <cstddef>
#include <vector>

#include "lab/world/world.hpp"

namespace pinedoor::lab {

// Keeps the few worst worlds found and varies their troubles: one added, taken out, moved, made wider or
// harder, or two worlds' troubles mixed; now and then a world drawn anew.
class Hunter {
public:
    // `base`: all but the troubles stays as it is there. `most`: troubles in a world.
    Hunter(World base, std::uint64_t seed, int max_troubles);

    std::vector<World> next(std::size_t count);  // the same until told() what came of them
    // How bad each of next()'s was: larger is worse. As many as next() gave, else std::invalid_argument.
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

// Smaller worlds that may show the same, the largest step first: a trouble or a kind of client fewer, half
// the servers and shards, half the front nodes, half the requests, a shorter day, a milder trouble. Empty: it
// is small.
std::vector<World> reductions(const World& world);

}  // namespace pinedoor::lab
