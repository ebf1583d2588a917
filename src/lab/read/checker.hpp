// Checks the six rules by a run's log alone. It shares no code with the module, the front node or the
// simulation: a log that was edited, or made by somebody else, is judged alike.
//
// A line is a time (tenths of a millisecond) and one of these; M is a multiget, s a shard, N a front node, V
// a server, and all else that a log says is passed over:
//   world cold_from C warm_after W fall F tip T rate R floor B ratio Q look_back L stop S grace G
//   kind K repeat retriable|deduped|non-retriable least L window W
//   ask M node N kind K until U parts s:weight s:weight ...
//   same M as M2 (M2 is the first try of what M asks for again)
//   send M.s node N server V number I        reach M.s server V        run M.s server V
//   back M.s returned|...                    answer M whole|part shards s s ...
//   push M    fail M    gone M (its connection ended with its node)
//   told N server V ready|gone    start V    killed N    begun N (again, after it was killed or ended)
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace pinedoor::lab {

struct Breach {
    enum class Rule {
        kNoneLost,
        kNoEffectTwice,
        kDrainsKept,
        kNoColdServerOver,
        kHonestAnswers,
        kBudget
    } rule;
    std::string what;  // the time, and in words what happened
};
std::string name_of(Breach::Rule rule);

class RuleChecker {
public:
    void take(const std::string& line);
    std::vector<Breach> finish();  // the first hundred of each rule
    // How near the run came to breaking a rule that has a measure: what was seen of what is allowed, so above
    // 1 is broken. Further sends of their budget, parts of what a cold server bears, sends after a server was
    // told gone of the time for that, ends after their time of the grace.
    double nearest(Breach::Rule rule) const {
        const auto found = near_.find(rule);
        return found == near_.end() ? 0 : found->second;
    }

private:
    using Time = std::int64_t;
    struct Kind {
        std::string repeat;
        double least = 1;
        Time window = 0;
    };
    struct Multiget {
        int kind = 0;
        Time until = 0;
        std::map<int, double> weights;
        std::set<int> in;
        bool over = false;
    };
    struct Node {
        std::map<int, Time> gone;  // servers told gone, and when
        std::deque<std::pair<Time, double>> taken;
        double taken_sum = 0;
        std::deque<Time> further;
    };
    struct Cold {
        Time started = 0;
        std::deque<Time> reached;
    };

    void breach(Breach::Rule rule, Time at, const std::string& what);
    void see(Breach::Rule rule, double seen, double allowed);
    Multiget* open(Time at, std::uint64_t number, const std::string& doing);
    void take_answer(Time at, std::istringstream& words);
    void take_send(Time at, std::istringstream& words);
    void take_reach(Time at, std::istringstream& words);
    void take_run(Time at, std::istringstream& words);

    double cold_from_ = 1, fall_ = 0, rate_ = 0, floor_ = 0, ratio_ = 0;
    Time warm_after_ = 0, tip_ = 0, look_back_ = 0, stop_ = 0, grace_ = 0, last_ = 0;
    std::map<int, Kind> kinds_;
    std::map<std::uint64_t, Multiget> multigets_;
    std::map<std::uint64_t, std::uint64_t> first_tries_;
    std::map<std::pair<std::uint64_t, int>, std::vector<Time>> runs_;  // by the first try
    std::map<int, Node> nodes_;
    std::map<int, Cold> cold_;
    std::vector<Breach> found_;
    std::map<Breach::Rule, int> counts_;
    std::map<Breach::Rule, double> near_;
};

}  // namespace pinedoor::lab
