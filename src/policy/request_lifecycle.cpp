#include "policy/request_lifecycle.hpp"

#include <algorithm>
#include <utility>

namespace pinedoor::policy {
namespace {

constexpr double kRounding = 0.00005;  // rounded weights of a multiget may add up to slightly less than 1
constexpr Time kTurnsToAnswer = 2;     // turns before the deadline at which the final answer is due
constexpr Time kTurnsInTransit = 4;    // turns of the latency budget for receiving a request and answering it
// Route timeouts for which a deadly key is kept. Its client has retried long before they have passed.
constexpr Time kDeadlyKeyTimeouts = 8;
constexpr int kStragglerDivisor = 8;      // stragglers are at most one part in this many
constexpr Time kStragglerAgeDivisor = 3;  // a straggler has been out for this fraction of the latency budget
constexpr double kMostAnswered = 0.5;  // above this share of the weight an unfit replica is better than none
constexpr double kGuardedShare = 1.0 / 4;  // share of the optional weight that is sent whatever alpha is

}  // namespace

Time min_latency_budget(const std::vector<OpType>& op_types) {
    Time shortest = 0;
    for (const auto& type : op_types) {
        if (shortest == 0 || type.latency_budget < shortest) shortest = type.latency_budget;
    }
    return std::max<Time>(shortest, 1);
}

RequestLifecycle::RequestLifecycle(Inboxes& inboxes, std::vector<OpType> op_types, ShardRing ring,
                                   SendConfig sends, FurtherSendConfig further, ClientConfig clients,
                                   Time turn)
    : inboxes_(inboxes), op_types_(std::move(op_types)), sends_(sends), clients_(clients), turn_(turn),
      slack_(turn + sends.connect_timeout), budget_(inboxes, further, slack_), replicas_(inboxes, ring),
      admission_(min_latency_budget(op_types_)), repeats_(op_types_.size(), clients.marks_retries) {}

void RequestLifecycle::handle(const Alpha& alpha) {
    alpha_ = alpha.value;
    admission_.set_overload(alpha.value, alpha.fair_share);
}

void RequestLifecycle::handle(const MultigetArrival& arrival) {
    budget_.record_received(1 + static_cast<int>(arrival.parts.size()));
    auto& request = requests_.add(arrival.id);
    request.arrival = arrival;
    request.arrival.parts.clear();
    if (inboxes_.lease_forbids_sends) return give_up(request, GiveUpReason::kListExpired);
    const auto& type = type_of(arrival);
    admission_.on_request(arrival.parts.size());
    set_times(request, type);
    requests_.add_parts(request, arrival.parts);
    request.one_at_a_time = deadly_keys_.any_of(request.parts, inboxes_.now);
    if (type.min_share < type.whole_share && !request.parts.empty())
        inboxes_.overload.push_back(PartWeights{1.0 / static_cast<double>(request.parts.size())});
    select(request, type);
}

void RequestLifecycle::set_times(MultigetState& request, const OpType& type) {
    request.answer_by = request.arrival.not_after - kTurnsToAnswer * turn_;
    request.is_retry = repeats_.is_retry(request.arrival, type, inboxes_.now);
    const Time client_began = request.is_retry
                                  ? std::min(inboxes_.now, request.arrival.not_after - type.route_timeout)
                                  : inboxes_.now;
    request.budget_ends =
        std::min(request.answer_by, client_began + type.latency_budget - kTurnsInTransit * turn_);
    // The budget covers both steps, whose parts are alike. The time left for the second step suffices to
    // detect that a part was lost to a silent server and to send it again.
    const Time for_second_step = type.second_step_parts > 0 ? type.latency_budget * 3 / 8 : 0;
    request.step_ends = request.budget_ends - for_second_step;
}

void RequestLifecycle::handle(const SecondStep& step) {
    for (const Id id : requests_.ids()) {
        auto& request = *requests_.find(id);
        if (!request.awaits_second_step || request.arrival.number != step.number) continue;
        budget_.record_received(static_cast<int>(step.parts.size()));
        request.awaits_second_step = false;
        request.step_ends = request.budget_ends;
        requests_.add_parts(request, step.parts);
        for (const auto& part : request.parts) inboxes_.requests.push_back(DispatchPart{part.arrival.id});
        return;
    }
}

void RequestLifecycle::handle(const DispatchPart& message) {
    const auto [request, part] = requests_.find_part(message.part);
    if (part == nullptr || part->stage != Stage::kWaiting) return;
    if (inboxes_.lease_forbids_sends) return;
    if (request->one_at_a_time && request->single_part != 0) return;
    const auto& type = type_of(request->arrival);
    if (!may_send(*part, type)) part->stage = Stage::kLost;
    if (!part->is_open()) return review(*request);
    const bool half_answered = !part->attempts.empty() && request->tally().answered_weight > kMostAnswered;
    const auto* server = pick(*part, type, request->budget_ends - inboxes_.now, half_answered);
    if (server != nullptr) send(*request, *part, type, *server);
}

void RequestLifecycle::handle(const AttemptEnded& ended) {
    const auto [request, part] = requests_.find_part(ended.part);
    if (part == nullptr || static_cast<std::size_t>(ended.send_number) >= part->attempts.size()) return;
    auto& attempt = part->attempts[static_cast<std::size_t>(ended.send_number)];
    attempt.ended = true;
    attempt.may_have_run = ended.outcome != Outcome::kFull && ended.outcome != Outcome::kNoConnection &&
                           ended.outcome != Outcome::kNeverSent;
    // A part that was lost with its server, or never reached one, puts no load on any server.
    const bool undone = ended.outcome == Outcome::kReset || ended.outcome == Outcome::kNoConnection ||
                        ended.outcome == Outcome::kNeverSent;
    if (undone) admission_.on_not_run();
    if (ended.outcome == Outcome::kReset && give_up_if_deadly(*request, ended.part, attempt.server)) return;
    if (request->single_part == ended.part && !part->any_out()) request->single_part = 0;
    if (!part->is_open()) return;
    if (ended.outcome == Outcome::kReturned) return on_part_answered(*request, *part, attempt);
    if (part->any_out()) return;  // a second copy is still out
    part->stage = Stage::kWaiting;
    part->wants_further_send = false;
    handle(DispatchPart{ended.part});
}

void RequestLifecycle::on_part_answered(MultigetState& request, PartState& part,
                                        const AttemptState& attempt) {
    request.one_at_a_time = false;
    admission_.on_answer(inboxes_.now - attempt.sent_at <= type_of(request.arrival).latency_budget / 2);
    part.stage = Stage::kAnswered;
    cancel_sends(part);
    review(request);
}

// An overdue part gets a second copy where those are allowed. Otherwise its attempt is cancelled, and the
// next one follows once the cancellation is confirmed. Without a fit replica the attempt goes on, and the
// part is looked at again each turn.
void RequestLifecycle::handle(const AttemptOverdue& overdue) {
    const auto [request, part] = requests_.find_part(overdue.part);
    if (part == nullptr || part->stage != Stage::kOut) return;
    const auto& type = type_of(request->arrival);
    part->wants_further_send = type.repeat != RetrySafety::kNonRetriable && may_send(*part, type);
    const auto* server =
        part->wants_further_send ? pick(*part, type, request->budget_ends - inboxes_.now) : nullptr;
    if (server == nullptr) return;
    if (sends_.second_copies) return send(*request, *part, type, *server);
    part->wants_further_send = false;
    cancel_sends(*part);
}

void RequestLifecycle::handle(const ClientDisconnected& left) {
    if (auto* request = requests_.find(left.multiget)) forget(*request);
}

void RequestLifecycle::handle(const Tick&) {
    admission_.advance(inboxes_.now);
    for (const Id id : requests_.ids()) {
        review(*requests_.find(id));
        auto* request = requests_.find(id);  // null if the review has ended the request
        if (request == nullptr) continue;
        mark_stragglers(*request);
        for (const auto& part : request->parts) {
            if (part.stage == Stage::kWaiting) inboxes_.requests.push_back(DispatchPart{part.arrival.id});
            if (part.wants_further_send) inboxes_.requests.push_back(AttemptOverdue{part.arrival.id, 0});
        }
    }
}

// A multiget of many parts takes as long as its slowest replica. Without overload, the parts that are still
// out when seven eighths have been answered get a second copy at another replica after a third of the budget,
// whatever delays their servers.
void RequestLifecycle::mark_stragglers(MultigetState& request) {
    const auto& type = type_of(request.arrival);
    if (!sends_.second_copies || alpha_ > 0 || type.min_share < type.whole_share) return;
    const auto tally = request.tally();
    const int max_stragglers = std::max(1, (tally.parts_answered + tally.parts_open) / kStragglerDivisor);
    if (tally.parts_answered == 0 || tally.parts_open > max_stragglers) return;
    for (auto& part : request.parts) {
        const bool out_once = part.stage == Stage::kOut && part.count_out() == 1;
        if (!out_once ||
            inboxes_.now - part.attempts.back().sent_at < type.latency_budget / kStragglerAgeDivisor)
            continue;
        part.wants_further_send = true;
    }
}

// Contains multigets whose parts crash the servers that run them: servers crash, and no part is ever
// answered. From the first crash on, the parts are sent one at a time until one is answered. At the crash of
// a second server, the parts that are out are cancelled too, if the op type and the budget allow sending all
// again. If the single part's server crashes as well, the multiget is given up, and its retries, recognised
// by the key, start with one part. A multiget whose parts were only caught in the crash of many servers is
// delayed by one part's time.
bool RequestLifecycle::give_up_if_deadly(MultigetState& request, Id part, ServerId server) {
    if (request.step > 1 || request.tally().parts_answered > 0) return false;
    if (request.single_part == part) {
        inboxes_.actions.emplace_back(LogLine{"given up: servers died under each part sent"});
        add_deadly_key(request);
        give_up(request, GiveUpReason::kDeadlyKey);
        return true;
    }
    request.one_at_a_time = true;
    const bool is_second =
        request.crashed_servers.insert(server).second && request.crashed_servers.size() == 2;
    if (!is_second || type_of(request.arrival).repeat == RetrySafety::kNonRetriable) return false;
    if (!budget_.allows(request.parts.size())) return false;
    for (const auto& other : request.parts) {
        if (other.arrival.id != request.single_part) cancel_sends(other);
    }
    return false;
}

void RequestLifecycle::add_deadly_key(const MultigetState& request) {
    const Time until = inboxes_.now + kDeadlyKeyTimeouts * type_of(request.arrival).route_timeout;
    deadly_keys_.add({request.parts.front().arrival.key, until}, true);
}

// The parts of a request in the order in which they are sent, and the weight that can be answered in time.
struct RequestLifecycle::Selection {
    struct Ranked {
        bool too_slow = false;
        double minus_weight = 0;
        std::size_t index = 0;
        auto operator<=>(const Ranked&) const = default;
    };
    std::vector<Ranked> parts;  // parts that cannot be answered in time come last; then by falling weight
    double timely_weight = 0;
};

RequestLifecycle::Selection RequestLifecycle::rank_parts(const MultigetState& request,
                                                         const OpType& type) const {
    Selection selection;
    // A late answer that still earns something extends the time by that share. A request that may be answered
    // in part ends at the end of the step with what has been answered.
    const bool partial = type.min_share < type.whole_share;
    const Time late = partial ? 0 : request.answer_by - request.budget_ends;
    const double left = static_cast<double>(request.step_ends - inboxes_.now) +
                        type.late_importance * static_cast<double>(late);
    for (std::size_t i = 0; i < request.parts.size(); ++i) {
        const double weight = request.parts[i].arrival.weight;
        const auto wait = static_cast<double>(replicas_.shortest_wait(request.parts[i]));
        const bool too_slow = wait > kMaxWaitShare * left;
        if (!too_slow) selection.timely_weight += weight;
        selection.parts.push_back({too_slow, -weight, i});
    }
    std::sort(selection.parts.begin(), selection.parts.end());
    return selection;
}

// Parts with a weight above alpha are sent. The floor guard adds the heaviest parts that cover the least
// share and a quarter of the rest, for requests in which many parts weigh the same or nearly nothing.
void RequestLifecycle::select(MultigetState& request, const OpType& type) {
    const bool partial = type.min_share < type.whole_share;
    const double guard = type.min_share + (type.whole_share - type.min_share) * kGuardedShare;
    const auto selection = rank_parts(request, type);
    // A request that cannot be answered in time is pushed back before any part is sent: parts that end too
    // late to be of use would still take their servers' time, and under load would make the next requests
    // late too.
    if (selection.timely_weight + kRounding < type.min_share)
        return give_up(request, GiveUpReason::kWaitTooLong);
    double covered = 0;
    auto allowed = admission_.parts_allowed();
    for (const auto& ranked : selection.parts) {
        auto& part = request.parts[ranked.index];
        const bool cut = ranked.too_slow || part.arrival.weight <= alpha_ || allowed == 0;
        if (partial && cut && covered >= guard) {
            part.stage = Stage::kLeftOut;
            continue;
        }
        covered += part.arrival.weight;
        if (allowed-- == 0) return give_up(request, GiveUpReason::kNoCredit);
        inboxes_.requests.push_back(DispatchPart{part.arrival.id});
    }
    if (request.parts.empty()) review(request);
}

// A part that may have run is sent again only if it is retriable, or within its deduplication window.
bool RequestLifecycle::may_send(const PartState& part, const OpType& type) const {
    if (part.attempts.empty()) return true;
    if (static_cast<int>(part.attempts.size()) >= sends_.most_sends) return false;
    if (type.repeat == RetrySafety::kRetriable || part.all_proven_not_run()) return true;
    if (type.repeat == RetrySafety::kNonRetriable) return false;
    const auto first_that_may_have_run = std::find_if(part.attempts.begin(), part.attempts.end(),
                                                      [](const auto& a) { return a.may_have_run; });
    return inboxes_.now + slack_ < first_that_may_have_run->sent_at + type.dedup_window;
}

const ServerSnapshot* RequestLifecycle::pick(const PartState& part, const OpType& type, Time left,
                                             bool half_answered) {
    if (!part.attempts.empty() && !budget_.allows()) return nullptr;
    return replicas_.pick(part, type, left, half_answered);
}

void RequestLifecycle::send(MultigetState& request, PartState& part, const OpType& type,
                            const ServerSnapshot& server) {
    const bool is_retry = !part.attempts.empty();
    const Time useful_until = type.late_importance > 0 ? request.answer_by : request.budget_ends;
    admission_.on_sent();
    if (is_retry) budget_.record_further_sends(1);
    part.stage = Stage::kOut;
    part.wants_further_send = false;
    if (request.one_at_a_time) request.single_part = part.arrival.id;
    part.attempts.push_back({server.server, inboxes_.now, false, true});
    const int send_number = static_cast<int>(part.attempts.size()) - 1;
    const Time timeout = std::max<Time>(turn_, useful_until - inboxes_.now);
    inboxes_.servers[server.server].push_back(
        StartAttempt{part.arrival.id, send_number, timeout, type.latency_budget / 2, is_retry});
}

void RequestLifecycle::cancel_sends(const PartState& part) {
    if (!sends_.cancel) return;
    for (std::size_t i = 0; i < part.attempts.size(); ++i) {
        if (!part.attempts[i].ended)
            inboxes_.actions.emplace_back(CancelSend{part.arrival.id, static_cast<int>(i)});
    }
}

void RequestLifecycle::review(MultigetState& request) {
    if (request.awaits_second_step && inboxes_.now < request.answer_by) return;
    if (request.awaits_second_step) return give_up(request, GiveUpReason::kDeadlineExceeded);

    const auto& type = type_of(request.arrival);
    const auto tally = request.tally();
    const double need = request.step == 1 ? type.whole_share : 1;
    const bool enough = tally.all_answered || (need < 1 && tally.answered_weight + kRounding >= need);
    const bool whole = enough && request.first_step_whole;
    const bool floor_reached = tally.all_answered || tally.answered_weight + kRounding >= type.min_share;
    if (whole || (floor_reached && tally.parts_open == 0)) return answer(request, type, whole);
    if (tally.parts_open == 0 || tally.answered_weight + tally.open_weight + kRounding < type.min_share)
        return give_up(request, GiveUpReason::kPartsLost);
    if (inboxes_.now >= request.answer_by)
        return floor_reached ? answer(request, type, false)
                             : give_up(request, GiveUpReason::kDeadlineExceeded);
    if (inboxes_.now < request.step_ends) return;
    // A partial answer in time is preferred where it earns more than a whole one that is late. A request that
    // earns nothing late is given up at the end of its budget.
    if (floor_reached && type.partial_importance * tally.answered_weight > type.late_importance)
        return answer(request, type, false);
    if (type.late_importance <= 0 && inboxes_.now >= request.budget_ends)
        give_up(request, GiveUpReason::kDeadlineExceeded);
}

void RequestLifecycle::answer(MultigetState& request, const OpType& type, bool whole) {
    inboxes_.actions.emplace_back(Answer{request.arrival.id, whole});
    if (request.step > 1 || type.second_step_parts == 0) return forget(request);
    drop_parts(request);
    request.step = 2;
    request.first_step_whole = whole;
    request.awaits_second_step = true;
}

// A pushback states that a retry is harmless, and is used only where that is so. Otherwise the request fails.
void RequestLifecycle::give_up(MultigetState& request, GiveUpReason reason) {
    const auto& type = type_of(request.arrival);
    const bool harmless = type.repeat == RetrySafety::kRetriable || request.all_proven_not_run();
    if (!request.is_retry) repeats_.on_given_up(request.arrival.op_type);
    // Spread at random over the upper half: clients that are pushed back together must not return together.
    const Time max_wait = clients_.longest_retry_after;
    const Time wait = clients_.retry_after ? max_wait - inboxes_.random_up_to(max_wait / 2) : 0;
    if (harmless && request.step == 1)
        inboxes_.actions.emplace_back(PushBack{request.arrival.id, wait, reason});
    else
        inboxes_.actions.emplace_back(Fail{request.arrival.id, reason});
    forget(request);
}

void RequestLifecycle::drop_parts(MultigetState& request) {
    for (const auto& part : request.parts) cancel_sends(part);
    requests_.drop_parts(request);
}

void RequestLifecycle::forget(MultigetState& request) {
    drop_parts(request);
    requests_.erase(request.arrival.id);
}

}  // namespace pinedoor::policy
