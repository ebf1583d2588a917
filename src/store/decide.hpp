// Decision logic of the store of record: which entry is written where and when, how a write with an unknown
// result is resolved, when the store counts as slow or down, what is spilled, which multigets are rejected
// and how long an answer waits for its record. The module does no I/O and reads no clock: it receives the
// current time and events, and returns actions.
//
// State of the store, and the destination of an entry that arrives in that state:
//
//   condition | entered when                  | intent without key | intent with key    | outcome
//   ----------+-------------------------------+--------------------+--------------------+---------
//   opening   | at the start                  | spill              | waits              | spill
//   up        | opened, or a slow write ended | store              | store              | store
//   slow      | a write exceeds slow_after    | spill              | waits              | spill
//   down      | a write or opening failed     | spill              | waits              | spill
//   up, while the spill holds entries         | spill              | waits              | spill
//
// A waiting intent waits for at most its share of the client's remaining time; then its multiget is rejected
// before any send. If reopening the store fails, the intents that only the store can take are rejected at
// once. A key is never judged without the store, because only the store knows whether another multiget holds
// it.
//
// At most one write to the store and one to the spill are outstanding. Entries that arrive meanwhile form the
// next batch, so batches grow as the store gets slower. A write whose result is unknown is reconciled before
// any other write: the store is asked which of its entries it has, and absent ones are written again under
// the same id.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "store/record.hpp"

