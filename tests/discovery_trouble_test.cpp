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
struct TwoServersSetup {
    Listener known_server;
    Listener later_server;
    pinedoor::lab::HeldPort discovery_port;
    FrontNodeProcess program{{{"s-1", known_server.at()}}, discovery_port.at()};
    Peer client;
    Peer connection;
    int requests_sent = 0;

    std::string later_list(int revision) const {
        return list_object(revision, true, {{"s-2", later_server.at()}}) + "\n";
    }
    void start() {
        client = program.start().client();
        ask();
        connection = known_server.accept();
        answer();
    }
    std::string name() const { return 't' + std::to_string(requests_sent); }
    void ask() {
        ++requests_sent;
        client.say(post("again", name(), asks({1})));
    }
    void answer() {
        CHECK(connection.frame() == 'S' + name() + ".1 1 1\nq");
        connection.reply(name() + ".1", "done", "v");
        CHECK(client.answer() == R"(200 {"whole":true,"results":[{"partition":1,"value":"v"}]})");
    }
    void serve_by_known_server() {
        ask();
        answer();
    }
    void serve_by_later_server() {
        ask();
        connection = later_server.accept();
        answer();
    }
};

TEST_CASE(
    "while discovery is overloaded requests are served by the known list, and it is called with delays") {
    constexpr int kRefusals = 4;
    TwoServersSetup setup;
    Listener discovery(64, setup.discovery_port.at());
    setup.start();
    const auto started_at = std::chrono::steady_clock::now();
    for (int i = 0; i < kRefusals; ++i) {
        auto watch = discovery.accept();
        REQUIRE(watch.read_to("\r\n\r\n").starts_with("GET /discovery/hosts?stream=1"));
        watch.say("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n");
        setup.serve_by_known_server();
    }
    auto watch = discovery.accept();
    const auto duration = std::chrono::steady_clock::now() - started_at;
    CHECK(duration >
          std::chrono::milliseconds(80 * kRefusals));  // a sixteenth of the time within which it must call
    watch.read_to("\r\n\r\n");
    watch.say(kStream + chunk(setup.later_list(2)));
    REQUIRE(setup.program.wait_for_counter("list_news", 2) == 2);
    setup.serve_by_later_server();
    CHECK(setup.program.counter("list_failures") == kRefusals);
}

TEST_CASE("a list that arrives slowly is used when it is complete; requests do not wait for it") {
    TwoServersSetup setup;
    Listener discovery(64, setup.discovery_port.at());
    setup.start();
    auto watch = discovery.accept();
    watch.read_to("\r\n\r\n");
    watch.say(kStream);
    const auto list = setup.later_list(2);
    constexpr std::size_t kPieces = 4;
    const auto size = list.size() / kPieces;
    for (std::size_t i = 0; i + 1 < kPieces; ++i) {
        watch.say(chunk(list.substr(i * size, size)));
        setup.serve_by_known_server();
    }
    watch.say(chunk(list.substr((kPieces - 1) * size)));
    REQUIRE(setup.program.wait_for_counter("list_news", 2) == 2);
    setup.serve_by_later_server();
    CHECK(setup.program.counter("list_failures") == 0);
}

TEST_CASE("after an outage of discovery the list is requested once, and used") {
    constexpr int kFailures = 5;
    TwoServersSetup setup;
    setup.start();  // nothing listens at discovery's port
    REQUIRE(setup.program.wait_for_counter("list_failures", kFailures) == kFailures);
    setup.serve_by_known_server();
    Listener discovery(64, setup.discovery_port.at());
    auto watch = discovery.accept();
    REQUIRE(watch.read_to("\r\n\r\n").starts_with("GET /discovery/hosts?stream=1&index=1 "));
    watch.say(kStream + chunk(setup.later_list(2)));
    REQUIRE(setup.program.wait_for_counter("list_news", 2) == 2);
    setup.serve_by_later_server();
    const auto failures = setup.program.counter("list_failures");
    SUBCASE("then its watch is reset") { watch.reset(); }
    SUBCASE("then its watch ends") { watch = Peer{}; }
    watch = discovery.accept();
    CHECK(watch.read_to(" HTTP").ends_with("index=2 HTTP"));
    CHECK(setup.program.counter("list_failures") == failures + 1);
}

TEST_CASE("a watch on which an incomplete change trickles in counts as dead and is opened again") {
    TwoServersSetup setup;
    Listener discovery(64, setup.discovery_port.at());
    setup.start();
    auto watch = discovery.accept();
    watch.read_to("\r\n\r\n");
    watch.say(kStream + chunk(list_object(2, true, {{"s-1", setup.known_server.at()}}) + "\n"));
    REQUIRE(setup.program.wait_for_counter("list_news", 2) == 2);
    const auto change = setup.later_list(3);
    std::atomic<bool> reopened = false;
    std::thread trickle([&] {
        for (std::size_t i = 0; i < change.size() / 2 && !reopened; ++i) {
            watch.say(chunk(change.substr(i, 1)));
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
    });
    auto reopened_watch = discovery.accept();
    CHECK(reopened_watch.read_to(" HTTP").ends_with("index=2 HTTP"));
    reopened = true;
    trickle.join();
    reopened_watch.say(kStream + chunk(change));
    REQUIRE(setup.program.wait_for_counter("list_news", 3) == 3);
    setup.client = setup.program.client();  // the first connection was idle for too long
    setup.serve_by_later_server();
}

TEST_CASE("after a suspension a front node reads its watch before it decides or gives the watch up") {
    TwoServersSetup setup;
    Listener discovery(64, setup.discovery_port.at());
    setup.start();
    auto watch = discovery.accept();
    watch.read_to("\r\n\r\n");
    watch.say(kStream + chunk(list_object(2, true, {{"s-1", setup.known_server.at()}}) + "\n"));
    REQUIRE(setup.program.wait_for_counter("list_news", 2) == 2);
    setup.program.kill(SIGSTOP);
    setup.ask();  // sent first, so that it is read first
    watch.say(chunk(setup.later_list(3)));
    std::this_thread::sleep_for(std::chrono::seconds(4));
    setup.program.kill(SIGCONT);
    setup.connection = setup.later_server.accept();
    setup.answer();
    CHECK(setup.program.counter("list_failures") == 0);
}

TEST_CASE("of several configurations in a row the last one is used, and requests are not affected") {
    constexpr int kMoves = 6;
    TwoServersSetup setup;
    Listener first(64, setup.discovery_port.at());
    setup.start();
    auto watch = first.accept();
    watch.read_to("\r\n\r\n");
    std::vector<Listener> others(kMoves);
    auto before = pinedoor::net::to_text(setup.discovery_port.at());
    for (const auto& other : others) {
        const auto now = pinedoor::net::to_text(other.at());
        setup.program.with("\"discovery\":\"" + before, "\"discovery\":\"" + now).rewrite();
        setup.program.kill(SIGHUP);
        setup.program.kill(SIGHUP);
        setup.serve_by_known_server();
        before = now;
    }
    auto last = others.back().accept();
    REQUIRE(last.read_to("\r\n\r\n").starts_with("GET /discovery/hosts?stream=1 HTTP"));
    CHECK(watch.ended());
    last.say(kStream + chunk(setup.later_list(9)));
    REQUIRE(setup.program.wait_for_counter("list_news", 2) == 2);
    setup.serve_by_later_server();
}

}  // namespace
