// What a client is told whose key somebody else holds, and when a key is free again. Decisions only.
//
// The header is `Idempotency-Key` as in the IETF draft of that name
// (draft-ietf-httpapi-idempotency-key-header): its value is a structured header string (section 2.1; RFC
// 8941, 3.3.3), of 1 to 255 characters; the same key with another body is 422, a key whose first request is
// under way is 409 (section 2.7). Keys belong to a tenant. The fingerprint (section 2.4) is of the op type
// and the body's bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/record.hpp"

namespace pinedoor::store {

constexpr std::size_t kMaxKeyLength = 255;

// The key in a header's value; none if it is no structured string or has a length that is not taken.
std::optional<std::string> read_key(std::string_view header);

enum class RepeatVerdict : std::uint8_t {
    kAnswer,         // the recorded answer, and no send
    kAnswerNotKept,  // answered, but the answer was too large to keep
    kInProgress,     // 409: ask again later
    kInDoubt,        // it may have run, and is never run again
    kFailed,         // it has failed, and is never run again
    kDifferentBody   // 422
};
RepeatVerdict judge_repeat(const KeyHolder& holder, std::string_view fingerprint);

// Whether a multiget that ended like this leaves its key free. Not if any part may have run, for the next one
// would be a second run; where runs are harmless (`retriable`) every refusal does.
bool frees_key(Fate fate, const PartFates& parts, bool retriable);

// Which op types are recorded: those that are named, else all that are not retriable. Throws
// std::invalid_argument for a name that is no op type's.
std::vector<bool> which(const std::vector<std::string>& op_types, const std::vector<bool>& retriable,
                        const std::vector<std::string>& named);

// The fate of a multiget whose client has left before its end.
Fate outcome_after_disconnect(const PartFates& parts);

}  // namespace pinedoor::store
