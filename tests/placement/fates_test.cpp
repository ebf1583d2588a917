// Tests of what is told of the parts of a multiget whose shards move: the record, the key, the name and the
// answer must not call a part harmless to repeat that may have run.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "placement/gatherer.hpp"
#include "stand_ins/boxes.hpp"

namespace {

using namespace pinedoor::test;
using namespace pinedoor::placement;

// Two shards of six splits each, each at a server of its own, and a front node that records multigets.
struct RecordingFleet {
    // With `second_server`, that is the address of server 2, which no part is sent to at the start.
    explicit RecordingFleet(std::optional<pinedoor::net::Endpoint> second_server = {})
        : boxes(2), map(ShardMap::even(2, {1, 2}, 1)) {
        for (const char* name : {"s-1", "s-2"}) names.number(name);
        boxes.use_map(map);
        auto listed = boxes.listed();
        if (second_server) listed[1].at = *second_server;
        discovery.list(listed);
        discovery.map(print_map(map, names));
        program = std::make_unique<FrontNodeProcess>(listed, discovery.at());
        if (second_server) program->with("\"connect_timeout_ms\":250.0", "\"connect_timeout_ms\":3500.0");
        program->with_settings(
            "[store]\nkind = \"sqlite\"\nfolder = \"@/store\"\n"
            "[placement]\non = true\nask_again_ms = 300\nmost_legs = 4\n");
        client = program->start().client();
        CHECK(program->wait_for_counter("map_version", 1) == 1);
        CHECK(program->wait_for_counter("store_condition", 1) == 1);
        const auto warm_up = second_server ? std::vector<int>{0} : std::vector<int>{0, 7};
        CHECK(ask("warm-up", "k0", warm_up).starts_with("200"));
    }
    // Server 1 refuses its shard under the epoch of the map, as behind the fence of a move.
    void fence_first_shard() {
        auto shards = map.shards();
        shards[0].replicas = {{2, Role::kOwner}};
        boxes.use_map(ShardMap::of(shards), 1);
    }
    std::string ask(const std::string& name, const std::string& key, const std::vector<int>& splits) {
        client.say(post("once", name, asks(splits, "once"), 4'000, "Idempotency-Key: \"" + key + "\"\r\n"));
        return client.answer();
    }
    // Waits until a refused part has been asked for again and was refused again: from then on, until it is
    // asked for once more, none of its sends is out.
    bool wait_until_refused_again() {
        for (int tries = 0; tries < 800; ++tries) {
            if (program->counter("pieces_refused") > 1) return true;
            usleep(10'000);
        }
        return false;
    }
    // Ends the front node while the client waits, who gets this status, and starts it on the same store.
    void shut_down_and_restart(const std::string& status) {
        program->kill(SIGTERM);
        CHECK(client.answer().starts_with(status));
        CHECK(program->wait() == 0);
        program->start().client();
        CHECK(program->wait_for_counter("store_condition", 1) == 1);
    }
    std::size_t runs_of(const std::string& name) const {
        const auto runs = boxes.runs();
        return static_cast<std::size_t>(
            std::count_if(runs.begin(), runs.end(), [&](const auto& run) { return run.multiget == name; }));
    }
    // The record of the multiget of this name, once it has ended.
    std::string record_of(const std::string& name) const {
        std::string record;
        for (int tries = 0; tries < 200; ++tries) {
            record = program->store("export --format csv --client " + name);
            if (record.find("failed") != std::string::npos || record.find("refused") != std::string::npos)
                break;
            usleep(10'000);
        }
        return record;
    }

    TestServers boxes;
    MapDiscovery discovery;
    ServerNames names;
    ShardMap map;
    std::unique_ptr<FrontNodeProcess> program;
    Peer client;
};

// Guards against records that call a part never sent whose round was abandoned while a server ran it.
TEST_CASE("a multiget that is given up while a part runs: record, key and name say that it may have run") {
    RecordingFleet fleet;
    fleet.fence_first_shard();
    fleet.boxes.set_run_time(2'000);
    CHECK(fleet.ask("t1", "k1", {0, 7}) == "500");
    CHECK(fleet.runs_of("t1") == 1);
    CHECK(fleet.program->counter("rounds_abandoned") >= 1);
    CHECK(fleet.record_of("t1").find(",0n 7m,") != std::string::npos);
    // The refused part's shard is served again; neither the key nor the name may run the other part anew.
    fleet.boxes.use_map(fleet.map);
    fleet.boxes.set_run_time(0);
    CHECK(fleet.ask("t2", "k1", {0, 7}).starts_with("500"));
    CHECK(fleet.ask("t1", "k2", {0, 7}).starts_with("409"));
    CHECK(fleet.runs_of("t1") == 1);
    CHECK(fleet.runs_of("t2") == 0);
    CHECK(fleet.program->counter("invariants_broken") == 0);
}

// Guards against a vague record: a send that still waits for a connection when its multiget ends is never
// written.
TEST_CASE("a multiget that ends before its other part is written: record, key and name say never sent") {
    Listener stuck(0);
    const Peer fills_the_queue(stuck.at());  // further connections to it are not established
    RecordingFleet fleet(stuck.at());
    fleet.fence_first_shard();
    fleet.client.say(post("once", "t1", asks({0, 7}, "once"), 4'000, "Idempotency-Key: \"k1\"\r\n"));
    CHECK(fleet.wait_until_refused_again());
    SUBCASE("given up") { CHECK(fleet.client.answer() == "503"); }
    SUBCASE("the client leaves") { fleet.client.reset(); }
    SUBCASE("shutdown") { fleet.shut_down_and_restart("503"); }
    const auto record = fleet.record_of("t1");
    INFO(record);
    CHECK(record.find(",0n 7n,") != std::string::npos);
    CHECK(record.find(",refused,") != std::string::npos);
    fleet.boxes.use_map(fleet.map);
    fleet.client = fleet.program->client();
    CHECK(fleet.ask("t1", "k1", {0}).starts_with("200"));
    CHECK(fleet.runs_of("t1") == 1);
    CHECK(fleet.program->counter("invariants_broken") == 0);
}

// Guards against a failure, and a key that is held for good, of which servers have refused every part: here
// one as not its owner, which the decision module takes for an answer, and one as full.
TEST_CASE("a multiget of which every part was refused is refused, and its key and name run afresh") {
    RecordingFleet fleet;
    fleet.fence_first_shard();
    fleet.boxes.set_full(2, true);
    CHECK(fleet.ask("t1", "k1", {0, 7}) == "503");
    CHECK(fleet.record_of("t1").find(",0n 7n,") != std::string::npos);
    CHECK(fleet.record_of("t1").find(",refused,") != std::string::npos);
    fleet.boxes.use_map(fleet.map);
    fleet.boxes.set_full(2, false);
    CHECK(fleet.ask("t1", "k1", {0, 7}).starts_with("200"));
    CHECK(fleet.runs_of("t1") == 2);
    CHECK(fleet.program->counter("invariants_broken") == 0);
}

// Guards against a record, key or name that is wrong for one of the ends of a multiget of which a part was
// refused and asked again, while the other one was sent and is out, has run, or is lost.
TEST_CASE("whichever way a multiget ends, the refused part is never sent and the other one may have run") {
    RecordingFleet fleet;
    fleet.fence_first_shard();
    const auto begin = [&](int run_ms, int remaining_ms) {
        fleet.boxes.set_run_time(run_ms);
        fleet.client.say(
            post("once", "t1", asks({0, 7}, "once"), remaining_ms, "Idempotency-Key: \"k1\"\r\n"));
        const auto has_begun = [&] {
            return fleet.runs_of("t1") > 0 && fleet.program->counter("pieces_refused") > 1;
        };
        for (int tries = 0; tries < 800 && !has_begun(); ++tries) usleep(10'000);
        CHECK(fleet.runs_of("t1") == 1);
    };
    const char* fates = ",0n 7m,";
    SUBCASE("given up, the other part has run") {
        begin(0, 4'000);
        CHECK(fleet.client.answer() == "500");
        fates = ",0n 7r,";
    }
    SUBCASE("out of time, the other part is out") {
        begin(4'000, 600);
        CHECK(fleet.client.answer() == "500");
    }
    SUBCASE("the other part is lost with its server's connection") {
        begin(4'000, 4'000);
        fleet.boxes.set_down(2, true);
        CHECK(fleet.client.answer() == "500");
        fleet.boxes.set_down(2, false);
    }
    SUBCASE("the client leaves, the other part is out") {
        begin(4'000, 4'000);
        fleet.client.reset();
    }
    SUBCASE("the client leaves, the other part has run") {
        begin(0, 4'000);
        fleet.client.reset();
        fates = ",0n 7r,";
    }
    SUBCASE("shutdown, the other part is out") {
        begin(4'000, 4'000);
        fleet.shut_down_and_restart("500");
    }
    SUBCASE("shutdown, the other part has run") {
        begin(0, 4'000);
        fleet.shut_down_and_restart("500");
        fates = ",0n 7r,";
    }
    SUBCASE("shutdown, the other part is lost with its server's connection") {
        begin(4'000, 4'000);
        fleet.boxes.set_down(2, true);
        fleet.shut_down_and_restart("500");
        fleet.boxes.set_down(2, false);
    }
    const auto record = fleet.record_of("t1");
    INFO(record);
    CHECK(record.find(fates) != std::string::npos);
    fleet.boxes.use_map(fleet.map);
    fleet.boxes.set_run_time(0);
    fleet.client = fleet.program->client();
    CHECK(fleet.ask("t2", "k1", {0, 7}).starts_with("500"));
    CHECK(fleet.runs_of("t1") == 1);
    CHECK(fleet.runs_of("t2") == 0);
    CHECK(fleet.program->counter("invariants_broken") == 0);
}

// Guards against a second run under an X-Txn whose first request waits to ask again: none of its rounds is
// open.
TEST_CASE("the name of a multiget stays in use between its rounds and in its further ones") {
    RecordingFleet fleet;
    fleet.fence_first_shard();
    fleet.client.say(post("once", "t1", asks({0, 7}, "once")));
    CHECK(fleet.wait_until_refused_again());
    CHECK(fleet.runs_of("t1") == 1);
    auto other = fleet.program->client();
    other.say(post("once", "t1", asks({0, 7}, "once")));
    CHECK(other.answer().starts_with("409"));
    CHECK(fleet.client.answer() == "500");
    CHECK(fleet.runs_of("t1") == 1);
}

GathererConfig gatherer_config() {
    GathererConfig config;
    config.op_types = {{MergeRule::kSum, true, 0.5, 1, 1'000}, {MergeRule::kSum, false, 1, 1, 1'000}};
    config.splits = 4;
    return config;
}

// Guards against a refusal at the new owner that hides what the old owner may have run (review/1).
TEST_CASE("a fragment that may have run stays so when it is asked again and only refused from then on") {
    auto config = gatherer_config();
    config.max_rounds = 2;
    Gatherer gatherer(config);
    const auto share = [](const ShardMap& map) { return std::make_shared<const ShardMap>(map); };
    auto map = ShardMap::even(4, {1, 2}, 2);
    gatherer.map_is(0, share(map));
    const auto sent = std::get<gathering::SendRound>(gatherer.ask(0, 7, {1, 2'000, {{1, 1, 0, 0}}}).at(0));
    // Its first send was lost, and the new owner, which does not own yet, refuses the second one.
    gatherer.refused(10, sent.pieces[0].route, 2);
    map = std::get<ShardMap>(map.after(PassOwnership{2, 1}));
    const auto again = std::get<gathering::SendRound>(gatherer.map_is(20, share(map)).at(0));
    RoundResult lost;
    lost.kind = RoundResult::Kind::kAnswered;
    lost.fates = {{sent.pieces[0].route, FragmentFate::kMayHaveRun}};
    CHECK(gatherer.on_round_ended(30, 7, 0, lost).empty());
    gatherer.refused(40, again.pieces[0].route, 2);
    SUBCASE("refused until the multiget is given up") {
        RoundResult refused;
        refused.kind = RoundResult::Kind::kAnswered;
        gatherer.on_round_ended(50, 7, 1, refused);
        const auto end = std::get<gathering::End>(gatherer.tick(1'800).back());
        CHECK(end.fates.at(0).second == FragmentFate::kMayHaveRun);
        CHECK(end.kind == RoundResult::Kind::kFailed);
    }
    SUBCASE("the client leaves") {
        const auto fates = gatherer.left(7, {{again.pieces[0].route, FragmentFate::kNeverSent}});
        CHECK(fates.at(0).second == FragmentFate::kMayHaveRun);
    }
}

// Guards against a second run after the servers have forgotten the first one: an attempt that may have run is
// repeated within the op type's window alone, whatever refused it since.
TEST_CASE("a refused fragment that may have run is asked again only within the op type's window") {
    auto config = gatherer_config();
    config.op_types[1].repeat_window = 500;
    config.send_slack = 100;
    auto fate = FragmentFate::kMayHaveRun;
    Route route = 0;
    Gatherer gatherer(config, [&](Number, int) { return FragmentFates{{route, fate}}; });
    const auto map = ShardMap::even(4, {1, 2}, 2);
    const auto passed = std::get<ShardMap>(map.after(PassOwnership{2, 1}));
    gatherer.map_is(0, std::make_shared<const ShardMap>(map));
    const auto sent =
        std::get<gathering::SendRound>(gatherer.ask(1'000, 7, {1, 5'000, {{1, 1, 0, 0}}}).at(0));
    CHECK(sent.not_after == 5'000);
    route = sent.pieces[0].route;
    gatherer.refused(1'010, route, 2);
    const auto actions_at = [&](Time now) {
        return gatherer.map_is(now, std::make_shared<const ShardMap>(passed));
    };
    SUBCASE("within the window, and not sent after it") {
        CHECK(std::get<gathering::SendRound>(actions_at(1'399).at(0)).not_after == 1'400);
    }
    SUBCASE("after the window it is given up, as one that may have run") {
        const auto actions = actions_at(1'400);
        REQUIRE(std::holds_alternative<gathering::End>(actions.back()));
        CHECK(std::get<gathering::End>(actions.back()).kind == RoundResult::Kind::kFailed);
        CHECK(std::get<gathering::End>(actions.back()).fates.at(0).second == FragmentFate::kMayHaveRun);
    }
    SUBCASE("what was only refused is asked again at any time") {
        fate = FragmentFate::kNeverSent;
        CHECK(std::get<gathering::SendRound>(actions_at(3'000).at(0)).not_after == 5'000);
    }
}

// An attempt at some keys, and what is known of it.
struct Attempt {
    Route route = 0;
    std::size_t split = 0;
    Key first = 0, last = 0;
    Time sent_at = 0;
    FragmentFate fate = FragmentFate::kNeverSent;
    enum class State { kOpen, kAnswered, kRefused, kLost } state = State::kOpen;
};

// What all attempts together say of a split: each key has the fate of the attempt that came furthest.
FragmentFate expected_fate(const std::vector<Attempt>& attempts, std::size_t split) {
    std::set<Key> bounds;
    for (const auto& attempt : attempts) {
        if (attempt.split == split) bounds.insert(attempt.first);
    }
    std::set<FragmentFate> seen;
    for (const auto key : bounds) {
        auto furthest = FragmentFate::kNeverSent;
        for (const auto& attempt : attempts) {
            if (attempt.split != split || key < attempt.first || attempt.last < key) continue;
            if (attempt.fate == FragmentFate::kRan || furthest == FragmentFate::kNeverSent)
                furthest = attempt.fate;
        }
        seen.insert(furthest);
    }
    return seen.size() == 1 ? *seen.begin() : FragmentFate::kMayHaveRun;
}

// Plays one multiget of four splits in random order against a model of all its attempts.
class FatesPlay {
public:
    explicit FatesPlay(std::uint64_t seed)
        : chance_(seed), gatherer_(config(), [this](Number, int leg) { return fates_of(leg); }) {
        handle(gatherer_.map_is(now_, share()));
        GatherRequest request{static_cast<int>(chance_() % 2), 2'000, {}};
        readers_ = request.op_type == 0;
        for (int split = 0; split < kSplits; ++split) request.splits.push_back({split, 0.25, 0, 0});
        handle(gatherer_.ask(now_, kNumber, request));
    }
    void run() {
        for (; !ended_; now_ += 1 + static_cast<Time>(chance_() % 20)) step(now_);
        RC_ASSERT(gatherer_.open() == 0U);
        RC_ASSERT(gatherer_.routes() == 0U);
    }

private:
    static constexpr Number kNumber = 7;
    static constexpr int kSplits = 4;
    static constexpr Time kWindow = 300;
    static GathererConfig config() {
        auto made = gatherer_config();
        made.ask_again = 20;
        made.op_types[1].repeat_window = kWindow;
        return made;
    }
    std::shared_ptr<const ShardMap> share() const { return std::make_shared<const ShardMap>(map_); }

    FragmentFates fates_of(int leg) const {
        FragmentFates fates;
        const auto round = rounds_.find(leg);
        if (round == rounds_.end()) return fates;  // not handed on yet
        for (const auto& attempt : round->second) {
            if (attempt.fate != FragmentFate::kNeverSent || chance_at_names_)
                fates.emplace_back(attempt.route, attempt.fate);
        }
        return fates;
    }
    void handle(const Gatherer::Actions& actions) {
        for (const auto& action : actions) {
            if (const auto* round = std::get_if<gathering::SendRound>(&action)) {
                for (const auto& piece : round->pieces) check_window(piece, *round);
                for (const auto& piece : round->pieces)
                    rounds_[round->leg].push_back({piece.route, piece.split, piece.first, piece.last, now_});
                open_.insert(round->leg);
            }
            if (const auto* abandoned = std::get_if<gathering::AbandonRound>(&action))
                open_.erase(abandoned->leg);
            if (const auto* end = std::get_if<gathering::End>(&action)) check_end(*end);
        }
    }
    void check_window(const Piece& piece, const gathering::SendRound& round) const {
        for (const auto& [leg, attempts] : rounds_) {
            for (const auto& attempt : attempts) {
                const bool same_keys = attempt.split == piece.split && attempt.first <= piece.last &&
                                       piece.first <= attempt.last;
                if (readers_ || !same_keys || attempt.fate == FragmentFate::kNeverSent) continue;
                RC_ASSERT(now_ < attempt.sent_at + kWindow);
                RC_ASSERT(round.not_after <= attempt.sent_at + kWindow);
            }
        }
    }
    void check_fates(const std::vector<std::pair<int, FragmentFate>>& fates) {
        std::vector<Attempt> all;
        for (const auto& [leg, attempts] : rounds_) all.insert(all.end(), attempts.begin(), attempts.end());
        RC_ASSERT(fates.size() == static_cast<std::size_t>(kSplits));
        for (std::size_t split = 0; split < fates.size(); ++split)
            RC_ASSERT(fates[split].second == expected_fate(all, split));
        ended_ = true;
    }
    void check_end(const gathering::End& end) {
        RC_ASSERT(!ended_);
        check_fates(end.fates);
        const bool none_ran = std::all_of(end.fates.begin(), end.fates.end(), [](const auto& each) {
            return each.second == FragmentFate::kNeverSent;
        });
        RC_ASSERT(end.kind != RoundResult::Kind::kPushedBack || none_ran || readers_);
        RC_ASSERT(end.kind == RoundResult::Kind::kPushedBack || !none_ran);
        RC_CLASSIFY(end.kind == RoundResult::Kind::kAnswered, "answered");
        RC_CLASSIFY(end.kind == RoundResult::Kind::kPushedBack, "pushed back");
        RC_CLASSIFY(end.kind == RoundResult::Kind::kFailed, "failed");
    }
    void step(Time now) {
        if (chance_() % 300 == 0) return client_leaves();
        switch (chance_() % 40) {
            case 0:
            case 1: return change_map(now);
            case 2:
            case 3: return handle(gatherer_.map_is(now, share()));
            case 4:
            case 5:
            case 6: return handle(gatherer_.tick(now));
            case 7:
            case 8: return end_round(now, chance_() % 6 == 0);
            default: return change_attempt(now);
        }
    }
    void client_leaves() {
        FragmentFates known;
        for (const int leg : gatherer_.open_rounds(kNumber)) {
            const auto of_round = fates_of(leg);
            known.insert(known.end(), of_round.begin(), of_round.end());
        }
        RC_CLASSIFY(true, "the client leaves");
        check_fates(gatherer_.left(kNumber, known));
    }
    void change_map(Time now) {
        const auto all = map_.shards();
        const auto& one = all[chance_() % all.size()];
        Step change = PassOwnership{one.id, one.owner() == 1 ? ServerNumber{2} : ServerNumber{1}};
        if (chance_() % 2 == 0 && one.last - one.first > 100)
            change = Split{one.id, one.first + 1 + chance_() % (one.last - one.first), next_, next_ + 1};
        next_ += 2;
        const auto changed = map_.after(change);
        if (std::holds_alternative<ShardMap>(changed)) map_ = std::get<ShardMap>(changed);
        if (chance_() % 2 == 0) handle(gatherer_.map_is(now, share()));
    }
    void end_round(Time now, bool early) {
        if (open_.empty()) return;
        const int leg = *std::next(open_.begin(), static_cast<std::ptrdiff_t>(chance_() % open_.size()));
        RoundResult result;
        bool any_lost = false, any_open = false, any_sent = false;
        for (const auto& attempt : rounds_.at(leg)) {
            any_open = any_open || attempt.state == Attempt::State::kOpen;
            any_lost = any_lost || attempt.state == Attempt::State::kLost;
            any_sent = any_sent || attempt.fate != FragmentFate::kNeverSent;
            if (attempt.state == Attempt::State::kAnswered) result.values.emplace_back(attempt.route, "1");
        }
        if (any_open && !early) return;
        result.kind = any_lost || any_open ? RoundResult::Kind::kFailed : RoundResult::Kind::kAnswered;
        if (!any_sent && any_open) result.kind = RoundResult::Kind::kPushedBack;
        result.fates = fates_of(leg);
        open_.erase(leg);
        handle(gatherer_.on_round_ended(now, kNumber, leg, std::move(result)));
    }
    // Something becomes known of an attempt of an open round.
    void change_attempt(Time now) {
        if (open_.empty()) return handle(gatherer_.tick(now));
        const int leg = *std::next(open_.begin(), static_cast<std::ptrdiff_t>(chance_() % open_.size()));
        auto& attempts = rounds_.at(leg);
        auto& attempt = attempts[chance_() % attempts.size()];
        if (attempt.state != Attempt::State::kOpen) return;
        switch (chance_() % 8) {
            case 0:
            case 1: attempt.fate = FragmentFate::kMayHaveRun; return;  // it is sent, or its answer is lost
            case 2:
                if (attempt.fate == FragmentFate::kMayHaveRun) attempt.state = Attempt::State::kLost;
                return;
            case 3:  // refused; an earlier send of it may have run, or did
                if (chance_() % 4 == 0) attempt.fate = FragmentFate::kRan;
                break;
            case 4: break;
            case 5: attempt.fate = FragmentFate::kNeverSent; break;  // nothing but refused
            default:
                attempt.state = Attempt::State::kAnswered;
                attempt.fate = FragmentFate::kRan;
                return;
        }
        attempt.state = Attempt::State::kRefused;
        const auto route = attempt.route;
        const auto* piece = gatherer_.piece(route);
        RC_ASSERT(piece != nullptr);
        const auto* same = map_.find(piece->shard);
        handle(gatherer_.refused(now, route, same == nullptr ? piece->epoch + 1 : same->epoch));
    }

    std::mt19937_64 chance_;
    Time now_ = 1;
    const bool chance_at_names_ = chance_() % 2 == 0;  // whether fragments that were never sent are named
    ShardMap map_ = ShardMap::even(3, {1, 2}, 2);
    ShardId next_ = 100;
    Gatherer gatherer_;
    std::map<int, std::vector<Attempt>> rounds_;
    std::set<int> open_;
    bool readers_ = false;
    bool ended_ = false;
};

// Guards against any end of a multiget that forgets what one of its attempts may have done.
TEST_CASE(
    "whatever becomes of its attempts and however a multiget ends, its fates are those of all attempts") {
    CHECK(rc::check("fates", [] {
        FatesPlay play(*rc::gen::arbitrary<std::uint64_t>());
        play.run();
    }));
}

}  // namespace
