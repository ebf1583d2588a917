// Which replica an attempt goes to: of those that hold the shard the one with the fewest of this node's calls
// out, ties at random; and how long the quickest of them would take.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "policy/messages.hpp"
#include "policy/request_state.hpp"

namespace pinedoor::policy {

// What the index servers let know of themselves, by server and by place.
class ServerSnapshots {
public:
    explicit ServerSnapshots(ShardRing ring) : ring_(ring) {}

    void update(const ServerSnapshot& snapshot);
    std::vector<const ServerSnapshot*> replicas_of(int shard) const;  // by their ids
    std::size_t count() const { return snapshots_.size(); }
    int failing() const { return failing_; }

private:
    const ShardRing ring_;
    std::map<ServerId, ServerSnapshot> snapshots_;
    std::map<int, std::set<ServerId>> at_position_;
    int failing_ = 0;  // cards of servers that are
};

class ReplicaChoice {
public:
    ReplicaChoice(Inboxes& inboxes, ShardRing ring) : inboxes_(inboxes), servers_(ring) {}

    void handle(const ServerSnapshot& snapshot) { servers_.update(snapshot); }
    // Null: none is fit. Half in: over half of its request's weight has been answered.
    const ServerSnapshot* pick(const PartState& part, const OpType& type, Time left, bool half_answered);
    // Until a part could be answered, by what its replicas showed lately.
    Time shortest_wait(const PartState& part) const;

private:
    bool is_ejected(const ServerSnapshot& server) const;
    bool is_fit_for_retry(const ServerSnapshot& server, const PartState& part) const;
    bool is_deferred(const ServerSnapshot& server, const OpType& type, Time max_wait) const;
    Time expected_wait(const ServerSnapshot& server) const;

    Inboxes& inboxes_;
    ServerSnapshots servers_;
};

// Of the time left that an expected wait may take.
inline constexpr double kMaxWaitShare = 0.4;

}  // namespace pinedoor::policy
