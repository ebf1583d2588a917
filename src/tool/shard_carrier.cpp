#include "tool/shard_carrier.hpp"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <sstream>

#include "placement/map_change.hpp"
#include "tool/command_line.hpp"

namespace pinedoor::tool {

using namespace placement;
using namespace placement::moving;

namespace {

constexpr int kPollIntervalMs = 5;
constexpr Time kRequestCheckInterval = 1'000;  // between checks for operators' requests, 0.1 ms
constexpr Time kFleetRefreshInterval =
    10'000;  // between fetches of map and list while boxes do not answer, 0.1 ms
constexpr int kFirstClientError = 400, kFirstServerError = 500;  // HTTP statuses
constexpr Time kRenewalsPerLease = 3;                            // renewals within one lease duration

}  // namespace

MoveExecutor::MoveExecutor(store::SqlDb& db, MoveExecutorConfig config,
                           std::function<void(const std::string&)> report)
    : journal_(db), config_(std::move(config)), report_(std::move(report)),
      scheduler_(config_.desk), fleet_{ShardMap::even(1, {1}, 1), {}, {}} {}

Time MoveExecutor::now() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
               .count() /
           100;
}

void MoveExecutor::refresh_fleet() {
    auto fetched = fetch_fleet(config_.discovery, config_.path, names_, config_.request_timeout_ms);
    // A discovery that lags may send an older map than it did before; decisions go by the newest one.
    if (fetched.map.version() < fleet_.map.version()) fetched.map = fleet_.map;
    fleet_ = std::move(fetched);
}

// A box that did not answer may be back at another address, or be listed only now.
void MoveExecutor::refresh_fleet_after_failure() {
    if (!request_failed_ || now() < next_fleet_refresh_) return;
    next_fleet_refresh_ = now() + kFleetRefreshInterval;
    request_failed_ = false;
    try {
        refresh_fleet();
    } catch (const CommandError&) {
        request_failed_ = true;  // discovery is away too: the view is kept, and fetched again later
    }
}

