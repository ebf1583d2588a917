// Bounds of single inputs that docs/capacity.md states: what happens at each, and that the front node goes on
// serving.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>

#include "policy/deadly_keys.hpp"
#include "service/log.hpp"
#include "stand_ins.hpp"

namespace {

using namespace pinedoor;
using namespace pinedoor::test;

constexpr std::size_t kLargestCall = 128 * 1024;

// Sanitizers take many times the work.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kMeasuresTime = false;
#else
constexpr bool kMeasuresTime = true;
#endif

struct BoundedNode {
    Listener server;
    Listener discovery;
    FrontNodeProcess program{{{"s-1", server.at()}}, discovery.at()};
    Peer client;

    void start() { client = program.start().client(); }
    // A request and its answer, to see that the node still serves.
    void check_serves(const std::string& name) {
        client = program.client();
        client.say(post("again", name, asks({1})));
        auto connection = server.accept();
        REQUIRE(connection.frame() == 'S' + name + ".1 1 1\nq");
        connection.reply(name + ".1", "done", "one");
        CHECK(client.answer().starts_with("200 "));
        CHECK(program.counter("invariants_broken") == 0);
    }
};

TEST_CASE("a query of over 16 KB is refused") {
    BoundedNode node;
    node.start();
    node.client.say(post("again", "t", asks({1}, std::string(16 * 1024 + 1, 'q'))));
    CHECK(node.client.answer().starts_with("400 "));
    node.check_serves("u");
}

TEST_CASE("a call that would be larger than 128 KB is divided") {
    BoundedNode node;
    node.program.with("\"per_call\":2", "\"per_call\":12")
        .with("\"streams_per_conn\":4", "\"streams_per_conn\":12");
    node.start();
    node.client.say(
        post("again", "t", asks({0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}, std::string(16 * 1024, 'q'))));
    std::size_t parts = 0;
    auto connection = node.server.accept();
    while (parts < 12) {
        const auto head = connection.read_bytes(4);
        REQUIRE(head.size() == 4);
        std::size_t size = 0;
        for (std::size_t i = 0; i < 4; ++i)
            size |= std::size_t{static_cast<unsigned char>(head[i])} << (8 * i);
        CHECK(size <= kLargestCall);
        const auto frame = connection.read_bytes(size);
        for (auto at = frame.find("t."); at != std::string::npos; at = frame.find("t.", at + 1)) ++parts;
    }
    CHECK(node.program.counter("calls") == 2);
}

TEST_CASE("values that do not fit into one answer together are refused") {
    BoundedNode node;
    node.start();
    node.client.say(post("again", "t", asks({1, 2})));
    auto connection = node.server.accept();
    REQUIRE(connection.frame().starts_with("St."));
    const std::string value(40 * 1024, 'v');
    connection.reply("t.1", "done", value);
    connection.reply("t.2", "done", value);
    const auto answer = node.client.answer();
    CHECK(answer.find(value) != std::string::npos);
    CHECK(answer.starts_with("200 {\"whole\":false"));
    CHECK(node.program.counter("values_refused") == 1);
    CHECK(node.program.counter("connections_closed_for_memory") == 0);  // an answer that was read holds none
}

TEST_CASE("values of all open multigets stay within their budget") {
    BoundedNode node;
    node.program.with("\"memory_mb\":192", "\"memory_mb\":16")
        .with("\"streams_per_conn\":4", "\"streams_per_conn\":1");
    node.start();
    std::vector<Peer> clients;
    std::vector<Peer> connections;
    for (int i = 0; i < 7; ++i) {  // each value waits for the other part of its multiget
        const auto name = 't' + std::to_string(i);
        clients.push_back(node.program.client());
        clients.back().say(post("once", name, asks({1, 2})));
        connections.push_back(node.server.accept());
        REQUIRE(connections.back().frame().starts_with('S' + name));
        connections.back().reply(name + ".1", "done", std::string(60 * 1024, 'v'));
        const auto ended = i < 6 ? "sends_returned" : "sends_error";
        const std::uint64_t count = i < 6 ? static_cast<std::uint64_t>(i) + 1 : 1;
        REQUIRE(node.program.wait_for_counter(ended, count) == count);
    }
    CHECK(node.program.counter("values_refused") == 1);
    CHECK(node.program.counter("value_memory_bytes_most") <=
          node.program.counter("value_memory_bytes_limit"));
    for (int i = 0; i < 7; ++i)
        connections[static_cast<std::size_t>(i)].reply('t' + std::to_string(i) + ".2", "done", "v");
    int whole = 0;
    for (auto& client : clients) whole += client.answer().starts_with("200 {\"whole\":true") ? 1 : 0;
    CHECK(whole == 6);
    CHECK(node.program.counter("value_memory_bytes") == 0);
}

TEST_CASE("unfinished frames of index servers stay within their budget, and the rest is served") {
    BoundedNode node;
    node.program.with("\"memory_mb\":192", "\"memory_mb\":16")
        .with("\"streams_per_conn\":4", "\"streams_per_conn\":1");
    node.start();
    node.client.say(post("once", "t", asks({0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11})));
    std::vector<Peer> connections;
    for (int i = 0; i < 6; ++i) connections.push_back(node.server.accept());
    for (auto& connection : connections) {
        REQUIRE(connection.frame().starts_with("St."));
        connection.say(std::string("\x00\xfc\x01\x00R", 5) + std::string(126'000, 'v'));  // of 130,048 bytes
    }
    CHECK(node.client.answer().starts_with("500"));
    CHECK(node.program.counter("connections_closed_for_memory") > 0);
    const auto limit = node.program.counter("server_memory_bytes_limit");
    CHECK(node.program.counter("server_memory_bytes_most") <= limit);
    connections.clear();
    node.check_serves("u");
}

TEST_CASE("lists of discovery that are too large, and ids that are too long, are refused") {
    BoundedNode node;
    node.start();
    auto watch = node.discovery.accept();
    REQUIRE(watch.read_to("\r\n\r\n").starts_with("GET "));
    SUBCASE("an id of 256 bytes") {
        watch.say(kStream + chunk(list_object(2, false, {{std::string(256, 's'), node.server.at()}}) + "\n"));
        CHECK(node.program.wait_for_counter("list_entries_refused", 1) == 1);
    }
    SUBCASE("an object of over 4 MB") {
        std::string list = "{\"revision\":2,\"complete\":true,\"members\":[";
        while (list.size() < 4'300'000) list += "          ";
        watch.say(kStream + chunk(list));
        CHECK(watch.ended());
    }
    SUBCASE("values of over 8 MB") {
        std::string list = "{\"revision\":2,\"complete\":true,\"more\":[";
        while (list.size() < 1'000'000) list += "1,1,1,1,1,1,1,1,1,1,";
        watch.say(kStream + chunk(list + "1],\"members\":[]}\n"));
        CHECK(watch.ended());
    }
    node.check_serves("u");
}

// Work of a list grew with the square of the servers that it replaced.
TEST_CASE("a list that replaces 3,200 servers holds the front node up for less than 0.15 s") {
    const auto fleet = [](const std::string& prefix) {
        std::vector<Listed> members;
        for (int i = 0; i < 3'200; ++i) {
            const auto port = static_cast<std::uint16_t>(1'024 + i);
            members.push_back({prefix + std::to_string(i), {INADDR_LOOPBACK + 1, port}});
        }
        return members;
    };
    BoundedNode node;
    node.start();
    auto watch = node.discovery.accept();
    REQUIRE(watch.read_to("\r\n\r\n").starts_with("GET "));
    watch.say(kStream + chunk(list_object(2, true, fleet("s-a")) + "\n"));
    REQUIRE(node.program.wait_for_counter("servers_known", 3'200) == 3'200);
    watch.say(chunk(list_object(3, true, fleet("s-b")) + "\n"));
    REQUIRE(node.program.wait_for_counter("list_news", 3) == 3);
    CHECK(node.program.wait_for_counter("servers_known", 3'200) == 3'200);
    if (kMeasuresTime) CHECK(node.program.counter("longest_turn_us") < 150'000);
}

TEST_CASE("of the servers that discovery names 8,192 are kept") {
    BoundedNode node;
    node.start();
    auto watch = node.discovery.accept();
    REQUIRE(watch.read_to("\r\n\r\n").starts_with("GET "));
    watch.say(kStream);
    constexpr int kLists = 3;
    constexpr int kServersEach = 3'000;
    for (int list = 0; list < kLists; ++list) {
        std::vector<Listed> members;
        for (int i = 0; i < kServersEach; ++i) {
            const auto port = static_cast<std::uint16_t>(1'024 + list * kServersEach + i);
            members.push_back({"s-" + std::to_string(port), {INADDR_LOOPBACK + 1, port}});
        }
        watch.say(chunk(list_object(2 + list, false, members) + "\n"));
    }
    REQUIRE(node.program.wait_for_counter("list_news", 1 + kLists) == 1 + kLists);
    CHECK(node.program.counter("servers_known") == 8'192);
    CHECK(node.program.counter("list_servers_without_room") == 1 + kLists * kServersEach - 8'192);
}

TEST_CASE("white space in front of a list holds the front node up for less than 0.15 s") {
    BoundedNode node;
    node.start();
    auto watch = node.discovery.accept();
    REQUIRE(watch.read_to("\r\n\r\n").starts_with("GET "));
    watch.say(kStream + chunk(std::string(3'900'000, ' ')));
    watch.say(chunk(list_object(2, true, {{"s-1", node.server.at()}}) + "\n"));
    REQUIRE(node.program.wait_for_counter("list_news", 2) == 2);
    if (kMeasuresTime) CHECK(node.program.counter("longest_turn_us") < 150'000);
    node.check_serves("u");
}

TEST_CASE("a follower that does not read is left when 1 MB waits for it") {
    BoundedNode node;
    const lab::HeldPort peers;
    node.program.with_settings("[peers]\non = true\nlisten = \"" + net::to_text(peers.at()) + "\"\n");
    node.start();
    auto watch = node.discovery.accept();
    REQUIRE(watch.read_to("\r\n\r\n").starts_with("GET "));
    watch.say(kStream + chunk(list_object(2, true, {{"s-1", node.server.at()}}) + "\n"));
    REQUIRE(node.program.wait_for_counter("list_news", 2) == 2);
    Peer follower(peers.at());
    follower.say("GET /discovery/hosts?stream=1 HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(node.program.wait_for_counter("list_followers", 1) == 1);
    for (int revision = 3; revision < 60; ++revision) {
        std::vector<Listed> members{{"s-1", node.server.at()}};
        for (int i = 0; i < 1'000; ++i)
            members.push_back({"r" + std::to_string(revision) + '-' + std::to_string(i),
                               {INADDR_LOOPBACK + 1, static_cast<std::uint16_t>(1'024 + i)}});
        watch.say(chunk(list_object(revision, true, members) + "\n"));
    }
    CHECK(node.program.wait_for_counter("list_followers", 0) == 0);
}

TEST_CASE("the list is passed on to 64 followers, others are refused and nobody waits") {
    constexpr int kFollowers = 64;
    BoundedNode node;
    const lab::HeldPort peers;
    node.program.with_settings("[peers]\non = true\nlisten = \"" + net::to_text(peers.at()) + "\"\n");
    node.start();
    auto watch = node.discovery.accept();
    REQUIRE(watch.read_to("\r\n\r\n").starts_with("GET "));
    watch.say(kStream + chunk(list_object(2, true, {{"s-1", node.server.at()}}) + "\n"));
    REQUIRE(node.program.wait_for_counter("list_news", 2) == 2);
    std::vector<Peer> followers;
    int accepted = 0;
    int refused = 0;
    for (int i = 0; i < kFollowers + 6; ++i) {
        followers.emplace_back(peers.at());
        followers.back().say("GET /discovery/hosts?stream=1 HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto status = followers.back().read_to("\r\n");
        accepted += status.starts_with("HTTP/1.1 200") ? 1 : 0;
        refused += status.starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    CHECK(accepted == kFollowers);
    CHECK(refused == 6);
    node.check_serves("u");
}

TEST_CASE("the log has 50 lines of an event a second at most, and counts the others") {
    BoundedNode node;
    node.start();
    for (int i = 0; i < 300; ++i) {
        auto client = node.program.client();
        client.say("NONSENSE\r\n\r\n");
        CHECK(client.answer().starts_with("400 "));
    }
    const auto suppressed = node.program.counter("log_lines_suppressed");
    const auto log = node.program.log();
    std::size_t lines = 0;
    for (auto at = log.find("event=bad_request"); at != std::string::npos;
         at = log.find("event=bad_request", at + 1))
        ++lines;
    CHECK(lines + suppressed >= 300);
    CHECK(lines <= 50 * (kWaitTimeoutSeconds + 1));
    CHECK(suppressed > 0);
}

TEST_CASE("a log line has 500 bytes of a value at most") {
    net::Scheduler scheduler;
    service::Counters counters;
    auto* const file = std::tmpfile();
    {
        service::Log log(file, scheduler, counters, {});
        log.event(service::Level::kInfo, "long", std::string(2'000, 'x'));
    }
    std::rewind(file);
    std::string line(4'096, ' ');
    line.resize(std::fread(line.data(), 1, line.size(), file));
    std::fclose(file);
    CHECK(std::count(line.begin(), line.end(), 'x') == 500);
}

TEST_CASE("a configuration of over 8 MB is refused with a line that says so") {
    BoundedNode node;
    node.program.with("{\"name\"", std::string(9U << 20U, ' ') + "{\"name\"");
    node.program.start();
    CHECK(node.program.wait() == 1);
    CHECK(node.program.log().starts_with("pinedoor: /"));
    CHECK(node.program.log().find("/config.json: is larger than 8 MB\n") != std::string::npos);
}

TEST_CASE("the latest 64 keys of requests that crashed servers are kept") {
    policy::DeadlyKeys keys;
    for (std::uint64_t key = 1; key <= 65; ++key) keys.add({key, 100}, false);
    const auto knows = [&](std::uint64_t key) {
        policy::PartState part;
        part.arrival.key = key;
        return keys.any_of({part}, 50);
    };
    CHECK_FALSE(knows(1));
    for (std::uint64_t key = 2; key <= 65; ++key) CHECK(knows(key));
}

}  // namespace
