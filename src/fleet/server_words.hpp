// Reports that front nodes publish about index servers, so that what one node observed spares the others:
// which server fails, which answers again, which is cold, and how much of a cold server's capacity is in use.
// Without I/O: takes what this node observed, what others published and the current time; returns what to
// publish and what to conclude. docs/fleet.md, "Verdicts".
//
//   reported                 | when                                           | what a receiver makes of it
//   -------------------------+------------------------------------------------+---------------------------
//   faulty, age of evidence  | the server fails this node, and there are not  | an opinion (fleet/verdict)
//                            | yet enough such reports for the receivers      |
//   healthy, age of evidence | the server answers this node although enough   | an opinion
//                            | report it as faulty, and there are not yet     |
//                            | enough reports of healthy                      |
//   restarted so long ago    | while it is cold, according to this node or to | cold, for as long as two
//                            | the server list                                | of the reports agree on
//   parts sent per second    | while it is cold and this node sends to it     | the sum is the capacity
//                            |                                                | in use
//   nothing                  | once none of these holds: a withdrawal         | the earlier report is void
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/verdict.hpp"
#include "peers/gossip.hpp"

namespace pinedoor::fleet {

inline constexpr const char* kServersTopic = "servers";
inline constexpr const char* kDeadlyTopic = "deadly";

// What this node observed of one server; times on its clock.
struct ServerObservation {
    std::string name;
    bool doubted = false;           // suspected to be faulty
    Time failed = 0, answered = 0;  // last failed and last answered send; 0: none
    Time cold_duration = -1;        // since its restart; -1: it is warm
    std::uint64_t parts_sent = 0;   // while it is cold, since the start of this node
    bool looks_faulty() const { return doubted && failed > 0 && failed >= answered; }
    bool looks_healthy() const { return answered > failed; }
};

// Report of one member on one server.
struct MemberReport {
    enum class Opinion { kNone, kBad, kGood } opinion = Opinion::kNone;
    Time evidence_age = 0;
    Time cold_duration = -1;  // -1: not reported as cold
    double parts_per_second = 0;
};

// What the reports of all members on one server amount to.
struct ServerConsensus {
    bool aside = false;
    bool held = false;   // left to other nodes to probe
    Time seen = 0;       // time of the evidence, on this node's clock
    Time cold_for = -1;  // -1: not cold
    double taken = 0;    // parts per second sent by all reporters
    bool says_something() const { return aside || cold_for >= 0; }
};

// Settings of reports; times in tenths of a millisecond. A changed set of servers, opinions or cold servers
// is published after `min_interval`, changed rates after `every`, later evidence for the same opinions after
// `evidence_interval`.
struct ReportConfig {
    Time min_interval = 1'000;
    Time every = 10'000;
    Time evidence_interval = 20'000;
    Time lives = 150'000;  // of a published report; it is published again after a third of that
    VerdictConfig verdict;
};

// Text form of one member's reports, as many as one published record holds.
std::string write_reports(const std::map<std::string, MemberReport>& reports);
std::map<std::string, MemberReport> read_reports(const std::string& text);  // skips malformed reports

// The current reports of all other members, by server. Input of both the publisher and the receiver.
struct Said {
    std::vector<std::string> voices;  // members whose opinions count for this node
    struct ServerReports {
        std::vector<Opinion> opinions;     // of `voices` only
        std::vector<Time> cold_durations;  // of all members
        double parts_per_second = 0;       // sum over all members
    };
    std::map<std::string, ServerReports> servers;
};

// Collects the reports from published records. Keeps what it parsed, by member.
class ReportReader {
public:
    explicit ReportReader(VerdictConfig terms) : terms_(terms) {}
    // `zones`: of the live members, by name; records of others are ignored.
    Said read(Time now, const std::vector<peers::PublishedRecord>& facts,
              const std::map<std::string, int>& zones, const std::string& self);

private:
    struct ParsedRecord {
        std::string text;
        std::map<std::string, MemberReport> reports;
    };
    const VerdictConfig terms_;
    std::map<std::string, ParsedRecord> parsed_;  // of members with a current record
};

// Decides what this node reports and when.
class ReportPublisher {
public:
    explicit ReportPublisher(ReportConfig terms) : terms_(terms) {}
    // Returns the text to publish, if a publication is due. An empty text withdraws earlier reports.
    std::optional<std::string> tell(Time now, const std::vector<ServerObservation>& seen, const Said& others);

private:
    using Reports = std::map<std::string, MemberReport>;
    MemberReport::Opinion choose_opinion(Time now, const ServerObservation& seen, const Said& others) const;
    bool is_due(Time now, const Reports& reports) const;

    const ReportConfig terms_;
    std::map<std::string, std::uint64_t> parts_sent_;  // to cold servers, at rates_updated_at_
    Time rates_updated_at_ = 0, published_at_ = 0;
    std::map<std::string, double> parts_per_second_;  // to cold servers
    Reports published_;
};

// Combines the reports of other members into one conclusion for each server.
class ConsensusTracker {
public:
    ConsensusTracker(ReportConfig terms, std::string self) : terms_(terms), self_(std::move(self)) {}
    // Returns the conclusions that changed, by server. A server without reports is returned once, with an
    // empty conclusion.
    std::map<std::string, ServerConsensus> hear(Time now, const Said& others);
    const std::map<std::string, ServerConsensus>& told() const { return consensus_; }

private:
    const ReportConfig terms_;
    const std::string self_;
    std::map<std::string, ServerConsensus> consensus_;
};

// Text form of deadly keys: keys of multigets under which servers died, with the time that each remains in
// force.
std::string write_keys(const std::vector<std::pair<std::uint64_t, Time>>& keys);
std::vector<std::pair<std::uint64_t, Time>> read_keys(const std::string& text);

}  // namespace pinedoor::fleet
