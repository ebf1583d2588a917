// Explores all interleavings of a move of one shard: a mover, the two index servers, two front nodes that
// each send a non-repeatable part, messages that are delayed, lost, repeated and reordered, crashes and an
// abort. It runs the production Mover and ShardGuard, not a model of them.
#include <doctest/doctest.h>

#include <algorithm>
#include <bit>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "placement/box_guard.hpp"
#include "placement/mover.hpp"

namespace {

using namespace pinedoor::placement;
namespace m = pinedoor::placement::moving;

constexpr ServerNumber kFrom = 1, kTo = 2;
constexpr Epoch kBefore = 5;

enum class Kind : std::uint8_t {
    kKeep,
    kKept,
    kCopy,
    kCopied,
    kMissing,
    kMissingIs,
    kFence,
    kFenced,
    kReach,
    kReached,
    kPublish,
    kPublished,
    kPublishRefused,
    kOwn,
    kOwns,
    kDrained,
    kDrainedIs,
    kDropFrom,
    kDropTo,
    kDroppedFrom,
    kDroppedTo,
    kUnfence,
    kUnfenced,
    kPart,
    kDone,
    kRefused
};
struct Message {
    Kind kind;
    std::uint8_t a = 0, b = 0;
    auto operator<=>(const Message&) const = default;
};

// Injected defects, which the exploration must find.
struct InjectedDefects {
    bool no_fence = false;         // `from` confirms the fence and continues to run parts
    bool no_move_ids = false;      // servers accept delayed requests of a move that has ended
    bool own_early = false;        // the mover sends the own request during the fence
    bool own_unpublished = false;  // the mover sends the own request before the map is published
};

// A state of the whole system.

struct State {
    Mover mover{{7, 1, kFrom, kTo, kBefore, MoveStep::kPrepare}, {0, 1, INT64_MAX}};
    Move kept{7, 1, kFrom, kTo, kBefore, MoveStep::kPrepare};
    bool mover_up = true;
    ShardGuard from{true, kBefore}, to;
    bool from_up = true, to_up = true;
    std::uint8_t data_from = 0, data_to = 0;  // bit mask of the nodes whose parts are in the data
    bool published = false;
    bool map_refuses = false;  // another change of the map came first, and no longer allows this one
    struct Node {
        Epoch epoch = kBefore;
        char status = 'n';  // 'n' not sent, 'o' open, 'd' done, 'f' failed
        int sends = 2;
        int runs = 0;
    } nodes[2];
    std::set<Message> messages;
    int crashes = 0, repeats = 0, aborts = 0, losses = 0, refusals = 0;

    std::string key() const {
        std::string text = mover.state() + std::string(name_of(kept.step)) + from.state() + to.state();
        for (const int each : {int(mover_up), int(from_up), int(to_up), int(data_from), int(data_to),
                               int(published), int(map_refuses), crashes, repeats, aborts, losses, refusals})
            text += ',' + std::to_string(each);
        for (const auto& node : nodes)
            text += node.status + std::to_string(node.epoch) + '.' + std::to_string(node.sends) +
                    std::to_string(node.runs);
        for (const auto& each : messages)
            for (const int byte : {int(each.kind), int(each.a), int(each.b)})
                text += static_cast<char>('0' + byte);
        return text;
    }
};

// Breadth-first search of the reachable states.
class Explorer {
public:
    // How often each event may happen in one run, and the number of front nodes that send a part.
    struct Limits {
        int nodes = 2, crashes = 0, repeats = 0, aborts = 0, losses = 0, refusals = 0;
    };
    Explorer(InjectedDefects defects, Limits limits) : defects_(defects), limits_(limits) {}

