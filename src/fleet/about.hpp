// Fleet-wide limits that hold approximately: each node computes its share from the needs that all members
// publish, without an owner, votes or a quorum. Implements one node and one limit without I/O: takes the
// published needs of others and the current time, returns this node's share. docs/fleet.md states the
// guarantee.
//
// The limit is scaled by the ratio of live members to configured nodes and divided by max-min over the needs.
// A node's share falls at once when another node needs more. An increase is used only after
// `propagation_delay`: by then the other nodes, which compute the same division, have given it up. As long as
// every publication reaches all members within that time, the shares never add up to more than the limit. A
// change that takes S longer can put them over by at most the limit for the time S.
//
//   event                                 | this node's share
//   --------------------------------------+--------------------------------------------------------------------
//   another node needs more               | falls at once
//   another node needs less, or departed  | rises after `propagation_delay`, if this node needs it
//   partition: others are not live        | only the live members' part of the limit is divided: half of the
//                                         | nodes have half of the limit
//   just started, or isolated             | the floor, until this node has received what others publish
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

// Settings for one limit; times in tenths of a millisecond.
struct ApproximateLimitConfig {
    double limit = 0;
    double floor_share = 0.1;          // fraction of the limit that is divided evenly and permanently
    int node_count = 1;                // configured front nodes
    Time propagation_delay = 20'000;   // within which a published need is assumed to reach all members
    Time publish_interval = 5'000;     // minimum between two publications of a need
    Time record_lifetime = 1'200'000;  // exceeds the time to detect a dead member; needs are published again
                                       // after a third of it
    double floor() const { return limit * floor_share / node_count; }
};

inline constexpr const char* kNeedsTopic = "needs";
inline constexpr std::size_t kMaxApproximateLimits =
    20;  // limits of this kind: their needs share one published record
std::string write_needs(const std::map<std::string, double>& needs);  // by limit
std::map<std::string, double> read_needs(const std::string& text);

// This node's share of one limit.
class ApproximateShare {
public:
    explicit ApproximateShare(ApproximateLimitConfig terms) : terms_(terms) {}

    void need(double amount) { need_ = amount; }  // of this node, now
    // Returns the need to publish from now on, if a publication is due.
    std::optional<double> say(Time now);
    // Takes the latest needs published by the other members and the number of live members, this node
    // included. `ready`: this node has received what the others publish.
    void hear(Time now, const std::vector<double>& others, std::size_t members, bool ready);
    double allowance(Time now);  // the floor and the usable share

    double said() const { return published_need_; }
    Time lives() const { return terms_.record_lifetime; }

private:
    void update_target(Time now);

    const ApproximateLimitConfig terms_;
    double need_ = 0, published_need_ = 0;
    Time published_at_ = 0;
    std::vector<double> other_needs_;
    std::size_t member_count_ = 1;
    bool ready_ = false;
    // Computed shares and since when each holds, back to one that was valid `propagation_delay` ago.
    std::deque<std::pair<Time, double>> targets_;
};

}  // namespace pinedoor::fleet
