#include "policy/request_lifecycle.hpp"

#include <algorithm>
#include <utility>

namespace pinedoor::policy {
namespace {

constexpr double kRounding = 0.00005;      // told weights miss 1 by a hair
constexpr Time kTurnsToAnswer = 2;         // before the deadline
constexpr Time kTurnsOfBudget = 4;         // that it takes to come and go
constexpr Time kDeadlyFor = 8;             // route timeouts: its client has long asked again by then
constexpr int kStragglerShare = 8;         // one part in so many
constexpr Time kStraggles = 3;             // a latency budget's part
constexpr double kMostIn = 0.5;            // of the weight: from then on unfit replicas are better than none
constexpr double kGuardedShare = 1.0 / 4;  // of what may be left out, that is sent whatever alpha says

}  // namespace

Time shortest_budget(const std::vector<OpType>& op_types) {
    Time shortest = 0;
    for (const auto& type : op_types) {
        if (shortest == 0 || type.latency_budget < shortest) shortest = type.latency_budget;
    }
    return std::max<Time>(shortest, 1);
}

RequestLifecycle::RequestLifecycle(Inboxes& inboxes, std::vector<OpType> op_types, ShardRing ring,
                                   SendTerms sends, FurtherSendTerms further, ClientTerms clients, Time turn)
    : inboxes_(inboxes), op_types_(std::move(op_types)), sends_(sends), clients_(clients), turn_(turn),
      slack_(turn + sends.connect_timeout), budget_(inboxes, further, slack_), replicas_(inboxes, ring),
      admission_(shortest_budget(op_types_)), repeats_(op_types_.size(), clients.marks_repeats) {}

void RequestLifecycle::take(const Alpha& alpha) {
    alpha_ = alpha.value;
    admission_.set_pressure(alpha.value, alpha.even_share);
}

void RequestLifecycle::take(const MultigetArrival& told) {
    budget_.note_taken(1 + static_cast<int>(told.parts.size()));
    auto& request = requests_.add(told.id);
    request.told = told;
    request.told.parts.clear();
    if (inboxes_.list_forbids_sends) return give_up(request, GiveUpReason::kListExpired);
    const auto& type = type_of(told);
    admission_.request_came(told.parts.size());
    set_times(request, type);
    requests_.add_parts(request, told.parts);
    request.alone = deadly_.any_of(request.parts, inboxes_.now);
    if (type.least_share < type.whole_share && !request.parts.empty())
        inboxes_.overload.push_back(PartWeights{1.0 / static_cast<double>(request.parts.size())});
    select(request, type);
}

void RequestLifecycle::set_times(MultigetState& request, const OpType& type) {
    request.answer_by = request.told.not_after - kTurnsToAnswer * turn_;
    request.repeat = repeats_.is_repeat(request.told, type, inboxes_.now);
    const Time client_began =
        request.repeat ? std::min(inboxes_.now, request.told.not_after - type.route_timeout) : inboxes_.now;
    request.budget_ends =
        std::min(request.answer_by, client_began + type.latency_budget - kTurnsOfBudget * turn_);
    // The budget holds for both steps, whose parts are alike in kind: the second one has as long as one that
    // is lost to a silent server needs to be seen and sent again.
    const Time for_second_step = type.second_step_parts > 0 ? type.latency_budget * 3 / 8 : 0;
    request.step_ends = request.budget_ends - for_second_step;
}

void RequestLifecycle::take(const SecondStep& step) {
    for (const Id id : requests_.ids()) {
        auto& request = *requests_.find(id);
        if (!request.awaiting_step || request.told.number != step.number) continue;
        budget_.note_taken(static_cast<int>(step.parts.size()));
        request.awaiting_step = false;
        request.step_ends = request.budget_ends;
        requests_.add_parts(request, step.parts);
        for (const auto& part : request.parts) inboxes_.requests.push_back(PlacePart{part.told.id});
        return;
    }
}

void RequestLifecycle::take(const PlacePart& message) {
    const auto [request, part] = requests_.find_part(message.part);
    if (part == nullptr || part->stage != Stage::kWaiting) return;
    if (inboxes_.list_forbids_sends) return;
    if (request->alone && request->lone != 0) return;
    const auto& type = type_of(request->told);
    if (!may_send(*part, type)) part->stage = Stage::kLost;
    if (!part->open()) return review(*request);
    const bool half_in = !part->attempts.empty() && request->tally().in > kMostIn;
    const auto* card = pick(*part, type, request->budget_ends - inboxes_.now, half_in);
    if (card != nullptr) send(*request, *part, type, *card);
}

void RequestLifecycle::take(const AttemptEnded& ended) {
    const auto [request, part] = requests_.find_part(ended.part);
    if (part == nullptr || static_cast<std::size_t>(ended.send) >= part->attempts.size()) return;
    auto& attempt = part->attempts[static_cast<std::size_t>(ended.send)];
    attempt.over = true;
    attempt.may_have_run = ended.outcome != Outcome::kFull && ended.outcome != Outcome::kNoConnection &&
                           ended.outcome != Outcome::kNeverSent;
    // What died or never came to be done weighs on no server any more.
    const bool undone = ended.outcome == Outcome::kReset || ended.outcome == Outcome::kNoConnection ||
                        ended.outcome == Outcome::kNeverSent;
    if (undone) admission_.ended_undone();
    if (ended.outcome == Outcome::kReset && give_up_if_deadly(*request, ended.part, attempt.server)) return;
    if (request->lone == ended.part && !part->any_out()) request->lone = 0;
    if (!part->open()) return;
    if (ended.outcome == Outcome::kReturned) return part_answered(*request, *part, attempt);
    if (part->any_out()) return;  // a copy is still under way
    part->stage = Stage::kWaiting;
    part->further_wanted = false;
    take(PlacePart{ended.part});
}

void RequestLifecycle::part_answered(MultigetState& request, PartState& part, const AttemptState& attempt) {
    request.alone = false;
    admission_.answered(inboxes_.now - attempt.sent <= type_of(request.told).latency_budget / 2);
    part.stage = Stage::kIn;
    cancel_rest(part);
    review(request);
}

// An overdue part gets a second copy where those are allowed; else its attempt is cancelled, and another
// follows once that is confirmed. Without a fit replica it is left to run, and asked about again.
void RequestLifecycle::take(const AttemptOverdue& overdue) {
    const auto [request, part] = requests_.find_part(overdue.part);
    if (part == nullptr || part->stage != Stage::kOut) return;
    const auto& type = type_of(request->told);
    part->further_wanted = type.repeat != Repeat::kNonRetriable && may_send(*part, type);
    const auto* card =
        part->further_wanted ? pick(*part, type, request->budget_ends - inboxes_.now) : nullptr;
    if (card == nullptr) return;
    if (sends_.second_copies) return send(*request, *part, type, *card);
    part->further_wanted = false;
    cancel_rest(*part);
}

void RequestLifecycle::take(const ClientLeft& left) {
    if (auto* request = requests_.find(left.multiget)) forget(*request);
}

void RequestLifecycle::take(const Tick&) {
    admission_.time_passed(inboxes_.now);
    for (const Id id : requests_.ids()) {
        review(*requests_.find(id));
        auto* request = requests_.find(id);  // what has just ended gets no more attempts
        if (request == nullptr) continue;
        want_copies_of_stragglers(*request);
        for (const auto& part : request->parts) {
            if (part.stage == Stage::kWaiting) inboxes_.requests.push_back(PlacePart{part.told.id});
            if (part.further_wanted) inboxes_.requests.push_back(AttemptOverdue{part.told.id, 0});
        }
    }
}

// A multiget of many parts ends with its slowest replica. Without pressure, what is left of one when seven
// eighths are in gets a copy elsewhere after a third of the budget, whatever keeps that server.
void RequestLifecycle::want_copies_of_stragglers(MultigetState& request) {
    const auto& type = type_of(request.told);
    if (!sends_.second_copies || alpha_ > 0 || type.least_share < type.whole_share) return;
    const auto tally = request.tally();
    const int most = std::max(1, (tally.parts_in + tally.parts_open) / kStragglerShare);
    if (tally.parts_in == 0 || tally.parts_open > most) return;
    for (auto& part : request.parts) {
        const bool out_once = part.stage == Stage::kOut && part.count_out() == 1;
        if (!out_once || inboxes_.now - part.attempts.back().sent < type.latency_budget / kStraggles)
            continue;
        part.further_wanted = true;
    }
}

// Guards against multigets that kill every server that begins a part of them: servers die under one, and no
// part of it is ever answered. From the first death on its parts go again one at a time, until an answer
// clears it. From the second server on, what is out is cancelled too, if it may all go again. If the part
// that is out alone dies as well, the multiget is given up; its repeats, known by its key, begin with one
// part. It delays what a crash of many caught just after it was sent, by one part's time.
bool RequestLifecycle::give_up_if_deadly(MultigetState& request, Id part, ServerId server) {
    if (request.step > 1 || request.tally().parts_in > 0) return false;
    if (request.lone == part) {
        inboxes_.actions.emplace_back(LogLine{"given up: servers died under each part sent"});
        remember_deadly(request);
        give_up(request, GiveUpReason::kDeadly);
        return true;
    }
    request.alone = true;
    const bool is_second = request.died.insert(server).second && request.died.size() == 2;
    if (!is_second || type_of(request.told).repeat == Repeat::kNonRetriable) return false;
    if (!budget_.allows(request.parts.size())) return false;
    for (const auto& each : request.parts) {
        if (each.told.id != request.lone) cancel_rest(each);
    }
    return false;
}

void RequestLifecycle::remember_deadly(const MultigetState& request) {
    const Time until = inboxes_.now + kDeadlyFor * type_of(request.told).route_timeout;
    deadly_.note({request.parts.front().told.key, until}, true);
}

// The parts of a request in the order in which they go out, and how much of its weight can be answered in
// time.
struct RequestLifecycle::Selection {
    struct Ranked {
        bool hopeless = false;
        double minus_weight = 0;
        std::size_t index = 0;
        auto operator<=>(const Ranked&) const = default;
    };
    std::vector<Ranked> parts;  // hopeless last, then by weight
    double hopeful = 0;
};

RequestLifecycle::Selection RequestLifecycle::order_by_hope(const MultigetState& request,
                                                            const OpType& type) const {
    Selection selection;
    // A late answer that still earns something lengthens the time by that share; what is answered in part
    // ends with what is in by the step's end.
    const bool partly = type.least_share < type.whole_share;
    const Time late = partly ? 0 : request.answer_by - request.budget_ends;
    const double left = static_cast<double>(request.step_ends - inboxes_.now) +
                        type.late_importance * static_cast<double>(late);
    for (std::size_t i = 0; i < request.parts.size(); ++i) {
        const double weight = request.parts[i].told.weight;
        const auto wait = static_cast<double>(replicas_.shortest_wait(request.parts[i]));
        const bool hopeless = wait > kBearableWait * left;
        if (!hopeless) selection.hopeful += weight;
        selection.parts.push_back({hopeless, -weight, i});
    }
    std::sort(selection.parts.begin(), selection.parts.end());
    return selection;
}

// The design's selection, with a floor guard: parts above alpha go out, and so do the heaviest ones that
// cover the least share and a quarter of the rest, for where many parts weigh the same or nearly nothing.
void RequestLifecycle::select(MultigetState& request, const OpType& type) {
    const bool partly = type.least_share < type.whole_share;
    const double guard = type.least_share + (type.whole_share - type.least_share) * kGuardedShare;
    const auto selection = order_by_hope(request, type);
    // What cannot be answered in time is pushed back before any part is sent: parts that end too late to
    // serve an answer still take their servers' time, and under load that makes the next ones late too.
    if (selection.hopeful + kRounding < type.least_share) return give_up(request, GiveUpReason::kNoHope);
    double covered = 0;
    auto affordable = admission_.parts_allowed();
    for (const auto& ranked : selection.parts) {
        auto& part = request.parts[ranked.index];
        const bool cut = ranked.hopeless || part.told.weight <= alpha_ || affordable == 0;
        if (partly && cut && covered >= guard) {
            part.stage = Stage::kLeftOut;
            continue;
        }
        covered += part.told.weight;
        if (affordable-- == 0) return give_up(request, GiveUpReason::kNoCredit);
        inboxes_.requests.push_back(PlacePart{part.told.id});
    }
    if (request.parts.empty()) review(request);
}

// What may have run goes again only where that is harmless, or inside its deduplication window.
bool RequestLifecycle::may_send(const PartState& part, const OpType& type) const {
    if (part.attempts.empty()) return true;
    if (static_cast<int>(part.attempts.size()) >= sends_.most_sends) return false;
    if (type.repeat == Repeat::kRetriable || part.all_proven_not_run()) return true;
    if (type.repeat == Repeat::kNonRetriable) return false;
    const auto first_that_may_have_run = std::find_if(part.attempts.begin(), part.attempts.end(),
                                                      [](const auto& a) { return a.may_have_run; });
    return inboxes_.now + slack_ < first_that_may_have_run->sent + type.dedup_window;
}

const ServerCard* RequestLifecycle::pick(const PartState& part, const OpType& type, Time left, bool half_in) {
    if (!part.attempts.empty() && !budget_.allows()) return nullptr;
    return replicas_.pick(part, type, left, half_in);
}

void RequestLifecycle::send(MultigetState& request, PartState& part, const OpType& type,
                            const ServerCard& card) {
    const bool is_retry = !part.attempts.empty();
    const Time useful = type.late_importance > 0 ? request.answer_by : request.budget_ends;
    admission_.sent_one();
    if (is_retry) budget_.note_further(1);
    part.stage = Stage::kOut;
    part.further_wanted = false;
    if (request.alone) request.lone = part.told.id;
    part.attempts.push_back({card.server, inboxes_.now, false, true});
    const int number = static_cast<int>(part.attempts.size()) - 1;
    const Time try_for = std::max<Time>(turn_, useful - inboxes_.now);
    inboxes_.servers[card.server].push_back(
        AttemptOrder{part.told.id, number, try_for, type.latency_budget / 2, is_retry});
}

void RequestLifecycle::cancel_rest(const PartState& part) {
    if (!sends_.cancel) return;
    for (std::size_t i = 0; i < part.attempts.size(); ++i) {
        if (!part.attempts[i].over) inboxes_.actions.emplace_back(CallOff{part.told.id, static_cast<int>(i)});
    }
}

void RequestLifecycle::review(MultigetState& request) {
    if (request.awaiting_step && inboxes_.now < request.answer_by) return;
    if (request.awaiting_step) return give_up(request, GiveUpReason::kTimeOver);

    const auto& type = type_of(request.told);
    const auto tally = request.tally();
    const double need = request.step == 1 ? type.whole_share : 1;
    const bool enough = tally.all_in || (need < 1 && tally.in + kRounding >= need);
    const bool whole = enough && request.step_one_whole;
    const bool floor_in = tally.all_in || tally.in + kRounding >= type.least_share;
    if (whole || (floor_in && tally.parts_open == 0)) return answer(request, type, whole);
    if (tally.parts_open == 0 || tally.in + tally.pending + kRounding < type.least_share)
        return give_up(request, GiveUpReason::kPartsLost);
    if (inboxes_.now >= request.answer_by)
        return floor_in ? answer(request, type, false) : give_up(request, GiveUpReason::kTimeOver);
    if (inboxes_.now < request.step_ends) return;
    // In time with what is in beats whole but late; what is worth nothing late is given up at once.
    if (floor_in && type.short_importance * tally.in > type.late_importance)
        return answer(request, type, false);
    if (type.late_importance <= 0 && inboxes_.now >= request.budget_ends)
        give_up(request, GiveUpReason::kTimeOver);
}

void RequestLifecycle::answer(MultigetState& request, const OpType& type, bool whole) {
    inboxes_.actions.emplace_back(Answer{request.told.id, whole});
    if (request.step > 1 || type.second_step_parts == 0) return forget(request);
    drop_parts(request);
    request.step = 2;
    request.step_one_whole = whole;
    request.awaiting_step = true;
}

// A pushback says that asking again is harmless: only where that is so. Else the multiget has failed.
void RequestLifecycle::give_up(MultigetState& request, GiveUpReason reason) {
    const auto& type = type_of(request.told);
    const bool harmless = type.repeat == Repeat::kRetriable || request.all_proven_not_run();
    if (!request.repeat) repeats_.given_up(request.told.op_type);
    // Spread over half of it: else all that were turned away together would return together.
    const Time most = clients_.longest_retry_after;
    const Time wait = clients_.retry_after ? most - inboxes_.random_part(most / 2) : 0;
    if (harmless && request.step == 1)
        inboxes_.actions.emplace_back(PushBack{request.told.id, wait, reason});
    else
        inboxes_.actions.emplace_back(Fail{request.told.id, reason});
    forget(request);
}

void RequestLifecycle::drop_parts(MultigetState& request) {
    for (const auto& part : request.parts) cancel_rest(part);
    requests_.drop_parts(request);
}

void RequestLifecycle::forget(MultigetState& request) {
    drop_parts(request);
    requests_.erase(request.told.id);
}

}  // namespace pinedoor::policy