    // Returns a violated invariant, empty if there is none.
    std::string run(std::size_t most) {
        State first;
        first.crashes = limits_.crashes;
        first.repeats = limits_.repeats;
        first.aborts = limits_.aborts;
        first.losses = limits_.losses;
        first.refusals = limits_.refusals;
        if (limits_.nodes < 2) first.nodes[1].sends = 0;
        execute(first, first.mover.start(0));
        add(std::move(first), -1);
        for (std::size_t at = 0; at < states_.size(); ++at) {
            if (states_.size() > most) return "too many states";
            if (const auto what = violated(states_[at]); !what.empty()) return what;
            next(static_cast<int>(at));
        }
        // The move can end from every reachable state, so no step waits forever.
        std::vector<char> ends(states_.size());
        std::deque<int> back;
        for (std::size_t i = 0; i < states_.size(); ++i) {
            if (!states_[i].mover.ended() || !settled(states_[i])) continue;
            ends[i] = 1;
            back.push_back(static_cast<int>(i));
        }
        while (!back.empty()) {
            const int at = back.front();
            back.pop_front();
            for (const int before : before_[static_cast<std::size_t>(at)]) {
                if (std::exchange(ends[static_cast<std::size_t>(before)], 1) == 0) back.push_back(before);
            }
        }
        for (std::size_t i = 0; i < states_.size(); ++i) {
            if (ends[i] == 0) return "the move cannot end from " + states_[i].key();
        }
        return {};
    }
    std::size_t states() const { return states_.size(); }
    int done = 0, undone = 0;  // number of states in which the move is done or undone

private:
    // Whether exactly one server runs the shard.
    static bool settled(const State& s) {
        const bool from_runs = s.from.owns() && !s.from.fenced(), to_runs = s.to.owns() && !s.to.fenced();
        return from_runs != to_runs;
    }
    std::string violated(const State& s) {
        for (const auto& node : s.nodes) {
            if (node.runs > 1) return "a part ran twice";
        }
        if (s.from.owns() && !s.from.fenced() && s.to.owns() && !s.to.fenced() &&
            s.from.epoch() == s.to.epoch())
            return "two servers run the same epoch";
        if (!s.mover.ended()) return {};
        ++(s.mover.move().step == MoveStep::kDone ? done : undone);
        if (s.messages.contains({Kind::kFence, 0, 0}) || !settled(s)) {
            // The effect of a delayed fence is checked in the state after its delivery.
            if (!settled(s)) return "the move has ended and no server, or both, run the shard";
        }
        const auto data = s.to.owns() ? s.data_to : s.data_from;
        for (int i = 0; i < 2; ++i) {
            if (s.nodes[i].status == 'd' && (data >> i & 1) == 0)
                return "the data of an answered part is lost";
        }
        return {};
    }

    void add(State state, int from) {
        auto key = state.key();
        const auto [found, fresh] = index_.emplace(std::move(key), static_cast<int>(states_.size()));
        if (fresh) {
            states_.push_back(std::move(state));
            before_.emplace_back();
        }
        if (from >= 0) before_[static_cast<std::size_t>(found->second)].push_back(from);
    }

    void execute(State& s, const std::vector<m::Action>& actions) const {
        for (const auto& action : actions) {
            if (const auto* keep = std::get_if<m::Keep>(&action))
                s.messages.insert({Kind::kKeep, std::uint8_t(keep->move.step), 0});
            if (std::holds_alternative<m::RequestCopy>(action)) s.messages.insert({Kind::kCopy});
            if (std::holds_alternative<m::RequestLag>(action)) s.messages.insert({Kind::kMissing});
            if (std::holds_alternative<m::RequestFence>(action)) {
                s.messages.insert({Kind::kFence});
                if (defects_.own_early) s.messages.insert({Kind::kOwn});
            }
            if (const auto* reach = std::get_if<m::RequestCatchUp>(&action))
                s.messages.insert({Kind::kReach, std::uint8_t(reach->upto)});
            if (std::holds_alternative<m::Publish>(action)) {
                s.messages.insert({Kind::kPublish});
                if (defects_.own_unpublished) s.messages.insert({Kind::kOwn});
            }
            if (std::holds_alternative<m::RequestOwn>(action)) s.messages.insert({Kind::kOwn});
            if (std::holds_alternative<m::RequestDrained>(action)) s.messages.insert({Kind::kDrained});
            if (const auto* drop = std::get_if<m::RequestDrop>(&action))
                s.messages.insert({drop->box == kFrom ? Kind::kDropFrom : Kind::kDropTo});
            if (std::holds_alternative<m::RequestUnfence>(action)) s.messages.insert({Kind::kUnfence});
        }
    }
    void report(State& s, const m::Event& event) const {
        if (s.mover_up) execute(s, s.mover.take(0, event));
    }

