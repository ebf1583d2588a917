// What the store of record holds of one multiget: an intent, durable before its first send, and its outcome.
//
// An entry is one of the two. Entries are named by (node, incarnation, number) and are written by name, so an
// entry that arrives twice, or before its other half, leaves the same row. Bytes of an entry, all integers
// least significant byte first, a text as its length in four bytes and then so many bytes:
//   intent   'I', node, incarnation u64, number u64, op type, tenant, client, key, fingerprint, asked i64,
//            not_after i64, parts u32
//   outcome  'O', node, incarnation u64, number u64, tenant, key, fate u8, frees_key u8, ended i64, parts
//   (text), note, answer
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace pinedoor::store {

using Time = std::int64_t;  // whole tenths of a millisecond since 1970

struct RecordId {
    std::string node;
    std::uint64_t incarnation =
        0;  // of the node's process, rising by one with each start, whatever its clock says
    std::uint64_t number = 0;  // within the incarnation, from 1
    bool operator==(const RecordId&) const = default;
};

enum class Fate : std::uint8_t { kAnswered = 1, kAnsweredInPart = 2, kRefused = 3, kFailed = 4 };
std::string_view name_of(Fate fate);
std::optional<Fate> parse_outcome_kind(std::string_view name);

// What is known of a part at its multiget's end. "May have run" is said whenever the opposite is not proven.
enum class PartFate : char { kNeverSent = 'n', kMayHaveRun = 'm', kRan = 'r' };

struct Intent {
    RecordId id;
    std::string op_type;
    std::string tenant;
    std::string request_name;  // the client's own name of the multiget (X-Txn)
    std::string key;           // Idempotency-Key; empty: none
    std::string fingerprint;   // of what was asked, 32 hex digits of XXH3-128; with a key only
    Time requested_at = 0;
    Time deadline = 0;
    std::uint32_t part_count = 0;
    bool operator==(const Intent&) const = default;
};

struct Outcome {
    RecordId id;
    std::string tenant;  // tenant and key as in the intent: they find its claim
    std::string key;
    Fate fate = Fate::kFailed;
    bool frees_key = false;  // the key may be claimed again: nothing ran
    Time ended = 0;
    std::string parts;   // "3r 4m 7n": shard and PartFate of each
    std::string note;    // why, where there is more to say
    std::string answer;  // the body that the client was given; empty: none, or not kept
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
std::optional<Entry> decode(std::string_view bytes);  // none: they are no entry, whole and nothing else

std::string fingerprint_of(std::string_view op_type, std::string_view body);

using PartFates = std::vector<std::pair<int, PartFate>>;
std::string format_part_outcomes(const PartFates& parts);

// Who holds a key, when it is not the one who asks.
struct KeyHolder {
    RecordId id;
    std::string fingerprint;
    std::optional<Fate> fate;  // none: no outcome is recorded
    bool alive = false;  // its process is known to run: without an outcome it is under way, else in doubt
    std::string answer;
    std::string note;
};

// What became of an entry's claim to its key. Entries without a key are always kMine.
struct Claim {
    enum class Kind { kGranted, kHeld } kind = Kind::kGranted;
    KeyHolder holder;  // kHeld
};

}  // namespace pinedoor::store
