// A front node, index servers and discovery over loopback, and the `pinedoor shards` command line that moves
// shards between them. Shared by the tests of moves.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "stand_ins/boxes.hpp"
#include "store/move_journal.hpp"
#include "store/sqlite_db.hpp"

namespace pinedoor::test {

using namespace pinedoor::placement;

constexpr int kSplits = 12;

struct TempFolder {
    TempFolder() { path = mkdtemp(path.data()); }
    ~TempFolder() { std::filesystem::remove_all(path); }
    std::string path = scratch() + "/pinedoor-shards-XXXXXX";
};

struct CommandResult {
    std::string text;
    int code = 0;
};

// Two shards on three index servers, a front node, and the `pinedoor shards` command line.
struct ShardsFixture {
    ShardsFixture() : map(two_shards()) {
        for (const char* name : {"s-1", "s-2", "s-3"}) names.number(name);
        boxes.use_map(map);
        discovery.list(boxes.listed());
        discovery.set_map(map, names);
        program = std::make_unique<FrontNodeProcess>(boxes.listed(), discovery.at());
        program->with_settings(
            "[placement]\non = true\nask_again_ms = 5\nmost_legs = 60\n[placement.merge]\nagain = "
            "\"sum\"\nonce = "
            "\"sum\"\n");
        client = program->start().client();
        CHECK(program->wait_for_counter("map_version", 1) == 1);
    }
    // Server 1 owns both shards; server 2 is a reader of the first; the second has no reader.
    static ShardMap two_shards() {
        auto shards = ShardMap::even(2, {1, 2}, 2).shards();
        shards[1].replicas = {{1, Role::kOwner}};
        return ShardMap::of(shards);
    }
    // A command that does not end within this time is ended, with 124.
    CommandResult shards(const std::string& words, const std::string& crash_at = "", int seconds = 60) const {
        const auto command = (crash_at.empty() ? "" : "PINEDOOR_CRASH_AT=" + crash_at + ' ') + "timeout " +
                             std::to_string(seconds) + ' ' + PINEDOOR_PROGRAM + " shards --sqlite " +
                             folder.path + "/journal.db --discovery " +
                             pinedoor::net::to_text(discovery.at()) + ' ' + words + " 2>&1";
        CommandResult result;
        auto* const pipe = popen(command.c_str(), "r");
        for (char bytes[4096]; const auto count = fread(bytes, 1, sizeof bytes, pipe);)
            result.text.append(bytes, count);
        const int status = pclose(pipe);
        result.code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        if (result.code > 128)
            result.code = 128 - result.code;  // the shell reports a signal as 128 + its number
        return result;
    }
    // A fleet file in which server 1 is draining.
    std::string fleet() const {
        const auto path = folder.path + "/fleet.toml";
        std::ofstream(path) << R"([limits]
near_enough = 10
[[boxes]]
name = "s-1"
capacity = 100
space = 100
draining = true
[[boxes]]
name = "s-2"
capacity = 100
space = 100
[[boxes]]
name = "s-3"
capacity = 100
space = 100
[[shards]]
id = 1
replicas = ["s-1", "s-2"]
reads = 10
writes = 1
size = 5
[[shards]]
id = 2
replicas = ["s-1"]
reads = 10
writes = 1
size = 5
)";
        return path;
    }
    void schedule_split() const {
        shards("split 1 " + print_key(Gatherer::keys_of(2, kSplits).first + 12'345));
    }
    // Makes discovery and the index servers go by this map.
    void use_map(const ShardMap& next) {
        map = ShardMap::of(next.shards(), discovery.current_map().version() + 1);
        boxes.use_map(map);
        discovery.set_map(map, names);
        discovery.broadcast(print_map(map, names));
        CHECK(program->wait_for_counter("map_version", map.version()) == map.version());
    }
    // Both shards on servers 1, which owns them, and 2.
    static ShardMap alike() {
        auto shards = two_shards().shards();
        shards[1].replicas = shards[0].replicas;
        return ShardMap::of(shards);
    }
    // A change of the map that comes from elsewhere; the index servers are not told of it.
    void change_map(const Step& step) {
        auto next = std::get<ShardMap>(discovery.current_map().after(step));
        discovery.set_map(next, names);
        discovery.broadcast(print_map(next, names));
    }
    void schedule_pass(ShardId shard, ServerNumber from, ServerNumber to) const {
        store::SqliteDb db(folder.path + "/journal.db", "", 1'000);
        store::MoveJournal journal(db);
        journal.init();
        store::JournalMove move;
        move.move = {0, shard, from, to, map.find(shard)->epoch, MoveStep::kPrepare, MoveKind::kPass, {}};
        move.from = names.name(from);
        move.to = names.name(to);
        move.map = map.version();
        journal.add({move});
    }
    std::vector<store::JournalMove> open_moves() const {
        store::SqliteDb db(folder.path + "/journal.db", "", 1'000);
        store::MoveJournal journal(db);
        journal.init();
        return journal.moves(true);
    }
    // The first open move that is at this step; 0: none.
    MoveId open_move(MoveStep step) const {
        for (const auto& each : open_moves()) {
            if (each.move.step == step) return each.move.id;
        }
        return 0;
    }
    store::JournalMove journaled(MoveId id) const {
        for (auto& each : open_moves()) {
            if (each.move.id == id) return each;
        }
        return {};
    }
    // On a new connection: the front node may close one that was idle for 2 s, and commands may take longer.
    std::string ask(const std::string& op_type, const std::string& name, const std::vector<int>& splits) {
        client = program->client();
        client.say(post(op_type, name, asks(splits, op_type == "once" ? "once" : "sum")));
        return client.answer();
    }
    // Runs `apply` until the lease of the killed process has expired.
    CommandResult resume_apply() const {
        CommandResult result;
        for (int tries = 0; tries < 100; ++tries) {
            usleep(20'000);
            result = shards("apply --lease-ms 100");
            if (result.code != 1) break;
        }
        return result;
    }
    void check_emptied() {
        const auto now = discovery.current_map();
        for (const auto& shard : now.shards()) {
            for (const auto& each : shard.replicas) {
                CHECK(each.box != 1);
                const auto guard = boxes.guard(each.box, shard.id);
                CHECK(guard.owns() == (each.role == Role::kOwner));
                CHECK(guard.epoch() == shard.epoch);
                CHECK(!guard.fenced());
            }
            CHECK(shard.replicas.size() == (shard.id == 1 ? 2 : 1));
            CHECK(!boxes.guard(1, shard.id).has_copy());
        }
        CHECK(program->wait_for_counter("map_version", now.version()) == now.version());
        CHECK(ask("once", "after", {1}) == whole_answer({1}));
        CHECK(ask("again", "after2", {0, 5, 11}) == whole_answer({0, 5, 11}));
        CHECK(boxes.count_repeated_runs("once") == 0);
        CHECK(program->counter("invariants_broken") == 0);
    }

    TempFolder folder;
    TestServers boxes{3};
    MapDiscovery discovery;
    ServerNames names;
    ShardMap map;
    std::unique_ptr<FrontNodeProcess> program;
    Peer client;
};

}  // namespace pinedoor::test
