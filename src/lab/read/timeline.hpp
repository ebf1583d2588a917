// A run as it went, read from its log alone (checker.hpp says how a log reads): what each second brought,
// where the loss went, how each server was seen and was, and one multiget's life. Whoever made the log does
// not matter.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lab/world/sketch.hpp"
#include "logic.hpp"

namespace pinedoor::lab {

class Timeline {
public:
    void take(const std::string& line);
    void finish();  // once the log is over: what has no end by then is lost

    struct Ends {
        std::uint64_t whole = 0, in_part = 0, late = 0, pushed_back = 0, failed = 0, gone = 0, lost = 0;
        std::uint64_t all() const { return whole + in_part + pushed_back + failed + gone + lost; }
        std::uint64_t bad() const { return late + pushed_back + failed + gone + lost; }
    };
    struct Second {
        std::uint64_t asked = 0, parts = 0, sends = 0, runs = 0;
        Ends ends;  // of those asked in it
        QuantileSketch ms{0.01};
    };
    struct Spell {  // of a trouble, or of one at a server
        std::string what;
        Time from = 0, until = 0;
    };
    struct OfServer {
        std::vector<Spell> troubles;             // what it had, in truth
        std::map<int, std::uint64_t> runs, bad;  // by second: parts run; sends that came to nothing good
        std::map<int, std::uint64_t> aside;      // by second: front nodes that put it aside
    };
    struct Slow {  // one of those that went worst
        std::uint64_t multiget = 0;
        Time latency = 0;
        std::string end;
    };

    const std::vector<Second>& seconds() const { return seconds_; }
    const std::map<int, std::string>& kinds() const { return kinds_; }
    const std::map<int, Ends>& ends_by_kind() const { return by_kind_; }
    // By the troubles that were on when it was asked, "calm" where there was none.
    const std::map<std::string, Ends>& ends_by_trouble() const { return by_trouble_; }
    const std::map<std::string, Ends>& ends_by_tenant() const {
        return by_tenant_;
    }  // empty if there is one alone
    const std::vector<Spell>& troubles() const { return troubles_; }
    const std::map<int, OfServer>& servers() const { return servers_; }
    std::vector<Slow> worst(std::size_t count) const;  // failed, pushed back or late, the worst first
    std::uint64_t sends() const { return sends_; }
    std::uint64_t parts() const { return parts_; }

private:
    struct OpenRequest {
        int kind = 0;
        Time asked = 0;
        std::string troubles;
        std::string tenant;
    };
    Second& second(Time time);
    void end_request(Time time, std::uint64_t multiget, const std::string& event,
                     const std::string& completeness);
    void update_spell(Time time, std::map<std::string, std::size_t>& open, std::vector<Spell>& spells,
                      const std::string& what, bool begins);

    std::vector<Second> seconds_;
    std::map<int, std::string> kinds_;
    std::map<int, Time> budgets_;
    std::map<int, Ends> by_kind_;
    std::map<std::string, Ends> by_trouble_;
    std::map<std::string, Ends> by_tenant_;
    std::vector<Spell> troubles_;
    std::map<std::string, std::size_t>
        active_troubles_;  // those that are on, to where they stand in troubles_
    std::map<int, OfServer> servers_;
    std::map<int, std::map<std::string, std::size_t>> active_server_troubles_;
    std::map<std::uint64_t, OpenRequest> open_requests_;
    std::map<std::string, std::vector<int>>
        outstanding_;  // by part: the servers it was sent to and has no word from
    std::vector<Slow> worst_;
    std::uint64_t sends_ = 0, parts_ = 0;
    Time last_time_ = 0;
};

// The lines of a log that tell of one multiget, in words and with the time since it was asked. Empty: not in
// it.
std::vector<std::string> life_of(const std::string& log_path, std::uint64_t multiget);

}  // namespace pinedoor::lab
