// Tests of what is told of the parts of a multiget whose shards move: the record, the key, the name and the
// answer must not call a part harmless to repeat that may have run.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "placement/gatherer.hpp"
#include "stand_ins/boxes.hpp"

namespace {

using namespace pinedoor::test;
using namespace pinedoor::placement;

// Two shards of six splits each, each at a server of its own, and a front node that records multigets.
struct RecordingFleet {
    RecordingFleet() : boxes(2), map(ShardMap::even(2, {1, 2}, 1)) {
        for (const char* name : {"s-1", "s-2"}) names.number(name);
        boxes.use_map(map);
        discovery.list(boxes.listed());
        discovery.map(print_map(map, names));
        program = std::make_unique<FrontNodeProcess>(boxes.listed(), discovery.at());
        program->with_settings(
            "[store]\nkind = \"sqlite\"\nfolder = \"@/store\"\n"
            "[placement]\non = true\nask_again_ms = 100\nmost_legs = 4\n");
        client = program->start().client();
        CHECK(program->wait_for_counter("map_version", 1) == 1);
        CHECK(program->wait_for_counter("store_condition", 1) == 1);
        CHECK(ask("warm-up", "k0", {0, 7}).starts_with("200"));
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

}  // namespace
