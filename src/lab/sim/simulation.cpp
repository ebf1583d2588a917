#include "lab/sim/simulation.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>

namespace pinedoor::lab {
namespace {

constexpr Time kSecond = 10'000;
constexpr Time kStopSendingWithin = 2'500;  // from receiving that a server was removed to the last send to it
constexpr Time kGrace = 200;                // allowance for an answer to reach the client
constexpr Time kDrainTime = 5'000;          // how long a replaced server is listed as draining
constexpr Time kIdleTimeout = 300'000;      // idle connections are closed after this

std::string name_of(RetrySafety repeat) {
    return repeat == RetrySafety::kRetriable ? "retriable"
           : repeat == RetrySafety::kDeduped ? "deduped"
                                             : "non-retriable";
}

std::string name_of(Outcome outcome) {
    static constexpr const char* kNames[] = {"returned",      "error", "full",      "timed-out",
                                             "no-connection", "reset", "cancelled", "never-sent"};
    return kNames[static_cast<std::size_t>(outcome)];
}

// A part of a multiget that a front node is processing.
struct OpenPart {
    Id multiget = 0;
    int shard = 0;
    double weight = 0;
    std::uint64_t key = 0;
    bool in = false;
    std::vector<std::uint32_t>
        sends;  // slots of its sends, in order; kEndedSend after the outcome was delivered
};
std::string part_name(std::uint64_t part) {
    return std::to_string(part >> 20U) + '.' + std::to_string(part & 0xfffffU);
}

constexpr std::uint32_t kEndedSend = UINT32_MAX;

// A multiget that a front node is processing.
struct OpenMultiget {
    std::uint64_t world_number = 0;
    std::uint32_t request = 0;
    Time not_after = 0;
    std::vector<Id> parts;
};

struct Link {  // a front node's connection to a server
    std::uint32_t generation = UINT32_MAX;
    Time used = 0;
};

}  // namespace

// The state of an emulated front node.
struct Simulation::Node {
    std::unique_ptr<Policy> front;
    std::uint32_t generation = 0;
    bool restarting = false;  // gets no new requests, and restarts once all open ones are answered
    std::vector<Event> events;
    std::multimap<Time, std::uint32_t> timers;
    Time last_turn = -1'000, turn_at = -1;  // turn_at -1: no turn is scheduled
    Id last_id = 0;
    std::uint32_t last_number = 0;
    std::unordered_map<Id, OpenMultiget> multigets;
    std::unordered_map<Id, OpenPart> parts;
    std::vector<Link> links;
    std::unordered_map<std::uint32_t, int> sent_now;  // sends of this turn, by server
};

std::string Totals::to_json() const {
    nlohmann::ordered_json json{{"service", service()},
                                {"broken", broken()},
                                {"run_twice", run_twice},
                                {"sends", sends},
                                {"parts_run", run},
                                {"events", events},
                                {"clients", nlohmann::ordered_json::array()}};
    for (const auto& each : clients) {
        json["clients"].push_back({{"name", each.name},
                                   {"asked", each.asked},
                                   {"tries", each.tries},
                                   {"whole", each.whole},
                                   {"in_part", each.in_part},
                                   {"late", each.late},
                                   {"pushed_back", each.pushed_back},
                                   {"failed", each.failed},
                                   {"left", each.left},
                                   {"lost", each.lost},
                                   {"earned", each.earned},
                                   {"possible", each.possible},
                                   {"p50_ms", each.ms.quantile(0.5)},
                                   {"p99_ms", each.ms.quantile(0.99)}});
    }
    return json.dump();
}

Simulation::Simulation(const World& world, PolicyKind policy, std::function<void(const std::string&)> log)
    : Simulation(
          world, [policy](const NodeTerms& terms) { return make_policy(policy, terms); }, std::move(log)) {}

Simulation::Simulation(const World& world, MakePolicy make, std::function<void(const std::string&)> log)
    : world_(world), make_(std::move(make)), log_(std::move(log)), chance_(world.seed),
      partitions_(static_cast<std::size_t>(world.zones)) {
    write_log("world cold_from " + std::to_string(1 / world_.servers.cold_factor) + " warm_after " +
              std::to_string(world_.servers.warm_after) + " fall " +
              std::to_string(world_.cold.overload_multiple) + " tip " +
              std::to_string(world_.cold.overload_after) + " rate " +
              std::to_string(world_.servers.cores / (world_.servers.part_ms.mean() * 10)) + " floor " +
              std::to_string(world_.further.floor) + " ratio " + std::to_string(world_.further.ratio) +
              " look_back " + std::to_string(world_.further.look_back) + " stop " +
              std::to_string(kStopSendingWithin) + " grace " + std::to_string(kGrace));
    for (std::size_t kind = 0; kind < world_.clients.size(); ++kind) {
        const auto& clients = world_.clients[kind];
        write_log("kind " + std::to_string(kind) + " repeat " + name_of(clients.type.repeat) + " least " +
                  std::to_string(clients.type.min_share) + " window " +
                  std::to_string(clients.type.dedup_window) + " budget " +
                  std::to_string(clients.type.latency_budget) + " name " + clients.name);
    }
    for (int i = 0; i < world_.servers.count; ++i) {
        servers_.push_back(std::make_unique<Server>(world_.servers.cores, world_.servers.queue));
        servers_.back()->keys.resize(static_cast<std::size_t>(world_.servers.keys_held));
    }
    for (int i = 0; i < world_.nodes; ++i) {
        nodes_.push_back(std::make_unique<Node>());
        start_node(static_cast<std::uint32_t>(i));
    }
    for (std::uint32_t kind = 0; kind < world_.clients.size(); ++kind) {
        totals_.clients.push_back({});
        totals_.clients.back().name = world_.clients[kind].name;
        schedule(0, Kind::kArrival, kind);
    }
    for (std::uint32_t i = 0; i < world_.troubles.size(); ++i) {
        schedule(world_.troubles[i].from, Kind::kFault, i, 0);
        schedule(world_.troubles[i].until, Kind::kFault, i, 1);
    }
}

Simulation::~Simulation() = default;

void Simulation::schedule(Time when, Kind kind, std::uint32_t target, std::uint32_t argument,
                          std::uint32_t generation) {
    queue_.push(when, {std::max(when, now_), target, argument, generation, kind});
}

void Simulation::write_log(const std::string& line) {
    if (log_) log_(std::to_string(now_) + ' ' + line);
}

Totals Simulation::run() {
    const Time last = world_.length + 10 * kSecond;
    while (!queue_.empty() && queue_.next() <= last) {
        const auto next = queue_.pop();
        now_ = next.time;
        ++totals_.events;
        dispatch(next);
    }
    for (const auto& node : nodes_) {
        for (const auto& [id, open] : node->multigets) ++totals_.clients[requests_[open.request].kind].lost;
    }
    return std::move(totals_);
}

void Simulation::dispatch(const QueuedEvent& event) {
    switch (event.kind) {
        case Kind::kArrival: return generate_arrival(event.target);
        case Kind::kRetry: return start_try(event.target);
        case Kind::kTurn:
            if (nodes_[event.target]->turn_at == event.time) turn(event.target);
            return;
        case Kind::kSendArrives: return arrive_at_server(event.target);
        case Kind::kPartDone:
            if (servers_[sends_[event.target].server]->generation == event.generation)
                return finish_part(event.target);
            return release(event.target);
        case Kind::kOutcomeArrives: {
            auto& out = sends_[event.target];
            if (!out.ended) end_send(event.target, out.outcome);
            return release(event.target);
        }
        case Kind::kSendTimeout:
            if (!sends_[event.target].ended) end_send(event.target, Outcome::kTimedOut);
            return release(event.target);
        case Kind::kAnswerOverdue:  // no answer within the route timeout
        case Kind::kClientLeaves: {
            auto& node = *nodes_[event.target];
            const auto open = node.generation == event.generation ? node.multigets.find(event.argument)
                                                                  : node.multigets.end();
            if (open == node.multigets.end()) return;
            end(event.target, event.argument, event.kind == Kind::kClientLeaves ? How::kLeft : How::kLost,
                false);
            return deliver(event.target, ClientDisconnected{event.argument});
        }
        case Kind::kFault:
            return toggle_fault(world_.troubles[event.target], event.argument == 0, event.target);
        case Kind::kRestart:
            if (!nodes_[event.target]->restarting || !nodes_[event.target]->multigets.empty()) return;
            write_log("killed " + std::to_string(event.target));
            return start_node(event.target);
        case Kind::kOutage: return toggle_outage(event.target, event.argument, event.generation == 1);
        case Kind::kListUpdate: {
            const auto news = entry(event.argument);
            write_log("told " + std::to_string(event.target) + " server " + std::to_string(event.argument) +
                      (news.state == ServerState::kReady ? " ready" : " gone"));
            return deliver(event.target, ListUpdate{ListUpdateKind::kChanges, {news}});
        }
    }
}

// --- Front nodes ---

void Simulation::start_node(std::uint32_t index) {
    auto& node = *nodes_[index];
    const auto generation = node.generation + 1;
    node = Node{};
    node.generation = generation;
    node.links.resize(servers_.size());
    NodeTerms terms;
    terms.seed = chance_.bits();
    terms.place = {static_cast<int>(index), world_.nodes, world_.zone_of_node(static_cast<int>(index)),
                   world_.turn};
    for (const auto& each : world_.clients) terms.op_types.push_back(each.type);
    terms.ring.places = world_.places();
    terms.ring.width = std::min(world_.width, terms.ring.places);
    terms.ring.parts_per_call = world_.parts_per_call;
    terms.ring.call_overhead = static_cast<Time>(world_.servers.call_ms.mean() * 10 + 0.5);
    terms.sends = world_.sends;
    terms.further = world_.further;
    terms.cold = world_.cold;
    terms.clients.retry_after = true;
    terms.clients.longest_retry_after = kSecond;
    for (const auto& each : world_.tenants) terms.tenants.push_back({each.per_second});
    terms.truth = this;
    node.front = make_(terms);
    ListUpdate all{ListUpdateKind::kFull, {}};
    for (std::uint32_t i = 0; i < servers_.size(); ++i) all.entries.push_back(entry(i));
    deliver(index, std::move(all));
}

void Simulation::kill_node(std::uint32_t index) {
    auto& node = *nodes_[index];
    std::vector<Id> open;
    for (const auto& [id, multiget] : node.multigets) open.push_back(id);
    std::sort(open.begin(), open.end());
    for (const Id id : open) {  // the clients' connections are closed
        write_log("gone " + std::to_string(node.multigets.at(id).world_number));
        end(index, id, How::kFailed, false);
    }
    write_log("killed " + std::to_string(index));
    ++totals_.node_kills;
    start_node(index);
}

// Restarts the node in a separate event, since the caller may be inside a turn that still uses the node's
// state.
void Simulation::restart_when_done(std::uint32_t index) { schedule(now_ + 1, Kind::kRestart, index); }

ListEntry Simulation::entry(std::uint32_t server) const {
    const auto& each = *servers_[server];
    ListEntry entry;
    entry.server = {server + 1, 0};
    entry.zone = world_.zone_of_server(static_cast<int>(server));
    entry.place = static_cast<int>(server) % world_.places();
    entry.state = !each.up()      ? ServerState::kGone
                  : each.draining ? ServerState::kDraining
                                  : ServerState::kReady;
    entry.started = each.started;
    return entry;
}

void Simulation::deliver(std::uint32_t index, Event event) {
    auto& node = *nodes_[index];
    node.events.push_back(std::move(event));
    const Time due = std::max(now_, node.last_turn + world_.turn);
    if (node.turn_at >= 0 && node.turn_at <= due) return;
    node.turn_at = due;
    schedule(due, Kind::kTurn, index);
}

void Simulation::turn(std::uint32_t index) {
    auto& node = *nodes_[index];
    node.turn_at = -1;
    node.last_turn = now_;
    auto events = std::exchange(node.events, {});
    while (!node.timers.empty() && node.timers.begin()->first <= now_) {
        events.emplace_back(TimerFired{node.timers.begin()->second});
        node.timers.erase(node.timers.begin());
    }
    const auto began = std::chrono::steady_clock::now();
    const auto actions = node.front->turn(now_, events);
    totals_.turns_seconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    ++totals_.turns;
    node.sent_now.clear();
    for (const auto& action : actions) carry_out(index, action);
    if (node.turn_at < 0 && !node.timers.empty()) {
        node.turn_at = std::max(node.timers.begin()->first, now_ + world_.turn);
        schedule(node.turn_at, Kind::kTurn, index);
    }
}

void Simulation::carry_out(std::uint32_t index, const Action& action) {
    auto& node = *nodes_[index];
    if (const auto* out = std::get_if<Send>(&action)) return send(index, *out);
    if (const auto* off = std::get_if<CancelSend>(&action)) {
        const auto part = node.parts.find(off->part);
        if (part == node.parts.end() || static_cast<std::size_t>(off->send) >= part->second.sends.size())
            return;
        const auto slot = part->second.sends[static_cast<std::size_t>(off->send)];
        if (slot == kEndedSend) return;
        if (world_.sends.cancel && !is_partitioned(index, sends_[slot].server) &&
            servers_[sends_[slot].server]->model.call_off(slot))
            release(slot);
        return end_send(slot, Outcome::kCancelled);
    }
    if (const auto* answer = std::get_if<Answer>(&action))
        return end(index, answer->multiget, How::kAnswered, answer->whole);
    if (const auto* back = std::get_if<PushBack>(&action))
        return end(index, back->multiget, How::kPushedBack, false, back->wait);
    if (const auto* fail = std::get_if<Fail>(&action)) return end(index, fail->multiget, How::kFailed, false);
    if (const auto* bell = std::get_if<SetTimer>(&action)) {
        node.timers.emplace(now_ + std::max<Time>(1, bell->after), bell->token);
        return;
    }
    if (const auto* line = std::get_if<LogLine>(&action))
        write_log("node " + std::to_string(index) + ": " + line->text);
}

// --- Clients ---

void Simulation::generate_arrival(std::uint32_t kind) {
    const auto& clients = world_.clients[kind];
    const double most = max_rate_factor(world_, clients);
    const double wait = -std::log1p(-chance_.one()) / (clients.per_second * most) * kSecond;
    if (now_ < world_.length)
        schedule(now_ + std::max<Time>(1, static_cast<Time>(wait + 0.5)), Kind::kArrival, kind);
    if (now_ == 0 || now_ >= world_.length) return;
    if (most > 1 && chance_.one() >= rate_factor(clients, now_, surge_) / most) return;
    std::uint32_t slot = 0;
    if (free_requests_.empty()) {
        slot = static_cast<std::uint32_t>(requests_.size());
        requests_.emplace_back();
    } else {
        slot = free_requests_.back();
        free_requests_.pop_back();
    }
    requests_[slot] = draw_request(world_, kind, now_, chance_);
    auto& totals = totals_.clients[kind];
    ++totals.asked;
    totals.possible += clients.type.importance;
    start_try(slot);
}

void Simulation::start_try(std::uint32_t slot) {
    auto& request = requests_[slot];
    const auto& clients = world_.clients[request.kind];
    auto index = static_cast<std::uint32_t>(draw_node(world_, shift_, chance_));
    for (std::size_t i = 0; i < nodes_.size() && nodes_[index]->restarting; ++i)
        index = static_cast<std::uint32_t>((index + 1) % nodes_.size());
    auto& node = *nodes_[index];
    ++totals_.clients[request.kind].tries;
    MultigetArrival arrival;
    arrival.id = ++node.last_id;
    arrival.number = ++node.last_number;
    arrival.op_type = static_cast<int>(request.kind);
    arrival.tenant = request.tenant;
    arrival.not_after = now_ + clients.type.route_timeout;
    OpenMultiget open{++multigets_, slot, arrival.not_after, {}};
    const bool again = request.effect != 0;
    if (!again) request.effect = open.world_number;
    for (auto part : request.parts) {
        part.id = ++node.last_id;
        open.parts.push_back(part.id);
        node.parts[part.id] = {arrival.id, part.shard, part.weight, part.key, false, {}};
        arrival.parts.push_back(part);
    }
    if (log_) {
        const auto number = std::to_string(open.world_number);
        std::string line = "ask " + number + " node " + std::to_string(index) + " kind " +
                           std::to_string(request.kind) + " until " + std::to_string(arrival.not_after) +
                           " parts";
        for (const auto& part : arrival.parts)
            line += ' ' + std::to_string(part.shard) + ':' + std::to_string(part.weight);
        write_log(line);
        if (again) write_log("same " + number + " as " + std::to_string(request.effect));
        if (world_.tenants.size() > 1)
            write_log("tenant " + number + ' ' +
                      world_.tenants[static_cast<std::size_t>(request.tenant)].name);
    }
    schedule(arrival.not_after + kGrace, Kind::kAnswerOverdue, index, arrival.id, node.generation);
    if (const auto leaves = static_cast<Time>(clients.leave_ms(chance_) * 10);
        leaves > 0 && leaves < clients.type.route_timeout)
        schedule(now_ + leaves, Kind::kClientLeaves, index, arrival.id, node.generation);
    node.multigets[arrival.id] = std::move(open);
    deliver(index, std::move(arrival));
}

void Simulation::end(std::uint32_t index, Id id, How how, bool whole, Time wait) {
    auto& node = *nodes_[index];
    const auto found_open = node.multigets.find(id);
    if (found_open == node.multigets.end()) return;
    const auto open = std::move(found_open->second);
    node.multigets.erase(found_open);
    if (node.restarting) restart_when_done(index);
    auto& request = requests_[open.request];
    const auto& clients = world_.clients[request.kind];
    const auto& type = clients.type;
    auto& totals = totals_.clients[request.kind];
    double in = 0;
    std::string in_text;
    for (const Id part : open.parts) {
        const auto found = node.parts.find(part);
        if (found->second.in) in += found->second.weight;
        if (found->second.in && log_) in_text += ' ' + std::to_string(found->second.shard);
        node.parts.erase(found);
    }
    if (log_ && how != How::kLost) {
        const auto name = std::to_string(open.world_number);
        write_log(how == How::kPushedBack ? "push " + name
                  : how == How::kFailed   ? "fail " + name
                  : how == How::kLeft
                      ? "gone " + name
                      : "answer " + name + (whole ? " whole" : " part") + " shards" + in_text);
    }
    const bool may_again =
        how == How::kPushedBack || (how == How::kFailed && type.repeat == RetrySafety::kRetriable);
    if (may_again && request.tries_left > 0) {
        --request.tries_left;
        const auto own = static_cast<Time>(clients.retry_wait_ms(chance_) * 10);
        return schedule(now_ + std::max({own, wait, Time{1}}), Kind::kRetry, open.request);
    }
    totals.note(type, how, whole, in, now_ - request.first_asked);
    free_requests_.push_back(open.request);
}

// --- Sends ---

bool Simulation::is_partitioned(std::uint32_t node, std::uint32_t server) const {
    const auto here = static_cast<std::size_t>(world_.zone_of_node(static_cast<int>(node)));
    const auto there = static_cast<std::size_t>(world_.zone_of_server(static_cast<int>(server)));
    return here != there && (partitions_[here] > 0 || partitions_[there] > 0);
}

Time Simulation::travel(std::uint32_t node, std::uint32_t server) {
    const bool near =
        world_.zone_of_node(static_cast<int>(node)) == world_.zone_of_server(static_cast<int>(server));
    return servers_[server]->travel(world_, near, chance_);
}

void Simulation::send(std::uint32_t index, const Send& asked) {
    auto& node = *nodes_[index];
    const auto found = node.parts.find(asked.part);
    if (found == node.parts.end())
        return deliver(index, SendEnded{asked.part, 0, asked.server, 0, Outcome::kNeverSent, {}});
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
    const auto& request = requests_[open.request];
    auto& out = sends_[slot];
    out = InFlightSend{};
    out.node = index;
    out.generation = node.generation;
    out.part = asked.part;
    out.number = static_cast<int>(part.sends.size());
    out.server = asked.server.address - 1;
    out.op_type = request.kind;
    out.multiget = open.world_number << 20U | static_cast<std::uint64_t>(part.shard);
    out.effect = request.effect << 20U | static_cast<std::uint64_t>(part.shard);
    out.key = part.key;
    out.sent = now_;
    out.until = asked.try_for > 0 ? std::min(open.not_after, now_ + asked.try_for) : open.not_after;
    out.first_of_call = node.sent_now[out.server]++ % world_.parts_per_call == 0;
    out.references = 2;
    part.sends.push_back(slot);
    ++totals_.sends;
    if (log_) {
        write_log("send " + part_name(out.multiget) + " node " + std::to_string(index) + " server " +
                  std::to_string(out.server) + " number " + std::to_string(out.number));
    }
    schedule(out.until, Kind::kSendTimeout, slot);
    auto& server = *servers_[out.server];
    auto& link = node.links[out.server];
    const bool fresh = link.generation != server.generation || link.used < now_ - kIdleTimeout;
    if (server.vanished > 0 ||
        is_partitioned(index, out.server)) {  // connecting times out; on an open connection there is no reply
        if (fresh) {
            out.outcome = Outcome::kNoConnection;
            return schedule(now_ + world_.sends.connect_timeout, Kind::kOutcomeArrives, slot);
        }
        link.used = now_;
        return release(slot);
    }
    link = {server.generation, now_};
    ++server.in_flight;
    const Time handshake = fresh ? 2 * travel(index, out.server) : 0;
    schedule(now_ + handshake + travel(index, out.server), Kind::kSendArrives, slot);
}

void Simulation::release(std::uint32_t slot) {
    if (--sends_[slot].references == 0) free_.push_back(slot);
}

void Simulation::arrive_at_server(std::uint32_t slot) {
    auto& out = sends_[slot];
    auto& server = *servers_[out.server];
    if (!out.reached) {
        --server.in_flight;
        if (log_) write_log("reach " + part_name(out.multiget) + " server " + std::to_string(out.server));
    }
    out.server_generation = server.generation;
    out.reached = true;
    if (server.vanished > 0) {
        // no reply
    } else if (!server.up()) {
        answer_back(slot, Outcome::kNoConnection);
    } else if (server.hung > 0) {
        server.held.push_back(slot);
        ++out.references;
    } else if (server.full > 0 || server.draining) {
        answer_back(slot, Outcome::kFull);
    } else if (out.ended && world_.sends.cancel) {
        // cancelled before it arrived
    } else {
        switch (server.model.offer(slot)) {
            case ServerModel::Taken::kBegun:
                ++out.references;
                begin_part(slot);
                break;
            case ServerModel::Taken::kQueued: ++out.references; break;
            case ServerModel::Taken::kFull: answer_back(slot, Outcome::kFull); break;
        }
    }
    release(slot);
}

// Starts a part on a core; the send keeps a reference while the part is processed.
void Simulation::begin_part(std::uint32_t slot) {
    auto& out = sends_[slot];
    auto& server = *servers_[out.server];
    const Time work = server.work(world_, now_, out.first_of_call, out.key, chance_);
    ++totals_.run;
    if (log_) write_log("run " + part_name(out.multiget) + " server " + std::to_string(out.server));
    if (world_.clients[out.op_type].type.repeat == RetrySafety::kNonRetriable &&
        ++run_counts_[out.effect] > 1)
        ++totals_.run_twice;
    schedule(now_ + work, Kind::kPartDone, slot, 0, server.generation);
}

void Simulation::finish_part(std::uint32_t slot) {
    auto& server = *servers_[sends_[slot].server];
    const bool spoilt = server.spoilt > 0 && chance_.one() < server.spoilt;
    const bool error = server.errors > 0 && chance_.one() < server.errors;
    answer_back(slot, spoilt ? Outcome::kReset : error ? Outcome::kError : Outcome::kReturned);
    for (auto next = server.model.ended(); next; next = server.model.ended()) {
        if (sends_[*next].ended && world_.sends.cancel) {  // already cancelled or timed out
            release(*next);
            continue;
        }
        begin_part(*next);
        break;
    }
    release(slot);
}

void Simulation::answer_back(std::uint32_t slot, Outcome outcome) {
    auto& out = sends_[slot];
    if (out.ended || is_partitioned(out.node, out.server)) return;
    out.outcome = outcome;
    ++out.references;
    schedule(now_ + travel(out.node, out.server), Kind::kOutcomeArrives, slot);
}

void Simulation::end_send(std::uint32_t slot, Outcome outcome) {
    auto& out = sends_[slot];
    out.ended = true;
    auto& node = *nodes_[out.node];
    if (node.generation != out.generation) return;  // the front node that sent it was restarted
    if (log_) write_log("back " + part_name(out.multiget) + ' ' + name_of(outcome));
    if (outcome == Outcome::kTimedOut && world_.sends.cancel && !is_partitioned(out.node, out.server)) {
        if (servers_[out.server]->model.call_off(slot)) release(slot);
    }
    if (const auto part = node.parts.find(out.part); part != node.parts.end()) {
        part->second.sends[static_cast<std::size_t>(out.number)] = kEndedSend;
        part->second.in |= outcome == Outcome::kReturned;
    }
    deliver(out.node, SendEnded{out.part, out.number, {out.server + 1, 0}, now_ - out.sent, outcome, {}});
}

// --- Truth, the actual state for the omniscient policy ---

Time Simulation::expected_latency(int node, ServerId id) const {
    const auto index = id.address - 1;
    const auto& server = *servers_[index];
    if (!server.up() || server.vanished > 0 || server.hung > 0 || server.full > 0 || server.draining ||
        is_partitioned(static_cast<std::uint32_t>(node), index))
        return kNever;
    const double good = (1 - server.errors) * (1 - server.spoilt);
    if (good <= 0.01) return kNever;
    const double ms = (world_.servers.part_ms.mean() + world_.servers.call_ms.mean()) * server.slow *
                      server.cold_slowdown(world_, now_);
    const auto ahead = static_cast<double>(server.model.held()) + server.in_flight;
    if (ahead >= world_.servers.queue + world_.servers.cores) return kNever;
    const double waits = std::max(0.0, ahead - world_.servers.cores + 1) / world_.servers.cores;
    const bool near = world_.zone_of_node(node) == world_.zone_of_server(static_cast<int>(index));
    const double way = 2 * (near ? world_.delay_ms : world_.zone_delay_ms).mean() * server.links;
    return static_cast<Time>((ms * (1 + waits) + way) / good * 10 + 0.5);
}

// --- Faults ---

// Sends the server's state to every front node after the list delay, or once discovery is up again.
void Simulation::announce_state(std::uint32_t server) {
    if (discovery_down_ > 0) {
        unannounced_.insert(server);
        return;
    }
    for (std::uint32_t node = 0; node < nodes_.size(); ++node)
        schedule(now_ + static_cast<Time>(world_.list_lag_ms(chance_) * 10 + 0.5), Kind::kListUpdate, node,
                 server);
}

void Simulation::stop_server(std::uint32_t index, bool silently) {
    auto& server = *servers_[index];
    server.vanished += silently ? 1 : 0;
    if (++server.down > 1) return;
    for (std::uint32_t slot = 0; slot < sends_.size() && !silently; ++slot) {
        const auto& out = sends_[slot];
        if (out.references > 0 && out.reached && !out.ended && out.server == index &&
            out.server_generation == server.generation)
            answer_back(slot, Outcome::kReset);
    }
    ++server.generation;  // invalidates the parts that it was processing
    for (const auto slot : server.model.clear()) release(slot);
    for (const auto slot : std::exchange(server.held, {})) release(slot);
    std::fill(server.keys.begin(), server.keys.end(), 0U);
    announce_state(index);
}

void Simulation::start_server(std::uint32_t index, bool silently) {
    auto& server = *servers_[index];
    server.vanished -= silently ? 1 : 0;
    if (--server.down > 0) return;
    server.draining = false;
    server.started = now_;
    write_log("start " + std::to_string(index));
    announce_state(index);
}

void Simulation::apply_fault(const Trouble& trouble, bool begins, std::uint32_t index) {
    using Fault = Trouble::Kind;
    auto& server = *servers_[index];
    write_log("server " + std::to_string(index) + ' ' + name_of(trouble.kind) +
              (begins ? " begins" : " ends"));
    switch (trouble.kind) {
        case Fault::kCrash:
        case Fault::kFlapping:
        case Fault::kRolling:
        case Fault::kVanish:
        case Fault::kZoneLost: {
            const bool silently = trouble.kind == Fault::kVanish || trouble.kind == Fault::kZoneLost;
            if (begins) return stop_server(index, silently);
            return start_server(index, silently);
        }
        default: server.apply_fault(trouble, begins); break;
    }
    if (server.hung > 0) return;
    for (const auto slot : std::exchange(server.held, {}))
        schedule(now_, Kind::kSendArrives, slot);  // passes on the reference taken when the send was held
}

void Simulation::toggle_fault(const Trouble& trouble, bool begins, std::uint32_t index) {
    using Fault = Trouble::Kind;
    write_log("trouble " + std::to_string(index) + ' ' + name_of(trouble.kind) +
              (begins ? " begins" : " ends"));
    switch (trouble.kind) {
        case Fault::kCutOff: partitions_[static_cast<std::size_t>(trouble.zone)] += begins ? 1 : -1; return;
        case Fault::kShift: shift_ = begins ? Shift{trouble.zone, trouble.share} : Shift{}; return;
        case Fault::kReload:
        case Fault::kBadClients: return;  // only emulated on sockets
        case Fault::kNodeRestarted:
            if (!begins) return;
            for (const auto node : affected_by(world_, index)) {
                nodes_[node]->restarting = true;
                restart_when_done(node);
            }
            return;
        case Fault::kSurge: surge_ *= begins ? trouble.factor : 1 / trouble.factor; return;
        case Fault::kDiscoveryDown:
            discovery_down_ += begins ? 1 : -1;
            if (discovery_down_ > 0) return;
            for (const auto server : std::exchange(unannounced_, {})) announce_state(server);
            return;
        case Fault::kNodeKilled:
            if (!begins) return;
            for (const auto node : affected_by(world_, index)) kill_node(node);
            return;
        default: break;
    }
    const auto servers = affected_by(world_, index);
    if (trouble.kind == Fault::kPauses || trouble.kind == Fault::kFlapping ||
        trouble.kind == Fault::kRolling) {
        if (!begins) return;  // each outage schedules its own end
        Time first = now_;
        for (const auto server : servers) {
            const auto apart = trouble.kind == Fault::kRolling
                                   ? trouble.every
                                   : trouble.every / std::max<Time>(1, static_cast<Time>(servers.size()));
            schedule(first, Kind::kOutage, index, server, 0);
            first += apart;
        }
        return;
    }
    for (const auto server : servers) apply_fault(trouble, begins, server);
}

// Begins or ends one outage of a recurring fault; at the end of one the next is scheduled. A server that is
// replaced is announced as draining first.
void Simulation::toggle_outage(std::uint32_t index, std::uint32_t server, bool ends) {
    const auto& trouble = world_.troubles[index];
    const bool rolling = trouble.kind == Trouble::Kind::kRolling;
    if (ends) {
        apply_fault(trouble, false, server);
        const Time next = now_ + trouble.every - trouble.for_time;
        if (!rolling && next < trouble.until) schedule(next, Kind::kOutage, index, server, 0);
        return;
    }
    if (now_ >= trouble.until) return;
    auto& state = *servers_[server];
    if (rolling && !state.draining && state.up()) {
        state.draining = true;
        announce_state(server);
        return schedule(now_ + kDrainTime, Kind::kOutage, index, server, 0);
    }
    apply_fault(trouble, true, server);
    schedule(now_ + trouble.for_time, Kind::kOutage, index, server, 1);
}

}  // namespace pinedoor::lab
