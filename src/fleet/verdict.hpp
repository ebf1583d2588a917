// Verdict of a front node on one index server, from what other front nodes observed, also where their reports
// disagree. Pure functions of opinions and the current time. docs/fleet.md, "Verdicts", states the guarantee.
//
// An opinion is faulty (the server failed the reporter and has not answered it since) or healthy (it answered
// the reporter later than it failed it). Its age is that of the send that it is based on. The reporters that
// count for a node are the members of its zone, or all members where the zone has too few. With n reporters
//
//   needed(n)           must agree: the configured number, or the configured fraction of them if that is more
//   2 * needed(n) - 1   latest opinions count; the server is set aside if needed(n) of these are faulty
//   lives               is the maximum age of an opinion
//
// Fewer than needed(n) misreporting members can therefore neither cause nor prevent a verdict, whatever they
// report and however often: they hold fewer than needed(n) of the opinions that count.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "peers/gossip.hpp"

namespace pinedoor::fleet {

using peers::Time;

// Settings of verdicts; times in tenths of a millisecond.
struct VerdictConfig {
    int reporters = 3;     // that must agree, or all if there are fewer
    double share = 0.125;  // fraction of the reporters that must agree, if that is more
    Time lives = 150'000;  // maximum age of an opinion
    double probers = 1;    // expected number of nodes that keep sending to a server that is set aside, or
    double prober_share = 0.02;  // this fraction of the reporters and this node, if that is more
    Time probe_period = 20'000;  // after which other nodes are drawn
};

// What one member reports about a server.
struct Opinion {
    std::string from;
    bool bad = false;
    Time seen = 0;  // time of the evidence, on the clock of the node that makes the verdict
};

// `aside`: the server is set aside, which means that only probers send to it.
struct Verdict {
    bool aside = false;
    // As many members as needed saw the server fail at this time or later; 0: they did not.
    Time evidence_at = 0;
    std::size_t bad = 0, good = 0;   // of the opinions that count
    bool recovery_reported = false;  // the latest opinion of all is healthy
    std::size_t needed = 0;
    // Whether more than the needed number agree, so that one of them can be missing.
    bool has_margin(bool faulty) const { return (faulty ? bad : good) > needed; }
};

// The members whose reports on servers count for `self`. `zones`: of all members, by name.
std::vector<std::string> eligible_reporters(const VerdictConfig& terms,
                                            const std::map<std::string, int>& zones, const std::string& self);
// How many of the reporters must agree.
std::size_t reports_needed(const VerdictConfig& terms, std::size_t reporter_count);
Verdict judge(const VerdictConfig& terms, Time now, std::size_t reporter_count,
              std::vector<Opinion> opinions);

// Whether `self` keeps sending to a server that is set aside: few nodes do, and once a recovery is reported
// half as many again as the opposite verdict needs. Each node decides by a hash of the names and the period,
// without coordination.
bool is_prober(const VerdictConfig& terms, Time now, std::size_t reporter_count, const Verdict& verdict,
               const std::string& self, const std::string& server);

}  // namespace pinedoor::fleet
