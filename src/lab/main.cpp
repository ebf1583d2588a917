// pinedoor-lab: worlds of emulated servers and clients, and what the front node makes of them.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>

#include "lab/simulation.hpp"
#include "stated/stated.hpp"

namespace {

using namespace pinedoor::lab;

float quantile(std::vector<float>& ms, double q) {
    if (ms.empty()) return 0;
    const auto at = ms.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(ms.size() - 1));
    std::nth_element(ms.begin(), at, ms.end());
    return *at;
}

int run(const World& world, const std::string& log_path) {
    std::ofstream log;
    if (!log_path.empty()) {
        log.open(log_path, std::ios::binary);
        if (!log) throw pinedoor::stated::BadStated(log_path + ": cannot be written");
    }
    const auto began = std::chrono::steady_clock::now();
    std::function<void(const std::string&)> say;
    if (log.is_open()) say = [&log](const std::string& line) { log << line << '\n'; };
    Simulation simulation(world, say);
    auto totals = simulation.run();
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    std::printf("%s, seed %llu: service %.4f\n", world.name.c_str(),
                static_cast<unsigned long long>(world.seed), totals.service());
    std::printf("  %-16s %9s %9s %8s %8s %8s %8s %6s %8s %8s %8s\n", "clients", "asked", "whole", "in part",
                "late", "pushed", "failed", "lost", "p50 ms", "p99 ms", "service");
    for (auto& each : totals.clients) {
        std::printf("  %-16s %9llu %9llu %8llu %8llu %8llu %8llu %6llu %8.2f %8.2f %8.4f\n",
                    each.name.c_str(), static_cast<unsigned long long>(each.asked),
                    static_cast<unsigned long long>(each.whole),
                    static_cast<unsigned long long>(each.in_part), static_cast<unsigned long long>(each.late),
                    static_cast<unsigned long long>(each.pushed_back),
                    static_cast<unsigned long long>(each.failed), static_cast<unsigned long long>(each.lost),
                    static_cast<double>(quantile(each.ms, 0.5)), static_cast<double>(quantile(each.ms, 0.99)),
                    each.possible > 0 ? each.earned / each.possible : 0);
    }
    std::printf("  sends %llu, parts run %llu, run twice %llu; %llu events in %.2f s, %.0f times real time\n",
                static_cast<unsigned long long>(totals.sends), static_cast<unsigned long long>(totals.run),
                static_cast<unsigned long long>(totals.run_twice),
                static_cast<unsigned long long>(totals.events), took,
                static_cast<double>(world.length) / 1e4 / took);
    return totals.run_twice == 0 ? 0 : 3;
}

}  // namespace

int main(int count, char** words) {
    CLI::App app{"Worlds of emulated servers and clients, and what pinedoor makes of them", "pinedoor-lab"};
    app.require_subcommand(1);
    app.footer(
        "Examples:\n  pinedoor-lab run lab/worlds/hall.toml\n  pinedoor-lab run lab/worlds/crash.toml --seed "
        "7 --log run.log\n"
        "  pinedoor-lab world check lab/worlds/hall.toml\n\nExit codes: 0 done; 1 a file cannot be used; 2 "
        "the words "
        "are not understood; 3 a rule was broken.");
    std::string path, log;
    std::uint64_t seed = 0;
    auto* run_command = app.add_subcommand("run", "Play a world in simulated time and print what came of it");
    run_command->add_option("world", path, "A world's TOML")->required();
    auto* seeded = run_command->add_option("--seed", seed, "Another seed than the file's");
    run_command->add_option("--log", log, "Write what happens, a line each, to this file");
    auto* worlds = app.add_subcommand("world", "Worlds as files")->require_subcommand(1);
    auto* check = worlds->add_subcommand("check", "Say whether a world can be used");
    check->add_option("world", path, "A world's TOML")->required();
    try {
        app.parse(count, words);
        auto world = World::read_file(path);
        if (check->parsed()) {
            std::printf("%s: good\n", path.c_str());
            return 0;
        }
        if (seeded->count() > 0) world.seed = seed;
        return run(world, log);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "pinedoor-lab: %s\n", error.what());
        return 1;
    }
}
