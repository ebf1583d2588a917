// SWIM membership protocol with Lifeguard's suspicion and local health extensions. Membership is a pure state
// machine: events and the current time go in, actions come out; it uses no socket, clock, thread or log.
// docs/peers.md describes its guarantees and the alternatives considered.
//
// References, cited by section below:
//   SWIM: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//     Protocol", DSN 2002.
//   Lifeguard: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
//     Detection", DSN-W 2018.
//
// State of one member and its transitions. Records older than the stored one are ignored; "same or newer"
// compares incarnations first (MemberRecord::supersedes).
//
//   state   | newer: alive | same or newer: suspect     | same or newer: dead, left | timeout
//   --------+--------------+----------------------------+---------------------------+-----------------------
//   unknown | alive        | suspect                    | ignored                   | -
//   alive   | alive        | suspect                    | dead, left                | -
//   suspect | alive        | suspect, shorter timeout   | dead, left                | final probe, then dead
//   dead    | alive        | suspect                    | dead, left                | removed
//   left    | alive        | suspect                    | dead, left                | removed
//
// A suspension of this process changes no state; it extends every running timeout by its duration.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pinedoor::peers {

using Time = std::int64_t;  // in units of 0.1 ms

// Address a member listens on: IPv4 address and port, both in host byte order.
struct At {
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    auto operator<=>(const At&) const = default;
};

enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };
const char* name_of(MemberState state);

// State of one member as reported by some member. Records of one member are totally ordered (by incarnation,
// then state, then the remaining fields), so merging them is commutative and every member ends up with the
// same record whatever order they arrive in.
struct MemberRecord {
    std::string name;
    std::uint64_t incarnation = 0;  // wall clock at start in ms; only the member itself raises it
    MemberState state = MemberState::kAlive;
    std::uint64_t life = 0;  // random instance ID, drawn at each start
    At at;
    int zone = 0;
    std::string reported_by;  // member that suspects it or declared it dead

    bool supersedes(const MemberRecord& other) const;
};

// Protocol message, sent in one datagram. Every message piggybacks membership updates (`records`).
struct Message {
    enum class Kind : std::uint8_t { kPing, kPingRequest, kAck, kNack, kUpdates } kind = Kind::kPing;
    std::uint32_t sequence = 0;
    std::string from;
    At from_address;     // replies go to this address
    std::string target;  // kPing, kPingRequest: member to probe
    At target_address;   // kPingRequest
    std::vector<MemberRecord> records;
};

// Protocol settings. Times are in units of 0.1 ms.
struct MembershipConfig {
    Time period = 10'000;                 // probe period (SWIM 3.1)
    Time timeout = 3'000;                 // for the direct probe; indirect probes are sent after it
    int indirect_probes = 3;              // members asked to probe indirectly
    double suspicion = 4;                 // min suspicion timeout, in periods times log10(members)
    double max_suspicion_multiplier = 6;  // max suspicion timeout as a multiple of the min (Lifeguard 4.2)
    Time update_interval = 2'000;         // between update messages while updates are pending
    int update_fan_out = 3;               // members per round of update messages
    int confirmations = 3;                // independent suspicions that reduce the timeout to its min
    double retransmit_multiplier = 5;     // transmissions of an update per log10(members) (SWIM 4.1)
    int max_health_score = 8;             // local health multiplier limit (Lifeguard 4.1)
    Time exchange = 300'000;              // mean interval of full state syncs with one other member
    Time forget = 600'000;                // until dead and departed members are removed
    std::size_t most_members = 4'096;
    std::size_t max_record_bytes = 1'000;  // per message
    // Both are off in plain SWIM, the baseline of the benchmark.
    bool local_health = true;       // scales probe timeouts by the local health score
    bool dynamic_suspicion = true;  // suspicion timeout shrinking with confirmations, and final probe
};

// Send `message` to `to` in one datagram.
struct SendMessage {
    At to;
    Message message;
};
// Exchange full states with `peer`, in both directions, over a stream.
struct StateSync {
    At peer;
};
// A member joined, was replaced by another instance, or was removed. Suspects are still members.
struct MembershipChange {
    MemberRecord record;
    bool is_member = false;
};
// Another process uses this node's name.
struct NameConflict {
    At address;
};
using Action = std::variant<SendMessage, StateSync, MembershipChange, NameConflict>;

// Counters of this node since its start.
struct MembershipCounts {
    std::uint64_t probes = 0, probes_failed = 0, suspected = 0, declared_dead = 0, refuted = 0,
                  suspensions = 0, conflicts = 0, rejected_full = 0;
};

// Membership as seen by one node. The caller calls tick() when due() is reached, passes received messages and
// states in, and carries out the returned actions.
class Membership {
public:
    // `incarnation`: wall clock at the start, in milliseconds.
    Membership(std::string name, At at, int zone, std::uint64_t incarnation, std::uint64_t seed,
               MembershipConfig settings, std::vector<At> seeds);

