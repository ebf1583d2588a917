// What pinedoor-lab's words do; main.cpp reads the words. Each returns the exit code and throws
// std::exception with words for a person where a file cannot be used.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/fleet/fleet_world.hpp"
#include "lab/study/variant.hpp"
#include "lab/world/world.hpp"

namespace pinedoor::lab {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitRuleBroken = 3;     // a rule was broken
inline constexpr int kExitInterrupted = 130;  // by SIGINT; what was kept stays kept

struct RunOptions {
    std::string log;  // a file; empty: none
    bool check = false, json = false;
};
int run_world(const World& world, PolicyKind policy, const RunOptions& options);
// On sockets, with real front nodes: `program` is pinedoor.
int live(const World& world, const std::string& program, std::size_t connections, const RunOptions& options);
// The same to look at: a few lines each second, and a report at the end.
int watch(const World& world, const std::string& program, const std::string& report_path);
// Many front nodes with faults between the processes; `log`: a file, empty: none.
// Plays schedules of faults on it, one after the other, and writes the worst, shrunk, as a world.
struct FleetHuntOptions {
    int rounds = 0;
    std::size_t max_faults = 4;  // faults
    double keep_ratio = 0.8;     // of what was found, in the shrunk world
    std::string out;             // empty: printed
};
int fleet_hunt(const FleetWorld& world, const std::string& program, std::size_t connections,
               const FleetHuntOptions& options);
// One front node's life across all processes, from a log.
int replay_node(const std::string& path, int node);
int fleet(const FleetWorld& world, const std::string& program, std::size_t connections,
          const std::string& log);
int judge_log(const std::string& path);

struct CompareOptions {
    std::vector<std::string> worlds, variants;  // the first variant is what the others are compared with
    int seeds = 10;
    unsigned threads = 0;  // 0: one a core
    std::string results;   // a file; empty: nothing is kept
};
int compare_variants(const CompareOptions& options);

struct HuntOptions {
    std::string goal = "loss";  // loss, gap (to who sees all), rule (nearness to a broken one)
    int rounds = 12, worlds_per_round = 16, seeds = 2, max_troubles = 4;
    unsigned threads = 0;
    double keep_ratio = 0.8;  // of what was found, in the shrunk world
    std::string out;          // a world's file; empty: printed
};
int hunt(const World& base, const HuntOptions& options);

int scale(const World& world, const std::string& what, const std::vector<double>& factors);
// `path`: a world's TOML or a log. Without a multiget: one of those that went worst.
int replay(const std::string& path, std::optional<std::uint64_t> multiget, std::optional<std::uint64_t> seed);
int report(const std::string& path, std::optional<std::uint64_t> seed, PolicyKind policy,
           const std::string& out, const std::string& plots);

}  // namespace pinedoor::lab
