// The life of a request (multiget): selects the parts that are sent, decides on retries and second copies,
// and gives the one final answer.
#pragma once

#include <vector>

#include "policy/admission.hpp"
#include "policy/deadly_keys.hpp"
#include "policy/messages.hpp"
#include "policy/repeat_guess.hpp"
#include "policy/replica_choice.hpp"
#include "policy/request_state.hpp"
#include "policy/retry_budget.hpp"

namespace pinedoor::policy {

class RequestLifecycle {
public:
    RequestLifecycle(Inboxes& inboxes, std::vector<OpType> op_types, ShardRing ring, SendConfig sends,
                     FurtherSendConfig further, ClientConfig clients, Time turn);

    bool idle() const { return requests_.empty(); }
    std::vector<DeadlyKey> deadly_keys() const { return deadly_keys_.own(); }

    void handle(const DeadlyKey& key) { deadly_keys_.add(key, false); }
    void handle(const ServerSnapshot& snapshot) { replicas_.handle(snapshot); }
    void handle(const Alpha& alpha);
    void handle(const MultigetArrival& arrival);
    void handle(const SecondStep& step);
    void handle(const DispatchPart& message);
    void handle(const AttemptEnded& ended);
    void handle(const AttemptOverdue& overdue);
    void handle(const ClientDisconnected& left);
    void handle(const Tick&);

private:
    using Stage = PartState::Stage;
    struct Selection;

    const OpType& type_of(const MultigetArrival& arrival) const {
        return op_types_.at(static_cast<std::size_t>(arrival.op_type));
    }
    void set_times(MultigetState& request, const OpType& type);
    // Decides which parts of a new request are sent, or gives it up.
    void select(MultigetState& request, const OpType& type);
    Selection rank_parts(const MultigetState& request, const OpType& type) const;
    bool may_send(const PartState& part, const OpType& type) const;
    const ServerSnapshot* pick(const PartState& part, const OpType& type, Time left,
                               bool half_answered = false);
    void send(MultigetState& request, PartState& part, const OpType& type, const ServerSnapshot& server);
    void on_part_answered(MultigetState& request, PartState& part, const AttemptState& attempt);
    void mark_stragglers(MultigetState& request);
    bool give_up_if_deadly(MultigetState& request, Id part, ServerId server);
    void add_deadly_key(const MultigetState& request);
    void cancel_sends(const PartState& part);
    // Answers the request or gives it up, if its state and the time call for that.
    void review(MultigetState& request);
    void answer(MultigetState& request, const OpType& type, bool whole);
    void give_up(MultigetState& request, GiveUpReason reason);
    void drop_parts(MultigetState& request);
    void forget(MultigetState& request);

    Inboxes& inboxes_;
    const std::vector<OpType> op_types_;
    const SendConfig sends_;
    const ClientConfig clients_;
    const Time turn_;
    const Time slack_;  // longest time from a decision until its send arrives: a turn and a connect time-out
    RetryBudget budget_;
    ReplicaChoice replicas_;
    Admission admission_;
    RepeatGuess repeats_;
    DeadlyKeys deadly_keys_;
    OpenRequests requests_;
    double alpha_ = 0;
};

// The shortest latency budget of all op types, at least 1.
Time min_latency_budget(const std::vector<OpType>& op_types);

}  // namespace pinedoor::policy
