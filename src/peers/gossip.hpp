// What members tell each other beside who is there: small facts, each by one origin under one topic, that
// reach all members and end by themselves. A decider: events and a time in, actions out. docs/peers.md tells
// the promise.
//
// Sources: Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987 (rumours, 1.4;
// anti-entropy, 1.3; a checksum before a comparison, 1.3).
//
// Of two facts of one origin and topic the newer holds everywhere, in whatever order they come: by epoch
// (which begins with the wall clock of the origin's start), life, then version; of the same fact the greater
// age counts.
//
//   holds    | newer        | the same            | older, or over     | its life is over
//   ---------+--------------+---------------------+--------------------+-----------------
//   nothing  | kept, spread | -                   | passed over        | -
//   a fact   | kept, spread | kept, as old as the | passed over        | forgotten
//            |              | older word says     |                    |
//   its own  | epoch raised, all its own said anew | passed over        | forgotten
//   (what an earlier life of its own said, and this one does not, is taken back)
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

inline constexpr std::size_t kMaxTopicBytes = 16;  // bytes
inline constexpr std::size_t kLongestValue = 900;  // bytes
inline constexpr std::size_t kDigestBuckets = 64;

struct Fact {
    std::string origin, topic;
    std::uint64_t epoch = 0, instance_id = 0, version = 0;
    std::string value;  // empty: taken back
    Time lives = 0;     // from when the origin said it; then it counts for nothing
    Time age = 0;       // on the wire: at least so long ago

    auto order() const { return std::tuple(epoch, instance_id, version); }
};

using Digest = std::array<std::uint32_t, kDigestBuckets>;

struct Talk {
    enum class Kind : std::uint8_t {
        kRumours,         // facts that are new
        kDigestRequest,   // the sender's digest: what does the other one hold?
        kDigestMismatch,  // an answer to it: the other's digest, and facts that the asker may lack
        kDigestMatch,     // an answer to it: nothing differs
        kRecords          // further facts of an answer, or those that a kDiffer showed to be lacking
    } kind = Kind::kRumours;
    std::string from;
    At from_address;
    Digest digest{};  // kCompare, kDiffer
    std::vector<Fact> records;
    bool has_digest() const { return kind == Kind::kDigestRequest || kind == Kind::kDigestMismatch; }
};

struct GossipSettings {
    Time rumour_interval = 1'000;  // between two rounds of rumours, while there are any
    int rumour_fan_out = 3;        // members each time
    double retransmit_multiplier =
        2;  // times log10 of the members, and one, that a fact is passed on as a rumour
    Time sync_interval =
        20'000;  // between two comparisons with a member; each `tell` while others were newer
    std::size_t max_record_bytes = 1'100;  // of facts in one message
    int max_reply_messages = 4;            // messages that a comparison is answered with, at most
    // What it sends in any span is at most `burst` and `per_second` for each second of it, in bytes of facts
    // and digests; then rumours wait, and comparisons are not answered: another one comes.
    double bytes_per_second = 15'000;
    double burst_bytes = 90'000;
    std::size_t max_records = 16'384;
    std::size_t max_topics_per_origin = 8;  // of one origin
};

struct SendTalk {
    At to;
    Talk talk;
};

struct GossipCounts {
    std::uint64_t newer = 0, older = 0, rejected_expired = 0, expired = 0, rejected_full = 0,
                  epoch_raised = 0, digests_sent = 0, digests_differed = 0, throttled = 0;
};

class Gossip {
public:
    using Members = std::vector<std::pair<std::string, At>>;

    // `epoch`: the wall clock at the start, in milliseconds; `life`: a number drawn at each start.
    Gossip(std::string name, At at, std::uint64_t epoch, std::uint64_t instance_id, std::uint64_t seed,
           GossipSettings settings);

    void set_members(Members others);  // without this node
    // Says it to all, for `lives` from now; again under the same topic says it anew. Empty: takes it back.
    void publish(Time now, const std::string& topic, std::string value, Time lifetime);
    std::vector<SendTalk> tick(Time now);  // at due(), or later
    Time due() const { return due_; }
    std::vector<SendTalk> take(Time now, const Talk& message);

    // Those of a topic whose life is not over, this node's own too; `age` as of now.
    std::vector<Fact> facts(Time now, const std::string& topic = "") const;  // empty: all
    std::uint64_t changes() const { return changes_; }  // grows with each fact that came, or was taken back
    bool behind() const { return behind_; }             // the last comparison found others to know more
    std::size_t size() const { return records_.size(); }
    const GossipCounts& counts() const { return counts_; }

private:
    using Key = std::pair<std::string, std::string>;  // origin, topic
    struct Held {
        Fact record;
        Time published_at = 0;
        int transmissions = 0;
        bool spreading = false;
        bool expired(Time now) const { return now - published_at >= record.lives; }
    };

    void apply_record(Time now, const Fact& record, bool is_rumour);
    std::vector<SendTalk> reply_to_digest(Time now, const Talk& message);
    void republish_own(Time now, std::uint64_t other_epoch);
    Digest digest(Time now) const;
    Fact copy_with_age(const Held& held, Time now) const;
    void send_digest(Time now, std::vector<SendTalk>& out);
    void send_rumours(Time now, std::vector<SendTalk>& out);
    std::vector<std::pair<std::string, At>> random_members(std::size_t count);
    Talk make_message(Talk::Kind kind) const;
    int max_transmissions() const;
    bool take_budget(Time now, std::size_t bytes);  // false: too much was sent of late
    void update_due();

    const std::string name_;
    const At address_;
    std::uint64_t epoch_;
    const std::uint64_t instance_id_;
    const GossipSettings settings_;
    std::mt19937_64 rng_;
    Members members_;
    std::map<Key, Held> records_;
    std::map<std::string, std::size_t> topics_per_origin_;  // held, by origin
    std::size_t spreading_ = 0;
    std::uint64_t version_ = 0, changes_ = 0;
    double budget_bytes_;  // bytes
    Time budget_updated_at_ = 0;
    bool behind_ = true;  // at the start nothing is known
    Time rumours_at_ = 0, sync_at_ = 0, expiry_check_at_ = 0, due_ = 0;
    GossipCounts counts_;
};

}  // namespace pinedoor::peers
