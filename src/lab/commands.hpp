// The subcommands of pinedoor-lab; main.cpp parses the command line. Each function returns the exit code and
// throws std::exception with a readable message if a file cannot be used.
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
inline constexpr int kExitInterrupted = 130;  // by SIGINT; stored results remain

struct RunOptions {
    std::string log;  // path of the log file; empty: none
    bool check = false, json = false;
};
// Simulates a world and prints its totals.
int run_world(const World& world, PolicyKind policy, const RunOptions& options);
// Runs a world on sockets with real front node processes; `program` is the path of pinedoor.
int live(const World& world, const std::string& program, std::size_t connections, const RunOptions& options);
// Like live(), but prints the state each second and writes a report at the end.
int watch(const World& world, const std::string& program, const std::string& report_path);
// Options of fleet_hunt().
struct FleetHuntOptions {
    int rounds = 0;
    std::size_t max_faults = 4;  // per schedule
    double keep_ratio = 0.8;     // least share of the badness found that the reduced world must keep
    std::string out;             // path; empty: standard output
};
// Runs fault schedules on a fleet one after the other and writes the worst, reduced, as a world.
int fleet_hunt(const FleetWorld& world, const std::string& program, std::size_t connections,
               const FleetHuntOptions& options);
// Prints the history of one front node, across its processes, from a log.
int replay_node(const std::string& path, int node);
// Runs many front nodes with faults between the processes. `log` is a file path; empty: none.
int fleet(const FleetWorld& world, const std::string& program, std::size_t connections,
          const std::string& log);
// Checks a log against the rules.
int judge_log(const std::string& path);

struct CompareOptions {
    std::vector<std::string> worlds, variants;  // the first variant is the baseline
    int seeds = 10;
    unsigned threads = 0;  // 0: one per core
    std::string results;   // path of the results file; empty: results are not stored
};
// Runs worlds under several variants and prints the differences from the first.
int compare_variants(const CompareOptions& options);

struct HuntOptions {
    std::string goal = "loss";  // loss, gap (to the policy sees-all) or rule (nearness to a broken rule)
    int rounds = 12, worlds_per_round = 16, seeds = 2, max_troubles = 4;
    unsigned threads = 0;
    double keep_ratio = 0.8;  // least share of the badness found that the reduced world must keep
    std::string out;          // path of the world's file; empty: standard output
};
// Searches for the worst combination of faults and reduces the world that shows it.
int hunt(const World& base, const HuntOptions& options);

// Runs a world at several sizes and prints service, CPU time and memory.
int scale(const World& world, const std::string& what, const std::vector<double>& factors);
// Prints the history of a multiget. `path` is a world's TOML or a log. Without a number, one of the worst
// multigets is shown.
int replay(const std::string& path, std::optional<std::uint64_t> multiget, std::optional<std::uint64_t> seed);
// Writes an HTML report of a world or a log to `out`, and the plots to the folder `plots` unless it is empty.
int report(const std::string& path, std::optional<std::uint64_t> seed, PolicyKind policy,
           const std::string& out, const std::string& plots);

}  // namespace pinedoor::lab
