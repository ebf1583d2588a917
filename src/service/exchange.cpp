#include "service/exchange.hpp"

#include <algorithm>
#include <cstdio>
#include <set>

namespace pinedoor::service {
namespace {

std::string_view name_of(const Ending& ending) {
    switch (ending.kind) {
        case Ending::Kind::kAnswered: return ending.whole ? "answered whole" : "answered in part";
        case Ending::Kind::kPushedBack: return "refused";
        default: return "failed";
    }
}

// Whether the protocol proves that the send never ran (docs/architecture.md, outcomes of sends). All other
// sends may have run.
bool never_ran(Outcome outcome) {
    return outcome == Outcome::kFull || outcome == Outcome::kNoConnection || outcome == Outcome::kNeverSent;
}

}  // namespace

Exchange::Exchange(net::Scheduler& scheduler, FrontNode node, Time turn, int most_open, int most_sends,
                   Counters& counters, Log& log)
    : scheduler_(scheduler), node_(std::move(node)), turn_(std::max<Time>(1, turn)),
      most_open_(static_cast<std::size_t>(most_open)), most_sends_(most_sends), counters_(counters),
      log_(log), request_log_(log), waiter_(scheduler) {}

void Exchange::join(Caller& caller, Lister& lister, Routes* routes) {
    caller_ = &caller;
    lister_ = &lister;
    routes_ = routes;
}

void Exchange::start() {
    task_ = run();
    // No multiget is answered without turns, so a failure ends the process, which its supervisor restarts.
    task_.start([this](std::exception_ptr failure) {
        scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

net::Task Exchange::run() {
    for (;;) {
        Time due = bells_.empty() ? net::kNever : bells_.begin()->first;
        if (!events_.empty()) due = 0;
        due = std::max(due, next_turn_);
        const Time now = scheduler_.now();
        if (now >= due)
            turn(now);
        else
            co_await waiter_.wait(0, due);
    }
}

void Exchange::turn(Time now) {
    must_hold(now >= last_turn_, counters_);
    last_turn_ = now;
    next_turn_ = now + turn_;
    counters_.add(Count::kTurns);
    auto events = std::exchange(events_, {});
    // If the process was suspended, list changes and requests may arrive in one turn: the list changes are
    // applied first, so that they count for these requests.
    std::stable_partition(events.begin(), events.end(),
                          [](const Event& event) { return std::holds_alternative<ListNews>(event); });
    while (!bells_.empty() && bells_.begin()->first <= now) {
        events.emplace_back(Bell{bells_.begin()->second});
        bells_.erase(bells_.begin());
    }
    for (const auto& action : node_.turn(now, events)) {
        std::visit([this](const auto& what) { carry_out(what); }, action);
    }
    caller_->flush();
}

void Exchange::happened(Event event) {
    events_.push_back(std::move(event));
    waiter_.signal();
}

Id Exchange::new_id() {
    const auto in_use = [this](Id id) {
        const auto sent = out_.lower_bound({id, 0});
        return id == 0 || multigets_.contains(id) || parts_.contains(id) ||
               (sent != out_.end() && sent->first.first == id);
    };
    do ++last_id_;
    while (in_use(last_id_));
    return last_id_;
}

void Exchange::hold_name(const std::string& name, int by) {
    auto& held = names_[name];
    held += by;
    if (held == 0) names_.erase(name);
}

// Requests are rejected while the number of open multigets and unanswered parts has reached the limit. The
// last accepted multiget may exceed it, and answered parts do not count: otherwise a node with two multigets
// of the largest size would reject a third one that the settings allow for.
Acceptance Exchange::could_take(const std::string& name) const {
    if (open_now() >= most_open_) {
        counters_.add(Count::kNoRoom);
        log_.event(Level::kInfo, "no_room", "no room: " + std::to_string(open_now()) + " open",
                   {{"open", std::to_string(open_now())}});
        return Acceptance::kNoRoom;
    }
    // Index servers identify parts by the multiget's name, so two open multigets must not share one.
    return names_.contains(name) ? Acceptance::kNameInUse : Acceptance::kTaken;
}

TakenRequest Exchange::ask(MultigetAsked asked, std::function<void(Ending)> ended) {
    if (const auto could = could_take(asked.name); could != Acceptance::kTaken) {
        request_log_.not_taken(asked.name, could == Acceptance::kNoRoom ? "no room" : "name in use");
        return {could, 0};
    }
    request_log_.taken(asked.name, asked.parts.size());
    counters_.add(Count::kTaken);
    MultigetArrival told{new_id(),     ++last_number_,  asked.op_type,         asked.tenant,
                         asked.repeat, asked.not_after, std::move(asked.parts)};
    auto& open = multigets_[told.id];
    open.name = asked.name;
    open.text = std::make_shared<const std::string>(std::move(asked.text));
    open.not_after = told.not_after;
    open.tells_parts = asked.tells_parts;
    open.ended = std::move(ended);
    hold_name(open.name, 1);
    for (auto& part : told.parts) {
        part.id = new_id();
        open.parts.push_back(part.id);
        parts_[part.id].multiget = told.id;
        parts_[part.id].shard = part.shard;
    }
    parts_open_ += open.parts.size();
    most_at_once_ = std::max(most_at_once_, multigets_.size() + parts_open_);
    const Id id = told.id;
    happened(std::move(told));
    return {Acceptance::kTaken, id};
}

store::PartFates Exchange::leave(Ticket ticket) {
    const auto multiget = static_cast<Id>(ticket);
    const auto at = multigets_.find(multiget);
    if (at == multigets_.end()) return {};
    request_log_.ended(at->second.name, "left by its client", "");
    auto parts = at->second.tells_parts ? fates(at->second) : store::PartFates{};
    forget(at);
    counters_.add(Count::kClientsGone);
    happened(ClientLeft{multiget});
    return parts;
}

store::PartFates Exchange::fates(const Open& open) const {
    store::PartFates fates;
    for (const Id id : open.parts) fates.emplace_back(parts_.at(id).shard, parts_.at(id).fate());
    return fates;
}

Exchange::Open Exchange::forget(std::map<Id, Open>::iterator at) {
    auto open = std::move(at->second);
    multigets_.erase(at);
    for (const Id part : open.parts) {
        const auto found = parts_.find(part);
        parts_open_ -= found->second.in ? 0U : 1U;
        parts_.erase(found);
    }
    hold_name(open.name, -1);
    return open;
}

void Exchange::end(Id multiget, Ending ending, std::string_view reason) {
    const auto at = multigets_.find(multiget);
    if (at == multigets_.end()) return;  // the client left in the same turn
    if (ending.kind == Ending::Kind::kAnswered) {
        for (const Id id : at->second.parts) {
            auto& part = parts_.at(id);
            if (part.in && !part.moved) ending.values.emplace_back(part.shard, std::move(part.value));
        }
    }
    request_log_.ended(at->second.name, name_of(ending), reason);
    if (at->second.tells_parts) ending.parts = fates(at->second);
    forget(at).ended(std::move(ending));
}

std::optional<std::map<Id, Exchange::OpenPart>::iterator> Exchange::take_out(const PartCall& call,
                                                                             Outcome outcome) {
    const auto at = out_.find({call.part, call.send});
    if (!must_hold(at != out_.end(), counters_)) return std::nullopt;  // each send gets exactly one outcome
    hold_name(at->second, -1);
    out_.erase(at);
    constexpr auto kFirst = static_cast<std::size_t>(Count::kReturned);
    counters_.add(static_cast<Count>(kFirst + static_cast<std::size_t>(outcome)));
    return parts_.find(call.part);
}

void Exchange::over(const PartCall& call, Outcome outcome, std::vector<double> load, std::string value) {
    const auto found = take_out(call, outcome);
    if (!found) return;
    request_log_.attempt_ended(call, outcome);
    const auto part = *found;
    if (part != parts_.end()) {
        part->second.ran |= outcome == Outcome::kReturned;
        if (never_ran(outcome)) --part->second.doubtful;
    }
    if (outcome == Outcome::kReturned && part != parts_.end() && !part->second.in) {
        part->second.in = true;
        --parts_open_;
        part->second.value = std::move(value);
    }
    const Time now = scheduler_.now();
    // The server has just been sent a cancellation of this send. Delay the replacement by one turn, as after
    // a cancelled send: otherwise it might arrive first, on another connection, as a second copy.
    if (outcome == Outcome::kTimedOut) next_turn_ = std::max(next_turn_, now + turn_);
    happened(SendEnded{call.part, call.send, call.server, now - call.sent, outcome, std::move(load)});
}

void Exchange::moved(const PartCall& call, std::uint64_t epoch, std::vector<double> load) {
    const auto found = take_out(call, Outcome::kReturned);
    if (!found) return;
    const auto part = *found;
    happened(SendEnded{call.part, call.send, call.server, scheduler_.now() - call.sent, Outcome::kReturned,
                       std::move(load)});
    if (part == parts_.end()) return;
    --part->second.doubtful;
    if (std::exchange(part->second.in, true)) return;
    part->second.moved = true;
    --parts_open_;
    routes_->refused(call.shard, epoch);
}

bool Exchange::wants(Id part) const {
    const auto at = parts_.find(part);
    return at != parts_.end() && !at->second.in;
}

void Exchange::hear(const std::string& server, ServerWord word) {
    const auto at = servers_.find(server);
    if (at == servers_.end()) return;
    word.server = at->second.id;
    happened(word);
}

std::vector<std::pair<std::string, ServerView>> Exchange::servers() const {
    std::map<ServerId, const std::string*> names;
    for (const auto& [name, known] : servers_) names[known.id] = &name;
    std::vector<std::pair<std::string, ServerView>> all;
    for (const auto& view : node_.servers()) {
        if (const auto named = names.find(view.server); named != names.end())
            all.emplace_back(*named->second, view);
    }
    return all;
}

void Exchange::list_news(ListKind kind, std::vector<Member> members, Time age) {
    counters_.add(Count::kListNews);
    list_heard_ = scheduler_.now() - std::max<Time>(0, age);
    ListNews news{kind, {}, age < 0 ? ListNews::kOld : age, {}, false};
    std::set<ServerId> named;
    for (auto& member : members) {
        // A server keeps its id for as long as it is listed, even if its address changes.
        const auto [at, is_new] = servers_.try_emplace(member.name);
        auto& known = at->second;
        if (is_new) {
            known.id.address = ++last_server_;
            log_.event(Level::kInfo, "server_listed",
                       "server " + std::to_string(last_server_) + " is " + member.name + " at " +
                           net::to_text(member.at),
                       {{"server", std::to_string(last_server_)}, {"id", member.name}});
        }
        known.at = member.at;
        member.entry.server = known.id;
        named.insert(known.id);
        caller_->learn(known.id, known.at, member.entry.state, member.entry.started);
        news.entries.push_back(member.entry);
    }
    const bool whole = kind == ListKind::kFull || kind == ListKind::kSaved;
    for (const auto& [name, known] : servers_) {  // a full list removes the servers that it does not name
        if (whole && !named.contains(known.id)) caller_->learn(known.id, known.at, ServerState::kGone, 0);
    }
    happened(std::move(news));
}

void Exchange::list_lost(ListKind kind, std::optional<Time> unheard, bool answered_in_part) {
    if (kind == ListKind::kFailed) counters_.add(Count::kListFailures);
    happened(ListNews{kind, {}, ListNews::kOld, unheard, answered_in_part});
}

std::optional<ServerId> Exchange::server_named(const std::string& name) const {
    const auto at = servers_.find(name);
    return at == servers_.end() ? std::nullopt : std::optional(at->second.id);
}

// Keeps the map from growing with every server ever listed. A server that is listed again later is a new
// server.
void Exchange::forget(ServerId server) {
    std::erase_if(servers_, [&](const auto& each) { return each.second.id == server; });
}

void Exchange::carry_out(const Send& send) {
    const auto part = parts_.find(send.part);
    const Time now = last_turn_;
    PartCall call{send.part, send.number, send.server, {}, 0, nullptr, now, now};
    // The client left in the same turn. The outcome names exactly this send: if it named another send of the
    // part, this one would count as outstanding at its server for good, and a server on trial would not be
    // tried again.
    if (part == parts_.end()) {
        return happened(SendEnded{send.part, send.number, send.server, 0, Outcome::kNeverSent, {}});
    }
    const auto& open = multigets_.at(part->second.multiget);
    ++part->second.doubtful;
    call.name = open.name;
    call.shard = part->second.shard;
    call.text = routes_ == nullptr ? open.text : routes_->text(call.shard, open.text);
    call.until = send.try_for > 0 ? std::min(open.not_after, now + send.try_for) : open.not_after;
    counters_.add(Count::kSends);
    out_.emplace(std::pair{call.part, call.send}, call.name);
    hold_name(call.name, 1);
    request_log_.attempt(call);
    if (call.send >= most_sends_ || call.until <= now) return over(call, Outcome::kNeverSent);
    caller_->call(std::move(call));
}

void Exchange::carry_out(const CallOff& call_off) {
    if (!out_.contains({call_off.part, call_off.send})) return;  // the send ended in the same turn
    counters_.add(Count::kCallOffs);
    caller_->call_off(call_off.part, call_off.send);
}

void Exchange::carry_out(const Answer& answer) {
    counters_.add(answer.whole ? Count::kAnsweredWhole : Count::kAnsweredInPart);
    Ending ending;
    ending.kind = Ending::Kind::kAnswered;
    ending.whole = answer.whole;
    end(answer.multiget, std::move(ending), "");
}

void Exchange::carry_out(const PushBack& push_back) {
    counters_.add(Count::kPushedBack);
    Ending ending;
    ending.kind = Ending::Kind::kPushedBack;
    ending.wait = push_back.wait;
    end(push_back.multiget, std::move(ending), name_of(push_back.reason));
}

void Exchange::carry_out(const Fail& fail) {
    counters_.add(Count::kFailed);
    end(fail.multiget, {}, name_of(fail.reason));
}

void Exchange::carry_out(const SetBell& bell) {
    bells_.emplace(last_turn_ + std::max<Time>(1, bell.after), bell.token);
}

void Exchange::carry_out(const LogLine& line) {
    // The module's log lines begin with the event name, as in "aside 3: silence" or "pressure: alpha rises".
    log_.event(Level::kInfo, std::string_view(line.text).substr(0, line.text.find_first_of(" :")), line.text);
}

void Exchange::carry_out(const Probe& probe) { happened(Probed{probe.server, false, 0, {}}); }

std::string Exchange::print_list_age() const {
    if (list_heard_ == 0) return "never heard before";
    char text[48];
    std::snprintf(text, sizeof text, "heard %.3f s ago",
                  static_cast<double>(scheduler_.now() - list_heard_) / 10'000);
    return text;
}

std::string Exchange::print_gauges() const {
    std::string out;
    append_line(out, "open_multigets", multigets_.size());
    append_line(out, "open_parts", parts_open_);
    append_line(out, "open_most_at_once", most_at_once_);
    append_line(out, "sends_out", out_.size());
    append_line(out, "list_age_ms",
                list_heard_ == 0 ? 0 : static_cast<std::uint64_t>(scheduler_.now() - list_heard_) / 10);
    return out;
}

}  // namespace pinedoor::service
