// What a front node makes of what the others saw of one index server, when their words disagree. Plain
// functions: opinions and a time in, a verdict out. docs/fleet.md, "Verdicts", tells the promise.
//
// An opinion is bad (it failed me, and has not answered me since) or good (it answered me later than it
// failed me), and as old as the send that it goes by. Those who may speak to a node, its voices, are the
// members of its zone, or all where the zone has too few. Of n voices
//
//   needed(n)       must agree: the stated number, or the stated share of them if that is more
//   2 needed(n) - 1 latest opinions count; the server is aside if `needed` of these are bad
//   lives           is how old an opinion may be
//
// Fewer than `needed` voices that talk nonsense can therefore neither make a verdict nor prevent one,
// whatever they say and however often: they hold fewer than `needed` of the places that count.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "peers/gossip.hpp"

namespace pinedoor::fleet {

using peers::Time;

struct VerdictTerms {
    int reporters = 3;     // must agree, or all voices if they are fewer
    double share = 0.125;  // of the voices, that must agree if it is more
    Time lives = 150'000;  // an opinion
    double probers = 1;  // of the voices and this node, that try a server while it is aside, in the mean, or
    double prober_share = 0.02;  // this share of them, if that is more
    Time probe_period = 20'000;  // the same ones for so long
};

struct Opinion {
    std::string from;
    bool bad = false;
    Time seen = 0;  // on the clock of who makes the verdict
};

struct Verdict {
    bool aside = false;
    Time evidence_at = 0;            // so many as are needed saw it fail them then or later; 0: they did not
    std::size_t bad = 0, good = 0;   // of the opinions that count
    bool recovery_reported = false;  // the latest of all is good
    std::size_t needed = 0;
    bool has_margin(bool faulty) const { return (faulty ? bad : good) > needed; }  // with one to spare
};

// Those whose word on servers counts for `self`: names; `zones`: all members, by name.
std::vector<std::string> eligible_reporters(const VerdictTerms& terms,
                                            const std::map<std::string, int>& zones, const std::string& self);
std::size_t reports_needed(const VerdictTerms& terms, std::size_t reporter_count);
Verdict judge(const VerdictTerms& terms, Time now, std::size_t reporter_count, std::vector<Opinion> opinions);

// Whether this member is one of those that try a server while it is aside: few, and as many as another
// verdict needs once anybody says that it is good again. Each span's are others, and nobody has to know who.
bool is_prober(const VerdictTerms& terms, Time now, std::size_t reporter_count, const Verdict& verdict,
               const std::string& self, const std::string& server);

}  // namespace pinedoor::fleet
