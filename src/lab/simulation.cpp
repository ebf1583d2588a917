#include "lab/simulation.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace pinedoor::lab {
namespace {

constexpr Time kSecond = 10'000;
constexpr Time kStopWithin = 2'500;  // after a front node is told that a server is gone
constexpr Time kGrace = 200;         // an answer's way to the client

std::string name_of(Repeat repeat) {
    return repeat == Repeat::kRetriable ? "retriable"
           : repeat == Repeat::kDeduped ? "deduped"
                                        : "non-retriable";
}

std::string name_of(Outcome outcome) {
    static constexpr const char* kNames[] = {"returned",      "error", "full",      "timed-out",
                                             "no-connection", "reset", "cancelled", "never-sent"};
    return kNames[static_cast<std::size_t>(outcome)];
}

struct OpenPart {
    Id multiget = 0;
    int shard = 0;
    double weight = 0;
    bool in = false;
    std::vector<std::uint32_t> sends;  // slots, in their order; kEnded once told
};
std::string part_name(std::uint64_t part) {
    return std::to_string(part >> 20U) + '.' + std::to_string(part & 0xfffffU);
}

constexpr std::uint32_t kEnded = UINT32_MAX;

struct OpenMultiget {
    std::uint64_t world_number = 0;
    std::uint32_t kind = 0;
    Time asked = 0, not_after = 0;
    std::vector<Id> parts;
};

}  // namespace

struct Simulation::Node {
    std::unique_ptr<Policy> front;
    std::uint32_t era = 0;
    std::vector<Event> events;
    std::multimap<Time, std::uint32_t> bells;
    Time last_turn = -1'000, turn_at = -1;  // -1: none is due
    Id last_id = 0;
    std::uint32_t last_number = 0;
    std::unordered_map<Id, OpenMultiget> multigets;
    std::unordered_map<Id, OpenPart> parts;
};

double Totals::service() const {
    double earned = 0, possible = 0;
    for (const auto& each : clients) {
        earned += each.earned;
        possible += each.possible;
    }
    return possible > 0 ? earned / possible : 0;
}

Simulation::Simulation(const World& world, PolicyKind policy, std::function<void(const std::string&)> log)
    : Simulation(
          world, [policy](const NodeTerms& terms) { return make_policy(policy, terms); }, std::move(log)) {}

Simulation::Simulation(const World& world, MakePolicy make, std::function<void(const std::string&)> log)
    : world_(world), make_(std::move(make)), log_(std::move(log)), chance_(world.seed) {
    say("world cold_from " + std::to_string(1 / world_.servers.cold_factor) + " warm_after " +
        std::to_string(world_.servers.warm_after) + " fall " + std::to_string(world_.cold.fall_multiple) +
        " tip " + std::to_string(world_.cold.tip_after) + " rate " +
        std::to_string(world_.servers.cores / (world_.servers.part_ms.mean() * 10)) + " floor " +
        std::to_string(world_.further.floor) + " ratio " + std::to_string(world_.further.ratio) +
        " look_back " + std::to_string(world_.further.look_back) + " stop " + std::to_string(kStopWithin) +
        " grace " + std::to_string(kGrace));
    for (std::size_t kind = 0; kind < world_.clients.size(); ++kind) {
        const auto& type = world_.clients[kind].type;
        say("kind " + std::to_string(kind) + " repeat " + name_of(type.repeat) + " least " +
            std::to_string(type.least_share) + " window " + std::to_string(type.dedup_window));
    }
    for (int i = 0; i < world_.servers.count; ++i)
        servers_.push_back(std::make_unique<Server>(world_.servers.cores, world_.servers.queue));
    for (int i = 0; i < world_.nodes; ++i) {
        nodes_.push_back(std::make_unique<Node>());
        start_node(static_cast<std::uint32_t>(i));
    }
    for (std::uint32_t kind = 0; kind < world_.clients.size(); ++kind) {
        totals_.clients.push_back({});
        totals_.clients.back().name = world_.clients[kind].name;
        at(0, Kind::kArrival, kind);
    }
    for (std::uint32_t i = 0; i < world_.troubles.size(); ++i) {
        at(world_.troubles[i].from, Kind::kTrouble, i, 0);
        at(world_.troubles[i].until, Kind::kTrouble, i, 1);
    }
}

Simulation::~Simulation() = default;

void Simulation::at(Time when, Kind kind, std::uint32_t which, std::uint32_t what, std::uint32_t era) {
    queue_.push({std::max(when, now_), ++order_, kind, which, what, era});
}

