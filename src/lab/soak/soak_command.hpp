// The subcommand that plays soak runs and judges them.
#pragma once

#include <cstdint>
#include <string>

namespace pinedoor::lab {

struct SoakOptions {
    std::uint64_t seed = 1;
    int seeds = 1;     // consecutive ones
    int seconds = 12;  // length of a run
    std::string log;   // file for the observations of the last run; empty: none
};
// Returns the exit code; one line for each run, and one for each breach.
int soak(const SoakOptions& options, const std::string& program);
// Judges the observations in a file.
int judge_soak(const std::string& path);

}  // namespace pinedoor::lab
