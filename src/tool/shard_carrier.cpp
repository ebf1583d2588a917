#include "tool/shard_carrier.hpp"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <nlohmann/json.hpp>
#include <sstream>

#include "tool/command_line.hpp"

namespace pinedoor::tool {

using namespace placement;
using namespace placement::moving;

namespace {

constexpr int kPauseMs = 5;
constexpr Time kWishes = 1'000;  // between two looks at what operators wish
constexpr Time kRenewShare = 3;  // a lease is renewed after this share of it

bool is_cut(MoveKind kind) { return kind == MoveKind::kSplit || kind == MoveKind::kMerge; }

}  // namespace

FleetSeen see_fleet(net::Endpoint discovery, const std::string& path, BoxNames& names, int ask_ms) {
    const auto map = ask_http(discovery, "GET", path, "", ask_ms);
    if (!map || map->status != 200)
        throw Unusable("no map of shards at " + net::to_text(discovery) + path +
                       "; name discovery by --discovery");
    auto news = read_map_news(map->body, names);
    const auto* whole = std::get_if<WholeMap>(&news);
    if (whole == nullptr) {
        const auto* unreadable = std::get_if<Unreadable>(&news);
        throw Unusable("the map at " + net::to_text(discovery) + path + " cannot be used: " +
                       (unreadable == nullptr ? "it is no whole one" : unreadable->why));
    }
    if (const auto fault = ShardMap::fault_of(whole->shards); !fault.empty())
        throw Unusable("the map at " + net::to_text(discovery) + path + " cannot be used: " + fault);
    FleetSeen seen{ShardMap::of(whole->shards, whole->version), {}, {}};
    const auto list = ask_http(discovery, "GET", "/discovery/hosts", "", ask_ms);
    if (!list || list->status != 200) throw Unusable("no list of servers at " + net::to_text(discovery));
    const auto json = nlohmann::json::parse(list->body, nullptr, false);
    if (!json.is_object() || !json.contains("members")) throw Unusable("the list of servers cannot be read");
    for (const auto& member : json["members"]) {
        if (!member.is_object() || !member.value("id", "").size()) continue;
        if (const auto at = net::parse_endpoint(member.value("host_port", "")))
            seen.boxes[member["id"]] = *at;
        seen.zones[member["id"]] = member.value("locality", "");
    }
    return seen;
}

std::vector<store::JournalMove> moves_between(ShardId shard, Epoch epoch, const std::vector<Replica>& before,
                                              const std::vector<Replica>& after) {
    std::vector<store::JournalMove> moves;
    const auto add = [&](MoveKind kind, BoxId from, BoxId to) {
        store::JournalMove made;
        made.move = {0, shard, from, to, epoch, MoveStep::kPrepare, kind, {}};
        moves.push_back(std::move(made));
    };
    std::vector<BoxId> gone, come;
    for (const auto& each : before) {
        if (!is_on(after, each.box)) gone.push_back(each.box);
    }
    for (const auto& each : after) {
        if (!is_on(before, each.box)) come.push_back(each.box);
    }
    // What is copied comes first and what goes last, so that a shard is never held by fewer than before.
    const auto owner = owner_of(before), next = owner_of(after);
    const bool leaves = owner != next && std::erase(gone, owner) > 0;
    const bool arrives = owner != next && std::erase(come, next) > 0;
    if (leaves && arrives) add(MoveKind::kOwner, owner, next);
    if (arrives && !leaves) add(MoveKind::kCopy, owner, next);
    while (!gone.empty() && !come.empty()) {
        add(MoveKind::kReader, gone.back(), come.back());
        gone.pop_back();
        come.pop_back();
    }
    const auto source = leaves && arrives ? next : owner;
    for (const auto box : come) add(MoveKind::kCopy, source, box);
    if (owner != next && !(leaves && arrives)) add(MoveKind::kPass, owner, next);
    for (const auto box : gone) add(MoveKind::kRemove, box, 0);
    if (leaves && !arrives) add(MoveKind::kRemove, owner, 0);
    return moves;
}

ShardCarrier::ShardCarrier(store::SqlDb& db, CarrierTerms terms, std::function<void(const std::string&)> say)
    : journal_(db), terms_(std::move(terms)), say_(std::move(say)),
      desk_(terms_.desk), seen_{ShardMap::even(1, {1}, 1), {}, {}} {}

Time ShardCarrier::now() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
               .count() /
           100;
}

