#include "service/exchange.hpp"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <set>

namespace pinedoor::service {
namespace {

// Parts of new multigets that a turn handles; those of the last one may exceed it. The others wait for the
// next turn, so that a turn does not keep the event loop.
constexpr std::size_t kMaxNewPartsPerTurn = 4096;
// The largest answer: a body of HTTP as the protocol allows it.
constexpr std::size_t kMaxAnswerBytes = 64 * 1024;
// Servers that are known at a time, listed ones and those that still have something outstanding. The largest
// supported fleet has 3,200.
constexpr std::size_t kMaxServers = 8192;

std::string_view name_of(const MultigetResult& ending) {
    switch (ending.kind) {
        case MultigetResult::Kind::kAnswered: return ending.whole ? "answered whole" : "answered in part";
        case MultigetResult::Kind::kPushedBack: return "refused";
        default: return "failed";
    }
}

// Whether the protocol proves that the send never ran (docs/architecture.md, outcomes of sends). All other
// sends may have run.
bool never_ran(Outcome outcome) {
    return outcome == Outcome::kFull || outcome == Outcome::kNoConnection || outcome == Outcome::kNeverSent;
}

}  // namespace

Dispatcher::Dispatcher(net::Scheduler& scheduler, FrontNode node, Time turn_interval, int max_open,
                       int max_sends, Counters& counters, Log& log)
    : scheduler_(scheduler), node_(std::move(node)), turn_interval_(std::max<Time>(1, turn_interval)),
      max_open_(static_cast<std::size_t>(max_open)), max_sends_(max_sends), counters_(counters), log_(log),
      request_log_(log), waiter_(scheduler) {}

void Dispatcher::attach(SendTransport& transport, ServerListSource& list_source, PartRouting* routing) {
    transport_ = &transport;
    list_source_ = &list_source;
    routing_ = routing;
}

void Dispatcher::start() {
    task_ = run();
    // No multiget is answered without turns, so a failure ends the process, which its supervisor restarts.
    task_.start([this](std::exception_ptr failure) {
        scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

net::Task Dispatcher::run() {
    bool was_postponed = false;
    for (;;) {
        Time due = timers_.empty() ? net::kNever : timers_.begin()->first;
        if (!events_.empty()) due = 0;
        due = std::max(due, next_turn_at_);
        const Time now = scheduler_.now();
        if (now < due) {
            co_await waiter_.wait(0, due);
        } else if (!was_postponed && scheduler_.is_held_up()) {
            was_postponed = true;
            co_await waiter_.next_round();
        } else {
            was_postponed = false;
            run_turn(now);
        }
    }
}

void Dispatcher::run_turn(Time now) {
    check_invariant(now >= last_turn_at_, counters_);
    last_turn_at_ = now;
    next_turn_at_ = now + turn_interval_;
    counters_.add(Count::kTurns);
    auto events = take_events();
    while (!timers_.empty() && timers_.begin()->first <= now) {
        events.emplace_back(TimerFired{timers_.begin()->second});
        timers_.erase(timers_.begin());
    }
    for (const auto& action : node_.turn(now, events)) {
        std::visit([this](const auto& each) { execute(each); }, action);
    }
    transport_->flush();
}

std::vector<Event> Dispatcher::take_events() {
    // If the process was suspended, list changes and requests may arrive in one turn: the list changes are
    // applied first, so that they count for these requests.
    std::stable_partition(events_.begin(), events_.end(),
                          [](const Event& event) { return std::holds_alternative<ListUpdate>(event); });
    std::size_t new_parts = 0;
    auto end = events_.begin();
    for (; end != events_.end() && new_parts < kMaxNewPartsPerTurn; ++end) {
        if (const auto* arrival = std::get_if<MultigetArrival>(&*end)) new_parts += arrival->parts.size();
    }
    std::vector<Event> later(std::make_move_iterator(end), std::make_move_iterator(events_.end()));
    events_.erase(end, events_.end());
    return std::exchange(events_, std::move(later));
}

void Dispatcher::enqueue(Event event) {
    events_.push_back(std::move(event));
    waiter_.signal();
}

Id Dispatcher::new_id() {
    const auto in_use = [this](Id id) {
        const auto sent = outstanding_sends_.lower_bound({id, 0});
        return id == 0 || multigets_.contains(id) || parts_.contains(id) ||
               (sent != outstanding_sends_.end() && sent->first.first == id);
    };
    do ++last_id_;
    while (in_use(last_id_));
    return last_id_;
}

void Dispatcher::adjust_name_uses(const std::string& name, int change) {
    auto& uses = name_uses_[name];
    uses += change;
    if (uses == 0) name_uses_.erase(name);
}

// Requests are rejected while the number of open multigets and unanswered parts has reached the limit. The
// last accepted multiget may exceed it, and answered parts do not count: otherwise a node with two multigets
// of the largest size would reject a third one that the settings allow for.
Acceptance Dispatcher::check_acceptance(const std::string& name) const {
    if (open_count() >= max_open_) {
        counters_.add(Count::kNoRoom);
        log_.event(Level::kInfo, "no_room", "no room: " + std::to_string(open_count()) + " open",
                   {{"open", std::to_string(open_count())}});
        return Acceptance::kNoRoom;
    }
    // Index servers identify parts by the multiget's name, so two open multigets must not share one.
    return name_uses_.contains(name) ? Acceptance::kNameInUse : Acceptance::kTaken;
}

SubmitResult Dispatcher::ask(MultigetRequest multiget, std::function<void(MultigetResult)> ended) {
    if (const auto acceptance = check_acceptance(multiget.name); acceptance != Acceptance::kTaken) {
        request_log_.rejected(multiget.name, acceptance == Acceptance::kNoRoom ? "no room" : "name in use");
        return {acceptance, 0};
    }
    request_log_.accepted(multiget.name, multiget.parts.size());
    counters_.add(Count::kTaken);
    MultigetArrival arrival{
        new_id(),        ++last_multiget_number_, multiget.op_type,         multiget.tenant,
        multiget.repeat, multiget.not_after,      std::move(multiget.parts)};
    auto& open = multigets_[arrival.id];
    open.name = multiget.name;
    open.query = std::make_shared<const std::string>(std::move(multiget.query));
    open.not_after = arrival.not_after;
    open.wants_part_fates = multiget.tells_parts;
    open.on_end = std::move(ended);
    adjust_name_uses(open.name, 1);
    for (auto& part : arrival.parts) {
        part.id = new_id();
        open.parts.push_back(part.id);
        parts_[part.id].multiget = arrival.id;
        parts_[part.id].shard = part.shard;
    }
    open_parts_ += open.parts.size();
    peak_open_ = std::max(peak_open_, multigets_.size() + open_parts_);
    const Id id = arrival.id;
    enqueue(std::move(arrival));
    return {Acceptance::kTaken, id};
}

store::PartOutcomes Dispatcher::leave(Ticket ticket) {
    if (multigets_.contains(static_cast<Id>(ticket))) counters_.add(Count::kClientsGone);
    return drop(ticket, "left by its client");
}

void Dispatcher::abandon(Ticket ticket) { drop(ticket, "abandoned with its multiget"); }

store::PartOutcomes Dispatcher::drop(Ticket ticket, std::string_view reason) {
    const auto multiget = static_cast<Id>(ticket);
    const auto at = multigets_.find(multiget);
    if (at == multigets_.end()) return {};
    request_log_.ended(at->second.name, reason, "");
    auto parts = at->second.wants_part_fates ? fates(at->second) : store::PartOutcomes{};
    remove(at);
    enqueue(ClientDisconnected{multiget});
    return parts;
}

store::PartOutcomes Dispatcher::part_fates(Ticket ticket) const {
    const auto at = multigets_.find(static_cast<Id>(ticket));
    return at == multigets_.end() ? store::PartOutcomes{} : fates(at->second);
}

store::PartOutcomes Dispatcher::fates(const OpenMultiget& open) const {
    store::PartOutcomes fates;
    for (const Id id : open.parts) {
        const auto& part = parts_.at(id);
        fates.emplace_back(part.shard, fate_of(id, part));
    }
    return fates;
}

store::PartOutcome Dispatcher::fate_of(Id id, const OpenPart& part) const {
    if (part.has_run) return store::PartOutcome::kRan;
    if (part.possibly_run_sends > unwritten_sends(id)) return store::PartOutcome::kMayHaveRun;
    return store::PartOutcome::kNeverSent;
}

int Dispatcher::unwritten_sends(Id part) const {
    int count = 0;
    for (auto send = outstanding_sends_.lower_bound({part, 0});
         send != outstanding_sends_.end() && send->first.first == part; ++send) {
        if (transport_->is_unwritten(part, send->first.second)) ++count;
    }
    return count;
}

Dispatcher::OpenMultiget Dispatcher::remove(std::map<Id, OpenMultiget>::iterator position) {
    auto open = std::move(position->second);
    multigets_.erase(position);
    for (const Id part : open.parts) {
        const auto found = parts_.find(part);
        open_parts_ -= found->second.answered ? 0U : 1U;
        parts_.erase(found);
    }
    adjust_name_uses(open.name, -1);
    return open;
}

void Dispatcher::finish_multiget(Id multiget, MultigetResult ending, std::string_view reason) {
    const auto at = multigets_.find(multiget);
    if (at == multigets_.end()) return;  // the client left in the same turn
    if (ending.kind == MultigetResult::Kind::kAnswered) {
        for (const Id id : at->second.parts) {
            auto& part = parts_.at(id);
            if (part.answered && !part.moved) ending.values.emplace_back(part.shard, std::move(part.value));
        }
    }
    request_log_.ended(at->second.name, name_of(ending), reason);
    if (at->second.wants_part_fates) ending.parts = fates(at->second);
    remove(at).on_end(std::move(ending));
}

std::optional<std::map<Id, Dispatcher::OpenPart>::iterator> Dispatcher::take_send(const PartSend& call,
                                                                                  Outcome outcome) {
    const auto at = outstanding_sends_.find({call.part, call.send_number});
    if (!check_invariant(at != outstanding_sends_.end(), counters_))
        return std::nullopt;  // each send gets exactly one outcome
    adjust_name_uses(at->second, -1);
    outstanding_sends_.erase(at);
    constexpr auto kFirst = static_cast<std::size_t>(Count::kReturned);
    counters_.add(static_cast<Count>(kFirst + static_cast<std::size_t>(outcome)));
    return parts_.find(call.part);
}

void Dispatcher::finish_send(const PartSend& call, Outcome outcome, std::vector<double> load,
                             std::string value) {
    const auto found = take_send(call, outcome);
    if (!found) return;
    request_log_.attempt_ended(call, outcome);
    const auto part = *found;
    if (part != parts_.end()) {
        part->second.has_run |= outcome == Outcome::kReturned;
        if (never_ran(outcome)) --part->second.possibly_run_sends;
    }
    if (outcome == Outcome::kReturned && part != parts_.end() && !part->second.answered) {
        part->second.answered = true;
        --open_parts_;
        keep_value(part->second, std::move(value));
    }
    const Time now = scheduler_.now();
    // The server has just been sent a cancellation of this send. Delay the replacement by one turn, as after
    // a cancelled send: otherwise it might arrive first, on another connection, as a second copy.
    if (outcome == Outcome::kTimedOut) next_turn_at_ = std::max(next_turn_at_, now + turn_interval_);
    enqueue(
        SendEnded{call.part, call.send_number, call.server, now - call.sent_at, outcome, std::move(load)});
}

void Dispatcher::keep_value(OpenPart& part, std::string value) {
    auto& open = multigets_.at(part.multiget);
    open.value_bytes += value.size();
    if (value_budget_ != nullptr) {
        if (!open.value_charge) open.value_charge.emplace(*value_budget_);
        open.value_charge->set(open.value_bytes);
    }
    part.value = std::move(value);
}

bool Dispatcher::has_room_for_value(Id part, std::size_t bytes) const {
    const auto at = parts_.find(part);
    if (at == parts_.end() || at->second.answered) return true;  // it will not be kept
    const auto& open = multigets_.at(at->second.multiget);
    return open.value_bytes + bytes <= kMaxAnswerBytes &&
           (value_budget_ == nullptr || value_budget_->has_room(bytes));
}

void Dispatcher::finish_moved_send(const PartSend& call, std::uint64_t epoch, std::vector<double> load) {
    const auto found = take_send(call, Outcome::kReturned);
    if (!found) return;
    const auto part = *found;
    enqueue(SendEnded{call.part, call.send_number, call.server, scheduler_.now() - call.sent_at,
                      Outcome::kReturned, std::move(load)});
    if (part == parts_.end()) return;
    --part->second.possibly_run_sends;
    if (std::exchange(part->second.answered, true)) return;
    part->second.moved = true;
    --open_parts_;
    routing_->route_refused(call.shard, epoch);
}

bool Dispatcher::needs_value(Id part) const {
    const auto at = parts_.find(part);
    return at != parts_.end() && !at->second.answered;
}

void Dispatcher::notify(const std::string& server, ServerReport report) {
    const auto at = servers_.find(server);
    if (at == servers_.end()) return;
    report.server = at->second.id;
    enqueue(report);
}

std::vector<std::pair<std::string, ServerView>> Dispatcher::servers() const {
    std::vector<std::pair<std::string, ServerView>> all;
    for (const auto& view : node_.servers()) {
        if (const auto named = server_names_.find(view.server); named != server_names_.end())
            all.emplace_back(named->second, view);
    }
    return all;
}

void Dispatcher::apply_list(ListUpdateKind kind, std::vector<ListedServer> members, Time age) {
    counters_.add(Count::kListNews);
    last_list_contact_ = scheduler_.clock() - std::max<Time>(0, age);
    ListUpdate news{kind, {}, age < 0 ? ListUpdate::kOld : age, {}, false};
    std::set<ServerId> named;
    for (auto& member : members) {
        if (servers_.size() >= kMaxServers && !servers_.contains(member.name)) {
            counters_.add(Count::kListServersWithoutRoom);
            continue;
        }
        // A server keeps its id for as long as it is listed, even if its address changes.
        const auto [at, is_new] = servers_.try_emplace(member.name);
        auto& known = at->second;
        if (is_new) {
            known.id.address = ++last_server_number_;
            server_names_[known.id] = member.name;
            log_.event(Level::kInfo, "server_listed",
                       "server " + std::to_string(last_server_number_) + " is " + member.name + " at " +
                           net::to_text(member.endpoint),
                       {{"server", std::to_string(last_server_number_)}, {"id", member.name}});
        }
        known.endpoint = member.endpoint;
        member.entry.server = known.id;
        named.insert(known.id);
        transport_->update_server(known.id, known.endpoint, member.entry.state, member.entry.started);
        news.entries.push_back(member.entry);
    }
    const bool whole = kind == ListUpdateKind::kFull || kind == ListUpdateKind::kSaved;
    for (const auto& [name, known] : servers_) {  // a full list removes the servers that it does not name
        if (whole && !named.contains(known.id))
            transport_->update_server(known.id, known.endpoint, ServerState::kGone, 0);
    }
    enqueue(std::move(news));
}

void Dispatcher::report_list_loss(ListUpdateKind kind, std::optional<Time> since_contact,
                                  bool answered_in_part) {
    if (kind == ListUpdateKind::kFailed) counters_.add(Count::kListFailures);
    enqueue(ListUpdate{kind, {}, ListUpdate::kOld, since_contact, answered_in_part});
}

std::optional<ServerId> Dispatcher::find_server(const std::string& name) const {
    const auto at = servers_.find(name);
    return at == servers_.end() ? std::nullopt : std::optional(at->second.id);
}

// Keeps the map from growing with every server ever listed. A server that is listed again later is a new
// server.
void Dispatcher::forget_server(ServerId server) {
    const auto named = server_names_.find(server);
    if (named == server_names_.end()) return;
    servers_.erase(named->second);
    server_names_.erase(named);
}

void Dispatcher::execute(const Send& send) {
    const auto part = parts_.find(send.part);
    const Time now = last_turn_at_;
    PartSend call{send.part, send.number, send.server, {}, 0, nullptr, now, now};
    // The client left in the same turn. The outcome names exactly this send: if it named another send of the
    // part, this one would count as outstanding at its server for good, and a server on trial would not be
    // tried again.
    if (part == parts_.end()) {
        return enqueue(SendEnded{send.part, send.number, send.server, 0, Outcome::kNeverSent, {}});
    }
    const auto& open = multigets_.at(part->second.multiget);
    ++part->second.possibly_run_sends;
    call.multiget_name = open.name;
    call.shard = part->second.shard;
    call.query = routing_ == nullptr ? open.query : routing_->request_text(call.shard, open.query);
    call.deadline = send.try_for > 0 ? std::min(open.not_after, now + send.try_for) : open.not_after;
    counters_.add(Count::kSends);
    outstanding_sends_.emplace(std::pair{call.part, call.send_number}, call.multiget_name);
    adjust_name_uses(call.multiget_name, 1);
    request_log_.attempt(call);
    if (call.send_number >= max_sends_ || call.deadline <= now) return finish_send(call, Outcome::kNeverSent);
    transport_->send(std::move(call));
}

void Dispatcher::execute(const CancelSend& call_off) {
    if (!outstanding_sends_.contains({call_off.part, call_off.send}))
        return;  // the send ended in the same turn
    counters_.add(Count::kCallOffs);
    transport_->cancel(call_off.part, call_off.send);
}

void Dispatcher::execute(const Answer& answer) {
    counters_.add(answer.whole ? Count::kAnsweredWhole : Count::kAnsweredInPart);
    MultigetResult ending;
    ending.kind = MultigetResult::Kind::kAnswered;
    ending.whole = answer.whole;
    finish_multiget(answer.multiget, std::move(ending), "");
}

void Dispatcher::execute(const PushBack& push_back) {
    counters_.add(Count::kPushedBack);
    MultigetResult ending;
    ending.kind = MultigetResult::Kind::kPushedBack;
    ending.wait = push_back.wait;
    finish_multiget(push_back.multiget, std::move(ending), name_of(push_back.reason));
}

void Dispatcher::execute(const Fail& fail) {
    counters_.add(Count::kFailed);
    finish_multiget(fail.multiget, {}, name_of(fail.reason));
}

void Dispatcher::execute(const SetTimer& timer) {
    timers_.emplace(last_turn_at_ + std::max<Time>(1, timer.after), timer.token);
}

void Dispatcher::execute(const LogLine& line) {
    // The module's log lines begin with the event name, as in "aside 3: silence" or "pressure: alpha rises".
    log_.event(Level::kInfo, std::string_view(line.text).substr(0, line.text.find_first_of(" :")), line.text);
}

void Dispatcher::execute(const Probe& probe) { enqueue(ProbeEnded{probe.server, false, 0, {}}); }

std::string Dispatcher::format_list_age() const {
    if (last_list_contact_ == 0) return "never heard before";
    char text[48];
    std::snprintf(text, sizeof text, "heard %.3f s ago",
                  static_cast<double>(scheduler_.clock() - last_list_contact_) / 10'000);
    return text;
}

std::string Dispatcher::print_gauges() const {
    std::string out;
    append_line(out, "open_multigets", multigets_.size());
    append_line(out, "open_parts", open_parts_);
    append_line(out, "open_most_at_once", peak_open_);
    append_line(out, "sends_out", outstanding_sends_.size());
    append_line(out, "list_age_ms",
                last_list_contact_ == 0
                    ? 0
                    : static_cast<std::uint64_t>(scheduler_.clock() - last_list_contact_) / 10);
    if (value_budget_ != nullptr) {
        append_line(out, "value_memory_bytes", value_budget_->used());
        append_line(out, "value_memory_bytes_most", value_budget_->most_used());
        append_line(out, "value_memory_bytes_limit", value_budget_->limit());
    }
    return out;
}

}  // namespace pinedoor::service
