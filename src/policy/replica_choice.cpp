#include "policy/replica_choice.hpp"

#include <algorithm>
#include <array>
#include <limits>

#include "policy/overload_control.hpp"

namespace pinedoor::policy {
namespace {

// After a failed send a server is avoided for this many latency budgets by parts that may not be sent again.
constexpr Time kAvoidBudgets = 32;
// Ranks of a replica. The lowest rank is chosen.
constexpr int kDeferredRank = 1;
constexpr int kEjectedRank = 2;
constexpr int kUnfitRank = 3;

}  // namespace

void ServerSnapshots::update(const ServerSnapshot& snapshot) {
    auto& stored = snapshots_[snapshot.server];
    failing_ += (snapshot.health == HealthState::kFailing) - (stored.health == HealthState::kFailing);
    at_position_[stored.ring_position].erase(snapshot.server);
    at_position_[snapshot.ring_position].insert(snapshot.server);
    stored = snapshot;
    if (!snapshot.is_removed) return;
    failing_ -= stored.health == HealthState::kFailing;
    at_position_[stored.ring_position].erase(snapshot.server);
    snapshots_.erase(snapshot.server);
}

std::vector<const ServerSnapshot*> ServerSnapshots::replicas_of(int shard) const {
    std::vector<const ServerSnapshot*> found;
    if (ring_.holders != nullptr) {
        for (const auto& id : ring_.holders->of(shard)) {
            if (const auto snapshot = snapshots_.find(id); snapshot != snapshots_.end())
                found.push_back(&snapshot->second);
        }
    }
    for (int j = ring_.holders != nullptr ? ring_.width : 0; j < ring_.width && j < ring_.places; ++j) {
        const auto position = at_position_.find((shard + j) % ring_.places);
        if (position == at_position_.end()) continue;
        for (const auto& id : position->second) found.push_back(&snapshots_.at(id));
    }
    std::sort(found.begin(), found.end(), [](auto* a, auto* b) { return a->server < b->server; });
    return found;
}

// Servers that are ejected, on trial, or too slow for the time left rank last, and are never the first choice
// of a part that cannot be sent again. A retry goes to a server with credit that has not had the part yet.
const ServerSnapshot* ReplicaChoice::pick(const PartState& part, const OpType& type, Time left,
                                          bool half_answered) {
    const bool is_retry = !part.attempts.empty();
    const auto max_wait = static_cast<Time>(kMaxWaitShare * static_cast<double>(left));
    std::vector<const ServerSnapshot*> best;
    std::array<int, 3> lowest{std::numeric_limits<int>::max()};
    for (const auto* server : servers_.replicas_of(part.arrival.shard)) {
        if (!server->listed_ready || server->free_slots < 1) continue;
        const bool unfit = is_retry && !is_fit_for_retry(*server, part);
        if (unfit && (part.stage != PartState::Stage::kWaiting || !half_answered)) continue;
        const int health_rank =
            is_ejected(*server) ? kEjectedRank : (is_deferred(*server, type, max_wait) ? kDeferredRank : 0);
        const std::array<int, 3> rank{(unfit ? kUnfitRank : 0) + health_rank, server->calls_out,
                                      server->parts_out};
        if (rank < lowest) best.clear();
        lowest = std::min(lowest, rank);
        if (rank == lowest) best.push_back(server);
    }
    return best.empty() ? nullptr : best[inboxes_.rng() % best.size()];
}

bool ReplicaChoice::is_fit_for_retry(const ServerSnapshot& server, const PartState& part) const {
    return server.credit >= 1 && !is_ejected(server) && !part.was_sent_to(server.server);
}

bool ReplicaChoice::is_deferred(const ServerSnapshot& server, const OpType& type, Time max_wait) const {
    const Time since_lost = inboxes_.now - server.last_lost_at;
    const bool too_slow = expected_wait(server) > max_wait;
    const bool avoided = server.last_lost_at > 0 && since_lost < kAvoidBudgets * type.latency_budget;
    const bool suspect =
        type.repeat != RetrySafety::kRetriable && (avoided || server.health != HealthState::kHealthy);
    // A server that fails at once has the fewest parts out because of it, and would attract the parts that
    // others lost.
    const bool just_failed = server.last_lost_at > 0 && since_lost < type.latency_budget;
    return suspect || too_slow || just_failed;
}

Time ReplicaChoice::shortest_wait(const PartState& part) const {
    // Where all replicas are ejected, they count after all: the cause of the silence of so many may be over
    // by now, and pushing back all requests until the first server returns would turn a short stall into a
    // long one.
    constexpr Time kNone = std::numeric_limits<Time>::max();
    Time of_usable = kNone;
    Time of_ejected = kNone;
    for (const auto* server : servers_.replicas_of(part.arrival.shard)) {
        // A cold server gets free slots with time; a server on trial gets one when its part has ended.
        if (!server->listed_ready || (server->free_slots < 1 && server->next_slot_at <= inboxes_.now))
            continue;
        auto& shortest = is_ejected(*server) ? of_ejected : of_usable;
        shortest = std::min(shortest, std::max(expected_wait(*server), server->next_slot_at - inboxes_.now));
    }
    return of_usable == kNone ? of_ejected : of_usable;
}

// While too many servers fail some of their parts to do without them, they are used in spite of their errors.
bool ReplicaChoice::is_ejected(const ServerSnapshot& server) const {
    const bool many = servers_.failing() * static_cast<int>(kFewServers) > static_cast<int>(servers_.count());
    return server.health == HealthState::kEjected || (server.health == HealthState::kFailing && !many);
}

// The wait that this node's latest answers showed, less the time since, by which a queue that gets no new
// parts would have shrunk; but at least the age of the oldest send that is still out.
Time ReplicaChoice::expected_wait(const ServerSnapshot& server) const {
    const Time left = std::max<Time>(0, server.recent_latency - (inboxes_.now - server.latency_seen_at));
    return server.oldest_sent_at > 0 ? std::max(left, inboxes_.now - server.oldest_sent_at) : left;
}

}  // namespace pinedoor::policy
