// Many runs on all cores: variants x worlds x seeds, each once, what came of it kept as it comes.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "lab/study/results.hpp"
#include "lab/study/variant.hpp"

namespace pinedoor::lab {

struct NamedWorld {
    std::string path;
    World world;
};
struct Experiment {
    std::vector<NamedWorld> worlds;
    std::vector<Variant> variants;
    int seeds = 10;  // from each world's own on
};
struct Progress {
    std::size_t done = 0, total = 0, reused = 0;  // found: kept by an earlier run
};

// service[world][variant][seed]; negative where it was not played. With `results` what it holds is not played
// again, and what is played is kept at once. Stops early, when the runs under way are over, once `stop` is
// set. Throws what a run or the keeping throws; all that was kept before stays kept.
struct Outcomes {
    std::vector<std::vector<std::vector<double>>> service;
    std::vector<std::vector<std::uint64_t>> broken;
    bool complete = true;
};
Outcomes play_all(const Experiment& experiment, Results* results, unsigned threads,
                  const std::atomic<bool>& stop, const std::function<void(const Progress&)>& progress);

// Calls job(0) to job(count - 1) on so many threads, until one throws (rethrown here) or `stop` is set.
void on_threads(std::size_t count, unsigned threads, const std::atomic<bool>& stop,
                const std::function<void(std::size_t)>& job);

}  // namespace pinedoor::lab