void Simulation::say(const std::string& line) {
    if (log_) log_(std::to_string(now_) + ' ' + line);
}

Totals Simulation::run() {
    const Time last = world_.length + 10 * kSecond;
    while (!queue_.empty() && queue_.top().at <= last) {
        const auto next = queue_.top();
        queue_.pop();
        now_ = next.at;
        ++totals_.events;
        happen(next);
    }
    for (const auto& node : nodes_) {
        for (const auto& [id, open] : node->multigets) ++totals_.clients[open.kind].lost;
    }
    return std::move(totals_);
}

void Simulation::happen(const Happening& what) {
    switch (what.kind) {
        case Kind::kArrival: return arrive(what.which);
        case Kind::kTurn:
            if (nodes_[what.which]->turn_at == what.at) turn(what.which);
            return;
        case Kind::kReach: return reach(what.which);
        case Kind::kWorked:
            if (servers_[sends_[what.which].server]->era == what.era) return worked(what.which);
            return release(what.which);
        case Kind::kBack: {
            auto& out = sends_[what.which];
            if (!out.told) end_send(what.which, out.outcome);
            return release(what.which);
        }
        case Kind::kOver:
            if (!sends_[what.which].told) end_send(what.which, Outcome::kTimedOut);
            return release(what.which);
        case Kind::kGiveUp: {
            auto& node = *nodes_[what.which];
            const auto open = node.era == what.era ? node.multigets.find(what.what) : node.multigets.end();
            if (open == node.multigets.end()) return;
            ++totals_.clients[open->second.kind].lost;  // it was promised an answer within this time
            end(what.which, what.what, -1, false);
            return tell(what.which, ClientLeft{what.what});
        }
        case Kind::kTrouble: return trouble(world_.troubles[what.which], what.what == 0, what.which);
        case Kind::kHear:
            say("told " + std::to_string(what.which) + " server " + std::to_string(what.what) +
                (servers_[what.what]->up ? " ready" : " gone"));
            return tell(what.which, ListNews{ListKind::kChanges, {entry(what.what)}});
    }
}

// --- Front nodes ---

void Simulation::start_node(std::uint32_t index) {
    auto& node = *nodes_[index];
    const auto era = node.era + 1;
    node = Node{};
    node.era = era;
    NodeTerms terms;
    terms.seed = chance_.bits();
    terms.place = {static_cast<int>(index), world_.nodes, 0, world_.turn};
    for (const auto& each : world_.clients) terms.op_types.push_back(each.type);
    terms.ring.places = std::min(world_.shards, world_.servers.count);
    terms.ring.width = std::min(world_.width, terms.ring.places);
    terms.ring.parts_per_call = 8;
    terms.sends = world_.sends;
    terms.further = world_.further;
    terms.cold = world_.cold;
    terms.clients.retry_after = true;
    terms.clients.longest_retry_after = kSecond;
    node.front = make_(terms);
    ListNews all{ListKind::kFull, {}};
    for (std::uint32_t i = 0; i < servers_.size(); ++i) all.entries.push_back(entry(i));
    tell(index, std::move(all));
}

ListEntry Simulation::entry(std::uint32_t server) const {
    const auto& each = *servers_[server];
    ListEntry entry;
    entry.server = {server + 1, 0};
    entry.place = static_cast<int>(server) % std::min(world_.shards, world_.servers.count);
    entry.state = each.up ? ServerState::kReady : ServerState::kGone;
    entry.started = each.started;
    return entry;
}

void Simulation::tell(std::uint32_t index, Event event) {
    auto& node = *nodes_[index];
    node.events.push_back(std::move(event));
    const Time due = std::max(now_, node.last_turn + world_.turn);
    if (node.turn_at >= 0 && node.turn_at <= due) return;
    node.turn_at = due;
    at(due, Kind::kTurn, index);
}

void Simulation::turn(std::uint32_t index) {
    auto& node = *nodes_[index];
    node.turn_at = -1;
    node.last_turn = now_;
    auto events = std::exchange(node.events, {});
    while (!node.bells.empty() && node.bells.begin()->first <= now_) {
        events.emplace_back(Bell{node.bells.begin()->second});
        node.bells.erase(node.bells.begin());
    }
    for (const auto& action : node.front->turn(now_, events)) carry_out(index, action);
    if (node.turn_at < 0 && !node.bells.empty()) {
        node.turn_at = std::max(node.bells.begin()->first, now_ + world_.turn);
        at(node.turn_at, Kind::kTurn, index);
    }
}

