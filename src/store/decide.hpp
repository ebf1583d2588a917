// Every decision about the store of record: which entry is written where and when, when a write is settled,
// when the store counts as slow or down, what is spilled, who is turned away and how long an answer waits. It
// does no I/O and knows no clock, thread or log: it is handed a time and events, and returns actions.
//
// The store's condition, and what is done with an entry that comes then:
//
//   condition | how it comes about            | intent without key | intent with key    | outcome
//   ----------+-------------------------------+--------------------+--------------------+---------
//   opening   | at the start                  | spill              | waits              | spill
//   up        | opened, or a slow write ended | store              | store              | store
//   slow      | a write is out for slow_after | spill              | waits              | spill
//   down      | a write or opening failed     | spill              | waits              | spill
//   up, while the spill holds entries         | spill              | waits              | spill
//
// An entry that waits does so within its share of the client's time; then its multiget is turned away, before
// any send. What waits for a store that failed to open again is turned away at once. A key is never judged
// without the store: only the store knows who else holds it.
//
// One write is out to the store at a time and one to the spill, with all that gathered meanwhile: groups grow
// as the store gets slower. A write whose end is not known is settled by asking for its entries by name
// before any other write; what is not there is written again, under the same name.
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

struct WriteTerms {
    std::size_t most_batch = 512;     // entries of one write
    std::size_t most_waiting = 8192;  // intents in memory that are not durable; further ones are turned away
    Time gather = 0;                  // a write is held back for so long after its first entry
    Time slow_after = 500;            // a write that is out for longer makes the store count as slow
    double intent_share = 0.5;        // of the time that a client has left, for its intent to become durable
    double answer_share = 0.25;  // likewise for the outcome of an answer, before the answer goes out anyway
    Time reopen_from = 500;      // between two tries to open, doubling up to reopen_to, each times 0.5 to 1
    Time reopen_to = 50'000;
    std::size_t spill_bytes = std::size_t{64}
                              << 20U;  // on disk, with room kept for the outcomes of what is open
    std::size_t outcome_room = 1024;   // kept in the spill for each open multiget's outcome
};

using RecordNumber = std::uint64_t;  // a record's, within the incarnation
struct EntryRef {
    enum class Kind : std::uint8_t { kIntent, kOutcome } kind = Kind::kIntent;
    RecordNumber number = 0;
    auto operator<=>(const EntryRef&) const = default;
};
using BatchId = std::uint64_t;

// What happens.
struct IntentSubmitted {  // a multiget must not be sent before its intent is durable
    RecordNumber number = 0;
    bool keyed = false;
    std::size_t bytes = 0;
    Time deadline = 0;
};
struct OutcomeSubmitted {  // its outcome is known; an answer is held by the carrier until Release
    RecordNumber number = 0;
    std::size_t bytes = 0;
    std::size_t bytes_without_answer = 0;
    bool answered = false;
    Time deadline = 0;
};
struct StoreOpened {};
struct StoreOpenFailed {};
struct ConnectionLost {};  // the connection to the store has ended, with no write out
struct WriteStored {       // a write or a settlement ended well; the refs whose key somebody else holds
    BatchId batch = 0;
    std::vector<EntryRef> held_elsewhere;
    std::vector<EntryRef> absent;  // after Settle: what the store does not have
};
struct WriteRejected {  // surely nothing of it is in the store
    BatchId batch = 0;
    bool entries_rejected = false;  // the store is well and will not have them
};
struct WriteUnknown {  // it may be in, or may come in yet
    BatchId batch = 0;
};
struct SpillWritten {
    BatchId batch = 0;
    bool ok = true;
};
struct SpillLevel {  // after each change: what is there and not yet in the store
    std::size_t entries = 0;
    std::size_t bytes = 0;
};
struct Tick {};
using Event = std::variant<IntentSubmitted, OutcomeSubmitted, StoreOpened, StoreOpenFailed, ConnectionLost,
                           WriteStored, WriteRejected, WriteUnknown, SpillWritten, SpillLevel, Tick>;

