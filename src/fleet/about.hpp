// Limits of the whole fleet that hold about: each node works out its share from what all say that they need,
// without an owner, votes or a quorum. A decider for one node and one limit: what others said and a time in,
// a share out. docs/fleet.md tells the promise.
//
// A share is max-min of the needs said, of `limit` times the members that are seen of those that there should
// be. It falls at once when somebody else needs more; what falls to this node is used `late` after: by then
// the others, who work out the same, have let go of it. So if whatever is said reaches all within `late`, the
// shares never add up to more than the limit; each change that takes S longer can put them over by at most
// the limit for S.
//
//   event                        | this node's share
//   -----------------------------+------------------------------------------------------------------
//   another needs more           | falls at once
//   another needs less, or went  | rises `late` after, if it needs that
//   a cut: others are not seen   | of the limit only the seen members' part is divided: halves have halves
//   just started, or alone       | the floor, until this node holds what the others said
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peers/gossip.hpp"

namespace pinedoor::fleet {

using peers::Time;

struct ApproximateLimitTerms {
    double limit = 0;
    double floor_share = 0.1;  // share of it that is divided evenly for good
    int node_count = 1;        // front nodes that there should be
    Time propagation_delay = 20'000;
    Time publish_interval = 5'000;  // between two words of a need, at smallest
    Time record_lifetime =
        1'200'000;  // a word: longer than it takes to find a member dead; said anew at a third
    double floor() const { return limit * floor_share / node_count; }
};

inline constexpr const char* kNeedsTopic = "needs";
inline constexpr std::size_t kMostAbout = 20;  // limits of this kind: their needs stand in one fact
std::string write_needs(const std::map<std::string, double>& needs);  // by limit
std::map<std::string, double> read_needs(const std::string& text);

class AboutShare {
public:
    explicit AboutShare(ApproximateLimitTerms terms) : terms_(terms) {}

    void need(double amount) { need_ = amount; }  // of this node, now
    // What to say to all from now on, if it is time.
    std::optional<double> say(Time now);
    // What the other members said last, and how many there are with this node; `ready`: it holds what they
    // said.
    void hear(Time now, const std::vector<double>& others, std::size_t members, bool ready);
    double may_use(Time now);

    double said() const { return published_need_; }
    Time lives() const { return terms_.record_lifetime; }

private:
    void update_target(Time now);

    const ApproximateLimitTerms terms_;
    double need_ = 0, published_need_ = 0;
    Time published_at_ = 0;
    std::vector<double> other_needs_;
    std::size_t member_count_ = 1;
    bool ready_ = false;
    std::deque<std::pair<Time, double>>
        targets_;  // from when on each held; the first one reaches back `late`
};

}  // namespace pinedoor::fleet