void Simulation::carry_out(std::uint32_t index, const Action& action) {
    auto& node = *nodes_[index];
    if (const auto* out = std::get_if<Send>(&action)) return send(index, *out);
    if (const auto* off = std::get_if<CallOff>(&action)) {
        const auto part = node.parts.find(off->part);
        if (part == node.parts.end() || static_cast<std::size_t>(off->send) >= part->second.sends.size())
            return;
        const auto slot = part->second.sends[static_cast<std::size_t>(off->send)];
        if (slot == kEnded) return;
        if (world_.sends.cancel && servers_[sends_[slot].server]->model.call_off(slot)) release(slot);
        return end_send(slot, Outcome::kCancelled);
    }
    if (const auto* answer = std::get_if<Answer>(&action))
        return end(index, answer->multiget, 0, answer->whole);
    if (const auto* back = std::get_if<PushBack>(&action)) return end(index, back->multiget, 1, false);
    if (const auto* fail = std::get_if<Fail>(&action)) return end(index, fail->multiget, 2, false);
    if (const auto* bell = std::get_if<SetBell>(&action)) {
        node.bells.emplace(now_ + std::max<Time>(1, bell->after), bell->token);
        return;
    }
    if (const auto* line = std::get_if<LogLine>(&action))
        say("node " + std::to_string(index) + ": " + line->text);
}

// --- Clients ---

void Simulation::arrive(std::uint32_t kind) {
    const auto& clients = world_.clients[kind];
    const double wait = -std::log1p(-chance_.one()) / clients.per_second * kSecond;
    if (now_ < world_.length)
        at(now_ + std::max<Time>(1, static_cast<Time>(wait + 0.5)), Kind::kArrival, kind);
    if (now_ == 0 || now_ >= world_.length) return;
    const auto index = static_cast<std::uint32_t>(chance_.below(nodes_.size()));
    auto& node = *nodes_[index];
    auto& totals = totals_.clients[kind];
    ++totals.asked;
    totals.possible += clients.type.importance;
    MultigetArrival told;
    told.id = ++node.last_id;
    told.number = ++node.last_number;
    told.op_type = static_cast<int>(kind);
    told.not_after = now_ + clients.type.route_timeout;
    const auto places = static_cast<std::uint64_t>(std::min(world_.shards, world_.servers.count));
    const auto count =
        std::clamp<std::uint64_t>(static_cast<std::uint64_t>(clients.parts(chance_) + 0.5), 1, places);
    std::set<std::uint64_t> shards;
    while (shards.size() < count) shards.insert(chance_.below(places));
    double sum = 0;
    OpenMultiget open{++multigets_, kind, now_, told.not_after, {}};
    for (const auto shard : shards) {
        PartArrival part;
        part.id = ++node.last_id;
        part.shard = static_cast<int>(shard);
        part.weight = clients.even ? 1 : 0.05 + chance_.one();
        sum += part.weight;
        told.parts.push_back(part);
    }
    for (auto& part : told.parts) {
        part.weight /= sum;
        open.parts.push_back(part.id);
        node.parts[part.id] = {told.id, part.shard, part.weight, false, {}};
    }
    if (log_) {
        std::string line = "ask " + std::to_string(open.world_number) + " node " + std::to_string(index) +
                           " kind " + std::to_string(kind) + " until " + std::to_string(told.not_after) +
                           " parts";
        for (const auto& part : told.parts)
            line += ' ' + std::to_string(part.shard) + ':' + std::to_string(part.weight);
        say(line);
    }
    at(told.not_after + kGrace, Kind::kGiveUp, index, told.id, node.era);
    node.multigets[told.id] = std::move(open);
    tell(index, std::move(told));
}

// how: 0 answered, 1 pushed back, 2 failed, -1 nothing.
void Simulation::end(std::uint32_t index, Id id, int how, bool whole) {
    auto& node = *nodes_[index];
    const auto at_ = node.multigets.find(id);
    if (at_ == node.multigets.end()) return;
    const auto open = std::move(at_->second);
    node.multigets.erase(at_);
    const auto& type = world_.clients[open.kind].type;
    auto& totals = totals_.clients[open.kind];
    double in = 0;
    std::string in_text;
    for (const Id part : open.parts) {
        const auto found = node.parts.find(part);
        if (found->second.in) in += found->second.weight;
        if (found->second.in && log_) in_text += ' ' + std::to_string(found->second.shard);
        node.parts.erase(found);
    }
    const Time took = now_ - open.asked;
    if (how == 0) {
        const bool late = took > type.latency_budget;
        totals.late += late ? 1U : 0U;
        ++(whole ? totals.whole : totals.in_part);
        totals.ms.push_back(static_cast<float>(took) / 10);
        totals.earned +=
            type.importance * (whole ? 1 : type.short_importance * in) * (late ? type.late_importance : 1);
    } else if (how > 0) {
        ++(how == 1 ? totals.pushed_back : totals.failed);
    }
    if (log_ && how >= 0) {
        const auto name = std::to_string(open.world_number);
        say(how == 1   ? "push " + name
            : how == 2 ? "fail " + name
                       : "answer " + name + (whole ? " whole" : " part") + " shards" + in_text);
    }
}