// What is done about it.
struct OpenStore {};
struct WriteBatch {  // to the store
    BatchId batch = 0;
    std::vector<EntryRef> refs;
};
struct ReconcileBatch {  // ask the store for them by name
    BatchId batch = 0;
    std::vector<EntryRef> refs;
};
struct ReplaySpill {  // write the spill's next entries to the store; ends like a Write
    BatchId batch = 0;
    std::size_t max_entries = 0;
};
struct SetAsideSpilled {
};                   // the store will not have the spill's next entry: it is set aside, kept for a person
struct WriteSpill {  // append to the spill and make it durable
    BatchId batch = 0;
    std::vector<EntryRef> refs;
};
struct Proceed {  // the intent is durable: the multiget may be sent
    RecordNumber number = 0;
};
enum class RejectReason : std::uint8_t { kStoreDown, kStoreSlow, kNoCapacity, kKeyHeld, kEntryRejected };
std::string_view name_of(RejectReason reason);
struct RejectMultiget {  // before any send; told at once
    RecordNumber number = 0;
    RejectReason reason = RejectReason::kStoreDown;
    bool may_be_stored = false;  // then a refusal is to be recorded as its outcome
    Time retry_after = 0;        // when asking again is worth it; 0: not known
};
struct ReleaseAnswer {  // the answer may go out
    RecordNumber number = 0;
    bool durable = false;
};
struct DropAnswer {  // the outcome must be kept without its answer: there is no room for it
    RecordNumber number = 0;
};
struct DiscardEntry {  // the entry is durable, or given up: its bytes are needed no more
    EntryRef ref;
    bool lost = false;  // the store will not have it: it stands nowhere
};
struct WakeAt {
    Time at = 0;
};
enum class Condition : std::uint8_t { kOpening, kUp, kSlow, kDown };
std::string_view name_of(Condition condition);
struct ConditionChanged {  // the condition has changed
    Condition condition = Condition::kOpening;
};
using Action =
    std::variant<OpenStore, WriteBatch, ReconcileBatch, ReplaySpill, SetAsideSpilled, WriteSpill, Proceed,
                 RejectMultiget, ReleaseAnswer, DropAnswer, DiscardEntry, WakeAt, ConditionChanged>;

class Recorder {
public:
    Recorder(std::uint64_t seed, WriteTerms terms)
        : config_(terms), rng_(static_cast<std::mt19937::result_type>(seed)) {}

    // Before start(): this process knows its incarnation, so what it spills can be named. Otherwise the store
    // tells it, and until then every intent waits like one with a key.
    void set_incarnation_known() { incarnation_known_ = true; }
    std::vector<Action> start(Time now);
    std::vector<Action> handle(Time now, const Event& event);

    Condition condition() const { return condition_; }
    std::size_t pending_entries() const { return entries_.size(); }
    std::size_t open_multigets() const { return open_multigets_.size(); }
    std::uint64_t unexpected_events() const {
        return unexpected_events_;
    }  // events that cannot happen, passed over

private:
    enum class StoreState : std::uint8_t {
        kQueued,
        kInWrite,
        kUnreconciled,
        kNone
    };  // on its way to the store
    enum class SpillState : std::uint8_t { kNone, kQueued, kInWrite };
    struct Pending {
        std::size_t bytes = 0;
        bool store_only =
            false;             // an intent with a key, or of a process without a name: the spill is no help
        bool awaited = false;  // somebody waits for it to become durable
        bool write_attempted = false;  // was part of a write to the store or the spill
        Time wait_deadline = 0;        // when what waits for it goes on without
        StoreState store_state = StoreState::kNone;
        SpillState spill_state = SpillState::kNone;
    };
    using EntryIter = std::map<EntryRef, Pending>::iterator;
    struct OutstandingWrite {  // a write
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

    bool writes_directly() const;  // plain entries go to the store
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

    const WriteTerms config_;
    std::mt19937 rng_;
    Time now_ = 0;
    Condition condition_ = Condition::kOpening;
    bool incarnation_known_ = false;
    bool opening_ = false;  // an Open is out
    Time reopen_at_ = 0;
    int consecutive_failures_ = 0;         // of opening or writing, since the last write that ended well
    std::map<EntryRef, Pending> entries_;  // not durable yet
    std::set<std::pair<Time, EntryRef>> wait_deadlines_;
    std::set<RecordNumber>
        open_multigets_;  // intents that are durable, without an outcome: each has room kept in the spill
    std::deque<EntryRef> store_queue_;
    std::deque<EntryRef> spill_queue_;
    Time batch_started_at_ = 0;
    std::optional<OutstandingWrite> outstanding_;
    std::vector<EntryRef> unreconciled_;
    std::size_t single_writes_left_ =
        0;  // so many entries more are written one by one, after a write with one at fault
    std::size_t single_replays_left_ = 0;  // likewise of the spill's
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
