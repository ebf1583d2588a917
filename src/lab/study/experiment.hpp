// Runs every combination of variant, world and seed in parallel and stores each result as it arrives.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "lab/study/results.hpp"
#include "lab/study/variant.hpp"

namespace pinedoor::lab {

// A world with the path that it was read from.
struct NamedWorld {
    std::string path;
    World world;
};
// The combinations to run.
struct Experiment {
    std::vector<NamedWorld> worlds;
    std::vector<Variant> variants;
    int seeds = 10;  // consecutive seeds, starting with the world's own
};
struct Progress {
    std::size_t done = 0, total = 0, reused = 0;  // runs; `reused`: already stored by an earlier call
};

// Results of an experiment.
struct Outcomes {
    // service[world][variant][seed]; negative if that run was not played.
    std::vector<std::vector<std::vector<double>>> service;
    // broken[world][variant]: broken rules, summed over the seeds.
    std::vector<std::vector<std::uint64_t>> broken;
    bool complete = true;  // false if stopped early
};
// Runs the experiment on `threads` threads. With `results`, runs that are already stored are not repeated,
// and each new result is stored at once. After `stop` is set, runs in progress finish and no new ones start.
// An exception of a run or of the storage is rethrown; results stored before it remain.
Outcomes play_all(const Experiment& experiment, Results* results, unsigned threads,
                  const std::atomic<bool>& stop, const std::function<void(const Progress&)>& progress);

// Calls job(0) to job(count - 1) on `threads` threads until all are done, `stop` is set or a job throws; the
// first exception is rethrown.
void run_on_threads(std::size_t count, unsigned threads, const std::atomic<bool>& stop,
                    const std::function<void(std::size_t)>& job);

}  // namespace pinedoor::lab
