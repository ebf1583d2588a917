// Who is there: membership in the manner of SWIM, with suspicion and local health. A decider: events and a
// time in, actions out; no socket, clock, thread or log. docs/peers.md tells the promise and the ways
// weighed.
//
// Sources, cited by section below:
//   SWIM: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//     Protocol", DSN 2002.
//   Lifeguard: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
//     Detection", DSN-W 2018.
//
// What is known of one member, and what each event makes of it (an event of an older claim changes nothing):
//
//   known as | alive, newer | suspect, as new | dead or left, as new | its time is over | this node stood
//   still
//   ---------+--------------+-----------------+----------------------+------------------+----------------------
//   nobody   | alive        | suspect         | passed over          | -                | -
//   alive    | alive        | suspect         | dead, left           | -                | alive
//   suspect  | alive        | suspect, sooner | dead, left           | asked, then dead | suspect, later
//   dead     | alive        | suspect         | dead, left           | forgotten        | dead, later
//   left     | alive        | suspect         | dead, left           | forgotten        | left, later
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

using Time = std::int64_t;  // whole tenths of a millisecond

struct At {  // where a member listens
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    auto operator<=>(const At&) const = default;
};

enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };
const char* name_of(MemberState state);

// What is said of a member. Of two claims the newer holds everywhere, in whatever order they come: they are
// ordered by incarnation, then standing, then the rest, so that merging commutes.
struct MemberRecord {
    std::string name;
    std::uint64_t incarnation = 0;  // begins with the wall clock of the member's start; only itself raises it
    MemberState state = MemberState::kAlive;
    std::uint64_t life = 0;  // a number drawn at each start
    At at;
    int zone = 0;
    std::string reported_by;  // who suspects it, or found it dead

    bool supersedes(const MemberRecord& other) const;
};

struct Message {
    enum class Kind : std::uint8_t { kPing, kPingRequest, kAck, kNack, kUpdates } kind = Kind::kPing;
    std::uint32_t sequence = 0;
    std::string from;
    At from_address;     // where the answer goes
    std::string target;  // kPing, kPingFor: who is meant
    At target_address;   // kPingFor
    std::vector<MemberRecord> records;
};

struct MembershipTerms {
    Time period = 10'000;     // between two probes (SWIM 3.1)
    Time timeout = 3'000;     // until a probe goes by way of others
    int indirect_probes = 3;  // so many
    double suspicion = 4;     // periods times log10 of the members until a suspect is dead, at least
    double max_suspicion_multiplier = 6;  // times that, at most (Lifeguard 4.2)
    Time update_interval = 2'000;         // while there is news, to so many others each time
    int update_fan_out = 3;
    int confirmations = 3;             // from which on it is the least
    double retransmit_multiplier = 5;  // times log10 of the members that a claim is passed on (SWIM 4.1)
    int max_health_score = 8;          // (Lifeguard 4.1)
    Time exchange = 300'000;           // whole states, with one other
    Time forget = 600'000;             // the dead and those who left
    std::size_t most_members = 4'096;
    std::size_t max_record_bytes = 1'000;  // in one message
    // Baselines for measurements: plain SWIM has neither.
    bool local_health = true;
    bool sooner_by_confirmation = true;
};

struct SendMessage {
    At to;
    Message message;
};
struct StateSync {  // whole states, both ways, over a stream
    At peer;
};
struct Changed {  // a member came, or is one no more; suspects are members still
    MemberRecord record;
    bool is_member = false;
};
struct NameConflict {  // another process goes by our name
    At address;
};
using Action = std::variant<SendMessage, StateSync, Changed, NameConflict>;

// Of this node, since its start.
struct MembershipCounts {
    std::uint64_t probes = 0, probes_failed = 0, suspected = 0, declared_dead = 0, refuted = 0,
                  suspensions = 0, conflicts = 0, rejected_full = 0;
};

class Membership {
public:
    // `incarnation`: the wall clock at the start, in milliseconds.
    Membership(std::string name, At at, int zone, std::uint64_t incarnation, std::uint64_t seed,
               MembershipTerms settings, std::vector<At> seeds);

    std::vector<Action> tick(Time now);  // at due(), or later
    Time due() const { return due_; }
    std::vector<Action> receive(Time now, const Message& message);
    std::vector<Action> receive_state(Time now, const std::vector<MemberRecord>& records);
    std::vector<Action> sync_refused(Time now);     // or cut off; not: too slow
    std::vector<MemberRecord> all_records() const;  // of all that are known, this node first
    std::vector<Action> leave(Time now);            // tells some; others hear of it from them
    void set_seeds(std::vector<At> seeds) { seeds_ = std::move(seeds); }