void ShardCarrier::see() { seen_ = see_fleet(terms_.discovery, terms_.path, names_, terms_.ask_ms); }

bool ShardCarrier::run() {
    journal_.init();
    if (!journal_.take_lease(terms_.who, terms_.lease))
        throw Unusable("moves are carried by " + journal_.holder() +
                       "; wait for it, or for its lease to end");
    see();
    std::map<std::string, std::size_t> zones;
    for (auto& each : journal_.moves(true)) {
        if (const auto from = names_.number(each.from)) each.move.from = *from;
        if (const auto to = each.to.empty() ? std::nullopt : names_.number(each.to)) each.move.to = *to;
        const auto id = each.move.id;
        const auto zone = seen_.zones.find(each.to);
        const auto number = zones.try_emplace(zone == seen_.zones.end() ? "" : zone->second, zones.size());
        desk_.add({id, each.move.shard, each.move.from, each.move.to, each.wave,
                   each.move.step != MoveStep::kPrepare, static_cast<int>(number.first->second)});
        carried_[id].kept = std::move(each);
    }
    auto renew_at = now() + terms_.lease / kRenewShare;
    for (;;) {
        if (now() >= renew_at) {
            if (!journal_.take_lease(terms_.who, terms_.lease))
                throw Unusable("another mover has taken the moves over: " + journal_.holder());
            renew_at = now() + terms_.lease / kRenewShare;
        }
        heed_wishes();
        look();
        for (const auto id : desk_.begin()) begin(id);
        for (auto& [id, carried] : carried_) {
            if (!carried.mover || carried.wakes.empty() || *carried.wakes.begin() > now()) continue;
            carried.wakes.erase(carried.wakes.begin(), carried.wakes.upper_bound(now()));
            happened(carried, Tick{});
        }
        for (const auto id : std::exchange(over_, {})) carried_.erase(id);
        const bool any = std::any_of(carried_.begin(), carried_.end(),
                                     [](const auto& each) { return each.second.mover != nullptr; });
        if (desk_.done() && !any) break;
        usleep(kPauseMs * 1'000);
    }
    journal_.leave_lease(terms_.who);
    if (!desk_.why().empty()) say_(desk_.why());
    return all_done_ && desk_.waiting() == 0;
}

void ShardCarrier::begin(MoveId id) {
    auto& carried = carried_.at(id);
    auto& move = carried.kept.move;
    if (move.step == MoveStep::kPrepare) {
        see();
        const auto* shard = seen_.map.find(move.shard);
        if (shard != nullptr) move.epoch = shard->epoch;
    }
    say_("move " + std::to_string(id) + ": " + std::string(name_of(move.kind)) + " of shard " +
         std::to_string(move.shard) + ' ' + carried.kept.from + " -> " + carried.kept.to + ", " +
         std::string(name_of(move.step)));
    carried.mover = std::make_unique<Mover>(move, terms_.move);
    if (seen_.map.find(move.shard) == nullptr && move.step == MoveStep::kPrepare) {
        journal_.note(id, "the shard is not in the map any more");
        carried.aborted = true;
    }
    // Before anything is asked of it: a move may come to its end within one call.
    if (carried.aborted) happened(carried, AbortAsked{});
    if (carried.mover->move().step != MoveStep::kUndo && !carried.mover->ended())
        act(carried, carried.mover->start(now()));
}

// In order; what is answered at once brings further actions behind those.
void ShardCarrier::act(Carried& carried, const Actions& actions) {
    std::deque<Action> to_do(actions.begin(), actions.end());
    while (!to_do.empty() && carried.mover) {
        const auto action = std::move(to_do.front());
        to_do.pop_front();
        std::visit([&](const auto& what) { carry_out(carried, what); }, action);
    }
}

void ShardCarrier::happened(Carried& carried, const Event& event) {
    if (carried.mover) act(carried, carried.mover->take(now(), event));
}

void ShardCarrier::heed_wishes() {
    if (now() < wishes_at_) return;
    wishes_at_ = now() + kWishes;
    desk_.by_hand(journal_.paused());
    for (const auto& each : journal_.moves(true)) {
        if (each.wish != "abort") continue;
        const auto at = carried_.find(each.move.id);
        if (at == carried_.end() || at->second.aborted) continue;
        at->second.aborted = true;
        if (at->second.mover) {
            happened(at->second, AbortAsked{});
            continue;
        }
        // Something may have been asked of a box before: it is undone there, whatever the bounds say.
        desk_.drop(each.move.id);
        begin(each.move.id);
    }
    for (auto& [id, carried] : carried_) {
        if (!carried.mover || carried.mover->paused() == desk_.paused()) continue;
        if (desk_.paused())
            happened(carried, Pause{});
        else
            happened(carried, Resume{});
    }
}

// How much of what came since the last look was turned away or failed, over all nodes that answer.
void ShardCarrier::look() {
    if (terms_.nodes.empty() || now() < look_at_) return;
    look_at_ = now() + terms_.look_ms * 10;
    std::uint64_t taken = 0, refused = 0;
    for (const auto& node : terms_.nodes) {
        const auto answer = ask_http(node, "GET", "/counters", "", terms_.ask_ms);
        if (!answer || answer->status != 200) continue;
        std::istringstream in(answer->body);
        std::uint64_t value = 0;
        for (std::string name; in >> name >> value;) {
            if (name == "multigets_taken") taken += value;
            if (name == "multigets_pushed_back" || name == "multigets_failed" ||
                name == "multigets_without_room")
                refused += value;
        }
    }
    const auto since = [](std::uint64_t is, std::uint64_t was) { return is > was ? is - was : 0; };
    const auto new_taken = since(taken, taken_), new_refused = since(refused, refused_);
    taken_ = taken;
    refused_ = refused;
    if (!std::exchange(looked_, true)) return;
    const double pressure =
        new_taken == 0 ? 0 : static_cast<double>(new_refused) / static_cast<double>(new_taken);
    const auto did = desk_.look(pressure);
    if (did == MoveDesk::Did::kPaused) say_("paused: the fleet is under pressure");
    if (did == MoveDesk::Did::kResumed) say_("resumed");
}

// True: the box has agreed, and `number` is what it told.
bool ShardCarrier::ask(const Carried& carried, const std::string& box, const char* verb,
                       std::uint64_t& number, std::uint64_t upto, Epoch epoch) {
    const auto& move = carried.mover->move();
    const auto* known = seen_.map.find(move.shard);
    Shard shard;
    if (known != nullptr) shard = *known;
    shard.id = move.shard;
    shard.epoch = epoch == 0 ? move.epoch : epoch;
    return ask(carried, box, verb, shard, number, upto);
}

bool ShardCarrier::ask(const Carried& carried, const std::string& box, const char* verb, const Shard& shard,
                       std::uint64_t& number, std::uint64_t upto) {
    const auto at = seen_.boxes.find(box);
    if (at == seen_.boxes.end()) return false;
    auto& link = links_.try_emplace(box + '@' + net::to_text(at->second), at->second).first->second;
    std::ostringstream words;
    words << verb << ' ' << carried.mover->move().id << ' ' << shard.id << ' ' << shard.epoch << ' '
          << print_key(shard.first) << ' ' << print_key(shard.last) << ' ' << upto;
    const auto answer = link.ask(words.str(), terms_.ask_ms);
    crash_points_.pass(std::string("asked-") + verb);
    if (!answer || !answer->yes) return false;
    number = answer->number;
    return true;
}

std::vector<const Shard*> ShardCarrier::parents(const Carried& carried) const {
    const auto& move = carried.kept.move;
    std::vector<const Shard*> found{seen_.map.find(move.shard)};
    if (move.kind == MoveKind::kMerge) found.push_back(seen_.map.find(move.cut.other));
    return found;
}

std::vector<const Shard*> ShardCarrier::children(const Carried& carried) const {
    const auto& move = carried.kept.move;
    std::vector<const Shard*> found{seen_.map.find(move.cut.lower)};
    if (move.kind == MoveKind::kSplit) found.push_back(seen_.map.find(move.cut.upper));
    return found;
}

bool ShardCarrier::ask_owner_of_parents(const Carried& carried, const char* verb, std::uint64_t& number) {
    for (const auto* parent : parents(carried)) {
        if (parent == nullptr || !ask(carried, carried.kept.from, verb, *parent, number)) return false;
    }
    return true;
}

// The parents are not in the map any more: all that held them hold the children.
bool ShardCarrier::drop_parents(const Carried& carried) {
    const auto& move = carried.kept.move;
    const auto after = children(carried);
    if (after.front() == nullptr) return false;
    std::vector<ShardId> gone{move.shard};
    if (move.kind == MoveKind::kMerge) gone.push_back(move.cut.other);
    std::uint64_t number = 0;
    bool all = true;
    for (const auto& each : after.front()->replicas) {
        for (const auto id : gone) {
            Shard parent;
            parent.id = id;
            parent.epoch = after.front()->epoch;
            all = ask(carried, names_.name(each.box), "drop", parent, number) && all;
        }
    }
    return all;
}

void ShardCarrier::carry_out(Carried& carried, const Keep& keep) {
    const auto step = std::string(name_of(keep.move.step));
    crash_points_.pass("keep-" + step);
    journal_.keep(keep.move, terms_.who);
    crash_points_.pass("kept-" + step);
    carried.kept.move.step = keep.move.step;
    happened(carried, Kept{keep.move.step});
}

void ShardCarrier::carry_out(Carried& carried, const AskCopy&) {
    std::uint64_t number = 0;
    if (carried.kept.to.empty() || ask(carried, carried.kept.to, "copy", number)) happened(carried, Copied{});
}

void ShardCarrier::carry_out(Carried& carried, const AskMissing&) {
    std::uint64_t number = 0;
    if (carried.kept.to.empty() || ask(carried, carried.kept.to, "missing", number))
        happened(carried, Missing{number});
}

void ShardCarrier::carry_out(Carried& carried, const AskFence&) {
    std::uint64_t number = 0;
    const auto kind = carried.kept.move.kind;
    const bool owned = kind == MoveKind::kOwner || kind == MoveKind::kPass;
    const bool fenced = is_cut(kind) ? ask_owner_of_parents(carried, "fence", number)
                                     : !owned || ask(carried, carried.kept.from, "fence", number);
    if (fenced) happened(carried, Fenced{number});
}

void ShardCarrier::carry_out(Carried& carried, const AskReach& reach) {
    std::uint64_t number = reach.upto;
    const auto kind = carried.kept.move.kind;
    const bool owned = kind == MoveKind::kOwner || kind == MoveKind::kPass;
    if (!owned || ask(carried, carried.kept.to, "reach", number, reach.upto))
        happened(carried, Reached{number});
}

// What is still to be published of it; empty: it is in the map.
std::vector<Step> ShardCarrier::to_publish(const Carried& carried) const {
    const auto& move = carried.kept.move;
    const auto* shard = seen_.map.find(move.shard);
    std::vector<Step> steps;
    if (is_cut(move.kind) && children(carried).front() != nullptr) return steps;
    if (move.kind == MoveKind::kSplit)
        return {Split{move.shard, move.cut.at, move.cut.lower, move.cut.upper}};
    if (move.kind == MoveKind::kMerge) return {Merge{move.shard, move.cut.other, move.cut.lower}};
    if (shard == nullptr) return steps;
    const bool adds =
        move.kind == MoveKind::kOwner || move.kind == MoveKind::kReader || move.kind == MoveKind::kCopy;
    const bool passes = move.kind == MoveKind::kOwner || move.kind == MoveKind::kPass;
    const bool removes =
        move.kind == MoveKind::kOwner || move.kind == MoveKind::kReader || move.kind == MoveKind::kRemove;
    if (adds && !is_on(shard->replicas, move.to)) steps.push_back(AddReader{move.shard, move.to});
    if (passes && shard->owner() != move.to) steps.push_back(PassOwnership{move.shard, move.to});
    if (removes && is_on(shard->replicas, move.from)) steps.push_back(RemoveReader{move.shard, move.from});
    return steps;
}

void ShardCarrier::carry_out(Carried& carried, const Publish&) {
    see();
    const auto steps = to_publish(carried);
    if (!steps.empty()) {
        const auto text = print_changes(seen_.map.version(), steps, names_);
        const auto answer = ask_http(terms_.discovery, "POST", terms_.path, text, terms_.ask_ms);
        crash_points_.pass("published");
        // Whatever was answered, the map tells whether it is in.
        if (answer) see();
        if (!to_publish(carried).empty()) return;
        say_("map version " + std::to_string(seen_.map.version()) + ": move " +
             std::to_string(carried.kept.move.id));
    }
    happened(carried, Published{});
}

// The epoch of the map, to all that hold the shard by it.
void ShardCarrier::carry_out(Carried& carried, const AskOwn&) {
    if (!to_publish(carried).empty()) return;
    const bool cut = is_cut(carried.kept.move.kind);
    std::vector<const Shard*> owned{seen_.map.find(carried.kept.move.shard)};
    if (cut) owned = children(carried);
    std::uint64_t number = 0;
    bool all = true;
    for (const auto* shard : owned) {
        if (shard == nullptr) return;
        for (const auto& each : shard->replicas) {
            const auto& box = names_.name(each.box);
            // Whoever has the parents' data has the children's.
            if (cut) all = ask(carried, box, "copy", *shard, number) && all;
            all = ask(carried, box, each.role == Role::kOwner ? "own" : "read", *shard, number) && all;
        }
    }
    if (all) happened(carried, Owns{});
}

void ShardCarrier::carry_out(Carried& carried, const AskDrained&) {
    std::uint64_t number = 0;
    if (carried.kept.move.kind == MoveKind::kCopy || ask(carried, carried.kept.from, "drained", number))
        happened(carried, Drained{});
}

void ShardCarrier::carry_out(Carried& carried, const AskDrop& drop) {
    std::uint64_t number = 0;
    const auto kind = carried.kept.move.kind;
    const bool from = drop.box == carried.kept.move.from;
    if (is_cut(kind)) {
        if (!from || drop_parents(carried)) happened(carried, Dropped{drop.box});
        return;
    }
    const bool keeps = from ? kind == MoveKind::kPass || kind == MoveKind::kCopy
                            : kind == MoveKind::kPass || kind == MoveKind::kRemove;
    // A box that keeps its data must still know that the move is over.
    const char* verb = keeps ? "unfence" : "drop";
    const auto& box = from ? carried.kept.from : carried.kept.to;
    const auto* shard = seen_.map.find(carried.kept.move.shard);
    if (box.empty() ||
        ask(carried, box, verb, number, 0, from && !keeps && shard != nullptr ? shard->epoch : 0))
        happened(carried, Dropped{drop.box});
}

void ShardCarrier::carry_out(Carried& carried, const AskUnfence&) {
    std::uint64_t number = 0;
    const auto kind = carried.kept.move.kind;
    const bool owned = kind == MoveKind::kOwner || kind == MoveKind::kPass;
    const bool unfenced = is_cut(kind) ? ask_owner_of_parents(carried, "unfence", number)
                                       : !owned || ask(carried, carried.kept.from, "unfence", number);
    if (unfenced) happened(carried, Unfenced{});
}

void ShardCarrier::carry_out(Carried& carried, const Wake& wake) { carried.wakes.insert(wake.at); }

void ShardCarrier::carry_out(Carried& carried, const Ended& ended) {
    const auto id = carried.kept.move.id;
    say_("move " + std::to_string(id) + (ended.done ? ": done" : ": undone"));
    all_done_ = all_done_ && ended.done;
    desk_.ended(id, ended.done        ? MoveDesk::End::kDone
                    : carried.aborted ? MoveDesk::End::kAborted
                                      : MoveDesk::End::kUndone);
    carried.wakes.clear();
    over_.push_back(id);
}

void ShardCarrier::carry_out(Carried& carried, const CannotAbort&) {
    journal_.note(carried.kept.move.id, "cannot be aborted any more: it has switched; move it back");
    say_("move " + std::to_string(carried.kept.move.id) + ": cannot be aborted any more, it has switched");
}

}  // namespace pinedoor::tool
