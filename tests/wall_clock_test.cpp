// Steps of the wall clock while the front node runs. Deadlines, pauses and server start times must be
// measured in elapsed time, so a step must not affect them.
#include <doctest/doctest.h>

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "net/scheduler.hpp"
#include "stand_ins.hpp"
#include "store/sqlite_db.hpp"

namespace {

using namespace pinedoor::test;
namespace net = pinedoor::net;

constexpr std::int64_t kHourMs = 3'600'000;

// A front node whose wall clock the test can step, with one index server.
struct SteppedNode {
    Listener server;
    Listener discovery;
    std::string folder = scratch() + "/pinedoor-clock-XXXXXX";
    FrontNodeProcess program{{{"s-1", server.at()}}, discovery.at()};
    Peer client;
    Peer watch;

    SteppedNode() {
        folder = mkdtemp(folder.data());
        step_by(0);
        program.with_environment("LD_PRELOAD", PINEDOOR_WALL_CLOCK)
            .with_environment("PINEDOOR_LAB_CLOCK", file())
            .with_environment("ASAN_OPTIONS", "verify_asan_link_order=0");
    }
    ~SteppedNode() { std::filesystem::remove_all(folder); }
    std::string file() const { return folder + "/clock"; }
    // Overwrites the offset in place, since the process has the file mapped.
    void step_by(std::int64_t ms) const {
        std::fstream out(file(), std::ios::in | std::ios::out | std::ios::binary);
        if (!out.is_open()) out.open(file(), std::ios::out | std::ios::binary);
        out.write(reinterpret_cast<const char*>(&ms), sizeof ms);
    }
    void start() {
        client = program.start().client();
        watch = discovery.accept();
        watch.read_to("\r\n\r\n");
        watch.say(kStream + chunk(list_object(2, true, {{"s-1", server.at()}}) + "\n"));
        REQUIRE(program.wait_for_counter("list_news", 2) == 2);
    }
};

TEST_CASE("a step of the wall clock ends no request, and servers still receive the remaining time") {
    std::int64_t step_ms = 0;
    SUBCASE("an hour on") { step_ms = kHourMs; }
    SUBCASE("an hour back") { step_ms = -kHourMs; }
    SUBCASE("seconds on") { step_ms = 5'000; }
    SUBCASE("seconds back") { step_ms = -5'000; }
    SteppedNode node;
    node.start();
    node.client.say(post("once", "t1", asks({1}), 3'000));
    auto link = node.server.accept();
    REQUIRE(link.frame() == "St1.1 1 1\nq");
    node.step_by(step_ms);
    auto other = node.program.client();
    other.say(post("once", "t2", asks({2}), 3'000));
    const auto frame = link.read_frame_with_time();
    REQUIRE(frame.starts_with("St2.2 2 d="));
    const int wait_ms = std::stoi(frame.substr(10));
    CHECK(wait_ms <= 2'000);  // the latency budget; a later result has no importance
    CHECK(wait_ms > 1'500);
    link.reply("t2.2", "done", "two");
    CHECK(other.answer() == R"(200 {"whole":true,"results":[{"partition":2,"value":"two"}]})");
    link.reply("t1.1", "done", "one");
    CHECK(node.client.answer() == R"(200 {"whole":true,"results":[{"partition":1,"value":"one"}]})");
    CHECK(node.program.counter("invariants_broken") == 0);
    CHECK(node.program.counter("list_failures") == 0);  // the watch has not timed out
    node.program.kill(SIGTERM);
    node.client = Peer{};
    other = Peer{};
    CHECK(node.program.wait() == 0);
}

// Guards against leases dated by the wall clock: after a step forward, a killed process would count as alive
// for an hour; after a step back, a running process would count as gone.
TEST_CASE("a process whose wall clock is stepped counts as alive while it runs, and as gone soon after") {
    std::int64_t step_ms = 0;
    SUBCASE("an hour on") { step_ms = kHourMs; }
    SUBCASE("an hour back") { step_ms = -kHourMs; }
    SteppedNode node;
    node.program.with_settings("[store]\nkind = \"sqlite\"\nfolder = \"@/store\"\nlease_ms = 900\n");
    node.start();
    // The state is read by another process, whose clock is not stepped.
    std::string line;
    const auto wait_for = [&](const auto& condition) {
        for (int tries = 0; tries < kWaitTimeoutSeconds * 50; ++tries) {
            line = node.program.store("show");
            if (condition()) return true;
            usleep(20'000);
        }
        return false;
    };
    const auto contains = [&](const char* text) { return line.find(text) != std::string::npos; };
    REQUIRE(wait_for([&] { return contains(" alive, "); }));
    node.step_by(step_ms);
    for (int renewals = 0; renewals < 3; ++renewals) {
        const auto previous = line;
        REQUIRE(wait_for([&] { return line != previous; }));
        CHECK(contains(" alive, "));
    }
    node.program.kill(SIGKILL);
    CHECK(wait_for([&] { return contains(" gone, "); }));
}

// Guards leases across a reboot, after which the boot clock starts at zero.
TEST_CASE("after a reboot a store's clock continues from the wall clock") {
    auto folder = scratch() + "/pinedoor-boot-XXXXXX";
    const std::string path = std::string(mkdtemp(folder.data())) + "/db";
    const auto now = [](pinedoor::store::SqliteDb& db) {
        return pinedoor::store::number_of(db.run("SELECT pinedoor_now()").at(0).at(0));
    };
    constexpr std::int64_t kSecond = 10'000;
    pinedoor::store::SqliteDb first(path);
    first.share_clock();
    first.run("UPDATE pinedoor_clock SET booted_at = booted_at + $1", {60 * kSecond});
    pinedoor::store::SqliteDb second(path);  // the same boot: the recorded offset stays valid
    CHECK(now(second) - now(first) > 59 * kSecond);
    first.run("UPDATE pinedoor_clock SET boot = 'another'");
    pinedoor::store::SqliteDb third(path);
    third.share_clock();
    CHECK(std::abs(now(third) - net::wall_clock()) < 10 * kSecond);
    CHECK(pinedoor::store::number_of(third.run("SELECT count(*) FROM pinedoor_clock").at(0).at(0)) == 1);
    std::filesystem::remove_all(folder);
}

}  // namespace
