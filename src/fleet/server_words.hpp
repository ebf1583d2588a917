// What front nodes tell each other of index servers, so that what one has seen spares the others: who fails,
// who answers again, who is cold, and how much of a cold server's room is taken. Deciders: what this node
// sees, what others said, and a time in; what to say, and what to make of it, out. docs/fleet.md, "Verdicts".
//
//   what is told           | when                                                 | what a hearer makes of it
//   -----------------------+------------------------------------------------------+------------------------------------
//   bad, seen so long ago  | it fails this node, and those who need the word do   | an opinion
//   (fleet/verdict)
//                          | not have enough of such yet                          |
//   good, likewise         | it answers this node, though enough say bad, and not | likewise
//                          | enough say good                                      |
//   began anew, so long ago| while it is cold, seen by this node or by the list   | cold since what two of
//   them agree on parts a second sent it | while it is cold and gets some                       | the sum is
//   taken of its room nothing                | none of these holds any more: taken back             | it
//   counts no more
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

struct ServerSeen {  // by this node; times on its clock
    std::string name;
    bool doubted = false;
    Time failed = 0, answered = 0;
    Time cold_duration = -1;       // since it began anew; -1: it is warm
    std::uint64_t parts_sent = 0;  // sent to it while cold, since this node's start
    bool looks_faulty() const { return doubted && failed > 0 && failed >= answered; }
    bool looks_healthy() const { return answered > failed; }
};

struct ServerSaid {  // by one member
    enum class Opinion { kNone, kBad, kGood } opinion = Opinion::kNone;
    Time evidence_age = 0;
    Time cold_duration = -1;
    double parts_per_second = 0;  // parts a second
};

struct ServerTold {  // by all together
    bool aside = false;
    bool held = false;  // others try it
    Time seen = 0;      // on this node's clock
    Time cold_for = -1;
    double taken = 0;
    bool says_something() const { return aside || cold_for >= 0; }
};

struct WordTerms {
    Time min_interval = 1'000;        // between two words, if something else is said of a server
    Time every = 10'000;              // between two words else, at least
    Time evidence_interval = 20'000;  // between two words that differ in when something was seen
    Time lives = 150'000;             // a word; it is said anew at a third of that
    VerdictTerms verdict;
};

std::string write_words(const std::map<std::string, ServerSaid>& said);   // as many as one fact holds
std::map<std::string, ServerSaid> read_reports(const std::string& text);  // what cannot be read is left out

// Who said what of which server, of members only, read once for both who tells and who hears.
struct Said {
    std::vector<std::string> voices;
    struct ServerReports {
        std::vector<Opinion> opinions;     // of voices
        std::vector<Time> cold_durations;  // of all members
        double parts_per_second = 0;
    };
    std::map<std::string, ServerReports> servers;
};
class WordReader {
public:
    explicit WordReader(VerdictTerms terms) : terms_(terms) {}
    Said read(Time now, const std::vector<peers::Fact>& facts, const std::map<std::string, int>& zones,
              const std::string& self);

private:
    struct ParsedRecord {
        std::string text;
        std::map<std::string, ServerSaid> reports;
    };
    const VerdictTerms terms_;
    std::map<std::string, ParsedRecord> parsed_;  // by member, of those that speak now
};

class ServerTeller {
public:
    explicit ServerTeller(WordTerms terms) : terms_(terms) {}
    // What to say now, if it is time: empty takes back what was said.
    std::optional<std::string> tell(Time now, const std::vector<ServerSeen>& seen, const Said& others);

private:
    using Reports = std::map<std::string, ServerSaid>;
    ServerSaid::Opinion choose_opinion(Time now, const ServerSeen& seen, const Said& others) const;
    bool is_due(Time now, const Reports& reports) const;

    const WordTerms terms_;
    std::map<std::string, std::uint64_t> parts_sent_;  // when last looked
    Time rates_updated_at_ = 0, published_at_ = 0;
    std::map<std::string, double> parts_per_second_;
    Reports published_;
};

class ServerHearer {
public:
    ServerHearer(WordTerms terms, std::string self) : terms_(terms), self_(std::move(self)) {}
    // What is new, by server: others' words together. One that nobody speaks of any more is told once, as
    // nothing.
    std::map<std::string, ServerTold> hear(Time now, const Said& others);
    const std::map<std::string, ServerTold>& told() const { return consensus_; }

private:
    const WordTerms terms_;
    const std::string self_;
    std::map<std::string, ServerTold> consensus_;
};

// Keys of multigets under which servers died, and for how much longer each counts.
std::string write_keys(const std::vector<std::pair<std::uint64_t, Time>>& keys);
std::vector<std::pair<std::uint64_t, Time>> read_keys(const std::string& text);

}  // namespace pinedoor::fleet