    // Delivers a message. Returns false, leaving the message pending, if its receiver is down.
    bool deliver(State& s, const Message& what) const {
        const MoveId move = defects_.no_move_ids ? 8 : 7;
        const auto reply = [&s](Kind kind, int a = 0, int b = 0) {
            s.messages.insert({kind, std::uint8_t(a), std::uint8_t(b)});
        };
        switch (what.kind) {
            case Kind::kCopy:
            case Kind::kMissing:
            case Kind::kReach:
            case Kind::kOwn:
            case Kind::kDropTo:
                if (!s.to_up) return false;
                break;
            case Kind::kFence:
            case Kind::kDrained:
            case Kind::kDropFrom:
            case Kind::kUnfence:
                if (!s.from_up) return false;
                break;
            case Kind::kPart:
                if (!(what.b == kBefore ? s.from_up : s.to_up)) return false;
                break;
            case Kind::kDone:
            case Kind::kRefused:
            case Kind::kKeep:
            case Kind::kPublish: break;
            default:
                if (!s.mover_up) return false;
        }
        switch (what.kind) {
            case Kind::kKeep:
                s.kept.step = static_cast<MoveStep>(what.a);
                reply(Kind::kKept, what.a);
                break;
            case Kind::kKept: report(s, m::Kept{static_cast<MoveStep>(what.a)}); break;
            case Kind::kCopy:
                if (!s.from_up || !s.to.copy(move)) break;
                s.data_to |= s.data_from;
                reply(Kind::kCopied);
                break;
            case Kind::kCopied: report(s, m::Copied{}); break;
            case Kind::kMissing:
                if (!s.from_up || !s.to.has_copy()) break;
                reply(Kind::kMissingIs, std::popcount(std::uint8_t(s.data_from & ~s.data_to)));
                s.data_to |= s.data_from;
                break;
            case Kind::kMissingIs: report(s, m::CopyLag{what.a}); break;
            case Kind::kFence:
                if (!defects_.no_fence && !s.from.fence(move, kBefore)) break;
                reply(Kind::kFenced, std::popcount(s.data_from));
                break;
            case Kind::kFenced: report(s, m::Fenced{what.a}); break;
            case Kind::kReach:
                if (!s.from_up || !s.to.has_copy()) break;
                s.data_to |= s.data_from;
                reply(Kind::kReached, what.a);
                break;
            case Kind::kReached: report(s, m::CaughtUp{what.a}); break;
            case Kind::kPublish:
                s.published = s.published || !s.map_refuses;
                reply(s.published ? Kind::kPublished : Kind::kPublishRefused);
                break;
            case Kind::kPublishRefused: report(s, m::PublishRefused{}); break;
            case Kind::kPublished: report(s, m::Published{}); break;
            case Kind::kOwn:
                if (s.to.own(move, kBefore + 1)) reply(Kind::kOwns);
                break;
            case Kind::kOwns: report(s, m::Owns{}); break;
            case Kind::kDrained: reply(Kind::kDrainedIs); break;
            case Kind::kDrainedIs: report(s, m::Drained{}); break;
            case Kind::kDropFrom:
                if (!s.from.drop(defects_.no_fence ? 100 : move, kBefore + 1) && !defects_.no_fence) break;
                s.data_from = 0;
                reply(Kind::kDroppedFrom);
                break;
            case Kind::kDropTo:
                if (!s.to.drop(7)) break;
                s.data_to = 0;
                reply(Kind::kDroppedTo);
                break;
            case Kind::kDroppedFrom: report(s, m::Dropped{kFrom}); break;
            case Kind::kDroppedTo: report(s, m::Dropped{kTo}); break;
            case Kind::kUnfence:
                s.from.unfence(7);
                if (defects_.no_move_ids) s.from.unfence(8), s.from = ShardGuard(true, kBefore);
                reply(Kind::kUnfenced);
                break;
            case Kind::kUnfenced: report(s, m::Unfenced{}); break;
            case Kind::kPart: {
                auto& node = s.nodes[what.a];
                auto& guard = what.b == kBefore ? s.from : s.to;
                const auto verdict = guard.may_run(what.b);
                if (verdict.run) {
                    ++node.runs;
                    (what.b == kBefore ? s.data_from : s.data_to) |= std::uint8_t(1U << what.a);
                    reply(Kind::kDone, what.a);
                } else {
                    reply(Kind::kRefused, what.a, int(verdict.known));
                }
                break;
            }
            case Kind::kDone:
                if (s.nodes[what.a].status == 'o') s.nodes[what.a].status = 'd';
                break;
            case Kind::kRefused: {  // the part never ran, so it may be sent again under the newer epoch
                auto& node = s.nodes[what.a];
                if (node.status != 'o') break;
                node.epoch = std::max<Epoch>(node.epoch, what.b);
                node.status = 'n';
                break;
            }
        }
        return true;
    }

