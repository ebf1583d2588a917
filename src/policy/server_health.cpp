#include "policy/server_health.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace pinedoor::policy {
namespace {

// A silence of this many mean latencies is suspicious. Under load all servers are slow, and second copies
// would make that worse.
constexpr double kSilenceFactor = 3.75;
constexpr double kErrorGain = 1.0 / 8;     // gain of the moving average of errors
constexpr double kMaxErrorRate = 1.0 / 5;  // exceeded by two errors in a row, which sound servers hardly show
constexpr double kInitialCredit = 2;
constexpr double kCreditPerAnswer = 1.0 / 4;
constexpr double kMaxCredit = 8;
constexpr int kFullsToEject = 3;          // in a row
constexpr double kMinLatencyGain = 0.25;  // minimum weight of the latest latency in the moving average

bool shows_overload(Outcome outcome) { return outcome == Outcome::kFull || outcome == Outcome::kTimedOut; }

}  // namespace

void OutstandingSends::add(SendKey key, Time now, Time overdue_at) {
    sends_[key] = {now, overdue_at, join_call(now), false};
}

void OutstandingSends::remove(SendKey key) {
    const auto found = sends_.find(key);
    if (found == sends_.end()) return;
    if (--parts_of_call_[found->second.call] == 0) parts_of_call_.erase(found->second.call);
    sends_.erase(found);
}

OutstandingSend* OutstandingSends::find(SendKey key) {
    const auto found = sends_.find(key);
    return found == sends_.end() ? nullptr : &found->second;
}

Time OutstandingSends::oldest_sent_at(Time otherwise) const {
    Time oldest = otherwise;
    for (const auto& [key, send] : sends_) oldest = std::min(oldest, send.sent_at);
    return oldest;
}

int OutstandingSends::join_call(Time now) {
    if (call_turn_ != now || call_parts_ >= parts_per_call_) {
        call_turn_ = now;
        call_parts_ = 0;
        ++call_;
    }
    ++call_parts_;
    ++parts_of_call_[call_];
    return call_;
}

ServerHealth::ServerHealth(Inboxes& inboxes, ServerId id, ColdStartConfig cold_start, NodeConfig node,
                           ShardRing ring, Time connect_timeout, Time min_budget)
    : inboxes_(inboxes), id_(id), connect_timeout_(connect_timeout), min_silence_(min_budget / 2),
      ejection_time_(min_budget), slow_start_(cold_start, node.front_nodes), sends_(ring.parts_per_call),
      max_silence_(min_silence_), credit_(kInitialCredit) {
    stats_.low_latency = static_cast<double>(min_budget) / 8;
}

void ServerHealth::handle(const Tick&) {
    if (is_ejected() && inboxes_.now >= ejected_until_ && !tried_by_others_) put_on_trial();
    slow_start_.accrue(inboxes_.now, stats_);
    check_silence();
    for (auto& [key, send] : sends_.all()) {
        if (inboxes_.now < send.overdue_at || std::exchange(send.sample_posted, true)) continue;
        if (health_ == HealthState::kHealthy) inboxes_.overload.push_back(OverloadSample{id_, true});
    }
    publish();
}

void ServerHealth::handle(const ListEntry& entry) {
    entry_ = entry;
    if (entry.started > slow_start_.started_at()) begin_slow_start(entry.started);
    publish();
}

void ServerHealth::handle(const StartAttempt& attempt) {
    sends_.add({attempt.part, attempt.send_number}, inboxes_.now, inboxes_.now + attempt.overdue_after);
    if (is_cold()) slow_start_.on_sent();
    if (attempt.is_retry) credit_ -= 1;
    inboxes_.actions.emplace_back(Send{attempt.part, id_, attempt.timeout, attempt.send_number});
    publish();
}

void ServerHealth::handle(const AnswerStats& stats) {
    stats_ = stats;
    max_silence_ = std::max(min_silence_, static_cast<Time>(kSilenceFactor * stats.mean_latency));
}

// Helps a node that sees little of a server, or has just started: the observations of others count where it
// has no later answer of its own, and while others try a server this node need not.
void ServerHealth::handle(const ServerReport& report) {
    slow_start_.set_others_rate(report.taken);
    tried_by_others_ = report.held;
    if (report.started > std::max(slow_start_.started_at(), last_answered_at_))
        begin_slow_start(report.started);
    if (report.aside && report.seen >= last_answered_at_ && !is_ejected()) eject_as_silent("told");
    publish();
}

