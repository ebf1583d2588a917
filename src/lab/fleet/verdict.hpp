// Evaluates a fleet run from its log and discovery's call record: how soon front nodes served, and at what
// cost to others. It shares no code with the front node.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/fleet/rig.hpp"
#include "lab/read/checker.hpp"

namespace pinedoor::lab {

// Reads a fleet's log line by line and derives its figures.
class FleetReader {
public:
    explicit FleetReader(int nodes) : first_answer_(static_cast<std::size_t>(nodes), -1) {}

    void take(const std::string& line);
    std::vector<Breach> finish() { return checker_.finish(); }
    double nearest(Breach::Rule rule) const { return checker_.nearest(rule); }

    struct Second {  // tries of one second, by outcome
        std::uint64_t asked = 0, answered = 0, in_part = 0, pushed_back = 0, failed = 0;
    };
    const std::vector<Second>& seconds() const { return seconds_; }
    Second within(std::size_t seconds) const;  // sum of the first seconds
    // When this share of all front nodes had answered once; -1: not in this run.
    Time served_by(double share) const;
    // Sends, and those to servers that were faulty then, shortly after a front node was restarted while
    // others ran: by the restarted nodes, and by the others.
    struct Picks {
        std::uint64_t sends = 0, ailing = 0;
        double share() const {
            return sends == 0 ? 0 : static_cast<double>(ailing) / static_cast<double>(sends);
        }
    };
    const Picks& picks_of_rejoined() const { return rejoined_; }
    const Picks& picks_of_others() const { return others_; }
    // Sends by all front nodes in a time range, and those to servers that were faulty when they were sent.
    Picks picks(Time from, Time until) const;
    // The time from the first server fault until, for one second, at most this share of the sends went to
    // faulty servers, while all faults were active; -1: never, or there was no fault.
    Time avoided_after(double share = 0.01) const;
    Time faults_from() const { return faults_from_; }
    Time faults_until() const;  // or the end of the run
    Time first_answer(int node) const { return first_answer_.at(static_cast<std::size_t>(node)); }

private:
    Second& second(Time at);

    RuleChecker checker_;
    std::unordered_map<std::uint64_t, int> asked_at_;  // front node of each open multiget
    std::vector<Time> first_answer_;
    std::vector<Second> seconds_;
    std::map<int, Time> rejoined_at_;
    Time last_rejoin_ = -1;
    std::map<int, int> active_faults_;  // number of active faults by server
    Picks rejoined_, others_;
    std::vector<Picks> picks_;                   // by window
    Time faults_from_ = -1, faults_until_ = -1;  // begin of the first fault, first end of a fault
};

// Measures what a fleet-wide limit let through, from the servers' log lines. `of` is as in deploy/fleet.toml:
// a multiget counts when its first part is sent, a connection when its server accepts it, a part while its
// server has it and a front node waits for it.
class LimitReader {
public:
    LimitReader(double per_second, double burst, std::string of = "multigets")
        : per_second_(per_second), burst_(burst), of_(std::move(of)) {}
    void take(const std::string& line);
    // The largest excess of any window over per_second * length + burst, at the worst server if the limit
    // applies per server; for parts out, the largest excess over the limit. Negative: the limit was never
    // reached.
    double worst_excess() const { return worst_; }
    std::uint64_t passed(Time from, Time until) const;
    std::uint64_t passed_by(int node, Time from, Time until) const;

private:
    struct Level {  // the fullest window that ends now, minus what the rate allows
        double now = 0;
        Time last = 0;
    };
    void count(Time at, int node, int server);

    const double per_second_, burst_;
    const std::string of_;
    std::map<std::uint64_t, bool> seen_;
    std::vector<std::pair<Time, int>> passed_;
    std::map<int, Level> levels_;  // by server; a single entry for fleet-wide limits
    double worst_ = -1e18;
};

// Returns the timeline of a front node: its process, faults, discovery's news, the members it knew, its sends
// by server and its ends by second, and its own log ("said" lines).
std::vector<std::string> node_timeline(std::istream& log, int node);

// Prints a human-readable summary, one line per figure.
void print_verdict(std::ostream& out, const FleetWorld& world, const FleetTotals& seen, FleetReader& reader);

}  // namespace pinedoor::lab
