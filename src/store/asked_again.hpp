// Rules for idempotency keys: what a client gets whose key another multiget holds, and when a key becomes
// free again. Decisions only, no I/O.
//
// The header is `Idempotency-Key` as in the IETF draft of that name
// (draft-ietf-httpapi-idempotency-key-header): its value is a structured header string (section 2.1; RFC
// 8941, 3.3.3) of 1 to 255 characters. The same key with another body gets 422, and a key whose first request
// is in progress gets 409 (section 2.7). Keys are scoped to a tenant. The fingerprint (section 2.4) covers
// the op type and the bytes of the body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/record.hpp"

namespace pinedoor::store {

constexpr std::size_t kMaxKeyLength = 255;

// Parses the header's value; returns nullopt if it is not a structured string or its length is out of range.
std::optional<std::string> read_key(std::string_view header);

enum class RepeatVerdict : std::uint8_t {
    kAnswer,         // send the recorded answer
    kAnswerNotKept,  // answered, but the answer was too large to store
    kInProgress,     // 409: retry later
    kInDoubt,        // may have run; it is never run again
    kFailed,         // failed; it is never run again
    kDifferentBody   // 422
};
RepeatVerdict judge_repeat(const KeyHolder& holder, std::string_view fingerprint);

// Returns whether a multiget with this outcome leaves its key free for another attempt. If any part may have
// run, the key is not freed, because a second attempt would run it twice. This holds for retriable op types
// too: they may run twice under two names, but not under one key.
bool frees_key(OutcomeKind fate, const PartOutcomes& parts);

// Returns for each op type whether it is recorded: the named ones, or all that are not retriable if none is
// named. Throws std::invalid_argument for a name that is not an op type.
std::vector<bool> which(const std::vector<std::string>& op_types, const std::vector<bool>& retriable,
                        const std::vector<std::string>& named);

// Returns the outcome of a multiget that ends without an answer, because its client disconnects or because a
// multiget with a key is refused: refused if no part may have run, so that a retry with the key runs it, and
// failed otherwise.
OutcomeKind outcome_without_answer(const PartOutcomes& parts);

}  // namespace pinedoor::store
