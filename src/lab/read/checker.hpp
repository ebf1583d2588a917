// Checks the six rules against the log of a run. The checker shares no code with the decision module, the
// front node or the simulation, so it also accepts logs that were edited or written by another program.
//
// Each line is a time in tenths of a millisecond followed by one of the entries below. M is a multiget, s a
// shard, N a front node and V a server. Other entries are ignored.
//   world cold_from C warm_after W fall F tip T rate R floor B ratio Q look_back L stop S grace G
//   kind K repeat retriable|deduped|non-retriable least L window W
//   ask M node N kind K until U parts s:weight s:weight ...
//   same M as M2 (M is a retry; M2 is the first try of the same request)
//   send M.s node N server V number I        reach M.s server V        run M.s server V
//   back M.s returned|...                    answer M whole|part shards s s ...
//   push M    fail M    gone M (its connection closed because its front node ended)
//   told N server V ready|gone    start V    killed N    begun N (restarted after it was killed or had ended)
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace pinedoor::lab {

// One violation of a rule.
struct Breach {
    enum class Rule {
        kNoneLost,
        kNoEffectTwice,
        kDrainsKept,
        kNoColdServerOver,
        kHonestAnswers,
        kBudget
    } rule;
    std::string what;  // the time of the violation and a description
};
std::string name_of(Breach::Rule rule);

// Reads a log line by line and collects the violations.
class RuleChecker {
public:
    void take(const std::string& line);
    std::vector<Breach> finish();  // call after the last line; returns at most 100 violations per rule
    // The highest ratio of observed to allowed for a rule that has a numeric limit; above 1 the rule is
    // broken. The ratios are: further sends to their budget, parts received to the limit of a cold server,
    // the delay of a send after its server was reported removed to the drain time, and the delay of an end
    // after its deadline to the grace time.
    double nearest(Breach::Rule rule) const {
        const auto found = highest_ratio_.find(rule);
        return found == highest_ratio_.end() ? 0 : found->second;
    }

private:
    using Time = std::int64_t;
    struct Kind {
        std::string repeat;
        double min_share = 1;
        Time window = 0;
    };
    struct Multiget {
        int kind = 0;
        Time deadline = 0;
        std::map<int, double> weights;
        std::set<int> returned;
        bool ended = false;
    };
    struct Node {
        std::map<int, Time> removed;  // servers reported removed, and when
        std::deque<std::pair<Time, double>> accepted;
        double accepted_sum = 0;
        std::deque<Time> further_sends;
    };
    struct ColdServer {
        Time started = 0;
        std::deque<Time> arrivals;
    };

    void record_breach(Breach::Rule rule, Time time, const std::string& what);
    void record_ratio(Breach::Rule rule, double observed, double allowed);
    Multiget* end_multiget(Time time, std::uint64_t number, const std::string& event);
    void check_answer(Time time, std::istringstream& fields);
    void check_send(Time time, std::istringstream& fields);
    void check_reach(Time time, std::istringstream& fields);
    void check_run(Time time, std::istringstream& fields);

    double cold_from_ = 1, overload_factor_ = 0, server_rate_ = 0, budget_floor_ = 0, budget_ratio_ = 0;
    Time warm_after_ = 0, overload_span_ = 0, budget_window_ = 0, drain_time_ = 0, grace_ = 0, last_time_ = 0;
    std::map<int, Kind> kinds_;
    std::map<std::uint64_t, Multiget> multigets_;
    std::map<std::uint64_t, std::uint64_t> first_tries_;
    std::map<std::pair<std::uint64_t, int>, std::vector<Time>> runs_;  // start times by (first try, shard)
    std::map<int, Node> nodes_;
    std::map<int, ColdServer> cold_servers_;
    std::vector<Breach> breaches_;
    std::map<Breach::Rule, int> counts_;
    std::map<Breach::Rule, double> highest_ratio_;
};

}  // namespace pinedoor::lab