bool MoveExecutor::run() {
    journal_.init();
    if (!journal_.acquire_lease(config_.who, config_.lease))
        throw CommandError("moves are carried by " + journal_.holder() +
                           "; wait for it, or for its lease to end");
    refresh_fleet();
    std::map<std::string, std::size_t> zones;
    for (auto& each : journal_.moves(true)) {
        if (const auto from = names_.number(each.from)) each.move.from = *from;
        if (const auto to = each.to.empty() ? std::nullopt : names_.number(each.to)) each.move.to = *to;
        const auto id = each.move.id;
        const auto zone = fleet_.zones.find(each.to);
        const auto number = zones.try_emplace(zone == fleet_.zones.end() ? "" : zone->second, zones.size());
        scheduler_.add({id, each.move.shard, each.move.from, each.move.to, each.wave,
                        each.move.step != MoveStep::kPrepare, static_cast<int>(number.first->second),
                        each.move.cut.other});
        active_moves_[id].journaled = std::move(each);
    }
    auto renew_at = now() + config_.lease / kRenewalsPerLease;
    for (;;) {
        if (now() >= renew_at) {
            if (!journal_.acquire_lease(config_.who, config_.lease))
                throw CommandError("another mover has taken the moves over: " + journal_.holder());
            renew_at = now() + config_.lease / kRenewalsPerLease;
        }
        apply_operator_requests();
        check_pressure();
        refresh_fleet_after_failure();
        for (const auto id : scheduler_.begin()) start_move(id);
        for (auto& [id, active] : active_moves_) {
            if (!active.mover || active.wake_times.empty() || *active.wake_times.begin() > now()) continue;
            active.wake_times.erase(active.wake_times.begin(), active.wake_times.upper_bound(now()));
            handle_event(active, Tick{});
        }
        for (const auto id : std::exchange(finished_, {})) active_moves_.erase(id);
        const bool any = std::any_of(active_moves_.begin(), active_moves_.end(),
                                     [](const auto& each) { return each.second.mover != nullptr; });
        if (scheduler_.done() && !any) break;
        usleep(kPollIntervalMs * 1'000);
    }
    journal_.release_lease(config_.who);
    if (!scheduler_.why().empty()) report_(scheduler_.why());
    return all_done_ && scheduler_.waiting() == 0;
}

void MoveExecutor::start_move(MoveId id) {
    auto& active = active_moves_.at(id);
    auto& move = active.journaled.move;
    if (move.step == MoveStep::kPrepare) {
        refresh_fleet();
        const auto* shard = fleet_.map.find(move.shard);
        if (shard != nullptr) move.epoch = shard->epoch;
    }
    report_("move " + std::to_string(id) + ": " + std::string(name_of(move.kind)) + " of shard " +
            std::to_string(move.shard) + ' ' + active.journaled.from + " -> " + active.journaled.to + ", " +
            std::string(name_of(move.step)));
    active.mover = std::make_unique<Mover>(move, config_.move);
    active.may_be_published = move.step == MoveStep::kSwitch;
    // The map may have changed since the move was scheduled. A move that it refuses is undone before any
    // server is fenced.
    const auto refusal = move.step == MoveStep::kPrepare ? begin_refusal(move, fleet_.map) : "";
    if (!refusal.empty()) report_refusal(active, refusal);
    run_actions(active, active.mover->start(now(), active.aborted || !refusal.empty()));
}

// Runs the actions in order; an action that completes at once may append further ones.
void MoveExecutor::run_actions(ActiveMove& active, const Actions& actions) {
    std::deque<Action> to_do(actions.begin(), actions.end());
    while (!to_do.empty() && active.mover) {
        const auto action = std::move(to_do.front());
        to_do.pop_front();
        std::visit([&](const auto& each) { execute(active, each); }, action);
    }
}

void MoveExecutor::handle_event(ActiveMove& active, const Event& event) {
    if (active.mover) run_actions(active, active.mover->take(now(), event));
}

void MoveExecutor::apply_operator_requests() {
    if (now() < next_request_check_) return;
    next_request_check_ = now() + kRequestCheckInterval;
    scheduler_.by_hand(journal_.paused());
    for (const auto& each : journal_.moves(true)) {
        if (each.wish != "abort") continue;
        const auto found = active_moves_.find(each.move.id);
        if (found == active_moves_.end() || found->second.aborted) continue;
        found->second.aborted = true;
        // A box may have got a request of a waiting move already, so that one is undone too, in its turn.
        if (found->second.mover)
            handle_event(found->second, AbortRequested{});
        else
            scheduler_.abort(each.move.id);
    }
    for (auto& [id, active] : active_moves_) {
        if (!active.mover || active.mover->paused() == scheduler_.paused()) continue;
        if (scheduler_.paused())
            handle_event(active, Pause{});
        else
            handle_event(active, Resume{});
    }
}

// Computes the share of multigets that were rejected or failed since the last check, over all nodes that
// respond.
void MoveExecutor::check_pressure() {
    if (config_.nodes.empty() || now() < next_pressure_check_) return;
    next_pressure_check_ = now() + config_.pressure_interval_ms * 10;
    std::uint64_t taken = 0, refused = 0;
    for (const auto& node : config_.nodes) {
        const auto response = send_http_request(node, "GET", "/counters", "", config_.request_timeout_ms);
        if (!response || response->status != 200) continue;
        std::istringstream in(response->body);
        std::uint64_t value = 0;
        for (std::string name; in >> name >> value;) {
            if (name == "multigets_taken") taken += value;
            if (name == "multigets_pushed_back" || name == "multigets_failed" ||
                name == "multigets_without_room")
                refused += value;
        }
    }
    const auto since = [](std::uint64_t is, std::uint64_t was) { return is > was ? is - was : 0; };
    const auto new_taken = since(taken, last_taken_), new_refused = since(refused, last_refused_);
    last_taken_ = taken;
    last_refused_ = refused;
    if (!std::exchange(has_baseline_, true)) return;
    const double pressure =
        new_taken == 0 ? 0 : static_cast<double>(new_refused) / static_cast<double>(new_taken);
    const auto change = scheduler_.look(pressure);
    if (change == MoveQueue::Did::kPaused) report_("paused: the fleet is under pressure");
    if (change == MoveQueue::Did::kResumed) report_("resumed");
}

// Returns true if the box accepts; `value` is then the number it returned.
bool MoveExecutor::request_box(const ActiveMove& active, const std::string& box, const char* verb,
                               std::uint64_t& value, std::uint64_t upto, Epoch epoch) {
    const auto& move = active.mover->move();
    const auto* known = fleet_.map.find(move.shard);
    Shard shard;
    if (known != nullptr) shard = *known;
    shard.id = move.shard;
    shard.epoch = epoch == 0 ? move.epoch : epoch;
    return request_box(active, box, verb, shard, value, upto);
}

bool MoveExecutor::request_box(const ActiveMove& active, const std::string& box, const char* verb,
                               const Shard& shard, std::uint64_t& value, std::uint64_t upto) {
    const auto found = fleet_.boxes.find(box);
    if (found == fleet_.boxes.end()) {
        request_failed_ = true;
        return false;
    }
    auto& connection =
        connections_.try_emplace(box + '@' + net::to_text(found->second), found->second).first->second;
    std::ostringstream command;
    command << verb << ' ' << active.mover->move().id << ' ' << shard.id << ' ' << shard.epoch << ' '
            << print_key(shard.first) << ' ' << print_key(shard.last) << ' ' << upto;
    const auto response = connection.request(command.str(), config_.request_timeout_ms);
    crash_points_.pass(std::string("asked-") + verb);
    if (!response) request_failed_ = true;
    if (!response || !response->accepted) return false;
    value = response->value;
    return true;
}

bool MoveExecutor::fence_parents(const ActiveMove& active, std::uint64_t& value) {
    for (const auto* parent : parents(active.journaled.move, fleet_.map)) {
        if (parent == nullptr || !request_box(active, active.journaled.from, "fence", *parent, value))
            return false;
    }
    return true;
}

// A parent that is no longer in the map is unfenced too, which needs no more than its id.
bool MoveExecutor::unfence_parents(const ActiveMove& active) {
    std::uint64_t value = 0;
    bool all = true;
    for (const auto id : parent_ids(active.journaled.move)) {
        Shard parent;
        parent.id = id;
        if (const auto* known = fleet_.map.find(id)) parent = *known;
        all = request_box(active, active.journaled.from, "unfence", parent, value) && all;
    }
    return all;
}

// The parents are no longer in the map; every box that held them holds the children.
bool MoveExecutor::drop_parents(const ActiveMove& active) {
    const auto after = children(active.journaled.move, fleet_.map);
    if (after.front() == nullptr) return false;
    std::uint64_t value = 0;
    bool all = true;
    for (const auto& each : after.front()->replicas) {
        for (const auto id : parent_ids(active.journaled.move)) {
            Shard parent;
            parent.id = id;
            parent.epoch = after.front()->epoch;
            all = request_box(active, names_.name(each.box), "drop", parent, value) && all;
        }
    }
    return all;
}

void MoveExecutor::execute(ActiveMove& active, const Keep& keep) {
    const auto step = std::string(name_of(keep.move.step));
    crash_points_.pass("keep-" + step);
    journal_.keep(keep.move, config_.who);
    crash_points_.pass("kept-" + step);
    active.journaled.move.step = keep.move.step;
    handle_event(active, Kept{keep.move.step});
}

void MoveExecutor::execute(ActiveMove& active, const RequestCopy&) {
    std::uint64_t value = 0;
    if (active.journaled.to.empty() || request_box(active, active.journaled.to, "copy", value))
        handle_event(active, Copied{});
}

void MoveExecutor::execute(ActiveMove& active, const RequestLag&) {
    std::uint64_t value = 0;
    if (active.journaled.to.empty() || request_box(active, active.journaled.to, "missing", value))
        handle_event(active, CopyLag{value});
}

void MoveExecutor::execute(ActiveMove& active, const RequestFence&) {
    std::uint64_t value = 0;
    const auto kind = active.journaled.move.kind;
    const bool fenced = is_cut(kind)
                            ? fence_parents(active, value)
                            : !is_fenced(kind) || request_box(active, active.journaled.from, "fence", value);
    if (fenced) handle_event(active, Fenced{value});
}

void MoveExecutor::execute(ActiveMove& active, const RequestCatchUp& reach) {
    std::uint64_t value = reach.upto;
    const auto kind = active.journaled.move.kind;
    const bool owned = kind == MoveKind::kOwner || kind == MoveKind::kPass;
    if (!owned || request_box(active, active.journaled.to, "reach", value, reach.upto))
        handle_event(active, CaughtUp{value});
}

void MoveExecutor::report_refusal(const ActiveMove& active, const std::string& why) {
    const auto id = active.journaled.move.id;
    journal_.note(id, "refused by the map: " + why);
    report_("move " + std::to_string(id) + ": refused by the map: " + why);
}

void MoveExecutor::execute(ActiveMove& active, const Publish&) {
    refresh_fleet();
    const auto& move = active.journaled.move;
    if (const auto why = publish_refusal(move, fleet_.map); !why.empty()) return refuse(active, why);
    const auto steps = unpublished_steps(move, fleet_.map);
    if (steps.empty()) return handle_event(active, Published{});
    post_changes(active, steps);
}

// Such a move is neither ended nor undone; it goes on if the map or discovery allows it again.
void MoveExecutor::report_stuck(ActiveMove& active, const std::string& why) {
    if (std::exchange(active.is_stuck, true)) return;
    report_refusal(active, why + "; it may have been published");
}

// Undoes a move that cannot be published any more, if it certainly was not published before. Changes are
// posted for one version of the map and checked against it first, so a request that discovery has yet to
// receive cannot publish what the newest map refuses.
void MoveExecutor::refuse(ActiveMove& active, const std::string& why) {
    if (active.may_be_published && !shows_unpublished(active.journaled.move, fleet_.map))
        return report_stuck(active, why);
    report_refusal(active, why);
    handle_event(active, PublishRefused{});
}

void MoveExecutor::post_changes(ActiveMove& active, const std::vector<Step>& steps) {
    const auto version = fleet_.map.version();
    const auto response =
        send_http_request(config_.discovery, "POST", config_.path, print_changes(version, steps, names_),
                          config_.request_timeout_ms);
    crash_points_.pass("published");
    const bool refused =
        response && response->status >= kFirstClientError && response->status < kFirstServerError;
    if (!refused) active.may_be_published = true;
    // Whatever the response, the map shows whether the change was applied.
    if (response) refresh_fleet();
    if (publish_refusal(active.journaled.move, fleet_.map).empty() &&
        unpublished_steps(active.journaled.move, fleet_.map).empty()) {
        report_("map version " + std::to_string(fleet_.map.version()) + ": move " +
                std::to_string(active.journaled.move.id));
        return handle_event(active, Published{});
    }
    if (!refused || fleet_.map.version() != version) {
        active.refused_since = -1;
        return;
    }
    if (active.refused_since < 0) active.refused_since = now();
    // Discovery may refuse what the map allows. After the longest time behind a fence the old owner resumes,
    // unless an earlier request may still publish the change: it is for this version of the map too.
    if (now() - active.refused_since < config_.move.max_fence_duration) return;
    const auto why = "discovery answers " + std::to_string(response->status);
    if (active.may_be_published) return report_stuck(active, why);
    refuse(active, why);
}

// Sends the map's epoch to all boxes that hold the shard according to the map.
void MoveExecutor::execute(ActiveMove& active, const RequestOwn&) {
    if (!unpublished_steps(active.journaled.move, fleet_.map).empty()) return;
    const bool cut = is_cut(active.journaled.move.kind);
    std::vector<const Shard*> owned{fleet_.map.find(active.journaled.move.shard)};
    if (cut) owned = children(active.journaled.move, fleet_.map);
    std::uint64_t value = 0;
    bool all = true;
    for (const auto* shard : owned) {
        if (shard == nullptr) return;
        for (const auto& each : shard->replicas) {
            const auto& box = names_.name(each.box);
            // Every box that has the parents' data has the children's.
            if (cut) all = request_box(active, box, "copy", *shard, value) && all;
            all = request_box(active, box, each.role == Role::kOwner ? "own" : "read", *shard, value) && all;
        }
    }
    if (all) handle_event(active, Owns{});
}

void MoveExecutor::execute(ActiveMove& active, const RequestDrained&) {
    std::uint64_t value = 0;
    if (active.journaled.move.kind == MoveKind::kCopy ||
        request_box(active, active.journaled.from, "drained", value))
        handle_event(active, Drained{});
}

void MoveExecutor::execute(ActiveMove& active, const RequestDrop& drop) {
    std::uint64_t value = 0;
    const auto kind = active.journaled.move.kind;
    const bool from = drop.box == active.journaled.move.from;
    if (is_cut(kind)) {
        if (!from || drop_parents(active)) handle_event(active, Dropped{drop.box});
        return;
    }
    const auto* shard = fleet_.map.find(active.journaled.move.shard);
    // An undone move leaves the data of a box that holds the shard by the map, whoever put it there.
    const bool held_by_map = shard != nullptr && is_on(shard->replicas, active.journaled.move.to);
    const bool keeps = from ? kind == MoveKind::kPass || kind == MoveKind::kCopy
                            : kind == MoveKind::kPass || kind == MoveKind::kRemove || held_by_map;
    // A box that keeps its data must still be told that the move has ended.
    const char* verb = keeps ? "unfence" : "drop";
    const auto& box = from ? active.journaled.from : active.journaled.to;
    if (box.empty() ||
        request_box(active, box, verb, value, 0, from && !keeps && shard != nullptr ? shard->epoch : 0))
        handle_event(active, Dropped{drop.box});
}

void MoveExecutor::execute(ActiveMove& active, const RequestUnfence&) {
    std::uint64_t value = 0;
    const auto kind = active.journaled.move.kind;
    const bool unfenced =
        is_cut(kind) ? unfence_parents(active)
                     : !is_fenced(kind) || request_box(active, active.journaled.from, "unfence", value);
    if (unfenced) handle_event(active, Unfenced{});
}

void MoveExecutor::execute(ActiveMove& active, const Wake& wake) { active.wake_times.insert(wake.at); }

void MoveExecutor::execute(ActiveMove& active, const Ended& ended) {
    const auto id = active.journaled.move.id;
    report_("move " + std::to_string(id) + (ended.done ? ": done" : ": undone"));
    all_done_ = all_done_ && ended.done;
    scheduler_.ended(id, ended.done       ? MoveQueue::End::kDone
                         : active.aborted ? MoveQueue::End::kAborted
                                          : MoveQueue::End::kUndone);
    active.wake_times.clear();
    finished_.push_back(id);
}

void MoveExecutor::execute(ActiveMove& active, const CannotAbort&) {
    journal_.note(active.journaled.move.id, "cannot be aborted any more: it has switched; move it back");
    report_("move " + std::to_string(active.journaled.move.id) +
            ": cannot be aborted any more, it has switched");
}

}  // namespace pinedoor::tool
