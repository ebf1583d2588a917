// Chooses the replica for an attempt: among the servers that hold the shard, the one with the fewest of this
// node's calls out, ties broken at random. Also estimates the shortest wait at any of them.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "policy/messages.hpp"
#include "policy/request_state.hpp"

namespace pinedoor::policy {

// The latest snapshots of the index servers, by server and by ring position.
class ServerSnapshots {
public:
    explicit ServerSnapshots(ShardRing ring) : ring_(ring) {}

    void update(const ServerSnapshot& snapshot);
    std::vector<const ServerSnapshot*> replicas_of(int shard) const;  // ordered by server id
    std::size_t count() const { return snapshots_.size(); }
    int failing() const { return failing_; }

private:
    const ShardRing ring_;
    std::map<ServerId, ServerSnapshot> snapshots_;
    std::map<int, std::set<ServerId>> at_position_;
    int failing_ = 0;  // number of servers in HealthState::kFailing
};

class ReplicaChoice {
public:
    ReplicaChoice(Inboxes& inboxes, ShardRing ring) : inboxes_(inboxes), servers_(ring) {}

    void handle(const ServerSnapshot& snapshot) { servers_.update(snapshot); }
    // Returns null if no replica is fit. `left`: time left of the latency budget. `half_answered`: more than
    // half of the weight of the part's request has been answered.
    const ServerSnapshot* pick(const PartState& part, const OpType& type, Time left, bool half_answered);
    // Shortest time in which a replica of the part could answer it, estimated from recent answers.
    Time shortest_wait(const PartState& part) const;

private:
    bool is_ejected(const ServerSnapshot& server) const;
    bool is_fit_for_retry(const ServerSnapshot& server, const PartState& part) const;
    // Whether the server is used only where no other replica is.
    bool is_deferred(const ServerSnapshot& server, const OpType& type, Time max_wait) const;
    Time expected_wait(const ServerSnapshot& server) const;

    Inboxes& inboxes_;
    ServerSnapshots servers_;
};

// Maximum share of the time left that an expected wait may take.
inline constexpr double kMaxWaitShare = 0.4;

}  // namespace pinedoor::policy