namespace pinedoor::store {

// Configuration of the writes to the store and the spill.
struct WriteConfig {
    std::size_t max_batch = 512;  // max. entries per write
    // max. entries in memory that are not durable yet; further intents are rejected
    std::size_t max_pending = 8192;
    Time gather = 0;        // delay of a write after its first entry, 0.1 ms
    Time slow_after = 500;  // a write outstanding for longer makes the store slow, 0.1 ms
    // Share of the client's remaining time that an intent may take to become durable.
    double intent_share = 0.5;
    // Share of the client's remaining time that an answer waits for its outcome to become durable.
    double answer_share = 0.25;
    // Delay between attempts to open, in 0.1 ms: doubles up to max_reopen_delay, times a random
    // factor of 0.5 to 1.
    Time min_reopen_delay = 500;
    Time max_reopen_delay = 50'000;
    // Max. size of the spill on disk, including the space reserved for outcomes of open multigets.
    std::size_t spill_bytes = std::size_t{64} << 20U;
    std::size_t outcome_reserve = 1024;  // bytes reserved in the spill for each open multiget's outcome
};

using RecordNumber = std::uint64_t;  // of a record, within the incarnation
// Names an entry within the incarnation.
struct EntryRef {
    enum class Kind : std::uint8_t { kIntent, kOutcome } kind = Kind::kIntent;
    RecordNumber number = 0;
    auto operator<=>(const EntryRef&) const = default;
};
using BatchId = std::uint64_t;

// --- Events, the input of the module ---

// A recorded multiget has arrived; it must not be sent before its intent is durable.
struct IntentSubmitted {
    RecordNumber number = 0;
    bool keyed = false;
    std::size_t bytes = 0;
    Time deadline = 0;
};
// A multiget has ended. If it was answered, the caller holds the answer back until ReleaseAnswer.
struct OutcomeSubmitted {
    RecordNumber number = 0;
    std::size_t bytes = 0;
    std::size_t bytes_without_answer = 0;
    bool answered = false;
    Time deadline = 0;
};
struct StoreOpened {};
struct StoreOpenFailed {};
// The connection to the store was lost while no write was outstanding.
struct ConnectionLost {};
// A write or a reconciliation succeeded. `held_elsewhere` lists the intents whose key another record holds.
struct WriteStored {
    BatchId batch = 0;
    std::vector<EntryRef> held_elsewhere;
    std::vector<EntryRef> absent;  // after ReconcileBatch: entries that the store does not have
};
// A write failed and certainly nothing of it was stored.
struct WriteRejected {
    BatchId batch = 0;
    bool entries_rejected = false;  // the store works but rejects these entries
};
// A write has an unknown result: its entries may be stored, or may still get stored.
struct WriteUnknown {
    BatchId batch = 0;
};
struct SpillWritten {
    BatchId batch = 0;
    bool ok = true;
};
// Reported after each change: entries in the spill that are not in the store yet.
struct SpillLevel {
    std::size_t entries = 0;
    std::size_t bytes = 0;
};
struct Tick {};
using Event = std::variant<IntentSubmitted, OutcomeSubmitted, StoreOpened, StoreOpenFailed, ConnectionLost,
                           WriteStored, WriteRejected, WriteUnknown, SpillWritten, SpillLevel, Tick>;

// --- Actions, the output of the module ---

struct OpenStore {};
// Write these entries to the store.
struct WriteBatch {
    BatchId batch = 0;
    std::vector<EntryRef> refs;
};
// Ask the store which of these entries it has.
struct ReconcileBatch {
    BatchId batch = 0;
    std::vector<EntryRef> refs;
};
// Write the oldest entries of the spill to the store; ends with the same events as WriteBatch.
struct ReplaySpill {
    BatchId batch = 0;
    std::size_t max_entries = 0;
};
// The store rejects the oldest entry of the spill: move it to the set-aside file for an operator.
struct SetAsideSpilled {};
// Append to the spill and make it durable.
struct WriteSpill {
    BatchId batch = 0;
    std::vector<EntryRef> refs;
};
// The intent is durable: the multiget may be sent.
struct Proceed {
    RecordNumber number = 0;
};
enum class RejectReason : std::uint8_t { kStoreDown, kStoreSlow, kNoCapacity, kKeyHeld, kEntryRejected };
std::string_view name_of(RejectReason reason);
// Reject a multiget before any send.
struct RejectMultiget {
    RecordNumber number = 0;
    RejectReason reason = RejectReason::kStoreDown;
    bool may_be_stored = false;  // then a refusal must be recorded as its outcome
    Time retry_after = 0;        // 0.1 ms until a retry may succeed; 0: unknown
};
// The answer may be sent to the client.
struct ReleaseAnswer {
    RecordNumber number = 0;
    bool durable = false;
};
// Store the outcome without its answer, because the spill lacks the space for it.
struct DropAnswer {
    RecordNumber number = 0;
};
// The entry is durable or was abandoned; its bytes can be freed.
struct DiscardEntry {
    EntryRef ref;
    bool lost = false;  // the store rejected it: it is recorded nowhere
};
struct WakeAt {
    Time at = 0;
};
enum class Condition : std::uint8_t { kOpening, kUp, kSlow, kDown };
std::string_view name_of(Condition condition);
struct ConditionChanged {
    Condition condition = Condition::kOpening;
};
using Action =
    std::variant<OpenStore, WriteBatch, ReconcileBatch, ReplaySpill, SetAsideSpilled, WriteSpill, Proceed,
                 RejectMultiget, ReleaseAnswer, DropAnswer, DiscardEntry, WakeAt, ConditionChanged>;

// The state machine of the store of record; each call is one turn and returns the actions to execute.
class Recorder {
public:
    Recorder(std::uint64_t seed, WriteConfig config)
        : config_(config), rng_(static_cast<std::mt19937::result_type>(seed)) {}

    // Call before start() if this process knows its incarnation, so that spilled entries can be named.
    // Otherwise the store assigns the incarnation, and until then every intent waits like one with a key.
    void set_incarnation_known() { incarnation_known_ = true; }
    std::vector<Action> start(Time now);
    std::vector<Action> handle(Time now, const Event& event);