    void next(int at) {
        const auto here = states_[static_cast<std::size_t>(at)];
        for (const auto& message : here.messages) {
            auto taken = here;
            taken.messages.erase(message);
            if (deliver(taken, message)) {
                add(taken, at);
                // Messages of the mover may be duplicated; parts are sent over streams, which do not
                // duplicate.
                const bool of_node = message.kind == Kind::kPart || message.kind == Kind::kDone ||
                                     message.kind == Kind::kRefused;
                if (here.repeats > 0 && !of_node) {
                    taken.messages.insert(message);
                    --taken.repeats;
                    add(std::move(taken), at);
                }
            }
            if (message.kind == Kind::kKeep || message.kind == Kind::kKept) continue;  // saves are not lost
            if (here.losses == 0) continue;
            auto lost = here;
            --lost.losses;
            lost.messages.erase(message);
            if (message.kind == Kind::kRefused || message.kind == Kind::kDone ||
                message.kind == Kind::kPart) {
                // The node's deadline passes: the part has failed and is not sent again.
                lost.nodes[message.a].status =
                    lost.nodes[message.a].status == 'o' ? 'f' : lost.nodes[message.a].status;
            }
            add(std::move(lost), at);
        }
        // Requests are repeated only while no message of the move is pending; the duplicates above cover
        // delayed messages beside a repeat.
        const bool quiet = std::all_of(here.messages.begin(), here.messages.end(),
                                       [](const Message& each) { return each.kind >= Kind::kPart; });
        if (quiet && here.mover_up && !here.mover.ended()) {
            auto later = here;
            execute(later, later.mover.take(1'000'000, m::Tick{}));
            later.mover.take(0, m::Resume{});
            add(std::move(later), at);
        }
        if (here.refusals > 0 && !here.published) {
            auto refuses = here;
            --refuses.refusals;
            refuses.map_refuses = true;
            add(std::move(refuses), at);
        }
        if (here.aborts > 0 && here.mover_up) {
            auto aborted = here;
            --aborted.aborts;
            report(aborted, m::AbortRequested{});
            add(std::move(aborted), at);
        }
        for (int who = 0; who < 3 && here.crashes > 0; ++who) {
            auto crashed = here;
            --crashed.crashes;
            if (who == 0) {
                if (here.mover.ended()) continue;
                crashed.mover_up = false;
                std::erase_if(crashed.messages, [](const Message& each) {
                    return each.kind == Kind::kKeep || each.kind == Kind::kKept;
                });
            }
            if (who == 1) crashed.from_up = false;
            if (who == 2) crashed.to_up = false;
            add(std::move(crashed), at);
        }
        if (!here.mover_up || !here.from_up || !here.to_up) {
            auto back = here;
            if (!here.mover_up) {
                back.mover = Mover(here.kept, {0, 1, INT64_MAX});
                back.mover_up = true;
                execute(back, back.mover.start(0));
            }
            back.from_up = back.to_up = true;
            add(std::move(back), at);
        }
        for (int i = 0; i < 2; ++i) {
            const auto& node = here.nodes[i];
            if (node.status == 'n' && node.sends > 0) {
                auto sent = here;
                sent.nodes[i].status = 'o';
                --sent.nodes[i].sends;
                sent.messages.insert({Kind::kPart, std::uint8_t(i), std::uint8_t(node.epoch)});
                add(std::move(sent), at);
            }
            if (here.published && node.epoch == kBefore) {  // the node receives the new map
                auto heard = here;
                heard.nodes[i].epoch = kBefore + 1;
                add(std::move(heard), at);
            }
        }
    }

    const InjectedDefects defects_;
    const Limits limits_;
    std::vector<State> states_;
    std::vector<std::vector<int>> before_;
    std::unordered_map<std::string, int> index_;
};

// Guards, with the refusals, against a move that stays at its switch for good since the map refuses it.
TEST_CASE(
    "a move under every order of messages: no part runs twice, no answered part is lost, the move can "
    "end") {
    int done = 0, undone = 0;
    std::size_t states = 0;
    for (const auto& limits : {Explorer::Limits{2, 0, 0, 1, 0},
                               {1, 0, 0, 0, 1},
                               {1, 1, 0, 0, 0},
                               {1, 0, 1, 1, 0},
                               {2, 0, 0, 0, 0, 1},
                               {1, 0, 0, 0, 1, 1},
                               {1, 1, 0, 0, 0, 1},
                               {1, 0, 1, 1, 0, 1}}) {
        Explorer explorer({}, limits);
        CAPTURE(limits.nodes);
        CAPTURE(limits.crashes);
        CAPTURE(limits.repeats);
        CAPTURE(limits.refusals);
        CHECK(explorer.run(400'000) == "");
        MESSAGE("states: " << explorer.states());
        done += explorer.done;
        undone += explorer.undone;
        states += explorer.states();
    }
    CHECK(states > 5'000);
    CHECK(done > 0);
    CHECK(undone > 0);
}

TEST_CASE("the exploration finds a missing fence, ignored move ids, and an early own request") {
    CHECK(Explorer({true, false, false}, {1, 0, 0, 0, 0}).run(400'000) != "");
    CHECK(Explorer({false, true, false}, {1, 0, 1, 1, 0}).run(400'000) != "");
    CHECK(Explorer({false, false, true}, {1, 0, 0, 1, 0}).run(400'000) != "");
    CHECK(Explorer({false, false, false, true}, {1, 0, 0, 0, 0, 1}).run(400'000) != "");
}

}  // namespace
