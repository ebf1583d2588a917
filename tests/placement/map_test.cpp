// Tests of the shard map (steps compared with a simple model, sharing between versions, invalid maps) and of
// the Mover and ShardGuard state machines.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <sstream>
#include <utility>

#include "placement/box_guard.hpp"
#include "placement/mover.hpp"
#include "placement/shard_map.hpp"

namespace {

using namespace pinedoor::placement;
namespace m = pinedoor::placement::moving;
constexpr Key kLast = std::numeric_limits<Key>::max();

ShardMap require_map(const std::variant<ShardMap, ShardMap::Refused>& result) {
    if (const auto* refused = std::get_if<ShardMap::Refused>(&result)) FAIL(refused->why);
    return std::get<ShardMap>(result);
}
std::string refusal_of(const std::variant<ShardMap, ShardMap::Refused>& result) {
    const auto* refused = std::get_if<ShardMap::Refused>(&result);
    return refused == nullptr ? "" : refused->why;
}

TEST_CASE("a map with a gap, an overlap, two owners or no owner is invalid") {
    const Replica owner{1, Role::kOwner}, reader{2, Role::kReader};
    const Shard low{1, 0, 99, 1, {owner}}, high{2, 100, kLast, 1, {owner, reader}};
    CHECK(ShardMap::fault_of({high, low}) == "");
    CHECK(ShardMap::fault_of({}) == "there are no shards");
    CHECK(ShardMap::fault_of({low}) == "no shard holds the keys from 100 on");
    CHECK(ShardMap::fault_of({low, {2, 101, kLast, 1, {owner}}}) ==
          "no shard holds the keys from 100 to 100");
    CHECK(ShardMap::fault_of({low, {2, 99, kLast, 1, {owner}}}) == "shard 2 overlaps with the one before it");
    CHECK(ShardMap::fault_of({low, {1, 100, kLast, 1, {owner}}}) == "shard 1 is there twice");
    CHECK(ShardMap::fault_of({low, {2, 100, kLast, 1, {reader}}}) == "shard 2 has no owner");
    CHECK(ShardMap::fault_of({low, {2, 100, kLast, 1, {owner, {3, Role::kOwner}}}}) ==
          "shard 2 has 2 owners");
    CHECK(ShardMap::fault_of({low, {2, 100, kLast, 1, {owner, {1, Role::kReader}}}}) ==
          "shard 2 is twice on box 1");
    CHECK(ShardMap::fault_of({low, high, {3, 5, 7, 1, {owner}}}) != "");
    CHECK_THROWS(ShardMap::of({low}));
}

TEST_CASE("steps create the next map and raise epochs; invalid steps are refused with a message") {
    const auto map = ShardMap::even(4, {1, 2, 3}, 2);
    const auto& shard = map.at(0);
    CHECK(shard.id == 1);
    CHECK(map.at(kLast).id == 4);
    const auto split = require_map(map.after(Split{1, 1'000, 11, 12}));
    CHECK(split.version() == 2);
    CHECK(split.size() == 5);
    CHECK(split.at(999).id == 11);
    CHECK(split.at(1'000).id == 12);
    CHECK(split.at(1'000).epoch == 2);
    CHECK(split.at(1'000).replicas == shard.replicas);
    CHECK(map.at(1'000).id == 1);  // the old version is unchanged
    const auto merged = require_map(split.after(Merge{11, 12, 1}));
    CHECK(merged.at(5).id == 1);
    CHECK(merged.at(5).epoch == 3);
    const auto moved = require_map(require_map(merged.after(AddReader{1, 3})).after(PassOwnership{1, 3}));
    CHECK(moved.at(5).owner() == 3);
    CHECK(require_map(moved.after(RemoveReader{1, 1})).at(5).replicas.size() == 2);
    CHECK(refusal_of(map.after(Split{1, 0, 11, 12})) == "key 0 does not lie within shard 1");
    CHECK(refusal_of(map.after(Split{1, 1'000, 2, 12})) == "shard 2 is there already");
    CHECK(refusal_of(map.after(Split{9, 1'000, 11, 12})) == "there is no shard 9");
    CHECK(refusal_of(map.after(Merge{1, 3, 11})) == "shard 1 does not end where shard 3 begins");
    CHECK(refusal_of(map.after(Merge{1, 2, 11})) == "shard 1 and 2 are on unlike boxes; move them first");
    CHECK(refusal_of(map.after(PassOwnership{1, 3})) == "shard 1 is not on box 3; add it first");
    CHECK(refusal_of(map.after(RemoveReader{1, 1})) == "box 1 owns shard 1; pass it on first");
    CHECK(refusal_of(map.after(AddReader{1, 2})) == "shard 1 is on box 2 already");
}

TEST_CASE("under random steps the map equals a simple list, and old versions stay unchanged") {
    CHECK(rc::check("steps", [] {
        auto map = ShardMap::even(*rc::gen::inRange<std::size_t>(1, 500), {1, 2, 3, 4}, 3);
        std::vector<ShardMap> versions{map};
        std::vector<std::vector<Shard>> plain{map.shards()};
        ShardId next_id = 10'000;
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            auto list = plain.back();
            const auto at = *rc::gen::inRange<std::size_t>(0, list.size());
            auto& one = list[at];
            Step step;
            switch (*rc::gen::inRange(0, 4)) {
                case 0: {
                    if (one.last - one.first < 2) continue;
                    const Key key = one.first + 1 +
                                    *rc::gen::inRange<Key>(0, std::min<Key>(one.last - one.first, 1'000'000));
                    step = Split{one.id, key, next_id, next_id + 1};
                    auto upper = one;
                    ++one.epoch, ++upper.epoch;
                    one.id = next_id, upper.id = next_id + 1;
                    one.last = key - 1, upper.first = key;
                    list.insert(list.begin() + static_cast<std::ptrdiff_t>(at) + 1, upper);
                    next_id += 2;
                    break;
                }
                case 1: {
                    if (at + 1 >= list.size()) continue;
                    auto a = one.replicas, b = list[at + 1].replicas;
                    std::sort(a.begin(), a.end());
                    std::sort(b.begin(), b.end());
                    if (a != b) continue;
                    step = Merge{one.id, list[at + 1].id, next_id};
                    one.id = next_id++;
                    one.epoch = std::max(one.epoch, list[at + 1].epoch) + 1;
                    one.last = list[at + 1].last;
                    list.erase(list.begin() + static_cast<std::ptrdiff_t>(at) + 1);
                    break;
                }
                case 2: {
                    const auto to = one.replicas.back().box;
                    if (to == one.owner()) continue;
                    step = PassOwnership{one.id, to};
                    ++one.epoch;
                    for (auto& each : one.replicas) each.role = each.box == to ? Role::kOwner : Role::kReader;
                    break;
                }
                default: {
                    const ServerNumber box = *rc::gen::inRange<ServerNumber>(5, 9);
                    const bool there = std::any_of(one.replicas.begin(), one.replicas.end(),
                                                   [box](const Replica& r) { return r.box == box; });
                    RC_ASSERT(std::holds_alternative<ShardMap::Refused>(map.after(RemoveReader{one.id, 99})));
                    if (there) continue;
                    step = AddReader{one.id, box};
                    ++one.epoch;
                    one.replicas.push_back({box, Role::kReader});
                }
            }
            const auto result = map.after(step);
            RC_ASSERT(std::holds_alternative<ShardMap>(result));
            map = std::get<ShardMap>(result);
            versions.push_back(map);
            plain.push_back(std::move(list));
        }
        for (std::size_t v = 0; v < versions.size(); ++v) {
            RC_ASSERT(versions[v].version() == v + 1);
            RC_ASSERT(versions[v].shards() == plain[v]);
            RC_ASSERT(versions[v].size() == plain[v].size());
            RC_ASSERT(ShardMap::fault_of(plain[v]).empty());
            const auto& any = plain[v][*rc::gen::inRange<std::size_t>(0, plain[v].size())];
            RC_ASSERT(versions[v].at(any.first) == any);
            RC_ASSERT(versions[v].at(any.last) == any);
        }
    }));
}

TEST_CASE("versions share unchanged chunks, and an old version lives as long as it is referenced") {
    auto map = std::make_shared<const ShardMap>(ShardMap::even(100'000, {1, 2, 3}, 3));
    const auto before = map;
    const auto next = require_map(map->after(PassOwnership{50'000, map->find(50'000)->replicas.back().box}));
    CHECK(next.own_bytes() < next.bytes() / 200);
    map = std::make_shared<const ShardMap>(next);
    CHECK(before->version() == 1);
    CHECK(before->find(50'000)->epoch == 1);
    CHECK(map->find(50'000)->epoch == 2);
}

// Feeds events to a Mover and records its actions as text.
class Script {
public:
    explicit Script(Move move = {7, 1, 1, 2, 5, MoveStep::kPrepare}, MoverConfig terms = {100, 2'000, 20'000})
        : mover_(move, terms) {
        print(mover_.start(0));
    }
    Script& on(const m::Event& event, Time now = 0) {
        print(mover_.take(now, event));
        return *this;
    }
    Script& keep(Time now = 0) { return on(m::Kept{mover_.move().step}, now); }
    std::string trace() { return std::exchange(trace_, {}); }

private:
    void print(const std::vector<m::Action>& actions) {
        struct Print {
            std::string operator()(const m::Keep& a) const {
                return "keep " + std::string(name_of(a.move.step));
            }
            std::string operator()(const m::RequestCopy&) const { return "copy"; }
            std::string operator()(const m::RequestLag&) const { return "missing?"; }
            std::string operator()(const m::RequestFence&) const { return "fence"; }
            std::string operator()(const m::RequestCatchUp& a) const {
                return "reach " + std::to_string(a.upto);
            }
            std::string operator()(const m::Publish&) const { return "publish"; }
            std::string operator()(const m::RequestOwn&) const { return "own"; }
            std::string operator()(const m::RequestDrained&) const { return "drained?"; }
            std::string operator()(const m::RequestDrop& a) const { return "drop " + std::to_string(a.box); }
            std::string operator()(const m::RequestUnfence&) const { return "unfence"; }
            std::string operator()(const m::Wake&) const { return ""; }
            std::string operator()(const m::Ended& a) const { return a.done ? "done" : "undone"; }
            std::string operator()(const m::CannotAbort&) const { return "cannot abort"; }
        };
        for (const auto& action : actions) {
            const auto text = std::visit(Print{}, action);
            if (!text.empty()) trace_ += (trace_.empty() ? "" : "; ") + text;
        }
    }
    Mover mover_;
    std::string trace_;
};

TEST_CASE("a move from begin to end: each step is saved before its requests are sent") {
    Script script;
    CHECK(script.trace() == "keep prepare");
    CHECK(script.keep().trace() == "copy");
    CHECK(script.on(m::Copied{}).trace() == "keep catch-up");
    CHECK(script.on(m::CopyLag{0}).trace() == "");  // the step is not saved yet
    CHECK(script.keep().trace() == "missing?");
    CHECK(script.on(m::CopyLag{101}).trace() == "");
    CHECK(script.on(m::CopyLag{100}).trace() == "keep fence");
    CHECK(script.keep().trace() == "fence");
    CHECK(script.on(m::CaughtUp{900}).trace() == "");  // not requested yet
    CHECK(script.on(m::Fenced{900}).trace() == "reach 900");
    CHECK(script.on(m::CaughtUp{899}).trace() == "");
    CHECK(script.on(m::CaughtUp{900}).trace() == "keep switch");
    CHECK(script.on(m::AbortRequested{}).trace() == "cannot abort");
    CHECK(script.on(m::Published{}).on(m::PublishRefused{}).trace() == "");  // the step is not saved yet
    CHECK(script.keep().trace() == "publish");
    CHECK(script.on(m::Owns{}).trace() == "");  // the map is not published yet
    CHECK(script.on(m::Published{}).trace() == "own");
    CHECK(script.on(m::Published{}).on(m::PublishRefused{}).trace() == "");  // published, so not refused
    CHECK(script.on(m::Owns{}).trace() == "keep drain");
    CHECK(script.keep().trace() == "drained?");
    CHECK(script.on(m::Drained{}).trace() == "keep retire");
    CHECK(script.keep().trace() == "drop 1");
    CHECK(script.on(m::Dropped{2}).trace() == "");
    CHECK(script.on(m::Dropped{1}).trace() == "keep done");
    CHECK(script.keep().trace() == "done");
    CHECK(script.on(m::AbortRequested{}).on(m::Tick{}, 90'000).trace() == "");
}

TEST_CASE("requests are repeated; a move is undone on abort or after the fence timeout, and can be paused") {
    Script script;
    script.keep();
    CHECK(script.trace() == "keep prepare; copy");
    CHECK(script.on(m::Tick{}, 1'999).trace() == "");
    CHECK(script.on(m::Tick{}, 2'000).trace() == "copy");
    script.on(m::Copied{}, 2'000).keep(2'000);
    CHECK(script.trace() == "keep catch-up; missing?");
    CHECK(script.on(m::Pause{}, 2'000).on(m::Tick{}, 9'000).on(m::CopyLag{0}, 9'000).trace() == "");
    CHECK(script.on(m::Resume{}, 9'000).trace() == "missing?");
    CHECK(script.on(m::CopyLag{1}, 9'000).keep(9'000).trace() == "keep fence; fence");
    CHECK(script.on(m::Tick{}, 28'999).trace() == "fence");
    CHECK(script.on(m::Tick{}, 29'000).trace() == "keep undo");
    CHECK(script.keep(29'000).trace() == "unfence; drop 2");
    CHECK(script.on(m::Unfenced{}, 29'000).on(m::Fenced{3}, 29'000).trace() == "");
    CHECK(script.on(m::Tick{}, 31'000).trace() == "drop 2");
    CHECK(script.on(m::Dropped{2}, 31'000).keep(31'000).trace() == "keep undone; undone");
    Script aborted;
    CHECK(aborted.on(m::AbortRequested{}).keep().trace() == "keep prepare; keep undo; unfence; drop 2");
}

TEST_CASE("a switch that the map refuses is undone, by the mover that entered it or a restarted one") {
    for (const auto step : {MoveStep::kFence, MoveStep::kSwitch}) {
        Script script({7, 1, 1, 2, 5, step});
        if (step == MoveStep::kFence) script.on(m::Fenced{3}).on(m::CaughtUp{3}).keep();
        CHECK(script.trace() ==
              (step == MoveStep::kFence ? "fence; reach 3; keep switch; publish" : "publish"));
        CHECK(script.on(m::Tick{}, 2'000).trace() == "publish");
        CHECK(script.on(m::PublishRefused{}, 2'000).trace() == "keep undo");
        CHECK(script.on(m::Published{}, 2'000).on(m::Owns{}, 2'000).trace() == "");
        CHECK(script.keep(2'000).trace() == "unfence; drop 2");
        CHECK(script.on(m::PublishRefused{}, 2'000).trace() == "");
        CHECK(script.on(m::Unfenced{}, 2'000).on(m::Dropped{2}, 2'000).keep(2'000).trace() ==
              "keep undone; undone");
    }
}

TEST_CASE("a restarted mover resumes from the saved step") {
    for (const auto& [step, asks] : {std::pair{MoveStep::kCatchUp, "missing?"},
                                     {MoveStep::kFence, "fence"},
                                     {MoveStep::kSwitch, "publish"},
                                     {MoveStep::kDrain, "drained?"},
                                     {MoveStep::kRetire, "drop 1"},
                                     {MoveStep::kUndo, "unfence; drop 2"},
                                     {MoveStep::kDone, ""}}) {
        Script script({7, 1, 1, 2, 5, step});
        CHECK(script.trace() == asks);
    }
}

TEST_CASE("a guard runs parts of its own epoch, and refuses delayed requests of ended moves") {
    ShardGuard from(true, 5), to;
    CHECK(from.may_run(5).run);
    CHECK(!from.may_run(4).run);
    CHECK(from.may_run(4).known == 5);
    CHECK(!to.may_run(5).run);
    CHECK(!to.own(7, 6));  // no copy yet
    CHECK(to.copy(7));
    CHECK(from.fence(7, 5));
    CHECK(!from.may_run(5).run);
    CHECK(from.fence(7, 5));  // repeated request
    CHECK(to.own(7, 6));
    CHECK(to.may_run(6).run);
    CHECK(!to.may_run(5).run);
    CHECK(from.drop(7, 6));
    CHECK(from.may_run(5).known == 6);
    CHECK(!from.fence(7, 5));  // delayed request
    ShardGuard undone(true, 5), other;
    CHECK(other.copy(8));
    CHECK(undone.fence(8, 5));
    undone.unfence(8);
    CHECK(undone.may_run(5).run);
    CHECK(!undone.fence(8, 5));
    CHECK(undone.may_run(5).run);
    CHECK(other.drop(8));
    CHECK(!other.own(8, 6));
    CHECK(!other.copy(8));
    CHECK(undone.fence(9, 5));  // another move
}

}  // namespace
