// What is known of a part, or of a fragment of one: the only type in which it is told, from the dispatcher to
// the gatherer, the store's record, the idempotency keys and the names that may not run again.
#pragma once

namespace pinedoor {

// Each value says more than the one before it. kMayHaveRun holds unless the opposite is certain.
enum class PartFate : char { kNeverSent = 'n', kMayHaveRun = 'm', kRan = 'r' };

// Returns what two attempts at the same part say together: a refusal of one never takes back that the other
// may have run.
constexpr PartFate join(PartFate one, PartFate other) {
    if (one == PartFate::kRan || other == PartFate::kRan) return PartFate::kRan;
    return one == PartFate::kNeverSent ? other : one;
}

}  // namespace pinedoor
