// Checks for tests that run a fleet of processes. Guarantees (nothing runs twice, answers are honest, a limit
// is never exceeded, no process exits badly) hold however slow the machine is, and are checked in each run.
// Expectations (service, shares of sends, durations, rules that bound times) describe the fleet only if its
// processes got enough CPU time: on a machine with busy cores, a fleet of sixteen sanitized processes served
// 0.05 of what it serves with cores of its own. Expectations are checked only in runs in which processes
// hardly waited for a core, and never under the sanitizers, which multiply the work.
#pragma once

#include <doctest/doctest.h>

#include <string>

#include "lab/fleet/verdict.hpp"

namespace pinedoor::test {

#ifdef __SANITIZE_ADDRESS__
constexpr bool kSanitized = true;
#else
constexpr bool kSanitized = false;
#endif

// Whether processes and the test itself hardly waited for a core, so that figures are meaningful.
inline bool had_enough_cpu(const lab::FleetTotals& totals) {
    return !kSanitized && totals.late_share < 0.02 && totals.waiting_share < 0.02;
}

inline bool depends_on_timing(lab::Breach::Rule rule) {
    using Rule = lab::Breach::Rule;
    return rule != Rule::kNoEffectTwice && rule != Rule::kHonestAnswers;
}

// Collects figures that a run missed.
class Expectations {
public:
    void expect(bool holds, const char* expression) {
        if (!holds) missed_ += std::string(missed_.empty() ? "" : "; ") + expression;
    }
    const std::string& missed() const { return missed_; }

private:
    std::string missed_;
};
#define FIGURE(...) figures.expect((__VA_ARGS__), #__VA_ARGS__)

// `run` runs the fleet, checks its guarantees and returns a result with `totals`; `check` checks the figures
// of a result. Timing among processes varies and there are dozens of figures, so a run misses one now and
// then. The first run decides if it meets all figures, otherwise two of three runs do; a miss without two
// later passes counts. Returns the missed figures, or nothing.
template <class Run, class Check>
std::string missed_expectations(Run run, Check check, int max_runs) {
    int passed_runs = 0;
    std::string failures;
    for (int runs = 1; runs <= max_runs; ++runs) {
        const auto result = run();
        if (!had_enough_cpu(result.totals)) {
            MESSAGE("figures not checked: late " << result.totals.late_share << ", waited "
                                                 << result.totals.waiting_share);
            if (runs >= 3 && failures.empty()) return failures;
            continue;
        }
        Expectations figures;
        check(result, figures);
        if (figures.missed().empty()) {
            if (failures.empty() || ++passed_runs == 2) return {};
            continue;
        }
        MESSAGE("missed in one run: " << figures.missed());
        if (!failures.empty()) return failures + " | " + figures.missed();
        failures = figures.missed();
    }
    return failures;
}
// Fails the test case if figures are missed; a sanitized fleet runs once, for its guarantees.
template <class Run, class Check>
void judge(Run run, Check check) {
    const auto missed = missed_expectations(run, check, kSanitized ? 1 : 5);
    if (!missed.empty()) FAIL_CHECK("missed: " << missed);
}

// Fails on breaches of guarantees always, and on breaches of rules that bound times only if the run had
// enough CPU time. `faults_lose_requests`: processes were killed or suspended, which may leave requests
// without an ending.
inline void check_rules(const std::vector<lab::Breach>& breaches, const lab::FleetTotals& totals,
                        bool faults_lose_requests = false) {
    for (const auto& each : breaches) {
        if (depends_on_timing(each.rule) && !had_enough_cpu(totals)) continue;
        // A request to a process that was killed or suspended has no ending because of the fault.
        if (each.rule == lab::Breach::Rule::kNoneLost && faults_lose_requests) continue;
        const auto text = name_of(each.rule) + ' ' + each.what;
        FAIL_CHECK(text);
    }
    CHECK(totals.totals.bad_exits == 0);
}

}  // namespace pinedoor::test
