// Rebuilds the course of a run from its log (the format is described in checker.hpp): counts for each second,
// the outcomes of requests by kind, tenant and active fault, the true and the observed state of each server,
// and the history of one multiget. Logs of the simulation and of live runs are read alike.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lab/world/sketch.hpp"
#include "logic.hpp"

namespace pinedoor::lab {

// Reads a log line by line; the accessors are complete after finish(). Times are in tenths of a millisecond.
class Timeline {
public:
    void take(const std::string& line);
    void finish();  // call after the last line; requests that have not ended count as lost

    // Counts of requests by outcome. `late` is also counted in `whole` or `in_part`;
    // `gone`: the connection closed with its front node; `lost`: no end until the end of the log.
    struct OutcomeCounts {
        std::uint64_t whole = 0, in_part = 0, late = 0, pushed_back = 0, failed = 0, gone = 0, lost = 0;
        std::uint64_t all() const { return whole + in_part + pushed_back + failed + gone + lost; }
        std::uint64_t bad() const { return late + pushed_back + failed + gone + lost; }
    };
    struct Second {
        std::uint64_t asked = 0, parts = 0, sends = 0, runs = 0;
        OutcomeCounts ends;  // outcomes of the requests that were asked in this second
        QuantileSketch ms{0.01};
    };
    struct FaultInterval {  // an interval in which a fault was active; `until` is -1 while it is open
        std::string what;
        Time from = 0, until = 0;
    };
    struct ServerHistory {
        std::vector<FaultInterval> troubles;  // faults that were actually present
        // All three by second: parts run, sends that neither returned nor were cancelled, and how often a
        // front node set the server aside.
        std::map<int, std::uint64_t> runs, bad;
        std::map<int, std::uint64_t> aside;
    };
    struct WorstRequest {  // one of the requests with the worst outcome
        std::uint64_t multiget = 0;
        Time latency = 0;
        std::string end;
    };

    const std::vector<Second>& seconds() const { return seconds_; }
    const std::map<int, std::string>& kinds() const { return kinds_; }
    const std::map<int, OutcomeCounts>& ends_by_kind() const { return by_kind_; }
    // By the faults that were active when the request was asked; "calm" if there was none.
    const std::map<std::string, OutcomeCounts>& ends_by_trouble() const { return by_trouble_; }
    // Empty if the world configures no tenants.
    const std::map<std::string, OutcomeCounts>& ends_by_tenant() const { return by_tenant_; }
    const std::vector<FaultInterval>& troubles() const { return troubles_; }
    const std::map<int, ServerHistory>& servers() const { return servers_; }
    // Requests that were lost, failed, gone, late or pushed back, the worst first.
    std::vector<WorstRequest> worst(std::size_t count) const;
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
    void update_interval(Time time, std::map<std::string, std::size_t>& open,
                         std::vector<FaultInterval>& intervals, const std::string& what, bool begins);

    std::vector<Second> seconds_;
    std::map<int, std::string> kinds_;
    std::map<int, Time> budgets_;
    std::map<int, OutcomeCounts> by_kind_;
    std::map<std::string, OutcomeCounts> by_trouble_;
    std::map<std::string, OutcomeCounts> by_tenant_;
    std::vector<FaultInterval> troubles_;
    std::map<std::string, std::size_t> active_troubles_;  // active faults, with their index in troubles_
    std::map<int, ServerHistory> servers_;
    std::map<int, std::map<std::string, std::size_t>> active_server_troubles_;
    std::map<std::uint64_t, OpenRequest> open_requests_;
    // By part: the servers with an outstanding send, oldest first.
    std::map<std::string, std::vector<int>> outstanding_;
    std::vector<WorstRequest> worst_;
    std::uint64_t sends_ = 0, parts_ = 0;
    Time last_time_ = 0;
};

// The history of one multiget: its log lines as text, each with the time since it was asked. Empty if the log
// does not contain the multiget.
std::vector<std::string> multiget_history(const std::string& log_path, std::uint64_t multiget);

}  // namespace pinedoor::lab
