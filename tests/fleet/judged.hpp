// What a play of processes is judged by. Promises (nothing runs twice, answers are honest, a limit is never
// exceeded, no process ends badly) hold however slow the machine is, and are asked of each play. Figures
// (service, shares of sends, seconds, rules that state times) are a fleet's own only where its processes had
// the machine's time: with cores taken by others, a fleet of sixteen sanitized processes served 0.05 of what
// one with its cores serves whole. They are asked of plays in which hardly anybody waited; under the
// sanitizers, which take many times the work, of none.
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

inline bool had_enough_cpu(const lab::FleetTotals& totals) {
    return !kSanitized && totals.late_share < 0.02 && totals.waiting_share < 0.02;
}

inline bool depends_on_timing(lab::Breach::Rule rule) {
    using Rule = lab::Breach::Rule;
    return rule != Rule::kNoEffectTwice && rule != Rule::kHonestAnswers;
}

class Figures {
public:
    void expect(bool holds, const char* expression) {
        if (!holds) missed_ += std::string(missed_.empty() ? "" : "; ") + expression;
    }
    const std::string& missed() const { return missed_; }

private:
    std::string missed_;
};
#define FIGURE(...) figures.expect((__VA_ARGS__), #__VA_ARGS__)

// `play` returns something with `totals` and asks promises of it; `ask` states its figures. What arrives when
// is a matter of chance among processes, and there are dozens of figures: some play misses one now and then.
// So the first play decides if it has them all, else two of three do; one that was missed and not made good
// is missed. Returns what was.
template <class Run, class Check>
std::string missed_figures(Run run, Check check, int max_runs) {
    int passed_runs = 0;
    std::string failures;
    for (int runs = 1; runs <= max_runs; ++runs) {
        const auto result = run();
        if (!had_enough_cpu(result.totals)) {
            MESSAGE("figures not judged: late " << result.totals.late_share << ", waited "
                                                << result.totals.waiting_share);
            if (runs >= 3 && failures.empty()) return failures;
            continue;
        }
        Figures figures;
        check(result, figures);
        if (figures.missed().empty()) {
            if (failures.empty() || ++passed_runs == 2) return {};
            continue;
        }
        MESSAGE("missed in one play: " << figures.missed());
        if (!failures.empty()) return failures + " | " + figures.missed();
        failures = figures.missed();
    }
    return failures;
}
template <class Run, class Check>
void judge(Run run, Check check) {
    const auto missed = missed_figures(run, check, kSanitized ? 1 : 5);
    if (!missed.empty()) FAIL_CHECK("missed: " << missed);
}

// Breaches of promises always, of rules that state times where these can be kept.
inline void check_rules(const std::vector<lab::Breach>& breaches, const lab::FleetTotals& totals,
                        bool faults_lose_requests = false) {
    for (const auto& each : breaches) {
        if (depends_on_timing(each.rule) && !had_enough_cpu(totals)) continue;
        // Whoever asked a process that was killed or stood still has no end; that is the fault.
        if (each.rule == lab::Breach::Rule::kNoneLost && faults_lose_requests) continue;
        const auto text = name_of(each.rule) + ' ' + each.what;
        FAIL_CHECK(text);
    }
    CHECK(totals.totals.bad_exits == 0);
}

}  // namespace pinedoor::test
