// Entries of the store of record. For each recorded multiget the store holds an intent, which is durable
// before the first send, and an outcome; an entry is one of the two.
//
// Entries are identified by (node, incarnation, number) and written idempotently under that id: an entry that
// arrives twice, or before the other one of its multiget, results in the same row. Encoding of an entry;
// integers are little-endian, a text is its length in four bytes followed by its bytes:
//   intent   'I', node, incarnation u64, number u64, op type, tenant, client, key, fingerprint, asked i64,
//            not_after i64, parts u32
//   outcome  'O', node, incarnation u64, number u64, tenant, key, fate u8, frees_key u8, ended i64, parts
//            (text), note, answer
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "part_fate.hpp"

namespace pinedoor::store {

using Time = std::int64_t;  // tenths of a millisecond since 1970, or a duration in that unit

struct RecordId {
    std::string node;
    // Identifies a run of the node's process. Each start gets a higher number, whatever the clock does.
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;  // within the incarnation, from 1
    bool operator==(const RecordId&) const = default;
};

enum class OutcomeKind : std::uint8_t { kAnswered = 1, kAnsweredInPart = 2, kRefused = 3, kFailed = 4 };
std::string_view name_of(OutcomeKind fate);
std::optional<OutcomeKind> parse_outcome_kind(std::string_view name);

// What is known about a part when its multiget ends.
using PartOutcome = PartFate;

struct Intent {
    RecordId id;
    std::string op_type;
    std::string tenant;
    std::string request_name;  // the client's name for the multiget (X-Txn)
    std::string key;           // Idempotency-Key; empty: none
    std::string fingerprint;   // of the op type and body, 32 hex digits of XXH3-128; set with a key only
    Time requested_at = 0;
    Time deadline = 0;
    std::uint32_t part_count = 0;
    bool operator==(const Intent&) const = default;
};

struct Outcome {
    RecordId id;
    std::string tenant;  // with the key, identifies the claim of the intent
    std::string key;
    OutcomeKind fate = OutcomeKind::kFailed;
    bool frees_key = false;  // nothing ran, so the key may be claimed again
    Time ended = 0;
    std::string parts;   // "3r 4m 7n": each part's shard and PartOutcome
    std::string note;    // the reason, if the outcome alone does not tell it
    std::string answer;  // the body sent to the client; empty: none, or not stored
    bool operator==(const Outcome&) const = default;
};

using Entry = std::variant<Intent, Outcome>;

inline const RecordId& id_of(const Entry& entry) {
    return std::visit([](const auto& each) -> const RecordId& { return each.id; }, entry);
}
inline bool is_keyed_intent(const Entry& entry) {
    const auto* intent = std::get_if<Intent>(&entry);
    return intent != nullptr && !intent->key.empty();
}

std::string encode(const Entry& entry);
std::optional<Entry> decode(std::string_view bytes);  // nullopt: not exactly one whole entry

std::string fingerprint_of(std::string_view op_type, std::string_view body);

using PartOutcomes = std::vector<std::pair<int, PartOutcome>>;
std::string format_part_outcomes(const PartOutcomes& parts);

// The record that holds a key claimed by another multiget.
struct KeyHolder {
    RecordId id;
    std::string fingerprint;
    std::optional<OutcomeKind> fate;  // nullopt: no outcome is recorded
    // Its process is running: without an outcome the record is in progress, otherwise in doubt.
    bool alive = false;
    std::string answer;
    std::string note;
};

// Result of an entry's claim to its key. An entry without a key is always kGranted.
struct Claim {
    enum class Kind { kGranted, kHeld } kind = Kind::kGranted;
    KeyHolder holder;  // if kHeld
};

}  // namespace pinedoor::store