void ServerHealth::handle(const SendEnded& ended) {
    const SendKey key{ended.part, ended.send};
    if (const auto* send = sends_.find(key)) {
        on_ended(ended, *send);
        sends_.remove(key);
    }
    inboxes_.requests.push_back(AttemptEnded{ended.part, ended.send, ended.outcome});
    publish();
}

ServerView ServerHealth::view() const {
    const bool suspected = health_ != HealthState::kHealthy;
    return {id_,
            suspected,
            last_failed_at_,
            last_answered_at_,
            is_cold() ? slow_start_.started_at() : 0,
            slow_start_.parts_sent(),
            sends_.parts()};
}

void ServerHealth::on_ended(const SendEnded& ended, const OutstandingSend& send) {
    const bool was_ejected = is_ejected();
    const bool on_trial = health_ == HealthState::kOnTrial;
    // A refusal by a full server is no contact: a hung server refuses too, once its queue is full.
    if (ended.outcome <= Outcome::kError) last_contact_ = inboxes_.now;
    switch (ended.outcome) {
        case Outcome::kReturned: on_answer(ended); break;
        case Outcome::kError: on_error(on_trial); break;
        case Outcome::kFull: on_full(on_trial); break;
        case Outcome::kReset: on_reset(on_trial, send); break;
        case Outcome::kNoConnection: on_no_connection(ended); break;
        case Outcome::kTimedOut: on_timeout(ended, on_trial); break;
        case Outcome::kCancelled: update_latency(ended.took, true); return;
        case Outcome::kNeverSent: return;
    }
    Time& evidence_at = ended.outcome == Outcome::kReturned ? last_answered_at_ : last_failed_at_;
    const bool no_reply = ended.outcome == Outcome::kTimedOut || ended.outcome == Outcome::kReset;
    // A send without reply counts from when it was sent, since the server may have answered others later. A
    // refusal as full is no evidence of a fault, only of the common load.
    if (ended.outcome != Outcome::kFull)
        evidence_at = std::max(evidence_at, no_reply ? send.sent_at : inboxes_.now);
    if (!send.sample_posted && !was_ejected && !(on_trial && ended.outcome == Outcome::kFull))
        inboxes_.overload.push_back(OverloadSample{id_, shows_overload(ended.outcome)});
}

void ServerHealth::on_answer(const SendEnded& ended) {
    error_rate_ -= error_rate_ * kErrorGain;
    fulls_in_a_row_ = 0;
    credit_ = std::min(kMaxCredit, credit_ + kCreditPerAnswer);
    inboxes_.overload.push_back(LatencySample{ended.took, !is_cold()});
    update_latency(ended.took, false);
    // An answer ends an ejection for silence; an ejection for errors ends only with time.
    if (health_ != HealthState::kFailing) health_ = HealthState::kHealthy;
}

void ServerHealth::on_error(bool on_trial) {
    error_rate_ += (1 - error_rate_) * kErrorGain;
    last_lost_at_ = inboxes_.now;
    credit_ = std::max(0.0, credit_ - 1);
    if (error_rate_ > kMaxErrorRate || on_trial) eject(HealthState::kFailing, "errors");
}

// The queue of a hung server fills up; after that it refuses at once, so that few sends are out at it.
void ServerHealth::on_full(bool on_trial) {
    credit_ = 0;
    if (++fulls_in_a_row_ >= kFullsToEject || on_trial) eject(HealthState::kEjected, "full");
}

// The server may still be alive. If it crashed it refuses the next part, which is sent alone.
void ServerHealth::on_reset(bool on_trial, const OutstandingSend& send) {
    credit_ = 0;
    if (on_trial && send.sent_at > last_contact_) eject(HealthState::kEjected, "reset");
    if (health_ == HealthState::kHealthy) put_on_trial();
}

// A process that was down comes back cold, whatever the list says. It refuses connections at once. Where the
// connect time-out passes instead, the network path is cut or slow, and the server may have stayed warm.
void ServerHealth::on_no_connection(const SendEnded& ended) {
    credit_ = 0;
    if (ended.took < connect_timeout_) begin_slow_start(inboxes_.now);
    eject(HealthState::kEjected, "no connection");
}