    Condition condition() const { return condition_; }
    std::size_t pending_entries() const { return entries_.size(); }
    std::size_t open_multigets() const { return open_multigets_.size(); }
    // Events that are impossible in the current state; they are counted and ignored.
    std::uint64_t unexpected_events() const { return unexpected_events_; }

private:
    // Progress of an entry towards the store.
    enum class StoreState : std::uint8_t { kQueued, kInWrite, kUnreconciled, kNone };
    // Progress of an entry towards the spill.
    enum class SpillState : std::uint8_t { kNone, kQueued, kInWrite };
    // An entry that is not durable yet.
    struct Pending {
        std::size_t bytes = 0;
        // An intent with a key, or of a process without an incarnation: it cannot be spilled.
        bool store_only = false;
        bool awaited = false;          // the multiget or its answer waits for it to become durable
        bool write_attempted = false;  // was part of a write to the store or to the spill
        Time wait_deadline = 0;        // when the wait is given up
        StoreState store_state = StoreState::kNone;
        SpillState spill_state = SpillState::kNone;
    };
    using EntryIter = std::map<EntryRef, Pending>::iterator;
    // The one operation of the store that is outstanding.
    struct OutstandingWrite {
        BatchId batch = 0;
        std::vector<EntryRef> refs;
        Time slow_at = 0;
        enum class Kind : std::uint8_t { kWrite, kReconcile, kReplay } kind = Kind::kWrite;
    };

    std::vector<Action> run_turn(Time now);
    void on(const IntentSubmitted& submitted);
    void on(const OutcomeSubmitted& submitted);
    void on(const StoreOpened&);
    void on(const StoreOpenFailed&);
    void on(const ConnectionLost&);
    void on(const WriteStored& stored);
    void on(const WriteRejected& rejected);
    void on(const WriteUnknown& unknown);
    void on(const SpillWritten& spilled);
    void on(const SpillLevel& level);
    void on(const Tick&) {}

    bool writes_directly() const;  // entries without a key go to the store
    bool spill_usable() const { return !spill_failing_ || now_ >= spill_retry_at_; }
    std::size_t spill_free_bytes() const;
    void route(EntryIter entry);
    void queue_for_store(EntryIter entry, bool front = false);
    void queue_for_spill(EntryIter entry);
    void on_durable(EntryRef ref);
    void reject(RecordNumber number, RejectReason reason);
    void reject_store_only();
    Time retry_advice() const;
    void finish_write(const OutstandingWrite& outstanding, const WriteStored& stored);
    void expire_waits();
    void mark_down();
    void spill_waiting();
    void set_condition(Condition condition);
    void start_store_write();
    void start_spill_write();
    void schedule_wake();
    void discard(EntryIter entry, bool lost = false);
    std::optional<OutstandingWrite> take_outstanding(BatchId batch);
    std::vector<EntryRef> next_store_batch();
    BatchId start_store_work(OutstandingWrite::Kind kind, std::vector<EntryRef> refs);
    bool expect(bool condition_met);

    const WriteConfig config_;
    std::mt19937 rng_;
    Time now_ = 0;
    Condition condition_ = Condition::kOpening;
    bool incarnation_known_ = false;
    bool opening_ = false;  // an OpenStore action is outstanding
    Time reopen_at_ = 0;
    // Failed attempts to open or write since the last successful write.
    int consecutive_failures_ = 0;
    std::map<EntryRef, Pending> entries_;  // not durable yet
    std::set<std::pair<Time, EntryRef>> wait_deadlines_;
    // Multigets with a durable intent and no outcome yet; the spill reserves space for each of their
    // outcomes.
    std::set<RecordNumber> open_multigets_;
    std::deque<EntryRef> store_queue_;
    std::deque<EntryRef> spill_queue_;
    Time batch_started_at_ = 0;
    std::optional<OutstandingWrite> outstanding_;
    std::vector<EntryRef> unreconciled_;
    // Number of entries still to be written one at a time, to find the one that made a batch fail.
    std::size_t single_writes_left_ = 0;
    std::size_t single_replays_left_ = 0;  // the same for entries of the spill
    std::optional<std::pair<BatchId, std::vector<EntryRef>>> spill_write_;
    bool spill_failing_ = false;
    Time spill_retry_at_ = 0;
    std::size_t spill_entries_ = 0;
    std::size_t spill_bytes_ = 0;
    std::size_t spill_pending_bytes_ = 0;  // bytes queued for the spill or being written to it
    BatchId last_batch_ = 0;
    Time scheduled_wake_ = 0;
    std::uint64_t unexpected_events_ = 0;
    std::vector<Action> actions_;
};

}  // namespace pinedoor::store
