#include "store/decide.hpp"

#include <algorithm>
#include <array>
#include <cassert>

namespace pinedoor::store {
namespace {

using Kind = EntryRef::Kind;

Time share_of(double share, Time now, Time deadline) {
    return now + static_cast<Time>(share * static_cast<double>(std::max<Time>(0, deadline - now)));
}

bool contains(const std::vector<EntryRef>& sorted, const EntryRef& ref) {
    return std::binary_search(sorted.begin(), sorted.end(), ref);
}

}  // namespace

std::string_view name_of(RejectReason reason) {
    constexpr std::array<std::string_view, 5> kNames{"store away", "store slow", "no room", "key held",
                                                     "entry refused"};
    return kNames.at(static_cast<std::size_t>(reason));
}

std::string_view name_of(Condition condition) {
    constexpr std::array<std::string_view, 4> kNames{"opening", "up", "slow", "down"};
    return kNames.at(static_cast<std::size_t>(condition));
}

std::vector<Action> Recorder::start(Time now) {
    reopen_at_ = now;
    return run_turn(now);
}

std::vector<Action> Recorder::handle(Time now, const Event& event) {
    now_ = std::max(now_, now);
    std::visit([this](const auto& each) { on(each); }, event);
    return run_turn(now);
}

std::vector<Action> Recorder::run_turn(Time now) {
    now_ = std::max(now_, now);
    if (condition_ == Condition::kUp && outstanding_ && now_ >= outstanding_->slow_at) {
        set_condition(Condition::kSlow);
        spill_waiting();
    }
    expire_waits();
    start_store_write();
    start_spill_write();
    schedule_wake();
    return std::exchange(actions_, {});
}

bool Recorder::expect(bool condition_met) {
    assert(condition_met);
    if (!condition_met) ++unexpected_events_;
    return condition_met;
}

// --- Events ---

void Recorder::on(const IntentSubmitted& submitted) {
    const EntryRef ref{Kind::kIntent, submitted.number};
    if (!expect(!entries_.contains(ref))) return;
    if (entries_.size() >= config_.max_pending) {
        actions_.emplace_back(
            RejectMultiget{submitted.number, RejectReason::kNoCapacity, false, retry_advice()});
        actions_.emplace_back(DiscardEntry{ref, false});
        return;
    }
    Pending pending;
    pending.bytes = submitted.bytes;
    pending.store_only = submitted.keyed || !incarnation_known_;
    pending.awaited = true;
    pending.wait_deadline = share_of(config_.intent_share, now_, submitted.deadline);
    wait_deadlines_.emplace(pending.wait_deadline, ref);
    route(entries_.emplace(ref, pending).first);
}

void Recorder::on(const OutcomeSubmitted& submitted) {
    const EntryRef ref{Kind::kOutcome, submitted.number};
    if (!expect(!entries_.contains(ref))) return;
    open_multigets_.erase(submitted.number);
    Pending pending;
    pending.bytes = submitted.bytes;
    const auto unreserved =
        config_.spill_bytes - std::min(config_.spill_bytes, spill_bytes_ + spill_pending_bytes_);
    if (!writes_directly() && submitted.bytes > submitted.bytes_without_answer &&
        submitted.bytes > spill_free_bytes() && submitted.bytes_without_answer <= unreserved) {
        pending.bytes = submitted.bytes_without_answer;
        actions_.emplace_back(DropAnswer{submitted.number});
    }
    if (submitted.answered) {
        pending.awaited = true;
        pending.wait_deadline = share_of(config_.answer_share, now_, submitted.deadline);
        wait_deadlines_.emplace(pending.wait_deadline, ref);
    }
    route(entries_.emplace(ref, pending).first);
}

void Recorder::on(const StoreOpened&) {
    if (!expect(opening_)) return;
    opening_ = false;
    incarnation_known_ = true;
    set_condition(Condition::kUp);
    if (!spill_failing_) return;
    // The spill cannot be written, but the store is available again: it takes the entries queued for the
    // spill.
    for (const auto& ref : std::exchange(spill_queue_, {})) {
        const auto entry = entries_.find(ref);
        if (entry == entries_.end() || entry->second.spill_state != SpillState::kQueued) continue;
        entry->second.spill_state = SpillState::kNone;
        spill_pending_bytes_ -= entry->second.bytes;
        if (entry->second.store_state == StoreState::kNone) queue_for_store(entry);
    }
}

void Recorder::on(const StoreOpenFailed&) {
    if (!expect(opening_)) return;
    opening_ = false;
    mark_down();
    reject_store_only();
}

void Recorder::on(const ConnectionLost&) {
    if (condition_ == Condition::kDown || condition_ == Condition::kOpening) return;
    mark_down();
}

void Recorder::on(const WriteStored& stored) {
    const auto outstanding = take_outstanding(stored.batch);
    if (!outstanding) return;
    consecutive_failures_ = 0;
    if (condition_ == Condition::kSlow) set_condition(Condition::kUp);
    if (outstanding->kind == OutstandingWrite::Kind::kReplay) {
        single_replays_left_ -= std::min<std::size_t>(single_replays_left_, 1);
        return;
    }
    if (outstanding->kind == OutstandingWrite::Kind::kReconcile) unreconciled_.clear();
    finish_write(*outstanding, stored);
}

void Recorder::finish_write(const OutstandingWrite& outstanding, const WriteStored& stored) {
    auto held_elsewhere = stored.held_elsewhere;
    auto absent = stored.absent;
    std::sort(held_elsewhere.begin(), held_elsewhere.end());
    std::sort(absent.begin(), absent.end());
    for (auto each = outstanding.refs.rbegin(); each != outstanding.refs.rend(); ++each) {
        const auto entry = entries_.find(*each);
        if (entry == entries_.end()) continue;  // durable through the spill, or rejected meanwhile
        if (contains(absent, *each)) {
            entry->second.store_state = StoreState::kNone;
            if (entry->second.spill_state == SpillState::kNone) queue_for_store(entry, true);
        }
    }
    for (const auto& ref : outstanding.refs) {
        const auto entry = entries_.find(ref);
        if (entry == entries_.end() || contains(absent, ref)) continue;
        if (contains(held_elsewhere, ref)) {
            entry->second.store_state = StoreState::kNone;
            // Another record holds the key, so this intent was not stored.
            entry->second.write_attempted = false;
            if (entry->second.awaited)
                reject(ref.number, RejectReason::kKeyHeld);
            else
                discard(entry);
        } else {
            on_durable(ref);
        }
    }
}

void Recorder::on(const WriteRejected& rejected) {
    const auto outstanding = take_outstanding(rejected.batch);
    if (!outstanding) return;
    const bool alone = outstanding->refs.size() == 1;
    if (rejected.entries_rejected && outstanding->kind == OutstandingWrite::Kind::kReplay) {
        if (condition_ == Condition::kSlow) set_condition(Condition::kUp);
        if (single_replays_left_ > 0) {
            --single_replays_left_;
            actions_.emplace_back(SetAsideSpilled{});
        } else {
            single_replays_left_ = config_.max_batch;
        }
        return;
    }
    for (auto each = outstanding->refs.rbegin();
         each != outstanding->refs.rend() && outstanding->kind == OutstandingWrite::Kind::kWrite; ++each) {
        const auto entry = entries_.find(*each);
        if (entry == entries_.end()) continue;
        entry->second.store_state = StoreState::kNone;
        const bool needed = each->kind == Kind::kOutcome || entry->second.awaited;
        if (entry->second.spill_state != SpillState::kNone) continue;
        if (!needed) {
            discard(entry);
        } else if (rejected.entries_rejected && alone) {
            entry->second.write_attempted = false;
            if (each->kind == Kind::kIntent) {
                reject(each->number, RejectReason::kEntryRejected);
            } else {
                if (entry->second.awaited) actions_.emplace_back(ReleaseAnswer{each->number, false});
                discard(entry, true);
            }
        } else {
            queue_for_store(entry, true);
        }
    }
    if (rejected.entries_rejected) {
        if (condition_ == Condition::kSlow) set_condition(Condition::kUp);
        if (!alone) single_writes_left_ = outstanding->refs.size();
        return;
    }
    // The store opens but cannot write; do not try again at once.
    ++consecutive_failures_;
    mark_down();
    reject_store_only();
}

void Recorder::on(const WriteUnknown& unknown) {
    const auto outstanding = take_outstanding(unknown.batch);
    if (!outstanding) return;
    for (const auto& ref : outstanding->refs) {
        const auto entry = entries_.find(ref);
        if (entry == entries_.end() || outstanding->kind != OutstandingWrite::Kind::kWrite) continue;
        if (ref.kind == Kind::kIntent && !entry->second.awaited &&
            entry->second.spill_state == SpillState::kNone) {
            discard(entry);  // a refusal follows, which holds whether or not this intent was stored
            continue;
        }
        entry->second.store_state = StoreState::kUnreconciled;
        unreconciled_.push_back(ref);
        if (!entry->second.store_only && entry->second.spill_state == SpillState::kNone)
            queue_for_spill(entry);
    }
    mark_down();
}

void Recorder::on(const SpillWritten& spilled) {
    if (!expect(spill_write_ && spill_write_->first == spilled.batch)) return;
    const auto refs = std::move(spill_write_->second);
    spill_write_.reset();
    spill_failing_ = !spilled.ok;
    if (spill_failing_) spill_retry_at_ = now_ + config_.min_reopen_delay;
    for (const auto& ref : refs) {
        const auto entry = entries_.find(ref);
        if (entry == entries_.end()) continue;
        if (spilled.ok) {
            on_durable(ref);
            continue;
        }
        entry->second.spill_state = SpillState::kNone;
        spill_pending_bytes_ -= entry->second.bytes;
        if (entry->second.store_state != StoreState::kNone) continue;
        if (ref.kind == Kind::kIntent && !entry->second.awaited)
            discard(entry);  // rejected meanwhile; a refusal follows
        else
            route(entry);
    }
}

void Recorder::on(const SpillLevel& level) {
    spill_entries_ = level.entries;
    spill_bytes_ = level.bytes;
}

// --- Routing ---

// Also true when only a few spilled entries are left: new entries then wait for the last replay. If they were
// spilled too, the replay would never end.
bool Recorder::writes_directly() const {
    return condition_ == Condition::kUp && unreconciled_.empty() &&
           spill_entries_ + spill_queue_.size() + (spill_write_ ? spill_write_->second.size() : 0) <=
               config_.max_batch;
}

std::size_t Recorder::spill_free_bytes() const {
    const auto used = spill_bytes_ + spill_pending_bytes_ + open_multigets_.size() * config_.outcome_reserve;
    return config_.spill_bytes - std::min(config_.spill_bytes, used);
}

void Recorder::route(EntryIter entry) {
    const auto [ref, pending] = *entry;
    if (pending.store_only || writes_directly()) return queue_for_store(entry);
    const bool is_intent = ref.kind == Kind::kIntent;
    const auto needed = pending.bytes + (is_intent ? config_.outcome_reserve : 0);
    const bool fits = is_intent ? needed <= spill_free_bytes()
                                : spill_bytes_ + spill_pending_bytes_ + needed <= config_.spill_bytes;
    if (fits && spill_usable()) return queue_for_spill(entry);
    // With the spill full or failing, the store is the only destination left.
    if (condition_ == Condition::kUp || !is_intent) return queue_for_store(entry);
    reject(ref.number, fits ? RejectReason::kStoreDown : RejectReason::kNoCapacity);
}

void Recorder::queue_for_store(EntryIter entry, bool front) {
    if (store_queue_.empty()) batch_started_at_ = now_;
    entry->second.store_state = StoreState::kQueued;
    if (front)
        store_queue_.push_front(entry->first);
    else
        store_queue_.push_back(entry->first);
}

void Recorder::queue_for_spill(EntryIter entry) {
    entry->second.spill_state = SpillState::kQueued;
    spill_pending_bytes_ += entry->second.bytes;
    spill_queue_.push_back(entry->first);
}

// The store is slow or down: also spills the entries without a key that are queued for it or being written.
void Recorder::spill_waiting() {
    if (!spill_usable()) return;
    std::vector<EntryRef> refs(store_queue_.begin(), store_queue_.end());
    if (outstanding_) refs.insert(refs.end(), outstanding_->refs.begin(), outstanding_->refs.end());
    for (const auto& ref : refs) {
        const auto entry = entries_.find(ref);
        if (entry == entries_.end() || entry->second.store_only ||
            entry->second.spill_state != SpillState::kNone)
            continue;
        if (ref.kind == Kind::kIntent && !entry->second.awaited) continue;
        if (spill_bytes_ + spill_pending_bytes_ + entry->second.bytes > config_.spill_bytes) continue;
        if (entry->second.store_state == StoreState::kQueued) entry->second.store_state = StoreState::kNone;
        queue_for_spill(entry);
    }
}

// --- Completion ---

void Recorder::on_durable(EntryRef ref) {
    const auto entry = entries_.find(ref);
    const bool awaited = entry->second.awaited;
    if (awaited && ref.kind == Kind::kIntent) {
        open_multigets_.insert(ref.number);
        actions_.emplace_back(Proceed{ref.number});
    } else if (awaited) {
        actions_.emplace_back(ReleaseAnswer{ref.number, true});
    }
    discard(entry);
}

void Recorder::discard(EntryIter entry, bool lost) {
    const auto& [ref, pending] = *entry;
    wait_deadlines_.erase({pending.wait_deadline, ref});
    if (pending.spill_state != SpillState::kNone) spill_pending_bytes_ -= pending.bytes;
    actions_.emplace_back(DiscardEntry{ref, lost});
    entries_.erase(entry);
}

void Recorder::reject(RecordNumber number, RejectReason reason) {
    const auto entry = entries_.find({Kind::kIntent, number});
    auto& pending = entry->second;
    actions_.emplace_back(RejectMultiget{number, reason, pending.write_attempted, retry_advice()});
    wait_deadlines_.erase({pending.wait_deadline, entry->first});
    pending.awaited = false;
    const bool write_in_progress =
        pending.store_state == StoreState::kInWrite || pending.spill_state == SpillState::kInWrite;
    if (!write_in_progress) discard(entry);
}

// The time until the next attempt to open, or until a slow store may have recovered.
Time Recorder::retry_advice() const {
    return std::max(config_.min_reopen_delay,
                    condition_ == Condition::kDown ? reopen_at_ - now_ : config_.slow_after);
}

void Recorder::reject_store_only() {
    std::vector<EntryRef> rejected;
    for (const auto& [ref, pending] : entries_) {
        if (pending.store_only && pending.awaited) rejected.push_back(ref);
    }
    for (const auto& ref : rejected) reject(ref.number, RejectReason::kStoreDown);
}

void Recorder::expire_waits() {
    while (!wait_deadlines_.empty() && wait_deadlines_.begin()->first <= now_) {
        const auto ref = wait_deadlines_.begin()->second;
        if (ref.kind == Kind::kIntent) {
            reject(ref.number,
                   condition_ == Condition::kDown ? RejectReason::kStoreDown : RejectReason::kStoreSlow);
            continue;
        }
        wait_deadlines_.erase(wait_deadlines_.begin());
        entries_.at(ref).awaited = false;
        actions_.emplace_back(ReleaseAnswer{ref.number, false});
    }
}

// --- Condition of the store ---

void Recorder::set_condition(Condition condition) {
    if (condition_ == condition) return;
    condition_ = condition;
    actions_.emplace_back(ConditionChanged{condition});
}

void Recorder::mark_down() {
    const auto exponent = std::min(consecutive_failures_ - 1, 20);
    const auto delay = consecutive_failures_ == 0
                           ? 0
                           : std::min(config_.max_reopen_delay, config_.min_reopen_delay << exponent);
    ++consecutive_failures_;
    const double jitter =
        0.5 + 0.5 * (static_cast<double>(rng_()) / static_cast<double>(std::mt19937::max()));
    reopen_at_ = now_ + static_cast<Time>(jitter * static_cast<double>(delay));
    set_condition(Condition::kDown);
    spill_waiting();
}

std::optional<Recorder::OutstandingWrite> Recorder::take_outstanding(BatchId batch) {
    if (!expect(outstanding_ && outstanding_->batch == batch)) return std::nullopt;
    return std::exchange(outstanding_, std::nullopt);
}

// --- Writes ---

BatchId Recorder::start_store_work(OutstandingWrite::Kind kind, std::vector<EntryRef> refs) {
    outstanding_ = OutstandingWrite{++last_batch_, std::move(refs), now_ + config_.slow_after, kind};
    return last_batch_;
}

void Recorder::start_store_write() {
    if ((condition_ == Condition::kDown || condition_ == Condition::kOpening) && !opening_ && !outstanding_ &&
        now_ >= reopen_at_) {
        opening_ = true;
        actions_.emplace_back(OpenStore{});
    }
    if (condition_ != Condition::kUp || outstanding_) return;
    std::erase_if(unreconciled_, [this](const EntryRef& ref) { return !entries_.contains(ref); });
    if (!unreconciled_.empty()) {
        actions_.emplace_back(ReconcileBatch{
            start_store_work(OutstandingWrite::Kind::kReconcile, unreconciled_), unreconciled_});
    } else if (spill_entries_ > 0) {
        // Replay comes before new writes: the spill may hold the outcome of a key that a queued intent
        // claims.
        actions_.emplace_back(ReplaySpill{start_store_work(OutstandingWrite::Kind::kReplay, {}),
                                          single_replays_left_ > 0 ? 1 : config_.max_batch});
    } else if (auto refs = next_store_batch(); !refs.empty()) {
        for (const auto& ref : refs) {
            auto& pending = entries_.at(ref);
            pending.store_state = StoreState::kInWrite;
            pending.write_attempted = true;
        }
        actions_.emplace_back(WriteBatch{start_store_work(OutstandingWrite::Kind::kWrite, refs), refs});
    }
}

std::vector<EntryRef> Recorder::next_store_batch() {
    // Entries that were rejected or spilled are still queued; skip them.
    while (!store_queue_.empty()) {
        const auto entry = entries_.find(store_queue_.front());
        if (entry != entries_.end() && entry->second.store_state == StoreState::kQueued) break;
        store_queue_.pop_front();
    }
    const bool ready = store_queue_.size() >= config_.max_batch || single_writes_left_ > 0;
    if (!ready && now_ < batch_started_at_ + config_.gather) return {};
    std::vector<EntryRef> refs;
    const auto max_entries = single_writes_left_ > 0 ? 1 : config_.max_batch;
    single_writes_left_ -= std::min<std::size_t>(single_writes_left_, 1);
    while (refs.size() < max_entries && !store_queue_.empty()) {
        const auto ref = store_queue_.front();
        store_queue_.pop_front();
        const auto entry = entries_.find(ref);
        if (entry == entries_.end() || entry->second.store_state != StoreState::kQueued) continue;
        entry->second.store_state = StoreState::kInWrite;  // a second occurrence in the queue is skipped
        refs.push_back(ref);
    }
    batch_started_at_ = now_;
    return refs;
}

void Recorder::start_spill_write() {
    if (spill_write_ || spill_queue_.empty() || !spill_usable()) return;
    std::vector<EntryRef> refs;
    while (refs.size() < config_.max_batch && !spill_queue_.empty()) {
        const auto entry = entries_.find(spill_queue_.front());
        spill_queue_.pop_front();
        if (entry == entries_.end() || entry->second.spill_state != SpillState::kQueued) continue;
        entry->second.spill_state = SpillState::kInWrite;
        entry->second.write_attempted = true;
        refs.push_back(entry->first);
    }
    if (refs.empty()) return;
    spill_write_ = {++last_batch_, refs};
    actions_.emplace_back(WriteSpill{last_batch_, std::move(refs)});
}

void Recorder::schedule_wake() {
    Time wake_at = INT64_MAX;
    if ((condition_ == Condition::kDown || condition_ == Condition::kOpening) && !opening_ && !outstanding_)
        wake_at = std::min(wake_at, reopen_at_);
    if (condition_ == Condition::kUp && outstanding_) wake_at = std::min(wake_at, outstanding_->slow_at);
    if (condition_ == Condition::kUp && !outstanding_ && !store_queue_.empty())
        wake_at = std::min(wake_at, batch_started_at_ + config_.gather);
    if (spill_failing_ && !spill_queue_.empty()) wake_at = std::min(wake_at, spill_retry_at_);
    if (!wait_deadlines_.empty()) wake_at = std::min(wake_at, wait_deadlines_.begin()->first);
    if (wake_at == INT64_MAX || wake_at == scheduled_wake_) return;
    scheduled_wake_ = wake_at;
    actions_.emplace_back(WakeAt{wake_at});
}

}  // namespace pinedoor::store