void ServerHealth::on_timeout(const SendEnded& ended, bool on_trial) {
    credit_ = std::max(0.0, credit_ - 1);
    update_latency(ended.took, true);
    if (on_trial) eject(HealthState::kEjected, "trial timed out");
}

void ServerHealth::update_latency(Time latency, bool is_lower_bound) {
    // The server answered sends made long after this one, and not this one: some parts it never answers.
    if (is_lower_bound && last_contact_ - (inboxes_.now - latency) > max_silence_)
        last_lost_at_ = inboxes_.now;
    const Time before = std::max<Time>(0, recent_latency_ - (inboxes_.now - latency_seen_at_));
    if (is_lower_bound && latency <= before) return;
    // Where answers are rare, the latest one replaces the average; where they are frequent they are smoothed.
    const auto rarity =
        static_cast<double>(inboxes_.now - latency_seen_at_) / static_cast<double>(ejection_time_);
    const double gain = std::clamp(rarity, kMinLatencyGain, 1.0);
    recent_latency_ = before + static_cast<Time>(static_cast<double>(latency - before) * gain);
    latency_seen_at_ = inboxes_.now;
}

// Detects a server that accepts parts and answers none, whatever the cause: a hang, a cut link, a lost zone,
// a suspended process. A live server with parts out answers often.
void ServerHealth::check_silence() {
    if (sends_.empty() || is_ejected()) return;
    const Time since = std::max(last_contact_, sends_.oldest_sent_at(inboxes_.now));
    if (inboxes_.now - since < max_silence_) return;
    last_failed_at_ = since;
    eject_as_silent("silence");
}

void ServerHealth::eject_as_silent(const char* reason) {
    eject(HealthState::kEjected, reason);
    for (const auto& [key, send] : sends_.all())
        inboxes_.requests.push_back(AttemptOverdue{key.first, key.second});
}

void ServerHealth::eject(HealthState state, const char* reason) {
    const auto line = "aside " + std::to_string(id_.address & 0xffffU) + ": " + reason;
    if (health_ == HealthState::kHealthy) inboxes_.actions.emplace_back(LogLine{line});
    health_ = state;
    error_rate_ = 0;
    ejected_until_ = inboxes_.now + ejection_time_ + inboxes_.random_up_to(ejection_time_ / 2);
}

void ServerHealth::put_on_trial() {
    health_ = HealthState::kOnTrial;
    last_contact_ = inboxes_.now;
}

void ServerHealth::begin_slow_start(Time started_at) {
    slow_start_.begin(started_at, inboxes_.now, inboxes_.random_fraction());
}

ServerSnapshot ServerHealth::snapshot() const {
    ServerSnapshot made{id_, entry_.place, entry_.state == ServerState::kReady, is_removed(), health_};
    made.calls_out = sends_.calls();
    made.parts_out = sends_.parts();
    made.free_slots = inboxes_.fleet_quota.room(inboxes_.now, sends_.parts());
    made.credit = credit_;
    made.recent_latency = recent_latency_;
    made.latency_seen_at = latency_seen_at_;
    made.last_lost_at = last_lost_at_;
    made.oldest_sent_at =
        sends_.empty() || is_ejected() ? 0 : sends_.oldest_sent_at(std::numeric_limits<Time>::max());
    if (is_cold()) {
        made.free_slots = std::min(made.free_slots, slow_start_.free_slots());
        made.next_slot_at = slow_start_.next_slot_at();
    }
    // A server on trial gets one part at a time; a cancelled part decides nothing. The same holds for an
    // ejected server, which is used where no other replica is left: this shows early that a stall of many is
    // over.
    const bool one_part_only = health_ == HealthState::kOnTrial || health_ == HealthState::kEjected;
    if (one_part_only) made.free_slots = std::min(made.free_slots, sends_.empty() ? 1 : 0);
    return made;
}

void ServerHealth::publish() {
    const bool cold = is_cold() && entry_.state == ServerState::kReady;
    if (std::exchange(reported_cold_, cold) != cold)
        inboxes_.overload.push_back(SlowStartChange{cold ? 1 : -1});
    inboxes_.set_active(id_, !sends_.empty() || is_ejected() || is_cold());
    const auto made = snapshot();
    if (made == published_) return;
    published_ = made;
    inboxes_.snapshots.push_back(made);
}

}  // namespace pinedoor::policy
