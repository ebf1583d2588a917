#include "store/decide.hpp"

#include <algorithm>
#include <array>
#include <cassert>

namespace pinedoor::store {
namespace {

using Half = Ref::Half;

Time share_of(double share, Time now, Time not_after) {
    return now + static_cast<Time>(share * static_cast<double>(std::max<Time>(0, not_after - now)));
}

bool holds(const std::vector<Ref>& sorted, const Ref& ref) {
    return std::binary_search(sorted.begin(), sorted.end(), ref);
}

}  // namespace

std::string_view name_of(Why why) {
    constexpr std::array<std::string_view, 5> kNames{"store away", "store slow", "no room", "key held",
                                                     "entry refused"};
    return kNames.at(static_cast<std::size_t>(why));
}

std::string_view name_of(Condition condition) {
    constexpr std::array<std::string_view, 4> kNames{"opening", "up", "slow", "down"};
    return kNames.at(static_cast<std::size_t>(condition));
}

std::vector<Action> Recorder::start(Time now) {
    reopen_at_ = now;
    return step(now);
}

std::vector<Action> Recorder::take(Time now, const Event& event) {
    now_ = std::max(now_, now);
    std::visit([this](const auto& what) { on(what); }, event);
    return step(now);
}

std::vector<Action> Recorder::step(Time now) {
    now_ = std::max(now_, now);
    if (condition_ == Condition::kUp && out_ && now_ >= out_->slow_at) {
        go(Condition::kSlow);
        spill_what_waits();
    }
    give_up_overdue();
    begin_writes();
    begin_spill();
    set_wake();
    return std::exchange(actions_, {});
}

bool Recorder::can_happen(bool holds) {
    assert(holds);
    if (!holds) ++impossible_;
    return holds;
}

// --- What comes in ---

void Recorder::on(const Wanted& wanted) {
    const Ref ref{Half::kIntent, wanted.number};
    if (!can_happen(!entries_.contains(ref))) return;
    if (entries_.size() >= terms_.most_waiting) {
        actions_.emplace_back(TurnAway{wanted.number, Why::kNoRoom, false, advice()});
        actions_.emplace_back(Forget{ref, false});
        return;
    }
    Held held;
    held.bytes = wanted.bytes;
    held.store_only = wanted.keyed || !named_;
    held.awaited = true;
    held.give_up = share_of(terms_.intent_share, now_, wanted.not_after);
    waits_.emplace(held.give_up, ref);
    place(entries_.emplace(ref, held).first);
}

void Recorder::on(const Over& over) {
    const Ref ref{Half::kOutcome, over.number};
    if (!can_happen(!entries_.contains(ref))) return;
    open_.erase(over.number);
    Held held;
    held.bytes = over.bytes;
    const auto unreserved = terms_.spill_bytes - std::min(terms_.spill_bytes, spill_bytes_ + spill_pending_);
    if (!direct() && over.bytes > over.bytes_without_answer && over.bytes > spill_room() &&
        over.bytes_without_answer <= unreserved) {
        held.bytes = over.bytes_without_answer;
        actions_.emplace_back(DropAnswer{over.number});
    }
    if (over.answered) {
        held.awaited = true;
        held.give_up = share_of(terms_.answer_share, now_, over.not_after);
        waits_.emplace(held.give_up, ref);
    }
    place(entries_.emplace(ref, held).first);
}

void Recorder::on(const Opened&) {
    if (!can_happen(opening_)) return;
    opening_ = false;
    named_ = true;
    go(Condition::kUp);
    if (!spill_fails_) return;
    // The spill cannot be written: what gathered for it goes to the store that is back.
    for (const auto& ref : std::exchange(for_spill_, {})) {
        const auto at = entries_.find(ref);
        if (at == entries_.end() || at->second.spill != Spill::kQueued) continue;
        at->second.spill = Spill::kNo;
        spill_pending_ -= at->second.bytes;
        if (at->second.place == Place::kNowhere) queue_for_store(at);
    }
}

void Recorder::on(const OpenFailed&) {
    if (!can_happen(opening_)) return;
    opening_ = false;
    go_down();
    turn_store_only_away();
}

void Recorder::on(const Lost&) {
    if (condition_ == Condition::kDown || condition_ == Condition::kOpening) return;
    go_down();
}

void Recorder::on(const Stored& stored) {
    const auto out = take_out(stored.batch);
    if (!out) return;
    failures_ = 0;
    if (condition_ == Condition::kSlow) go(Condition::kUp);
    if (out->kind == Out::Kind::kReplay) {
        replay_singly_ -= std::min<std::size_t>(replay_singly_, 1);
        return;
    }
    if (out->kind == Out::Kind::kSettle) unsettled_.clear();
    end_write(*out, stored);
}

void Recorder::end_write(const Out& out, const Stored& stored) {
    auto held = stored.held;
    auto absent = stored.absent;
    std::sort(held.begin(), held.end());
    std::sort(absent.begin(), absent.end());
    for (auto each = out.refs.rbegin(); each != out.refs.rend(); ++each) {
        const auto at = entries_.find(*each);
        if (at == entries_.end()) continue;  // durable by way of the spill, or turned away
        if (holds(absent, *each)) {
            at->second.place = Place::kNowhere;
            if (at->second.spill == Spill::kNo) queue_for_store(at, true);
        }
    }
    for (const auto& ref : out.refs) {
        const auto at = entries_.find(ref);
        if (at == entries_.end() || holds(absent, ref)) continue;
        if (holds(held, ref)) {
            at->second.place = Place::kNowhere;
            at->second.touched = false;  // somebody else's: nothing of this one is in the store
            if (at->second.awaited)
                turn_away(ref.number, Why::kKeyHeld);
            else
                drop(at);
        } else {
            durable(ref);
        }
    }
}

void Recorder::on(const Refused& refused) {
    const auto out = take_out(refused.batch);
    if (!out) return;
    const bool alone = out->refs.size() == 1;
    if (refused.entries_at_fault && out->kind == Out::Kind::kReplay) {
        if (condition_ == Condition::kSlow) go(Condition::kUp);
        if (replay_singly_ > 0) {
            --replay_singly_;
            actions_.emplace_back(Skip{});
        } else {
            replay_singly_ = terms_.most_batch;
        }
        return;
    }
    for (auto each = out->refs.rbegin(); each != out->refs.rend() && out->kind == Out::Kind::kWrite; ++each) {
        const auto at = entries_.find(*each);
        if (at == entries_.end()) continue;
        at->second.place = Place::kNowhere;
        const bool wanted = each->half == Half::kOutcome || at->second.awaited;
        if (at->second.spill != Spill::kNo) continue;
        if (!wanted) {
            drop(at);
        } else if (refused.entries_at_fault && alone) {
            at->second.touched = false;
            if (each->half == Half::kIntent) {
                turn_away(each->number, Why::kEntryRefused);
            } else {
                if (at->second.awaited) actions_.emplace_back(Release{each->number, false});
                drop(at, true);
            }
        } else {
            queue_for_store(at, true);
        }
    }
    if (refused.entries_at_fault) {
        if (condition_ == Condition::kSlow) go(Condition::kUp);
        if (!alone) singly_ = out->refs.size();
        return;
    }
    ++failures_;  // it opens well and takes nothing: no second try at once
    go_down();
    turn_store_only_away();
}

void Recorder::on(const Unsure& unsure) {
    const auto out = take_out(unsure.batch);
    if (!out) return;
    for (const auto& ref : out->refs) {
        const auto at = entries_.find(ref);
        if (at == entries_.end() || out->kind != Out::Kind::kWrite) continue;
        if (ref.half == Half::kIntent && !at->second.awaited && at->second.spill == Spill::kNo) {
            drop(at);  // its refusal is on the way, which stands whether this one comes in or not
            continue;
        }
        at->second.place = Place::kUnsettled;
        unsettled_.push_back(ref);
        if (!at->second.store_only && at->second.spill == Spill::kNo) queue_for_spill(at);
    }
    go_down();
}

void Recorder::on(const Spilled& spilled) {
    if (!can_happen(spilling_ && spilling_->first == spilled.batch)) return;
    const auto refs = std::move(spilling_->second);
    spilling_.reset();
    spill_fails_ = !spilled.good;
    if (spill_fails_) spill_again_at_ = now_ + terms_.reopen_from;
    for (const auto& ref : refs) {
        const auto at = entries_.find(ref);
        if (at == entries_.end()) continue;
        if (spilled.good) {
            durable(ref);
            continue;
        }
        at->second.spill = Spill::kNo;
        spill_pending_ -= at->second.bytes;
        if (at->second.place != Place::kNowhere) continue;
        if (ref.half == Half::kIntent && !at->second.awaited)
            drop(at);  // turned away meanwhile, with a refusal of its own
        else
            place(at);
    }
}

void Recorder::on(const SpillHolds& holds) {
    spill_entries_ = holds.entries;
    spill_bytes_ = holds.bytes;
}

// --- Where an entry goes ---

// Nearly caught up counts: what comes now waits for the last replay instead of keeping it going for ever.
bool Recorder::direct() const {
    return condition_ == Condition::kUp && unsettled_.empty() &&
           spill_entries_ + for_spill_.size() + (spilling_ ? spilling_->second.size() : 0) <=
               terms_.most_batch;
}

std::size_t Recorder::spill_room() const {
    const auto used = spill_bytes_ + spill_pending_ + open_.size() * terms_.outcome_room;
    return terms_.spill_bytes - std::min(terms_.spill_bytes, used);
}

void Recorder::place(At at) {
    const auto [ref, held] = *at;
    if (held.store_only || direct()) return queue_for_store(at);
    const bool intent = ref.half == Half::kIntent;
    const auto needed = held.bytes + (intent ? terms_.outcome_room : 0);
    const bool fits =
        intent ? needed <= spill_room() : spill_bytes_ + spill_pending_ + needed <= terms_.spill_bytes;
    if (fits && spill_usable()) return queue_for_spill(at);
    // With the spill full or failing the store alone is left, if it takes anything.
    if (condition_ == Condition::kUp || !intent) return queue_for_store(at);
    turn_away(ref.number, fits ? Why::kStoreAway : Why::kNoRoom);
}

void Recorder::queue_for_store(At at, bool first) {
    if (for_store_.empty()) gathering_since_ = now_;
    at->second.place = Place::kQueued;
    if (first)
        for_store_.push_front(at->first);
    else
        for_store_.push_back(at->first);
}

void Recorder::queue_for_spill(At at) {
    at->second.spill = Spill::kQueued;
    spill_pending_ += at->second.bytes;
    for_spill_.push_back(at->first);
}

// The store does not answer in time: what is plain and waits for it goes to the spill as well.
void Recorder::spill_what_waits() {
    if (!spill_usable()) return;
    std::vector<Ref> refs(for_store_.begin(), for_store_.end());
    if (out_) refs.insert(refs.end(), out_->refs.begin(), out_->refs.end());
    for (const auto& ref : refs) {
        const auto at = entries_.find(ref);
        if (at == entries_.end() || at->second.store_only || at->second.spill != Spill::kNo) continue;
        if (ref.half == Half::kIntent && !at->second.awaited) continue;
        if (spill_bytes_ + spill_pending_ + at->second.bytes > terms_.spill_bytes) continue;
        if (at->second.place == Place::kQueued) at->second.place = Place::kNowhere;
        queue_for_spill(at);
    }
}

// --- What becomes of those who wait ---

void Recorder::durable(Ref ref) {
    const auto at = entries_.find(ref);
    const bool awaited = at->second.awaited;
    if (awaited && ref.half == Half::kIntent) {
        open_.insert(ref.number);
        actions_.emplace_back(Proceed{ref.number});
    } else if (awaited) {
        actions_.emplace_back(Release{ref.number, true});
    }
    drop(at);
}

void Recorder::drop(At at, bool lost) {
    const auto& [ref, held] = *at;
    waits_.erase({held.give_up, ref});
    if (held.spill != Spill::kNo) spill_pending_ -= held.bytes;
    actions_.emplace_back(Forget{ref, lost});
    entries_.erase(at);
}

void Recorder::turn_away(Number number, Why why) {
    const auto at = entries_.find({Half::kIntent, number});
    auto& held = at->second;
    actions_.emplace_back(TurnAway{number, why, held.touched, advice()});
    waits_.erase({held.give_up, at->first});
    held.awaited = false;
    const bool on_its_way = held.place == Place::kInWrite || held.spill == Spill::kInWrite;
    if (!on_its_way) drop(at);
}

// When the store is tried next, or a slow one may have caught up.
Time Recorder::advice() const {
    return std::max(terms_.reopen_from,
                    condition_ == Condition::kDown ? reopen_at_ - now_ : terms_.slow_after);
}

void Recorder::turn_store_only_away() {
    std::vector<Ref> away;
    for (const auto& [ref, held] : entries_) {
        if (held.store_only && held.awaited) away.push_back(ref);
    }
    for (const auto& ref : away) turn_away(ref.number, Why::kStoreAway);
}

void Recorder::give_up_overdue() {
    while (!waits_.empty() && waits_.begin()->first <= now_) {
        const auto ref = waits_.begin()->second;
        if (ref.half == Half::kIntent) {
            turn_away(ref.number, condition_ == Condition::kDown ? Why::kStoreAway : Why::kStoreSlow);
            continue;
        }
        waits_.erase(waits_.begin());
        entries_.at(ref).awaited = false;
        actions_.emplace_back(Release{ref.number, false});
    }
}

// --- The store's condition ---

void Recorder::go(Condition condition) {
    if (condition_ == condition) return;
    condition_ = condition;
    actions_.emplace_back(Now{condition});
}

void Recorder::go_down() {
    const auto step = std::min(failures_ - 1, 20);
    const auto wait = failures_ == 0 ? 0 : std::min(terms_.reopen_to, terms_.reopen_from << step);
    ++failures_;
    const double spread =
        0.5 + 0.5 * (static_cast<double>(chance_()) / static_cast<double>(std::mt19937::max()));
    reopen_at_ = now_ + static_cast<Time>(spread * static_cast<double>(wait));
    go(Condition::kDown);
    spill_what_waits();
}

std::optional<Recorder::Out> Recorder::take_out(Batch batch) {
    if (!can_happen(out_ && out_->batch == batch)) return std::nullopt;
    return std::exchange(out_, std::nullopt);
}

// --- Writes ---

Batch Recorder::begin(Out::Kind kind, std::vector<Ref> refs) {
    out_ = Out{++last_batch_, std::move(refs), now_ + terms_.slow_after, kind};
    return last_batch_;
}

void Recorder::begin_writes() {
    if ((condition_ == Condition::kDown || condition_ == Condition::kOpening) && !opening_ && !out_ &&
        now_ >= reopen_at_) {
        opening_ = true;
        actions_.emplace_back(Open{});
    }
    if (condition_ != Condition::kUp || out_) return;
    std::erase_if(unsettled_, [this](const Ref& ref) { return !entries_.contains(ref); });
    if (!unsettled_.empty()) {
        actions_.emplace_back(Settle{begin(Out::Kind::kSettle, unsettled_), unsettled_});
    } else if (spill_entries_ > 0) {
        // First of all: an outcome in the spill may be that of a key which is asked for now.
        actions_.emplace_back(
            Replay{begin(Out::Kind::kReplay, {}), replay_singly_ > 0 ? 1 : terms_.most_batch});
    } else if (auto refs = gather_for_store(); !refs.empty()) {
        for (const auto& ref : refs) {
            auto& held = entries_.at(ref);
            held.place = Place::kInWrite;
            held.touched = true;
        }
        actions_.emplace_back(Write{begin(Out::Kind::kWrite, refs), refs});
    }
}

std::vector<Ref> Recorder::gather_for_store() {
    while (!for_store_.empty()) {  // what was turned away or went to the spill leaves its place in the queue
        const auto at = entries_.find(for_store_.front());
        if (at != entries_.end() && at->second.place == Place::kQueued) break;
        for_store_.pop_front();
    }
    const bool enough = for_store_.size() >= terms_.most_batch || singly_ > 0;
    if (!enough && now_ < gathering_since_ + terms_.gather) return {};
    std::vector<Ref> refs;
    const auto most = singly_ > 0 ? 1 : terms_.most_batch;
    singly_ -= std::min<std::size_t>(singly_, 1);
    while (refs.size() < most && !for_store_.empty()) {
        const auto ref = for_store_.front();
        for_store_.pop_front();
        const auto at = entries_.find(ref);
        if (at == entries_.end() || at->second.place != Place::kQueued) continue;
        at->second.place = Place::kInWrite;  // so that a second mention in the queue is passed over
        refs.push_back(ref);
    }
    gathering_since_ = now_;
    return refs;
}

void Recorder::begin_spill() {
    if (spilling_ || for_spill_.empty() || !spill_usable()) return;
    std::vector<Ref> refs;
    while (refs.size() < terms_.most_batch && !for_spill_.empty()) {
        const auto at = entries_.find(for_spill_.front());
        for_spill_.pop_front();
        if (at == entries_.end() || at->second.spill != Spill::kQueued) continue;
        at->second.spill = Spill::kInWrite;
        at->second.touched = true;
        refs.push_back(at->first);
    }
    if (refs.empty()) return;
    spilling_ = {++last_batch_, refs};
    actions_.emplace_back(SpillOut{last_batch_, std::move(refs)});
}

void Recorder::set_wake() {
    Time at = INT64_MAX;
    if ((condition_ == Condition::kDown || condition_ == Condition::kOpening) && !opening_ && !out_)
        at = std::min(at, reopen_at_);
    if (condition_ == Condition::kUp && out_) at = std::min(at, out_->slow_at);
    if (condition_ == Condition::kUp && !out_ && !for_store_.empty())
        at = std::min(at, gathering_since_ + terms_.gather);
    if (spill_fails_ && !for_spill_.empty()) at = std::min(at, spill_again_at_);
    if (!waits_.empty()) at = std::min(at, waits_.begin()->first);
    if (at == INT64_MAX || at == woken_at_) return;
    woken_at_ = at;
    actions_.emplace_back(Wake{at});
}

}  // namespace pinedoor::store