    std::vector<Action> tick(Time now);  // to be called at due() or later
    Time due() const { return due_; }
    std::vector<Action> receive(Time now, const Message& message);
    std::vector<Action> receive_state(Time now, const std::vector<MemberRecord>& records);
    std::vector<Action> sync_refused(Time now);     // refused or closed by the peer; not on a timeout
    std::vector<MemberRecord> all_records() const;  // of every known member, this node first
    std::vector<Action> leave(Time now);            // notifies a few members, which spread the update
    void set_seeds(std::vector<At> seeds) { seeds_ = std::move(seeds); }

    std::optional<At> address_of(const std::string& name) const;  // empty if not a member
    std::vector<MemberRecord> members() const;  // alive or suspect, including this node, sorted by name
    std::size_t member_count() const { return other_members_ + 1; }  // including this node
    int health_score() const { return health_score_; }               // 0: healthy
    const MembershipCounts& counts() const { return counts_; }
    const MemberRecord& self() const { return self_; }

private:
    struct KnownMember {
        MemberRecord record;
        Time expires_at = 0;  // a suspect is declared dead or a departed member removed; 0: never
        std::uint32_t final_probe =
            0;                 // sequence of the probe before a suspect is declared dead; 0: none yet
        Time state_since = 0;  // start of the state and of the suspicion timeout
        std::set<std::string> suspected_by;  // members that reported the suspicion
        std::size_t alive_index = 0;         // index in alive_names_ if alive
    };
    struct Probe {  // the probe in progress
        std::uint32_t sequence = 0;
        std::string target;
        Time indirect_at = 0, ends_at = 0;
        bool indirect_sent = false, acked = false;
        int indirect_requests = 0, nacks_missing = 0;
    };
    struct RelayedProbe {  // a probe on behalf of `requester`
        At requester;
        std::uint32_t sequence = 0;
        std::string target;
        Time nack_at = 0, ends_at = 0;
        bool nack_sent = false;
    };
    struct PendingUpdate {  // a record that is still to be disseminated
        int transmissions = 0;
        std::uint64_t version = 0;
    };
    struct QueuedUpdate {  // stale if the pending update has another version
        std::string name;
        std::uint64_t version = 0;
    };

    bool is_member(const MemberRecord& record) const { return record.state <= MemberState::kSuspect; }
    // Merges a received record into known_.
    void apply_record(Time now, const MemberRecord& record);
    // Refutes a record that contradicts this node's own.
    void apply_own_record(const MemberRecord& record);
    // Replaces the stored record, restarts its timeout and queues it for dissemination.
    void store_record(Time now, const MemberRecord& record);
    void update_alive_names(const std::string& name, KnownMember& known, bool was_alive, bool is_alive);
    void suspect(Time now, const std::string& name);
    void set_suspicion_timeout(Time now, KnownMember& known) const;
    void queue_update(const std::string& name);
    // Chooses the updates to piggyback on a message to `recipient`.
    std::vector<MemberRecord> select_updates(const std::string& recipient);
    void send(At to, Message message, const std::string& recipient);
    void probe_next(Time now);
    void check_probe(Time now);
    void check_expired(Time now);
    void send_indirect_probes(const std::string& target, std::uint32_t sequence);
    // A suspect answered a probe: grants it the full suspicion timeout again.
    void restart_suspicion(Time now, const std::string& name);
    void adjust_health(int delta);
    // This process was not running for `duration`.
    void handle_suspension(Time duration);
    void start_sync(Time now);
    void send_updates(Time now);
    std::vector<std::string> random_members(std::size_t count, const std::string& except);
    const MemberRecord* find_record(const std::string& name) const;
    Time scaled(Time time) const { return settings_.local_health ? time * (1 + health_score_) : time; }
    double log_members() const;
    void update_due();
    std::size_t random_below(std::size_t count) { return static_cast<std::size_t>(rng_() % count); }

    const MembershipConfig settings_;
    std::vector<At> seeds_;
    MemberRecord self_;
    bool leaving_ = false;
    std::mt19937_64 rng_;
    std::map<std::string, KnownMember> known_;     // all but this node; dead and departed ones until removal
    std::set<std::string> expiring_;               // names in known_ with an expires_at
    std::size_t other_members_ = 0;                // number of alive and suspect members in known_
    std::vector<const std::string*> alive_names_;  // names in known_ of alive members, unordered
    std::vector<std::string> probe_order_;         // reshuffled for each round of probes (SWIM 4.3)
    std::size_t next_probe_ = 0;
    std::optional<Probe> probe_;
    std::map<std::uint32_t, RelayedProbe> relayed_probes_;
    std::map<std::string, PendingUpdate> pending_updates_;
    // Pending updates by number of transmissions, so that the cost of a message depends on its size and not
    // on the number of pending updates.
    std::vector<std::vector<QueuedUpdate>> update_queues_;
    std::uint64_t last_version_ = 0;
    std::uint32_t last_sequence_ = 0;
    int health_score_ = 0;
    int isolated_syncs_ = 0;  // consecutive syncs attempted without any live member
    int syncs_ = 0;
    // Times of the next events, and of the last one.
    Time probe_at_ = 0, sync_at_ = 0, updates_at_ = 0, due_ = 0, last_event_at_ = 0;
    MembershipCounts counts_;
    std::vector<Action> actions_;
};

}  // namespace pinedoor::peers
