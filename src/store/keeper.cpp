#include "store/keeper.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <filesystem>
#include <random>

namespace pinedoor::store {
namespace {

using service::Acceptance;
using service::Level;
using service::MultigetResult;

// Distinguishes the tickets of this class from those of the exchange.
constexpr service::Ticket kOwnTicketBit = service::Ticket{1} << 63U;
constexpr std::size_t kMaxSpillJobs = 8;
constexpr Time kFinishTimeout = 5'000;
constexpr Time kDeregisterTimeout = 1'000;
constexpr Time kDay = 864'000'000;

std::string make_process_token() {
    std::random_device device;
    std::array<char, 17> hex{};
    std::snprintf(hex.data(), hex.size(), "%08x%08x", device(), device());
    return hex.data();
}

}  // namespace

RecordKeeper::RecordKeeper(net::Scheduler& scheduler, service::RequestHandler& inner, service::Log& log,
                           StoreConfig store_config, RecordKeeperConfig config, std::uint64_t seed,
                           std::unique_ptr<Backend> backend, std::unique_ptr<Files> files)
    : scheduler_(scheduler), inner_(inner), log_(log), store_config_(std::move(store_config)),
      config_(std::move(config)), files_(std::move(files)), recorder_(seed, store_config_.write),
      process_token_(make_process_token()),
      spill_(std::make_shared<Spill>(*files_, store_config_.folder, store_config_.spill_file_bytes)),
      backend_(std::move(backend)), spill_thread_(scheduler, kMaxSpillJobs), waiter_(scheduler) {}

// --- Start and end ---

void RecordKeeper::start() {
    std::error_code error;
    std::filesystem::create_directories(store_config_.folder, error);
    if (error)
        throw StoreFolderError("store.folder: cannot create '" + store_config_.folder +
                               "': " + error.message());
    lock_file_ = net::Fd(open((store_config_.folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (!lock_file_ || flock(lock_file_.get(), LOCK_EX | LOCK_NB) != 0) {
        throw StoreFolderError("store.folder: '" + store_config_.folder +
                               "' is in use by another process; each front node needs a folder of its own");
    }
    load_incarnation();
    recover_spill();
    backend_->on_lost([this] { dispatch(ConnectionLost{}); });
    task_ = run();
    task_.start([this](std::exception_ptr failure) {
        if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

// Each start takes the number after the one in the folder, so it rises whatever the clock does. With a new
// folder the store assigns the number.
void RecordKeeper::load_incarnation() {
    const auto file = files_->open(store_config_.folder + "/incarnation");
    const auto text = file ? file->read_all() : std::nullopt;
    if (!text) throw StoreFolderError("store.folder: cannot read '" + store_config_.folder + "/incarnation'");
    if (text->empty()) return;
    std::uint64_t previous = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), previous);
    if (error != std::errc{} || std::string_view(end) != std::string_view("\n") || previous == 0) {
        throw StoreFolderError(
            "store.folder: '" + store_config_.folder +
            "/incarnation' does not contain a number; remove it, and the store will assign the next one");
    }
    incarnation_ = previous + 1;
    recorder_.set_incarnation_known();
    if (!replace_file(*files_, store_config_.folder, "incarnation", std::to_string(incarnation_) + '\n'))
        throw StoreFolderError("store.folder: cannot write '" + store_config_.folder + "/incarnation'");
}

void RecordKeeper::recover_spill() {
    const auto recovered = spill_->recover();
    if (!recovered.usable) throw StoreFolderError("store.folder: the spill: " + recovered.error);
    spill_level_ = {spill_->entries(), spill_->bytes()};
    if (spill_level_.entries > 0 || recovered.torn_bytes > 0 || recovered.corrupt_regions > 0) {
        log_.event(recovered.corrupt_regions > 0 ? Level::kError : Level::kInfo, "spill_recovered",
                   "recovered " + std::to_string(spill_level_.entries) + " entries from the spill",
                   {{"entries", std::to_string(spill_level_.entries)},
                    {"torn_bytes", std::to_string(recovered.torn_bytes)},
                    {"corrupt_places", std::to_string(recovered.corrupt_regions)},
                    {"corrupt_bytes", std::to_string(recovered.corrupt_bytes)}});
    }
}

net::Task RecordKeeper::run() {
    dispatch(spill_level_);
    for (const auto& action : recorder_.start(scheduler_.now()))
        std::visit([this](const auto& each) { execute(each); }, action);
    while (!finished_) {
        const auto now = scheduler_.now();
        if (now >= wake_at_) {
            wake_at_ = net::kNever;
            dispatch(Tick{});
        }
        if (now >= maintain_at_) maintain();
        if (finishing_ && !deregistering_ &&
            ((entries_.empty() && multigets_.empty()) || now >= finish_deadline_)) {
            deregistering_ = true;
            if (!entries_.empty()) {
                log_.event(Level::kWarning, "records_unsaved",
                           std::to_string(entries_.size()) + " entries are not durable at shutdown");
            }
            finish_deadline_ = now + kDeregisterTimeout;
            backend_->deregister(kDeregisterTimeout, [this] {
                finished_ = true;
                waiter_.signal();
            });
        }
        if (deregistering_ && now >= finish_deadline_) finished_ = true;
        Time wake_at = std::min(wake_at_, maintain_at_);
        if (finishing_) wake_at = std::min(wake_at, finish_deadline_);
        if (!finished_) co_await waiter_.wait(0, wake_at);
    }
}

void RecordKeeper::finish() {
    if (finishing_) return;
    finishing_ = true;
    finish_deadline_ = scheduler_.clock() + kFinishTimeout;
    waiter_.signal();
}

void RecordKeeper::maintain() {
    const auto now = scheduler_.now();
    maintain_at_ = now + std::min(store_config_.keep.every, store_config_.lease / 4);
    if (maintaining_ || deregistering_ || recorder_.condition() != Condition::kUp) return;
    maintaining_ = true;
    const Time delete_before = store_config_.keep.days > 0 ? now - store_config_.keep.days * kDay : 0;
    backend_->maintain(delete_before, store_config_.keep.step, [this](std::size_t deleted) {
        maintaining_ = false;
        counters_.pruned_records += deleted;
    });
}

// Handles events one after the other: an event caused by an action is queued until the current turn is over.
void RecordKeeper::dispatch(Event event) {
    events_.push_back(std::move(event));
    if (dispatching_) return;
    dispatching_ = true;
    while (!events_.empty()) {
        const auto next = std::move(events_.front());
        events_.pop_front();
        for (const auto& action : recorder_.handle(scheduler_.now(), next))
            std::visit([this](const auto& each) { execute(each); }, action);
    }
    dispatching_ = false;
    if (finishing_) waiter_.signal();
}

// --- Clients ---

service::SubmitResult RecordKeeper::ask(service::MultigetRequest request,
                                        std::function<void(MultigetResult)> on_ended) {
    const auto op_type = static_cast<std::size_t>(request.op_type);
    if (!config_.recorded[op_type] && request.key.empty())
        return inner_.ask(std::move(request), std::move(on_ended));
    if (const auto acceptance = inner_.check_acceptance(request.name); acceptance != Acceptance::kTaken)
        return {acceptance, 0};
    if (pending_names_.contains(request.name)) return {Acceptance::kNameInUse, 0};
    const auto number = ++last_number_;
    auto& multiget = multigets_[number];
    multiget.intent = {
        {config_.node, incarnation_, number},
        config_.op_types[op_type],
        config_.tenants.empty() ? "" : config_.tenants[static_cast<std::size_t>(request.tenant)],
        request.name,
        request.key,
        request.fingerprint,
        scheduler_.now(),
        request.not_after,
        static_cast<std::uint32_t>(request.parts.size())};
    multiget.request = std::move(request);
    multiget.request.tells_parts = true;
    multiget.on_ended = std::move(on_ended);
    pending_names_.insert(multiget.request.name);
    ++counters_.intents;
    const auto entry = std::make_shared<const Entry>(multiget.intent);
    entries_[{EntryRef::Kind::kIntent, number}] = entry;
    crash_points_.pass("asked");
    dispatch(IntentSubmitted{number, !multiget.intent.key.empty(), frame_payload(encode(*entry)).size(),
                             multiget.intent.deadline});
    return {Acceptance::kTaken, kOwnTicketBit | number};
}

PartOutcomes RecordKeeper::leave(service::Ticket ticket) {
    if ((ticket & kOwnTicketBit) == 0) return inner_.leave(ticket);
    const auto at = multigets_.find(ticket & ~kOwnTicketBit);
    if (at == multigets_.end()) return {};
    auto& multiget = at->second;
    multiget.on_ended = nullptr;
    // Its intent is being written, and nothing was sent; or its outcome is, and what ran is known.
    if (multiget.inner_ticket == 0) return multiget.ending.parts;
    const auto parts = inner_.leave(std::exchange(multiget.inner_ticket, 0));
    const auto finished = std::move(multiget);
    multigets_.erase(at);
    record_outcome(finished, outcome_without_answer(parts), parts, "client left", {}, false);
    return parts;
}

void RecordKeeper::execute(const Proceed& proceed) {
    const auto at = multigets_.find(proceed.number);
    if (at == multigets_.end()) return;
    auto& multiget = at->second;
    pending_names_.erase(multiget.request.name);
    multiget.proceeded = true;
    crash_points_.pass("intent_durable");
    if (!multiget.on_ended) {
        const auto finished = std::move(multiget);
        multigets_.erase(at);
        return record_outcome(finished, OutcomeKind::kRefused, {}, "client left before any send", {}, false);
    }
    const auto number = proceed.number;
    const auto [acceptance, ticket] =
        inner_.ask(std::move(multiget.request),
                   [this, number](MultigetResult ending) { on_exchange_ended(number, std::move(ending)); });
    crash_points_.pass("handed_over");
    if (acceptance == Acceptance::kTaken) {
        if (const auto current = multigets_.find(number);
            current != multigets_.end() && current->second.proceeded)
            current->second.inner_ticket = ticket;
        return;
    }
    MultigetResult pushed_back;
    pushed_back.kind = MultigetResult::Kind::kPushedBack;
    on_exchange_ended(number, std::move(pushed_back));
}

void RecordKeeper::on_exchange_ended(RecordNumber number, MultigetResult ending) {
    const auto at = multigets_.find(number);
    if (at == multigets_.end()) return;
    auto& multiget = at->second;
    multiget.inner_ticket = 0;
    crash_points_.pass("outcome_known");
    if (ending.kind == MultigetResult::Kind::kAnswered) {
        auto body = service::answer_body(ending);
        if (body.size() > store_config_.largest_answer) {
            ++counters_.answers_not_kept;
            body.clear();
        }
        const auto parts = ending.parts;
        const auto outcome_kind = ending.whole ? OutcomeKind::kAnswered : OutcomeKind::kAnsweredInPart;
        multiget.ending = std::move(ending);
        return record_outcome(multiget, outcome_kind, parts, {}, std::move(body), true);
    }
    // A refusal or a failure is delivered at once, without waiting for its record.
    const auto finished = std::move(multiget);
    multigets_.erase(at);
    const auto parts = ending.parts;
    auto outcome_kind =
        ending.kind == MultigetResult::Kind::kPushedBack ? OutcomeKind::kRefused : OutcomeKind::kFailed;
    const bool has_key = !finished.intent.key.empty();
    if (has_key && outcome_kind == OutcomeKind::kRefused) {
        outcome_kind = outcome_without_answer(parts);
        if (outcome_kind == OutcomeKind::kFailed) fail_refusal(ending);
    }
    if (finished.on_ended) finished.on_ended(std::move(ending));
    record_outcome(finished, outcome_kind, parts, {}, {}, false);
}

// A refusal invites a retry, but under a key that may have run, the retry would not run.
void RecordKeeper::fail_refusal(MultigetResult& ending) {
    ++counters_.refusals_failed;
    ending.kind = MultigetResult::Kind::kFailed;
    ending.wait = 0;
    ending.told = "a part of the request may have run; it is not run again under this Idempotency-Key";
}

void RecordKeeper::record_outcome(const PendingMultiget& multiget, OutcomeKind outcome_kind,
                                  const PartOutcomes& parts, std::string note, std::string answer,
                                  bool answered) {
    const auto& intent = multiget.intent;
    Outcome outcome{intent.id,
                    intent.tenant,
                    intent.key,
                    outcome_kind,
                    frees_key(outcome_kind, parts),
                    scheduler_.now(),
                    format_part_outcomes(parts),
                    std::move(note),
                    {}};
    const auto without_answer = frame_payload(encode(outcome)).size();
    outcome.answer = std::move(answer);
    const auto bytes = without_answer + outcome.answer.size();
    entries_[{EntryRef::Kind::kOutcome, intent.id.number}] =
        std::make_shared<const Entry>(std::move(outcome));
    ++counters_.outcomes;
    dispatch(OutcomeSubmitted{intent.id.number, bytes, without_answer, answered, intent.deadline});
}

void RecordKeeper::execute(const DropAnswer& drop) {
    auto& entry = entries_.at({EntryRef::Kind::kOutcome, drop.number});
    auto without_answer = std::get<Outcome>(*entry);
    without_answer.answer.clear();
    entry = std::make_shared<const Entry>(std::move(without_answer));
    ++counters_.answers_not_kept;
}

void RecordKeeper::execute(const ReleaseAnswer& release) {
    const auto at = multigets_.find(release.number);
    if (at == multigets_.end()) return;
    auto multiget = std::move(at->second);
    multigets_.erase(at);
    if (!release.durable) ++counters_.answers_before_record;
    crash_points_.pass(release.durable ? "outcome_durable" : "answer_before_record");
    if (multiget.on_ended) multiget.on_ended(std::move(multiget.ending));
    crash_points_.pass("answered");
}

void RecordKeeper::execute(const RejectMultiget& rejection) {
    const auto at = multigets_.find(rejection.number);
    if (at == multigets_.end()) return;
    const auto multiget = std::move(at->second);
    multigets_.erase(at);
    pending_names_.erase(multiget.request.name);
    auto ending = rejection_ending(multiget, rejection);
    held_claims_.erase(rejection.number);
    if (multiget.on_ended) multiget.on_ended(std::move(ending));
    if (rejection.may_be_stored && rejection.reason != RejectReason::kKeyHeld)
        record_outcome(multiget, OutcomeKind::kRefused, {}, std::string(name_of(rejection.reason)), {},
                       false);
}

MultigetResult RecordKeeper::rejection_ending(const PendingMultiget& multiget,
                                              const RejectMultiget& rejection) {
    MultigetResult ending;
    ending.kind = MultigetResult::Kind::kPushedBack;
    ending.wait = std::min(rejection.retry_after, config_.max_retry_after);
    const auto claim = held_claims_.find(rejection.number);
    if (rejection.reason != RejectReason::kKeyHeld || claim == held_claims_.end()) {
        ++counters_.rejected_multigets;
        return ending;
    }
    const auto& holder = claim->second.holder;
    switch (judge_repeat(holder, multiget.intent.fingerprint)) {
        case RepeatVerdict::kAnswer:
            ++counters_.recorded_answers;
            ending.kind = MultigetResult::Kind::kRecorded;
            ending.told = holder.answer;
            break;
        case RepeatVerdict::kAnswerNotKept:
            ++counters_.recorded_answers;
            ending.kind = MultigetResult::Kind::kFailed;
            ending.told = "answered before; the answer was not kept, and it is not run again";
            break;
        case RepeatVerdict::kInProgress:
            ++counters_.conflicts;
            ending.kind = MultigetResult::Kind::kUnderWay;
            ending.told = "a request of this Idempotency-Key is under way";
            break;
        case RepeatVerdict::kDifferentBody:
            ++counters_.conflicts;
            ending.kind = MultigetResult::Kind::kOtherBody;
            ending.told = "this Idempotency-Key was used for another request";
            break;
        case RepeatVerdict::kInDoubt:
            ++counters_.in_doubt_answers;
            ending.kind = MultigetResult::Kind::kFailed;
            ending.told = "in doubt: the first request may have run, and is not run again";
            break;
        case RepeatVerdict::kFailed:
            ending.kind = MultigetResult::Kind::kFailed;
            ending.told = "the first request failed, and is not run again";
            break;
    }
    return ending;
}

// --- The store ---

void RecordKeeper::execute(const OpenStore&) {
    backend_->open({config_.node, incarnation_, process_token_, !incarnation_used_},
                   [this](Backend::OpenResult result) { on_store_opened(result); });
}

void RecordKeeper::on_store_opened(const Backend::OpenResult& result) {
    if (!result.good) {
        if (result.why != last_error_) {
            log_.event(result.schema_error ? Level::kError : Level::kWarning, "store_open_failed",
                       "cannot open the store: " + result.why);
        }
        last_error_ = result.why;
        return dispatch(StoreOpenFailed{});
    }
    if (result.incarnation != incarnation_ && incarnation_used_) {
        // Entries were spilled under a number that belongs to another process; the next attempt to open fails
        // with that reason.
        last_error_ = "the incarnation belongs to another process";
        return dispatch(StoreOpenFailed{});
    }
    last_error_.clear();
    ++counters_.store_opens;
    maintain_at_ = 0;
    waiter_.signal();
    if (result.incarnation == incarnation_) return dispatch(StoreOpened{});
    // The incarnation is used only once the folder has it: the next process must take a higher number.
    auto ok = std::make_shared<bool>(false);
    run_on_spill_thread(
        [this, ok, text = std::to_string(result.incarnation) + '\n'](Spill&) {
            *ok = replace_file(*files_, store_config_.folder, "incarnation", text);
        },
        [this, ok, incarnation = result.incarnation] {
            if (!*ok) {
                log_.event(Level::kError, "incarnation_unsaved",
                           "cannot write '" + store_config_.folder + "/incarnation'");
                return dispatch(StoreOpenFailed{});
            }
            incarnation_ = incarnation;
            for (auto& [number, multiget] : multigets_) {  // multigets that wait for an incarnation
                if (multiget.proceeded) continue;
                multiget.intent.id.incarnation = incarnation;
                entries_[{EntryRef::Kind::kIntent, number}] = std::make_shared<const Entry>(multiget.intent);
            }
            dispatch(StoreOpened{});
        });
}

Entries RecordKeeper::entries_of(const EntryRefs& refs) const {
    Entries entries;
    for (const auto& ref : refs) entries.push_back(entries_.at(ref));
    return entries;
}

void RecordKeeper::execute(const WriteBatch& write) {
    ++counters_.writes;
    incarnation_used_ = true;
    counters_.entries_written += write.refs.size();
    crash_points_.pass("before_write");
    backend_->write(entries_of(write.refs),
                    [this, batch = write.batch, refs = write.refs](Backend::WriteResult result) {
                        on_written(batch, refs, result);
                    });
}

void RecordKeeper::execute(const ReconcileBatch& reconcile) {
    ++counters_.reconciled_writes;
    backend_->reconcile(entries_of(reconcile.refs),
                        [this, batch = reconcile.batch, refs = reconcile.refs](Backend::WriteResult result) {
                            on_written(batch, refs, result);
                        });
}

void RecordKeeper::on_written(BatchId batch, const EntryRefs& refs, const Backend::WriteResult& result) {
    if (result.end != Backend::End::kStored) return report_write_failure(batch, result);
    crash_points_.pass("after_write");
    WriteStored stored{batch, {}, {}};
    for (std::size_t i = 0; i < refs.size(); ++i) {
        if (result.claims[i].kind == Claim::Kind::kHeld) {
            held_claims_[refs[i].number] = result.claims[i];
            stored.held_elsewhere.push_back(refs[i]);
        } else if (!result.present.empty() && !result.present[i]) {
            stored.absent.push_back(refs[i]);
        }
    }
    dispatch(std::move(stored));
}

void RecordKeeper::report_write_failure(BatchId batch, const Backend::WriteResult& result) {
    if (result.error != last_error_) {
        log_.event(Level::kWarning, "store_write_failed", "a write to the store failed: " + result.error,
                   {{"known", result.end == Backend::End::kUnknown ? "no" : "yes"}});
    }
    last_error_ = result.error;
    switch (result.end) {
        case Backend::End::kUnknown: ++counters_.unknown_writes; return dispatch(WriteUnknown{batch});
        case Backend::End::kEntriesRejected:
            ++counters_.rejected_writes;
            return dispatch(WriteRejected{batch, true});
        case Backend::End::kRejected:
            ++counters_.rejected_writes;
            return dispatch(WriteRejected{batch, false});
        case Backend::End::kStored: break;
    }
    dispatch(WriteStored{batch, {}, {}});
}

// --- The spill ---

// The number of queued jobs is bounded: one append, one replay step, one set-aside and one incarnation file.
template <class Job>
void RecordKeeper::run_on_spill_thread(Job job, std::function<void()> on_done) {
    auto level = std::make_shared<SpillLevel>(spill_level_);
    const bool submitted = spill_thread_.submit(
        [job, level, spill = spill_] {
            job(*spill);
            *level = {spill->entries(), spill->bytes()};
        },
        [this, level, on_done] {
            if (level->entries != spill_level_.entries || level->bytes != spill_level_.bytes) {
                spill_level_ = *level;
                dispatch(spill_level_);
            }
            on_done();
        });
    if (!submitted)
        scheduler_.defer(on_done);  // the queue is full: `on_done` finds no result, which counts as a failure
}

void RecordKeeper::execute(const WriteSpill& write) {
    std::vector<std::string> payloads;
    for (const auto& ref : write.refs) payloads.push_back(encode(*entries_.at(ref)));
    incarnation_used_ = true;
    counters_.spilled_entries += payloads.size();
    auto ok = std::make_shared<bool>(false);
    run_on_spill_thread([ok, payloads = std::move(payloads)](Spill& to) { *ok = to.append(payloads); },
                        [this, ok, batch = write.batch] {
                            if (!*ok) {
                                ++counters_.spill_failures;
                                log_.event(Level::kError, "spill_failed",
                                           "cannot write the spill in " + store_config_.folder);
                            }
                            dispatch(SpillWritten{batch, *ok});
                        });
}

void RecordKeeper::execute(const ReplaySpill& replay) {
    auto entries = std::make_shared<Entries>();
    run_on_spill_thread(
        [entries, max_entries = replay.max_entries](Spill& spill) {
            for (auto& entry : spill.next(max_entries))
                entries->push_back(std::make_shared<const Entry>(std::move(entry)));
        },
        [this, entries, batch = replay.batch] {
            if (entries->empty())
                return report_write_failure(batch,
                                            {Backend::End::kRejected, {}, {}, "cannot read the spill"});
            backend_->write(*entries, [this, batch, count = entries->size()](Backend::WriteResult result) {
                on_spill_replayed(batch, count, result);
            });
        });
}

void RecordKeeper::on_spill_replayed(BatchId batch, std::size_t count, const Backend::WriteResult& result) {
    if (result.end != Backend::End::kStored) return report_write_failure(batch, result);
    counters_.replayed_entries += count;
    run_on_spill_thread([count](Spill& spill) { spill.done(count); },
                        [this, batch] {
                            dispatch(WriteStored{batch, {}, {}});
                        });
}

void RecordKeeper::execute(const SetAsideSpilled&) {
    ++counters_.set_aside_entries;
    log_.event(Level::kError, "entry_set_aside",
               "the store rejected an entry of the spill; the entry was moved to " + store_config_.folder +
                   "/refused.journal");
    run_on_spill_thread([](Spill& spill) { spill.set_aside_front(); }, [] {});
}

// --- Other actions ---

void RecordKeeper::execute(const DiscardEntry& discard) {
    if (discard.lost) {
        ++counters_.lost_entries;
        log_.event(Level::kError, "entry_refused", "the store rejected an entry; the entry is not recorded",
                   {{"number", std::to_string(discard.ref.number)}});
    }
    entries_.erase(discard.ref);
}

void RecordKeeper::execute(const WakeAt& wake) {
    wake_at_ = wake.at;
    waiter_.signal();
}

void RecordKeeper::execute(const ConditionChanged& change) {
    log_.event(change.condition == Condition::kUp ? Level::kInfo : Level::kWarning, "store_condition",
               "the store is " + std::string(name_of(change.condition)),
               {{"spill", std::to_string(spill_level_.entries)}});
}

std::string RecordKeeper::print_gauges() const {
    std::string out;
    const auto add = [&out](std::string_view name, std::uint64_t value) {
        service::append_line(out, name, value);
    };
    add("store_condition", static_cast<std::uint64_t>(recorder_.condition()));
    add("store_incarnation", incarnation_);
    add("store_opened", counters_.store_opens);
    add("store_writes", counters_.writes);
    add("store_entries_written", counters_.entries_written);
    add("store_writes_unsure", counters_.unknown_writes);
    add("store_writes_refused", counters_.rejected_writes);
    add("store_settled", counters_.reconciled_writes);
    add("store_pruned", counters_.pruned_records);
    add("records_begun", counters_.intents);
    add("records_ended", counters_.outcomes);
    add("records_open", recorder_.open_multigets());
    add("records_in_memory", entries_.size());
    add("records_turned_away", counters_.rejected_multigets);
    add("records_lost", counters_.lost_entries);
    add("answers_before_record", counters_.answers_before_record);
    add("answers_not_kept", counters_.answers_not_kept);
    add("keys_answered_again", counters_.recorded_answers);
    add("keys_in_conflict", counters_.conflicts);
    add("keys_in_doubt", counters_.in_doubt_answers);
    add("keys_refusals_failed", counters_.refusals_failed);
    add("spill_entries", spill_level_.entries);
    add("spill_bytes", spill_level_.bytes);
    add("spill_appended", counters_.spilled_entries);
    add("spill_replayed", counters_.replayed_entries);
    add("spill_failures", counters_.spill_failures);
    add("spill_set_aside", counters_.set_aside_entries);
    add("store_impossible", recorder_.unexpected_events());
    return out;
}

}  // namespace pinedoor::store
