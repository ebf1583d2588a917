// Tests of moves executed by `pinedoor shards` over loopback: the process is killed at each step and
// restarted, two processes run at once, moves are undone and paused. Parts that must not run twice are in
// flight meanwhile.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <filesystem>

#include "placement/move_desk.hpp"
#include "placement/shards_fixture.hpp"
#include "stand_ins/postgres.hpp"
#include "store/pq.hpp"

namespace {

using namespace pinedoor::test;
using namespace pinedoor::placement;
namespace store = pinedoor::store;

TEST_CASE("applying a plan drains an index server, and the journal records the moves") {
    ShardsFixture fixture;
    const auto file = fixture.fleet();
    CHECK(fixture.shards("check " + file).text == file + ": good, 3 boxes, 2 shards\n");
    const auto planned = fixture.shards("plan " + file);
    CHECK(planned.code == 0);
    CHECK(planned.text.find("wave 1: copy shard") != std::string::npos);
    CHECK(fixture.shards("show").text.find("version 1, 2 shards") == 0);
    const auto dry = fixture.shards("apply --dry-run " + file);
    CHECK(dry.text.find("owner of shard 2  s-1 -> ") != std::string::npos);
    CHECK(fixture.discovery.current_map().version() == 1);
    fixture.boxes.set_copy_duration(250);  // the copy request is repeated until the copy is complete
    const auto applied = fixture.shards("apply " + file);
    CHECK_MESSAGE(applied.code == 0, applied.text);
    fixture.check_emptied();
    const auto history = fixture.shards("history").text;
    CHECK(history.find("nobody carries moves") == 0);
    CHECK(history.find("owner    shard 2        s-1 -> ") != std::string::npos);
    CHECK(fixture.shards("history --open").text == "nobody carries moves\n");
    // The fleet file describes the placement before the moves, so it is refused.
    CHECK(fixture.shards("apply " + file).code == 1);
    CHECK(fixture.shards("abort 1").code == 3);
    CHECK(fixture.shards("heat --node " + pinedoor::net::to_text(fixture.program->at())).code == 0);
}

TEST_CASE(
    "killed at each step while a non-repeatable part is in flight: the next process completes the moves") {
    for (const char* point :
         {"keep-prepare", "kept-prepare", "asked-copy", "kept-catch-up", "asked-missing", "kept-fence",
          "asked-fence", "asked-reach", "keep-switch", "kept-switch", "published", "asked-own", "keep-drain",
          "kept-drain", "asked-drained", "kept-retire", "asked-drop", "keep-done", "kept-done"}) {
        CAPTURE(std::string(point));
        ShardsFixture fixture;
        const auto file = fixture.fleet();
        fixture.boxes.hold(true);  // the part waits at its index server until the process was killed
        fixture.client.say(post("once", "flight", asks({2}, "once")));
        for (int tries = 0; tries < 800 && fixture.boxes.waiting() < 1; ++tries) usleep(2'000);
        CHECK(fixture.shards("apply --lease-ms 100 " + file, point).code == -SIGKILL);
        fixture.boxes.hold(false);
        const auto result = fixture.resume_apply();
        CHECK_MESSAGE(result.code == 0, result.text);
        const auto answer = fixture.client.answer();
        // On a slow machine the deadline may have passed; in any case the part ran at most once.
        CHECK((answer == whole_answer({2}) || answer.starts_with("50")));
        fixture.check_emptied();
    }
}

TEST_CASE("split and merge of the same range: killed at each step while a part is in flight") {
    for (const char* point : {"kept-prepare", "asked-fence", "keep-switch", "kept-switch", "published",
                              "asked-copy", "asked-own", "kept-drain", "kept-retire", "asked-drop"}) {
        CAPTURE(std::string(point));
        ShardsFixture fixture;
        const auto key = print_key(Gatherer::keys_of(2, kSplits).first + 12'345);
        CHECK(fixture.shards("split 1 0").code == 1);
        CHECK(fixture.shards("split 1 " + key).text.find("move 1: split shard 1 at") == 0);
        fixture.boxes.hold(true);
        fixture.client.say(post("once", "flight", asks({2}, "once")));
        for (int tries = 0; tries < 800 && fixture.boxes.waiting() < 1; ++tries) usleep(2'000);
        CHECK(fixture.shards("apply --lease-ms 100", point).code == -SIGKILL);
        fixture.boxes.hold(false);
        const auto result = fixture.resume_apply();
        CHECK_MESSAGE(result.code == 0, result.text);
        const auto answer = fixture.client.answer();
        // On a slow machine the deadline may have passed; in any case the part ran at most once.
        CHECK((answer == whole_answer({2}) || answer.starts_with("50")));
        auto map = fixture.discovery.current_map();
        CHECK(map.size() == 3);
        CHECK(fixture.program->wait_for_counter("map_version", map.version()) == map.version());
        CHECK(fixture.ask("once", "t", {2}) == whole_answer({2}));
        CHECK(fixture.ask("again", "u", {0, 2, 5}) == whole_answer({0, 2, 5}));
        const auto lower = map.shards()[0].id, upper = map.shards()[1].id;
        CHECK(fixture.shards("merge " + std::to_string(lower) + ' ' + std::to_string(upper)).code == 0);
        CHECK(fixture.shards("apply").code == 0);
        map = fixture.discovery.current_map();
        CHECK(map.size() == 2);
        CHECK(fixture.program->wait_for_counter("map_version", map.version()) == map.version());
        CHECK(fixture.ask("once", "v", {2}) == whole_answer({2}));
        CHECK(fixture.ask("again", "w", {0, 2, 5}) == whole_answer({0, 2, 5}));
        CHECK(!fixture.boxes.guard(1, 1).owns());
        CHECK(fixture.boxes.count_repeated_runs("once") == 0);
    }
}

TEST_CASE("a split is undone after its fence: the old owner runs the shard again") {
    ShardsFixture fixture;
    fixture.shards("split 1 " + print_key(Gatherer::keys_of(2, kSplits).first + 12'345));
    CHECK(fixture.shards("apply --lease-ms 100", "asked-fence").code == -SIGKILL);
    CHECK(fixture.boxes.guard(1, 1).fenced());
    fixture.client.say(post("once", "t1", asks({2}, "once"), 300));
    CHECK(fixture.client.answer().starts_with("503"));
    fixture.shards("abort 1");
    usleep(150'000);
    CHECK(fixture.shards("apply").code == 3);
    CHECK(fixture.discovery.current_map() == fixture.map);
    CHECK(!fixture.boxes.guard(1, 1).fenced());
    CHECK(fixture.ask("once", "t2", {2}) == whole_answer({2}));
}

// Guards against a fence that stands for good: a move was at undo in the journal, and a new mover did not go
// on.
TEST_CASE("a move is undone by the next mover if its mover is killed during the undo") {
    for (const bool split : {true, false}) {
        for (const bool aborted : {true, false}) {
            for (const char* point : {"kept-undo", "asked-unfence", "keep-undone"}) {
                CAPTURE(split);
                CAPTURE(aborted);
                CAPTURE(std::string(point));
                ShardsFixture fixture;
                if (split) fixture.schedule_split();
                CHECK(fixture.shards("apply --lease-ms 100 " + (split ? "" : fixture.fleet()), "asked-fence")
                          .code == -SIGKILL);
                const auto id = fixture.open_move(MoveStep::kFence);
                const auto shard = fixture.journaled(id).move.shard;
                CHECK(fixture.boxes.guard(1, shard).fenced());
                // Without an abort, the move is undone since its fence has stood for too long.
                if (aborted)
                    fixture.shards("abort " + std::to_string(id));
                else
                    fixture.boxes.set_down(1, true);
                usleep(150'000);
                std::thread revives([&] {
                    usleep(aborted ? 0 : 2'500'000);
                    fixture.boxes.set_down(1, false);
                });
                CHECK(fixture.shards("apply --lease-ms 100", point).code == -SIGKILL);
                CHECK(fixture.open_move(MoveStep::kUndo) == id);
                revives.join();
                const auto result = fixture.resume_apply();
                CHECK_MESSAGE(result.code == 3, result.text);
                CHECK(fixture.shards("history --open").text.find("undo") == std::string::npos);
                CHECK(!fixture.boxes.guard(1, shard).fenced());
                CHECK(fixture.ask("once", "t", {shard == 1 ? 2 : 8}) == whole_answer({shard == 1 ? 2 : 8}));
                CHECK(fixture.boxes.count_repeated_runs("once") == 0);
            }
        }
    }
}

// Guards against a move that stands still because its mover read the list before a box came back to it.
TEST_CASE("a mover that starts while a box is not listed, or listed elsewhere, goes on once it is listed") {
    for (const char* point : {"kept-fence", "kept-undo", "kept-switch", "kept-drain", "kept-retire"}) {
        for (const bool listed_elsewhere : {true, false}) {
            CAPTURE(std::string(point));
            CAPTURE(listed_elsewhere);
            ShardsFixture fixture;
            const bool undo = std::string(point) == "kept-undo";
            CHECK(fixture.shards("apply --lease-ms 100 " + fixture.fleet(), undo ? "asked-fence" : point)
                      .code == -SIGKILL);
            if (undo) {
                fixture.shards("abort " + std::to_string(fixture.open_move(MoveStep::kFence)));
                usleep(150'000);
                CHECK(fixture.shards("apply --lease-ms 100", point).code == -SIGKILL);
            }
            const auto all = fixture.boxes.listed();
            auto without = all;
            without.erase(without.begin());
            const Listener nobody;  // accepts no connection in time
            if (listed_elsewhere) without.push_back({"s-1", nobody.at()});
            fixture.discovery.list(without);
            std::thread relists([&] {
                usleep(1'000'000);
                fixture.discovery.list(all);
            });
            const auto result = fixture.resume_apply();
            relists.join();
            CHECK_MESSAGE(result.code == (undo ? 3 : 0), result.text);
            for (const ShardId shard : {1, 2}) CHECK(!fixture.boxes.guard(1, shard).fenced());
            if (!undo) fixture.check_emptied();
        }
    }
}

// Guards against fences that stand for good: a change that the map refuses was kept at its switch.
TEST_CASE("a move that the map does not allow any more is undone, and no fence is left") {
    for (const char* point : {"", "kept-prepare", "asked-fence", "keep-switch", "kept-switch"}) {
        for (const bool merge : {true, false}) {
            CAPTURE(std::string(point));
            CAPTURE(merge);
            ShardsFixture fixture;
            fixture.use_map(ShardMap::even(2, {1, 2}, 2));
            // A merge, or ownership that is passed to the reader.
            const auto owner = fixture.map.find(1)->owner();
            if (merge) {
                fixture.use_map(fixture.alike());
                CHECK(fixture.shards("merge 1 2").code == 0);
            } else {
                fixture.schedule_pass(1, owner, owner == 1 ? 2 : 1);
            }
            if (*point != 0) CHECK(fixture.shards("apply --lease-ms 100", point).code == -SIGKILL);
            fixture.change_map(RemoveReader{1, owner == 1 ? 2U : 1U});
            const auto result = fixture.resume_apply();
            CHECK_MESSAGE(result.code == 3, result.text);
            CHECK(result.text.find("refused by the map: ") != std::string::npos);
            CHECK(fixture.open_moves().empty());
            CHECK(fixture.shards("history").text.find("undone, refused by the map: ") != std::string::npos);
            for (const ShardId shard : {1, 2})
                for (const std::size_t box : {1U, 2U}) CHECK(!fixture.boxes.guard(box, shard).fenced());
            fixture.boxes.use_map(fixture.discovery.current_map());  // the epoch that the other change made
            CHECK(fixture.ask("once", "t", {2}) == whole_answer({2}));
            CHECK(fixture.ask("once", "u", {8}) == whole_answer({8}));
            CHECK(fixture.boxes.count_repeated_runs("once") == 0);
        }
    }
}

TEST_CASE("a merge whose second shard was split before it is undone, and the next plan is taken") {
    ShardsFixture fixture;
    fixture.use_map(fixture.alike());
    CHECK(fixture.shards("split 2 " + print_key(Gatherer::keys_of(8, kSplits).first + 12'345)).code == 0);
    CHECK(fixture.shards("merge 1 2").code == 0);
    const auto result = fixture.shards("apply");
    CHECK_MESSAGE(result.code == 3, result.text);
    CHECK(result.text.find("move 2: refused by the map: there is no shard 2") != std::string::npos);
    CHECK(fixture.open_moves().empty());
    CHECK(fixture.discovery.current_map().size() == 3);
    CHECK(!fixture.boxes.guard(1, 1).fenced());
    CHECK(fixture.ask("once", "t", {2}) == whole_answer({2}));
    CHECK(fixture.shards("split 1 " + print_key(Gatherer::keys_of(2, kSplits).first + 12'345)).code == 0);
    CHECK(fixture.shards("apply").code == 0);
}

TEST_CASE("a merge whose second shard is split behind its fence lifts the fence of the other one") {
    ShardsFixture fixture;
    fixture.use_map(fixture.alike());
    CHECK(fixture.shards("merge 1 2").code == 0);
    CHECK(fixture.shards("apply --lease-ms 100", "asked-fence").code == -SIGKILL);
    CHECK(fixture.boxes.guard(1, 1).fenced());
    fixture.change_map(Split{2, Gatherer::keys_of(8, kSplits).first + 12'345, 50, 51});
    const auto result = fixture.resume_apply();
    CHECK_MESSAGE(result.code == 3, result.text);
    CHECK(fixture.open_moves().empty());
    CHECK(!fixture.boxes.guard(1, 1).fenced());
    CHECK(fixture.ask("once", "t", {2}) == whole_answer({2}));
}

TEST_CASE("a move whose shard is split elsewhere behind its fence is undone, and its fence is lifted") {
    ShardsFixture fixture;
    fixture.use_map(fixture.alike());
    fixture.schedule_pass(1, 1, 2);
    CHECK(fixture.shards("apply --lease-ms 100", "asked-fence").code == -SIGKILL);
    CHECK(fixture.boxes.guard(1, 1).fenced());
    fixture.change_map(Split{1, Gatherer::keys_of(2, kSplits).first + 12'345, 50, 51});
    const auto result = fixture.resume_apply();
    CHECK_MESSAGE(result.code == 3, result.text);
    CHECK(result.text.find("refused by the map: the shard is not in the map any more") != std::string::npos);
    CHECK(fixture.open_moves().empty());
    CHECK(!fixture.boxes.guard(1, 1).fenced());
}

// Guards against a move that can never end: undoing a later move of its shard told the boxes that no earlier
// one counts any more.
TEST_CASE(
    "a later move of a shard is aborted while an earlier one goes on: that one ends, the shard is run") {
    for (const char* point : {"kept-prepare", "kept-catch-up", "kept-fence", "kept-switch", "published"}) {
        CAPTURE(std::string(point));
        ShardsFixture fixture;
        // Of shard 1: a copy, then ownership is passed, then the old owner's replica is removed.
        CHECK(fixture.shards("apply --lease-ms 100 " + fixture.fleet(), point).code == -SIGKILL);
        const auto first = fixture.open_moves().at(0).move;
        MoveId passing = 0;
        for (const auto& each : fixture.open_moves()) {
            if (each.move.shard == first.shard && each.move.kind == MoveKind::kPass) passing = each.move.id;
        }
        REQUIRE(passing > first.id);
        fixture.shards("abort " + std::to_string(passing));
        const auto result = fixture.resume_apply();
        CHECK_MESSAGE(result.code == 3, result.text);
        CHECK(result.text.find("move " + std::to_string(first.id) + ": done") != std::string::npos);
        CHECK(result.text.find("move " + std::to_string(passing) + ": undone") != std::string::npos);
        CHECK(fixture.ask("once", "t", {2}) == whole_answer({2}));
        CHECK(fixture.ask("once", "u", {8}) == whole_answer({8}));
    }
}

TEST_CASE("a merge is aborted while a move of its second shard goes on: that one ends, both shards are run") {
    ShardsFixture fixture;
    fixture.use_map(fixture.alike());
    fixture.schedule_pass(2, 1, 2);
    CHECK(fixture.shards("merge 1 2").code == 0);
    CHECK(fixture.shards("apply --lease-ms 100", "asked-fence").code == -SIGKILL);
    fixture.shards("abort 2");
    const auto result = fixture.resume_apply();
    CHECK_MESSAGE(result.code == 3, result.text);
    CHECK(result.text.find("move 1: done") != std::string::npos);
    CHECK(fixture.open_moves().empty());
    CHECK(fixture.ask("once", "t", {2}) == whole_answer({2}));
    CHECK(fixture.ask("once", "u", {8}) == whole_answer({8}));
}

// Guards against a change of ownership that is published for an owner who was never fenced.
TEST_CASE(
    "a move whose shard gets another owner behind its fence is undone, and that owner keeps the shard") {
    for (const char* point : {"asked-fence", "merge kept-switch"}) {
        CAPTURE(std::string(point));
        ShardsFixture fixture;
        fixture.use_map(fixture.alike());
        const std::string words(point);
        const bool merge = words.starts_with("merge");
        if (merge) {
            CHECK(fixture.shards("merge 1 2").code == 0);
        } else {
            fixture.change_map(AddReader{1, 3});
            fixture.boxes.use_map(fixture.discovery.current_map());
            fixture.schedule_pass(1, 1, 3);
        }
        const auto crash_point = words.substr(words.rfind(' ') + 1);
        CHECK(fixture.shards("apply --lease-ms 100", crash_point).code == -SIGKILL);
        CHECK(fixture.boxes.guard(1, 1).fenced());
        fixture.change_map(PassOwnership{1, 2});
        if (merge) fixture.change_map(PassOwnership{2, 2});
        const auto changed = fixture.discovery.current_map();
        const auto result = fixture.resume_apply();
        CHECK_MESSAGE(result.code == 3, result.text);
        CHECK(result.text.find("refused by the map: the shard has another owner by now") !=
              std::string::npos);
        CHECK(fixture.discovery.current_map() == changed);
        CHECK(fixture.open_moves().empty());
        CHECK(!fixture.boxes.guard(1, 1).fenced());
    }
}

// Guards against a move that stands at its switch without a word.
TEST_CASE("a move that may be published and that discovery refuses says so, and goes on once it is taken") {
    ShardsFixture fixture;
    CHECK(fixture.shards("apply --lease-ms 100 " + fixture.fleet(), "kept-switch").code == -SIGKILL);
    fixture.discovery.refuse_changes(true);
    std::thread relents([&] {
        usleep(3'500'000);
        fixture.discovery.refuse_changes(false);
    });
    const auto result = fixture.resume_apply();
    relents.join();
    CHECK_MESSAGE(result.code == 0, result.text);
    CHECK(result.text.find("refused by the map: discovery answers 409; it may have been published\n") !=
          std::string::npos);
    fixture.check_emptied();
}

TEST_CASE("a move that discovery refuses although the map allows it is undone after the longest fence") {
    for (const bool split : {true, false}) {
        CAPTURE(split);
        ShardsFixture fixture;
        if (split) fixture.schedule_split();
        fixture.discovery.refuse_changes(true);
        const auto result = fixture.shards("apply " + (split ? "" : fixture.fleet()));
        CHECK_MESSAGE(result.code == 3, result.text);
        CHECK(result.text.find("refused by the map: discovery answers 409") != std::string::npos);
        CHECK(fixture.discovery.current_map() == fixture.map);
        for (const ShardId shard : {1, 2}) CHECK(!fixture.boxes.guard(1, shard).fenced());
        CHECK(fixture.ask("once", "t", {2}) == whole_answer({2}));
        CHECK(fixture.ask("once", "u", {8}) == whole_answer({8}));
    }
}

TEST_CASE("the new owner fails right after the map is published: the move waits, nothing runs twice") {
    for (const int published : {1, 2, 3}) {
        for (const std::size_t box : {2U, 3U}) {
            CAPTURE(published);
            CAPTURE(box);
            ShardsFixture fixture;
            const auto point = "published:" + std::to_string(published);
            CHECK(fixture.shards("apply --lease-ms 100 " + fixture.fleet(), point).code == -SIGKILL);
            fixture.boxes.set_down(box, true);
            usleep(150'000);
            std::thread revives([&] {
                usleep(400'000);
                fixture.boxes.set_down(box, false);
            });
            const auto result = fixture.shards("apply");
            revives.join();
            CHECK_MESSAGE(result.code == 0, result.text);
            fixture.check_emptied();
        }
    }
}

TEST_CASE("a second process reports the lease holder; a step is not saved after the lease is lost") {
    ShardsFixture fixture;
    const auto file = fixture.fleet();
    CHECK(fixture.shards("apply --lease-ms 60000 " + file, "kept-fence").code == -SIGKILL);
    const auto other = fixture.shards("apply");
    CHECK(other.code == 1);
    CHECK(other.text.find("moves are carried by ") != std::string::npos);
    store::SqliteDb db(fixture.folder.path + "/journal.db", "", 1'000);
    store::MoveJournal journal(db);
    const auto holder = journal.holder();
    CHECK(!holder.empty());
    auto moves = journal.moves(true);
    REQUIRE(!moves.empty());
    CHECK(moves[0].move.step == MoveStep::kFence);
    auto next = moves[0].move;
    next.step = MoveStep::kSwitch;
    CHECK_THROWS_AS(journal.keep(next, "somebody else"), store::LeaseLost);
    CHECK(journal.moves(true)[0].move.step == MoveStep::kFence);
    CHECK(!journal.acquire_lease("somebody else", 100));
    journal.release_lease(holder);
    CHECK(journal.acquire_lease("somebody else", 1));
    usleep(5'000);
    CHECK(fixture.shards("apply").code == 0);
    fixture.check_emptied();
}

TEST_CASE("the journal works over PostgreSQL, and a broken connection saves no partial step") {
    const auto file = scratch() + "/pinedoor-journal-" + std::to_string(getpid()) + ".db";
    {
        PostgresStandIn postgres(file);
        store::PgDb db(postgres.conninfo());
        store::migrate(db);
        store::MoveJournal journal(db);
        journal.init();
        journal.init();  // a second call has no effect
        CHECK(journal.acquire_lease("me", 600'000));
        CHECK(journal.acquire_lease("me", 600'000));
        CHECK(!journal.acquire_lease("other", 600'000));
        CHECK(journal.holder() == "me");
        store::JournalMove made;
        made.move = {0, 5, 1, 2, 7, MoveStep::kPrepare, MoveKind::kSplit, {~Key{0}, 0, 8, 9}};
        made.from = "s-1";
        made.wave = 3;
        made.map = 4;
        const auto added = journal.add({made, made});
        CHECK(added[0].move.id == 1);
        CHECK(added[1].move.id == 2);
        auto move = added[0].move;
        move.step = MoveStep::kSwitch;
        journal.keep(move, "me");
        CHECK_THROWS_AS(journal.keep(move, "other"), store::LeaseLost);
        CHECK(journal.wish(2, "abort"));
        CHECK(!journal.wish(3, "abort"));
        journal.pause(true);
        CHECK(journal.paused());
        const auto moves = journal.moves(true);
        REQUIRE(moves.size() == 2);
        CHECK(moves[0].move == move);
        CHECK(moves[0].wave == 3);
        CHECK(moves[0].map == 4);
        CHECK(moves[1].wish == "abort");
        postgres.die_before_commit = 1;
        move.step = MoveStep::kDrain;
        CHECK_THROWS_AS(journal.keep(move, "me"), store::SqlError);
        store::PgDb again(postgres.conninfo());
        store::MoveJournal after(again);
        CHECK(after.moves(true)[0].move.step == MoveStep::kSwitch);
        move.step = MoveStep::kDone;
        after.keep(move, "me");
        CHECK(after.moves(true).size() == 1);
        CHECK(after.moves(false).size() == 2);
    }
    for (const char* end : {"", "-wal", "-shm"}) std::filesystem::remove(file + end);
}

TEST_CASE("a move can be undone at each step before the switch and not after it") {
    for (const char* point : {"kept-prepare", "kept-catch-up", "kept-fence", "asked-fence", "asked-reach"}) {
        CAPTURE(std::string(point));
        ShardsFixture fixture;
        CHECK(fixture.shards("apply --lease-ms 100 " + fixture.fleet(), point).code == -SIGKILL);
        for (const int move : {1, 2, 3, 4}) fixture.shards("abort " + std::to_string(move));
        const auto result = fixture.resume_apply();
        CHECK(result.code == 3);
        // Readers added by completed moves stay. Ownership is unchanged and no fence is up.
        const bool asked = std::string(point).starts_with("asked");
        if (!asked) CHECK(fixture.discovery.current_map() == fixture.map);
        for (const auto& shard : fixture.discovery.current_map().shards()) {
            CHECK(shard.owner() == 1);
            CHECK(fixture.boxes.guard(1, shard.id).owns());
            CHECK(!fixture.boxes.guard(1, shard.id).fenced());
        }
        CHECK(fixture.ask("once", "t", {1}) == whole_answer({1}));
        CHECK(fixture.ask("once", "u", {8}) == whole_answer({8}));
        for (const std::size_t box : {2U, 3U}) CHECK(!fixture.boxes.guard(box, 2).has_copy());
        if (!asked) CHECK(!fixture.boxes.guard(3, 1).has_copy());
        CHECK(fixture.shards("history").text.find("undone") != std::string::npos);
    }
    ShardsFixture fixture;
    CHECK(fixture.shards("apply --lease-ms 100 " + fixture.fleet(), "kept-switch").code == -SIGKILL);
    fixture.shards("abort 1");
    usleep(150'000);
    const auto result = fixture.shards("apply");
    CHECK(result.text.find("cannot be aborted any more") != std::string::npos);
    CHECK(result.code == 0);
    fixture.check_emptied();
}

TEST_CASE("no move begins while paused; moves begin after resume") {
    ShardsFixture fixture;
    CHECK(fixture.shards("apply --lease-ms 100 " + fixture.fleet(), "keep-prepare").code == -SIGKILL);
    CHECK(fixture.shards("pause").text == "paused\n");
    usleep(150'000);
    std::thread resumes([&fixture] {
        usleep(300'000);
        CHECK(fixture.boxes.guard(3, 1).has_copy() == false);
        fixture.shards("resume");
    });
    CHECK(fixture.shards("apply").code == 0);
    resumes.join();
    fixture.check_emptied();
}

TEST_CASE("the move queue limits moves in total, per server, shard and zone; pauses with hysteresis") {
    CHECK(MoveQueue::fault_of({}) == "");
    MoveQueueConfig wrong;
    wrong.resume_below = wrong.pause_above;
    CHECK(MoveQueue::fault_of(wrong) != "");
    MoveQueue desk({2, 1, 2, 0.02, 0.005, 2});
    desk.add({1, 10, 1, 2, 0, false});
    desk.add({2, 11, 1, 3, 0, false});  // from the same index server
    desk.add({3, 12, 4, 5, 0, false});
    desk.add({4, 10, 6, 7, 1, false});  // a later wave
    CHECK(desk.begin() == std::vector<MoveId>{1, 3});
    CHECK(desk.begin().empty());
    desk.ended(1, MoveQueue::End::kDone);
    CHECK(desk.begin() == std::vector<MoveId>{2});
    desk.ended(3, MoveQueue::End::kDone);
    CHECK(desk.begin().empty());  // the first wave is not finished
    CHECK(desk.look(0.5) == MoveQueue::Did::kNothing);
    CHECK(desk.look(0.5) == MoveQueue::Did::kPaused);
    desk.ended(2, MoveQueue::End::kDone);
    CHECK(desk.begin().empty());
    CHECK(desk.why() == "paused: the fleet is under pressure");
    CHECK(desk.look(0.01) == MoveQueue::Did::kNothing);  // between the thresholds: no change
    CHECK(desk.look(0.01) == MoveQueue::Did::kNothing);
    CHECK(desk.look(0.001) == MoveQueue::Did::kNothing);
    CHECK(desk.look(0.001) == MoveQueue::Did::kResumed);
    CHECK(desk.begin() == std::vector<MoveId>{4});
    CHECK(!desk.done());
    desk.add({5, 20, 1, 2, 2, false});
    desk.ended(4, MoveQueue::End::kUndone);
    CHECK(desk.begin().empty());
    CHECK(desk.done());
    CHECK(desk.why() == "move 4 was undone; plan again");
    MoveQueue zoned({4, 4, 1, 0.02, 0.005, 2});
    zoned.add({1, 10, 1, 2, 0, false, 7});
    zoned.add({2, 11, 3, 4, 0, false, 7});
    zoned.add({3, 12, 5, 6, 0, false, 8});
    CHECK(zoned.begin() == std::vector<MoveId>{1, 3});
    MoveQueue again({1, 1, 1, 0.02, 0.005, 2});
    again.by_hand(true);
    again.add({1, 10, 1, 2, 5, true});
    again.add({2, 11, 1, 2, 0, false});
    CHECK(again.begin() == std::vector<MoveId>{1});  // a begun move continues, since its fence may be up
}

TEST_CASE(
    "the move queue begins an aborted move whatever its limits, after the earlier moves of its shards") {
    MoveQueue desk({1, 1, 1, 0.02, 0.005, 2});
    desk.add({1, 10, 1, 2, 0, false});
    desk.add({2, 11, 1, 3, 0, false});
    desk.add({3, 12, 1, 3, 0, false});
    desk.add({4, 10, 1, 2, 1, false, 0, 12});  // a merge of shards 10 and 12
    desk.add({5, 13, 1, 3, 2, false});
    CHECK(desk.begin() == std::vector<MoveId>{1});
    desk.abort(4);
    CHECK(desk.begin().empty());
    desk.abort(2);
    CHECK(desk.begin() == std::vector<MoveId>{2});  // beyond the limits
    desk.ended(1, MoveQueue::End::kUndone);
    CHECK(desk.begin().empty());  // the queue has stopped, and the third move waits
    CHECK(!desk.done());
    desk.ended(2, MoveQueue::End::kAborted);
    CHECK(desk.done());
    desk.abort(3);
    CHECK(!desk.done());
    CHECK(desk.begin() == std::vector<MoveId>{3});
    desk.ended(3, MoveQueue::End::kAborted);
    CHECK(!desk.done());
    CHECK(desk.begin() == std::vector<MoveId>{4});
    desk.ended(4, MoveQueue::End::kAborted);
    CHECK(desk.done());
    CHECK(desk.waiting() == 1);
}

TEST_CASE("the move queue keeps its limits and terminates") {
    CHECK(rc::check("desk", [] {
        MoveQueueConfig terms;
        terms.at_once = *rc::gen::inRange<std::size_t>(1, 5);
        terms.at_once_box = *rc::gen::inRange<std::size_t>(1, 3);
        MoveQueue desk(terms);
        const int count = *rc::gen::inRange(1, 30);
        std::map<MoveId, QueuedMove> all, on;
        for (int i = 1; i <= count; ++i) {
            QueuedMove wanted{static_cast<MoveId>(i),
                              *rc::gen::inRange<ShardId>(1, 9),
                              *rc::gen::inRange<ServerNumber>(1, 6),
                              *rc::gen::inRange<ServerNumber>(1, 6),
                              *rc::gen::inRange<std::size_t>(0, 3),
                              false};
            all[wanted.id] = wanted;
            desk.add(wanted);
        }
        std::size_t wave = 0, ended = 0;
        while (!desk.done()) {
            for (const auto id : desk.begin()) {
                RC_ASSERT(all.at(id).wave >= wave);
                wave = all.at(id).wave;
                on[id] = all.at(id);
            }
            RC_ASSERT(!on.empty());
            RC_ASSERT(on.size() <= terms.at_once);
            std::map<ServerNumber, std::size_t> from, to;
            std::set<ShardId> shards;
            for (const auto& [id, each] : on) {
                RC_ASSERT(++from[each.from] <= terms.at_once_box);
                RC_ASSERT(++to[each.to] <= terms.at_once_box);
                RC_ASSERT(shards.insert(each.shard).second);
            }
            const auto which = on.begin()->first;
            on.erase(which);
            desk.ended(which, MoveQueue::End::kDone);
            ++ended;
        }
        RC_ASSERT(ended == all.size());
    }));
}

}  // namespace