    std::optional<At> address_of(const std::string& name) const;  // of a member
    std::vector<MemberRecord> members() const;  // alive or suspect, this node among them, by name
    std::size_t member_count() const { return other_members_ + 1; }
    int health_score() const { return health_score_; }  // 0: good
    const MembershipCounts& counts() const { return counts_; }
    const MemberRecord& self() const { return self_; }

private:
    struct KnownMember {
        MemberRecord record;
        Time expires_at = 0;            // a suspect's end, or when one that is gone is forgotten
        std::uint32_t final_probe = 0;  // number of the probe that a suspect gets before its end; 0: none yet
        Time state_since = 0;
        std::set<std::string> suspected_by;
        std::size_t alive_index = 0;  // its place there, if it is alive
    };
    struct Probe {
        std::uint32_t sequence = 0;
        std::string target;
        Time indirect_at = 0, ends_at = 0;
        bool indirect_sent = false, acked = false;
        int indirect_requests = 0, nacks_missing = 0;
    };
    struct RelayedProbe {  // a probe on another's behalf
        At requester;
        std::uint32_t sequence = 0;
        std::string target;
        Time nack_at = 0, ends_at = 0;
        bool nack_sent = false;
    };
    struct PendingUpdate {
        int transmissions = 0;
        std::uint64_t version = 0;
    };
    struct QueuedUpdate {  // of a rumour that was passed on so often; out of date if the rumour has another
                           // number
                           // now
        std::string name;
        std::uint64_t version = 0;
    };

    bool is_member(const MemberRecord& record) const { return record.state <= MemberState::kSuspect; }
    void apply_record(Time now, const MemberRecord& record);
    void apply_own_record(const MemberRecord& record);
    void store_record(Time now, const MemberRecord& record);
    void update_alive_names(const std::string& name, KnownMember& known, bool was_alive, bool is_alive);
    void suspect(Time now, const std::string& name);
    void set_suspicion_timeout(Time now, KnownMember& known) const;
    void queue_update(const std::string& name);
    std::vector<MemberRecord> select_updates(const std::string& recipient);
    void send(At to, Message message, const std::string& recipient);
    void probe_next(Time now);
    void check_probe(Time now);
    void check_expired(Time now);
    void send_indirect_probes(const std::string& target, std::uint32_t sequence);
    void restart_suspicion(Time now, const std::string& name);
    void adjust_health(int delta);
    void handle_suspension(Time duration);
    void start_sync(Time now);
    void send_updates(Time now);
    std::vector<std::string> random_members(std::size_t count, const std::string& except);
    const MemberRecord* find_record(const std::string& name) const;
    Time scaled(Time time) const { return settings_.local_health ? time * (1 + health_score_) : time; }
    double log_members() const;
    void update_due();
    std::size_t random_below(std::size_t count) { return static_cast<std::size_t>(rng_() % count); }

    const MembershipTerms settings_;
    std::vector<At> seeds_;
    MemberRecord self_;
    bool leaving_ = false;
    std::mt19937_64 rng_;
    std::map<std::string, KnownMember> known_;     // all but this node
    std::set<std::string> expiring_;               // of these, who has an over_at
    std::size_t other_members_ = 0;                // of these
    std::vector<const std::string*> alive_names_;  // names in known_ of those alive, in no order
    std::vector<std::string> probe_order_;         // of probes, shuffled anew for each round (SWIM 4.3)
    std::size_t next_probe_ = 0;
    std::optional<Probe> probe_;
    std::map<std::uint32_t, RelayedProbe> relayed_probes_;
    std::map<std::string, PendingUpdate> pending_updates_;
    std::vector<std::vector<QueuedUpdate>>
        update_queues_;  // so that a message costs what it holds, not what there is to say
    std::uint64_t last_version_ = 0;
    std::uint32_t last_sequence_ = 0;
    int health_score_ = 0;
    int isolated_syncs_ = 0;
    int syncs_ = 0;
    Time probe_at_ = 0, sync_at_ = 0, updates_at_ = 0, due_ = 0, last_event_at_ = 0;
    MembershipCounts counts_;
    std::vector<Action> actions_;
};

}  // namespace pinedoor::peers
