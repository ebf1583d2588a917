// Gossip of small records, each published by one member under one topic, that reach all members and expire.
// Gossip is a pure state machine: events and the current time go in, messages to send come out. docs/peers.md
// describes its guarantees.
//
// Reference: Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987 (rumour
// mongering, 1.4; anti-entropy, 1.3; comparing checksums before contents, 1.3).
//
// Of two records of one origin and topic the newer wins everywhere, whatever order they arrive in. Records
// are ordered by epoch (which starts as the wall clock at the origin's start), instance ID, then version;
// copies of the same record keep the greatest age.
//
//   stored       | received newer      | received the same    | received older or expired | lifetime over
//   -------------+---------------------+----------------------+---------------------------+--------------
//   none         | store, spread       | -                    | ignore                    | -
//   other origin | store, spread       | keep the greater age | ignore                    | remove
//   own          | raise the epoch and republish all own records | ignore                  | remove
//
// A record of an earlier instance of this node is withdrawn unless this instance publishes the topic as well.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "peers/decide.hpp"

namespace pinedoor::peers {

inline constexpr std::size_t kMaxTopicBytes = 16;
inline constexpr std::size_t kLongestValue = 900;
inline constexpr std::size_t kDigestBuckets = 64;

// A small value published by one member under one topic. It expires `lifetime` after the origin published it.
struct PublishedRecord {
    std::string origin, topic;
    std::uint64_t epoch = 0, instance_id = 0, version = 0;  // see order()
    std::string value;                                      // empty: withdrawn
    Time lives = 0;                                         // lifetime since publication
    Time age = 0;  // on the wire: time since publication, a lower bound

    // Orders the records of one origin and topic; the greatest is the newest.
    auto order() const { return std::tuple(epoch, instance_id, version); }
};

// XOR of the record hashes per bucket; equal digests mean equal records.
using Digest = std::array<std::uint32_t, kDigestBuckets>;

// Gossip message between two members, sent in one datagram.
struct GossipMessage {
    enum class Kind : std::uint8_t {
        kRumours,         // new records, to be spread further
        kDigestRequest,   // the sender's digest, to be compared with the receiver's
        kDigestMismatch,  // reply: the replier's digest, and records that the requester may lack
        kDigestMatch,     // reply: the digests are equal
        kRecords          // further records of a reply, or those missing by a kDigestMismatch
    } kind = Kind::kRumours;
    std::string from;
    At from_address;
    Digest digest{};  // if has_digest()
    std::vector<PublishedRecord> records;
    bool has_digest() const { return kind == Kind::kDigestRequest || kind == Kind::kDigestMismatch; }
};

// Times are in units of 0.1 ms.
struct GossipSettings {
    Time rumour_interval = 1'000;          // between two rounds of rumours while records are spreading
    int rumour_fan_out = 3;                // members per round
    double retransmit_multiplier = 2;      // transmissions of a rumour: 1 + this times log10(members)
    Time sync_interval = 20'000;           // mean interval of digests; `rumour_interval` while behind()
    std::size_t max_record_bytes = 1'100;  // records per message
    int max_reply_messages = 4;            // replies to one digest
    // Token bucket for outgoing records and digests. While it is empty rumours wait and digests are not
    // answered; the next sync makes up for them.
    double bytes_per_second = 15'000;
    double burst_bytes = 90'000;
    std::size_t max_records = 16'384;
    std::size_t max_topics_per_origin = 8;
};

// Send `talk` to `to` in one datagram.
struct SendGossip {
    At to;
    GossipMessage talk;
};

// Counters of this node since its start.
struct GossipCounts {
    std::uint64_t newer = 0, older = 0, rejected_expired = 0, expired = 0, rejected_full = 0,
                  epoch_raised = 0, digests_sent = 0, digests_differed = 0, throttled = 0;
};

// The records known to one node. The caller calls tick() when due() is reached, passes received messages in,
// and sends the returned messages.
class Gossip {
public:
    using Members = std::vector<std::pair<std::string, At>>;

    // `epoch`: wall clock at the start, in milliseconds; `instance_id`: random number drawn at each start.
    Gossip(std::string name, At at, std::uint64_t epoch, std::uint64_t instance_id, std::uint64_t seed,
           GossipSettings settings);

    void set_members(Members others);  // excluding this node
    // Publishes `value` to all members for `lifetime` from now, replacing this node's earlier value of the
    // topic. An empty value withdraws it.
    void publish(Time now, const std::string& topic, std::string value, Time lifetime);
    std::vector<SendGossip> tick(Time now);  // to be called at due() or later
    Time due() const { return due_; }
    std::vector<SendGossip> take(Time now, const GossipMessage& message);

    // The unexpired, not withdrawn records of a topic, including this node's own; `age` as of now.
    std::vector<PublishedRecord> facts(Time now, const std::string& topic = "") const;  // empty topic: all
    std::uint64_t changes() const {
        return changes_;
    }                                        // incremented with each record received, published or withdrawn
    bool behind() const { return behind_; }  // the last sync found differing records
    std::size_t size() const { return records_.size(); }
    const GossipCounts& counts() const { return counts_; }

private:
    using Key = std::pair<std::string, std::string>;  // origin, topic
    struct Held {
        PublishedRecord record;
        Time published_at = 0;  // by the local clock
        int transmissions = 0;
        bool spreading = false;  // sent as a rumour
        bool expired(Time now) const { return now - published_at >= record.lives; }
    };

    // Merges a received record; `is_rumour`: spread it further.
    void apply_record(Time now, const PublishedRecord& record, bool is_rumour);
    std::vector<SendGossip> reply_to_digest(Time now, const GossipMessage& message);
    // Republishes this node's records with a newer epoch than `other_epoch`, found on a record of this node's
    // name.
    void republish_own(Time now, std::uint64_t other_epoch);
    Digest digest(Time now) const;
    PublishedRecord copy_with_age(const Held& held, Time now) const;
    void send_digest(Time now, std::vector<SendGossip>& out);
    void send_rumours(Time now, std::vector<SendGossip>& out);
    std::vector<std::pair<std::string, At>> random_members(std::size_t count);
    GossipMessage make_message(GossipMessage::Kind kind) const;
    int max_transmissions() const;
    bool take_budget(Time now, std::size_t bytes);  // false: not enough tokens
    void update_due();

    const std::string name_;
    const At address_;
    std::uint64_t epoch_;
    const std::uint64_t instance_id_;
    const GossipSettings settings_;
    std::mt19937_64 rng_;
    Members members_;
    std::map<Key, Held> records_;
    std::map<std::string, std::size_t> topics_per_origin_;  // number of records per origin
    std::size_t spreading_ = 0;                             // number of records
    std::uint64_t version_ = 0, changes_ = 0;
    double budget_bytes_;  // tokens in bytes
    Time budget_updated_at_ = 0;
    bool behind_ = true;  // a new node has no records
    Time rumours_at_ = 0, sync_at_ = 0, expiry_check_at_ = 0, due_ = 0;
    GossipCounts counts_;
};

}  // namespace pinedoor::peers
