// Discovery that is overloaded, slow or temporarily down, and several configurations in a row: requests are
// served by the known list, discovery is not flooded with calls, and the list that it finally sends is used.
#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <string>
#include <thread>

#include "stand_ins.hpp"

namespace {

using namespace pinedoor::test;

// A front node that knows one server; discovery will name another one in its place.
struct TwoServers {
    Listener known;
    Listener later;
    pinedoor::lab::HeldPort discovery_port;
    Program program{{{"s-1", known.at()}}, discovery_port.at()};
    Peer client;
    Peer link;
    int asked = 0;

    std::string later_list(int revision) const {
        return list_object(revision, true, {{"s-2", later.at()}}) + "\n";
    }
    void start() {
        client = program.start().client();
        ask();
        link = known.accept();
        answer();
    }
    std::string name() const { return 't' + std::to_string(asked); }
    void ask() {
        ++asked;
        client.say(post("again", name(), asks({1})));
    }
    void answer() {
        CHECK(link.frame() == 'S' + name() + ".1 1 1\nq");
        link.reply(name() + ".1", "done", "v");
        CHECK(client.answer() == R"(200 {"whole":true,"results":[{"partition":1,"value":"v"}]})");
    }
    void serve_by_known() {
        ask();
        answer();
    }
    void serve_by_later() {
        ask();
        link = later.accept();
        answer();
    }
};

TEST_CASE("while discovery is crowded requests are served by the known list, and it is asked with pauses") {
    constexpr int kRefusals = 4;
    TwoServers fleet;
    Listener discovery(64, fleet.discovery_port.at());
    fleet.start();
    const auto begun = std::chrono::steady_clock::now();
    for (int i = 0; i < kRefusals; ++i) {
        auto watch = discovery.accept();
        REQUIRE(watch.read_to("\r\n\r\n").starts_with("GET /discovery/hosts?stream=1"));
        watch.say("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n");
        fleet.serve_by_known();
    }
    auto watch = discovery.accept();
    const auto took = std::chrono::steady_clock::now() - begun;
    CHECK(took >
          std::chrono::milliseconds(80 * kRefusals));  // a sixteenth of the time within which it must call
    watch.read_to("\r\n\r\n");
    watch.say(kStream + chunk(fleet.later_list(2)));
    REQUIRE(fleet.program.counter_at("list_news", 2) == 2);
    fleet.serve_by_later();
    CHECK(fleet.program.counter("list_failures") == kRefusals);
}

TEST_CASE("a list that comes slowly is used when it is whole, and not before; requests do not wait for it") {
    TwoServers fleet;
    Listener discovery(64, fleet.discovery_port.at());
    fleet.start();
    auto watch = discovery.accept();
    watch.read_to("\r\n\r\n");
    watch.say(kStream);
    const auto list = fleet.later_list(2);
    constexpr std::size_t kPieces = 4;
    const auto size = list.size() / kPieces;
    for (std::size_t i = 0; i + 1 < kPieces; ++i) {
        watch.say(chunk(list.substr(i * size, size)));
        fleet.serve_by_known();
    }
    watch.say(chunk(list.substr((kPieces - 1) * size)));
    REQUIRE(fleet.program.counter_at("list_news", 2) == 2);
    fleet.serve_by_later();
    CHECK(fleet.program.counter("list_failures") == 0);
}

TEST_CASE("after an outage of discovery its list is asked for once, and used") {
    constexpr int kFailures = 5;
    TwoServers fleet;
    fleet.start();  // nothing listens at discovery's port
    REQUIRE(fleet.program.counter_at("list_failures", kFailures) == kFailures);
    fleet.serve_by_known();
    Listener discovery(64, fleet.discovery_port.at());
    auto watch = discovery.accept();
    REQUIRE(watch.read_to("\r\n\r\n").starts_with("GET /discovery/hosts?stream=1&index=1 "));
    watch.say(kStream + chunk(fleet.later_list(2)));
    REQUIRE(fleet.program.counter_at("list_news", 2) == 2);
    fleet.serve_by_later();
    const auto failures = fleet.program.counter("list_failures");
    SUBCASE("then its watch is reset") { watch.reset(); }
    SUBCASE("then its watch ends") { watch = Peer{}; }
    watch = discovery.accept();
    CHECK(watch.read_to(" HTTP").ends_with("index=2 HTTP"));
    CHECK(fleet.program.counter("list_failures") == failures + 1);
}

TEST_CASE("a watch on which half a change trickles is dead, and is opened anew") {
    TwoServers fleet;
    Listener discovery(64, fleet.discovery_port.at());
    fleet.start();
    auto watch = discovery.accept();
    watch.read_to("\r\n\r\n");
    watch.say(kStream + chunk(list_object(2, true, {{"s-1", fleet.known.at()}}) + "\n"));
    REQUIRE(fleet.program.counter_at("list_news", 2) == 2);
    const auto change = fleet.later_list(3);
    std::atomic<bool> reopened = false;
    std::thread trickle([&] {
        for (std::size_t i = 0; i < change.size() / 2 && !reopened; ++i) {
            watch.say(chunk(change.substr(i, 1)));
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
    });
    auto anew = discovery.accept();
    CHECK(anew.read_to(" HTTP").ends_with("index=2 HTTP"));
    reopened = true;
    trickle.join();
    anew.say(kStream + chunk(change));
    REQUIRE(fleet.program.counter_at("list_news", 3) == 3);
    fleet.client = fleet.program.client();  // the first connection was idle for too long
    fleet.serve_by_later();
}

TEST_CASE("after standing still a front node reads its watch before it decides or gives the watch up") {
    TwoServers fleet;
    Listener discovery(64, fleet.discovery_port.at());
    fleet.start();
    auto watch = discovery.accept();
    watch.read_to("\r\n\r\n");
    watch.say(kStream + chunk(list_object(2, true, {{"s-1", fleet.known.at()}}) + "\n"));
    REQUIRE(fleet.program.counter_at("list_news", 2) == 2);
    fleet.program.kill(SIGSTOP);
    fleet.ask();  // sent first, so that it is read first
    watch.say(chunk(fleet.later_list(3)));
    std::this_thread::sleep_for(std::chrono::seconds(4));
    fleet.program.kill(SIGCONT);
    fleet.link = fleet.later.accept();
    fleet.answer();
    CHECK(fleet.program.counter("list_failures") == 0);
}

TEST_CASE("of several configurations in a row the last one holds, and requests notice none of them") {
    constexpr int kMoves = 6;
    TwoServers fleet;
    Listener first(64, fleet.discovery_port.at());
    fleet.start();
    auto watch = first.accept();
    watch.read_to("\r\n\r\n");
    std::vector<Listener> others(kMoves);
    auto before = pinedoor::net::to_text(fleet.discovery_port.at());
    for (const auto& other : others) {
        const auto now = pinedoor::net::to_text(other.at());
        fleet.program.with("\"discovery\":\"" + before, "\"discovery\":\"" + now).rewrite();
        fleet.program.kill(SIGHUP);
        fleet.program.kill(SIGHUP);
        fleet.serve_by_known();
        before = now;
    }
    auto last = others.back().accept();
    REQUIRE(last.read_to("\r\n\r\n").starts_with("GET /discovery/hosts?stream=1 HTTP"));
    CHECK(watch.ended());
    last.say(kStream + chunk(fleet.later_list(9)));
    REQUIRE(fleet.program.counter_at("list_news", 2) == 2);
    fleet.serve_by_later();
}

}  // namespace