// --- Sends ---

void Simulation::send(std::uint32_t index, const Send& asked) {
    auto& node = *nodes_[index];
    const auto found = node.parts.find(asked.part);
    if (found == node.parts.end())
        return tell(index, SendEnded{asked.part, 0, asked.server, 0, Outcome::kNeverSent, {}});
    auto& part = found->second;
    std::uint32_t slot = 0;
    if (free_.empty()) {
        slot = static_cast<std::uint32_t>(sends_.size());
        sends_.emplace_back();
    } else {
        slot = free_.back();
        free_.pop_back();
    }
    const auto& open = node.multigets.at(part.multiget);
    auto& out = sends_[slot];
    out = SendOut{};
    out.node = index;
    out.era = node.era;
    out.part = asked.part;
    out.number = static_cast<int>(part.sends.size());
    out.server = asked.server.address - 1;
    out.op_type = open.kind;
    out.multiget = open.world_number << 20U | static_cast<std::uint64_t>(part.shard);
    out.sent = now_;
    out.until = asked.try_for > 0 ? std::min(open.not_after, now_ + asked.try_for) : open.not_after;
    out.references = 2;
    part.sends.push_back(slot);
    ++totals_.sends;
    if (log_) {
        say("send " + part_name(out.multiget) + " node " + std::to_string(index) + " server " +
            std::to_string(out.server) + " number " + std::to_string(out.number));
    }
    const auto& server = *servers_[out.server];
    at(server.vanished ? now_ + world_.sends.connect_timeout : now_ + delay(), Kind::kReach, slot);
    at(out.until, Kind::kOver, slot);
}

void Simulation::release(std::uint32_t slot) {
    if (--sends_[slot].references == 0) free_.push_back(slot);
}

void Simulation::reach(std::uint32_t slot) {
    auto& out = sends_[slot];
    auto& server = *servers_[out.server];
    out.server_era = server.era;
    out.reached = true;
    if (log_) say("reach " + part_name(out.multiget) + " server " + std::to_string(out.server));
    if (server.vanished || !server.up) {
        answer_back(slot, Outcome::kNoConnection);
    } else if (server.full) {
        answer_back(slot, Outcome::kFull);
    } else if (server.hung) {
        server.held.push_back(slot);
        ++out.references;
    } else if (out.told && world_.sends.cancel) {
        // called off on its way
    } else {
        switch (server.model.offer(slot)) {
            case ServerModel::Taken::kBegun:
                ++out.references;
                begin(slot);
                break;
            case ServerModel::Taken::kQueued: ++out.references; break;
            case ServerModel::Taken::kFull: answer_back(slot, Outcome::kFull); break;
        }
    }
    release(slot);
}

// It holds a reference for as long as it is worked on.
void Simulation::begin(std::uint32_t slot) {
    auto& out = sends_[slot];
    auto& server = *servers_[out.server];
    out.working = true;
    double ms = world_.servers.part_ms(chance_) * server.slow;
    if (const Time age = now_ - server.started;
        world_.servers.warm_after > 0 && age < world_.servers.warm_after) {
        const double warm = static_cast<double>(age) / static_cast<double>(world_.servers.warm_after);
        ms *= world_.servers.cold_factor + (1 - world_.servers.cold_factor) * warm;
    }
    const auto& type = world_.clients[out.op_type].type;
    ++totals_.run;
    if (log_) say("run " + part_name(out.multiget) + " server " + std::to_string(out.server));
    if (type.repeat == Repeat::kNonRetriable && ++ran_[out.multiget] > 1) ++totals_.run_twice;
    at(now_ + std::max<Time>(1, static_cast<Time>(ms * 10 + 0.5)), Kind::kWorked, slot, 0, server.era);
}

