// Health of one index server, as seen by this front node's attempts: its outstanding sends, its ejection,
// trial and return, its credit for further sends, and its slow start.
#pragma once

#include <map>

#include "policy/messages.hpp"
#include "policy/slow_start.hpp"

namespace pinedoor::policy {

struct OutstandingSend {
    Time sent_at = 0;
    Time overdue_at = 0;
    int call = 0;
    bool sample_posted = false;  // overload control has received a sample of this send
};

// The outstanding sends to one index server. Sends of one turn share a call up to the parts per call.
class OutstandingSends {
public:
    explicit OutstandingSends(int parts_per_call) : parts_per_call_(parts_per_call) {}

    void add(SendKey key, Time now, Time overdue_at);
    void remove(SendKey key);
    OutstandingSend* find(SendKey key);
    std::map<SendKey, OutstandingSend>& all() { return sends_; }
    bool empty() const { return sends_.empty(); }
    int parts() const { return static_cast<int>(sends_.size()); }
    int calls() const { return static_cast<int>(parts_of_call_.size()); }
    // When the oldest one was sent, but at most `otherwise`.
    Time oldest_sent_at(Time otherwise) const;

private:
    int join_call(Time now);

    const int parts_per_call_;
    std::map<SendKey, OutstandingSend> sends_;
    std::map<int, int> parts_of_call_;
    int call_ = 0;  // the call that sends of this turn may join
    int call_parts_ = 0;
    Time call_turn_ = -1;  // time of the turn in which the call was begun
};

class ServerHealth {
public:
    // `min_budget`: the shortest latency budget of all op types.
    ServerHealth(Inboxes& inboxes, ServerId id, ColdStartConfig cold_start, NodeConfig node, ShardRing ring,
                 Time connect_timeout, Time min_budget);

    void handle(const Tick&);
    void handle(const ListEntry& entry);
    void handle(const StartAttempt& attempt);
    void handle(const AnswerStats& stats);
    void handle(const ServerReport& report);
    void handle(const SendEnded& ended);

    bool is_removed() const { return entry_.state == ServerState::kGone && sends_.empty(); }
    ServerView view() const;

private:
    void on_ended(const SendEnded& ended, const OutstandingSend& send);
    void on_answer(const SendEnded& ended);
    void on_error(bool on_trial);
    void on_full(bool on_trial);
    void on_reset(bool on_trial, const OutstandingSend& send);
    void on_no_connection(const SendEnded& ended);
    void on_timeout(const SendEnded& ended, bool on_trial);
    // `is_lower_bound`: the send ended without an answer, which would have taken at least `latency`.
    void update_latency(Time latency, bool is_lower_bound);
    void check_silence();
    // Ejects the server and declares all its outstanding sends overdue.
    void eject_as_silent(const char* reason);
    void eject(HealthState state, const char* reason);
    void put_on_trial();
    void begin_slow_start(Time started_at);
    bool is_ejected() const { return health_ == HealthState::kEjected || health_ == HealthState::kFailing; }
    bool is_cold() const { return slow_start_.is_on(inboxes_.now); }
    ServerSnapshot snapshot() const;
    // Posts the changes of this server's state to the other modules.
    void publish();

    Inboxes& inboxes_;
    const ServerId id_;
    const Time connect_timeout_;
    const Time min_silence_;  // a shorter silence is never suspicious
    const Time ejection_time_;
    SlowStart slow_start_;
    OutstandingSends sends_;
    ListEntry entry_;
    ServerSnapshot published_;
    HealthState health_ = HealthState::kHealthy;
    Time ejected_until_ = 0;
    bool tried_by_others_ = false;  // while it is ejected, other front nodes try it
    Time last_contact_ = 0;         // last reply, or start of the trial
    Time max_silence_ = 0;          // a longer silence is suspicious
    Time recent_latency_ = 0;       // moving average of the latency, as of `latency_seen_at_`
    Time latency_seen_at_ = 0;
    Time last_lost_at_ = 0;    // when it last failed a send, or was found to leave one unanswered for good
    Time last_failed_at_ = 0;  // when it last left a send unanswered or failed one in any other way
    Time last_answered_at_ = 0;
    double error_rate_ = 0;  // moving average
    int fulls_in_a_row_ = 0;
    double credit_ = 0;
    AnswerStats stats_;
    bool reported_cold_ = false;  // as last reported to overload control
};

}  // namespace pinedoor::policy
