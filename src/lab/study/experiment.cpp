#include "lab/study/experiment.hpp"

#include <algorithm>
#include <chrono>
#include <exception>
#include <mutex>
#include <thread>

namespace pinedoor::lab {

void run_on_threads(std::size_t count, unsigned threads, const std::atomic<bool>& stop,
                    const std::function<void(std::size_t)>& job) {
    std::atomic<std::size_t> next = 0;
    std::exception_ptr failure;
    std::mutex mutex;
    const auto worker = [&] {
        for (auto index = next++; index < count && !stop; index = next++) {
            try {
                job(index);
            } catch (...) {
                const std::lock_guard lock(mutex);
                if (!failure) failure = std::current_exception();
                next = count;
            }
        }
    };
    std::vector<std::thread> pool;
    for (unsigned i = 1; i < std::max(1U, threads); ++i) pool.emplace_back(worker);
    worker();
    for (auto& thread : pool) thread.join();
    if (failure) std::rethrow_exception(failure);
}

Outcomes play_all(const Experiment& experiment, Results* results, unsigned threads,
                  const std::atomic<bool>& stop, const std::function<void(const Progress&)>& progress) {
    const auto seeds = static_cast<std::size_t>(experiment.seeds);
    const auto variants = experiment.variants.size();
    Outcomes outcomes;
    std::vector<std::string> tomls, ids;
    for (auto each : experiment.worlds) {
        each.world.seed = 0;
        tomls.push_back(each.world.to_toml());
        ids.push_back(results != nullptr ? results->add_world(each.world.name, tomls.back()) : std::string());
        outcomes.service.emplace_back(variants, std::vector<double>(seeds, -1));
        outcomes.broken.emplace_back(variants, 0);
    }
    Progress progress_now{0, experiment.worlds.size() * variants * seeds, 0};
    std::mutex mutex;
    const auto record = [&](std::size_t world, std::size_t variant, std::size_t seed, const Played& played) {
        outcomes.service[world][variant][seed] = played.service;
        outcomes.broken[world][variant] += played.broken;
        ++progress_now.done;
        if (progress) progress(progress_now);
    };
    std::vector<std::size_t> jobs;
    for (std::size_t job = 0; job < progress_now.total; ++job) {
        const auto world = job / (variants * seeds), variant = job / seeds % variants, seed = job % seeds;
        const RunName name{ids[world], experiment.variants[variant].name,
                           experiment.worlds[world].world.seed + seed};
        const auto stored = results != nullptr ? results->find(name) : std::nullopt;
        if (!stored) {
            jobs.push_back(job);
            continue;
        }
        ++progress_now.reused;
        record(world, variant, seed, *stored);
    }
    run_on_threads(jobs.size(), threads, stop, [&](std::size_t index) {
        const auto job = jobs[index];
        const auto world = job / (variants * seeds), variant = job / seeds % variants, seed = job % seeds;
        const auto& named_world = experiment.worlds[world];
        const auto start = std::chrono::steady_clock::now();
        const auto played =
            play(tomls[world], named_world.path, experiment.variants[variant], named_world.world.seed + seed);
        const double duration_s =
            std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        const std::lock_guard lock(mutex);
        if (results != nullptr)
            results->save({ids[world], experiment.variants[variant].name, named_world.world.seed + seed},
                          played, duration_s);
        record(world, variant, seed, played);
    });
    outcomes.complete = progress_now.done == progress_now.total;
    return outcomes;
}

}  // namespace pinedoor::lab