void Simulation::worked(std::uint32_t slot) {
    auto& server = *servers_[sends_[slot].server];
    answer_back(slot,
                server.errors > 0 && chance_.one() < server.errors ? Outcome::kError : Outcome::kReturned);
    for (auto next = server.model.ended(); next; next = server.model.ended()) {
        if (sends_[*next].told && world_.sends.cancel) {  // nobody waits for it any more
            release(*next);
            continue;
        }
        begin(*next);
        break;
    }
    release(slot);
}

void Simulation::answer_back(std::uint32_t slot, Outcome outcome) {
    auto& out = sends_[slot];
    if (out.told) return;
    out.outcome = outcome;
    ++out.references;
    at(now_ + delay(), Kind::kBack, slot);
}

void Simulation::end_send(std::uint32_t slot, Outcome outcome) {
    auto& out = sends_[slot];
    out.told = true;
    auto& node = *nodes_[out.node];
    if (node.era != out.era) return;  // who asked is dead
    if (log_) say("back " + part_name(out.multiget) + ' ' + name_of(outcome));
    if (outcome == Outcome::kTimedOut && world_.sends.cancel) {
        if (servers_[out.server]->model.call_off(slot)) release(slot);
    }
    if (const auto part = node.parts.find(out.part); part != node.parts.end()) {
        part->second.sends[static_cast<std::size_t>(out.number)] = kEnded;
        part->second.in |= outcome == Outcome::kReturned;
    }
    tell(out.node, SendEnded{out.part, out.number, {out.server + 1, 0}, now_ - out.sent, outcome, {}});
}

// --- Troubles ---

std::vector<std::uint32_t> Simulation::chosen(const Trouble& trouble, std::uint32_t index,
                                              std::size_t of) const {
    std::vector<std::uint32_t> all(of);
    for (std::uint32_t i = 0; i < of; ++i) all[i] = i;
    Chance drawn(world_.seed * 1'000'003 + index);  // the same at its begin and its end
    for (std::size_t i = 0; i + 1 < of; ++i) std::swap(all[i], all[i + drawn.below(of - i)]);
    all.resize(static_cast<std::size_t>(std::lround(trouble.share * static_cast<double>(of))));
    return all;
}

void Simulation::start_server(std::uint32_t index) {
    auto& server = *servers_[index];
    server.up = true;
    server.vanished = false;
    server.started = now_;
    say("start " + std::to_string(index));
}

void Simulation::trouble(const Trouble& trouble, bool begins, std::uint32_t index) {
    using Of = Trouble::Kind;
    const bool of_nodes = trouble.kind == Of::kNodeKilled;
    for (const auto each : chosen(trouble, index, of_nodes ? nodes_.size() : servers_.size())) {
        say("trouble " + std::to_string(index) + (begins ? " begins at " : " ends at ") +
            std::to_string(each));
        if (of_nodes) {
            if (!begins) continue;
            auto& node = *nodes_[each];
            for (const auto& [id, open] : node.multigets) {  // its connections end
                ++totals_.clients[open.kind].failed;
                say("gone " + std::to_string(open.world_number));
            }
            say("killed " + std::to_string(each));
            ++totals_.node_kills;
            start_node(each);
            continue;
        }
        auto& server = *servers_[each];
        switch (trouble.kind) {
            case Of::kCrash:
            case Of::kVanish:
                if (begins) {
                    server.up = false;
                    server.vanished = trouble.kind == Of::kVanish;
                    for (std::uint32_t slot = 0; slot < sends_.size() && !server.vanished; ++slot) {
                        auto& out = sends_[slot];
                        if (out.references > 0 && out.reached && out.server == each &&
                            out.server_era == server.era)
                            answer_back(slot, Outcome::kReset);
                    }
                    ++server.era;  // what it worked on is gone
                    for (const auto slot : server.model.clear()) release(slot);
                } else {
                    start_server(each);
                }
                for (std::uint32_t node = 0; node < nodes_.size(); ++node)
                    at(now_ + world_.list_lag, Kind::kHear, node, each);
                break;
            case Of::kHang:
                server.hung = begins;
                for (const auto slot :
                     begins ? std::vector<std::uint32_t>{} : std::exchange(server.held, {})) {
                    at(now_, Kind::kReach, slot);  // with the reference that it held
                }
                break;
            case Of::kSlow: server.slow = begins ? trouble.factor : 1; break;
            case Of::kFull: server.full = begins; break;
            case Of::kErrors: server.errors = begins ? 1.0 : 0.0; break;
            case Of::kNodeKilled: break;
        }
    }
}

}  // namespace pinedoor::lab
