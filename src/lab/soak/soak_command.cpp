#include "lab/soak/soak_command.hpp"

#include <cstdio>
#include <fstream>
#include <mutex>

#include "lab/commands.hpp"
#include "lab/soak/soak_checker.hpp"
#include "lab/soak/soak_rig.hpp"
#include "stated/stated.hpp"

namespace pinedoor::lab {
namespace {

using Number = unsigned long long;

// Prints the verdict; returns whether a rule was broken.
bool print_verdict(SoakChecker& checker, const std::string& title) {
    const auto breaches = checker.finish();
    const auto& totals = checker.totals();
    std::printf(
        "%s: %s; %llu requests, %llu served, %llu refused, %llu failed, %llu cut by kills; %llu abusive, "
        "%llu "
        "attempts; %llu of %llu KB; waited %llu ms for the machine\n",
        title.c_str(), breaches.empty() ? "good" : "BROKEN", static_cast<Number>(totals.requests),
        static_cast<Number>(totals.served), static_cast<Number>(totals.refused),
        static_cast<Number>(totals.failed), static_cast<Number>(totals.cut_by_kill),
        static_cast<Number>(totals.abusive), static_cast<Number>(totals.runs),
        static_cast<Number>(totals.most_memory / 1024), static_cast<Number>(totals.memory_limit / 1024),
        static_cast<Number>(totals.late_ms));
    for (const auto& breach : breaches)
        std::printf("  %s: %s\n", name_of(breach.rule).c_str(), breach.what.c_str());
    std::fflush(stdout);
    return !breaches.empty();
}

}  // namespace

int soak(const SoakOptions& options, const std::string& program) {
    int broken = 0;
    for (int i = 0; i < options.seeds; ++i) {
        const auto plan =
            draw_soak_plan(options.seed + static_cast<std::uint64_t>(i), SoakMs{options.seconds} * 1'000);
        std::ofstream file;
        if (!options.log.empty()) file.open(options.log, std::ios::binary);
        if (!options.log.empty() && !file) throw stated::ConfigError(options.log + ": cannot be written");
        SoakChecker checker;
        play_soak(plan, program, [&](const std::string& line) {
            checker.take(line);
            if (file.is_open()) file << line << '\n';
        });
        std::printf("%s\n", plan.text().c_str());
        broken += print_verdict(checker, "seed " + std::to_string(plan.seed)) ? 1 : 0;
    }
    std::printf("%d of %d runs broke a rule\n", broken, options.seeds);
    return broken > 0 ? kExitRuleBroken : kExitSuccess;
}

int judge_soak(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw stated::ConfigError(path + ": cannot be read");
    SoakChecker checker;
    for (std::string line; std::getline(file, line);) checker.take(line);
    return print_verdict(checker, path) ? kExitRuleBroken : kExitSuccess;
}

}  // namespace pinedoor::lab
