#include <doctest/doctest.h>

#include <chrono>

#include "stand_ins.hpp"

namespace {

using namespace pinedoor::test;
namespace net = pinedoor::net;

// One index server and a discovery that never answers; go() starts the program.
struct OneServer {
    Listener server;
    Listener discovery;
    FrontNodeProcess program{{{"s-1", server.at()}}, discovery.at()};
    Peer client;
    Peer connection;  // connection to the server, once it has received a call

    void start() { client = program.start().client(); }
    // Sends a multiget and returns the call frame that the server receives.
    std::string ask(const std::string& op_type, const std::string& name, const std::vector<int>& shards) {
        client.say(post(op_type, name, asks(shards)));
        connection = server.accept();
        return connection.frame();
    }
};

TEST_CASE("a multiget is sent in calls and its values are returned unchanged on a persistent connection") {
    OneServer setup;
    setup.start();
    setup.client.say("GET /up HTTP/1.1\r\n\r\n");
    CHECK(setup.client.answer() == "200 up\n");
    const auto request = post("again", "t1", asks({3, 4, 5}, "l\\u00e4nge\\n"));
    for (const char c : request) setup.client.say({&c, 1});
    setup.connection = setup.server.accept();
    CHECK(setup.connection.frame() == "St1.3 3 7\nl\u00e4nge\nt1.4 4 7\nl\u00e4nge\n");
    CHECK(setup.connection.frame() == "St1.5 5 7\nl\u00e4nge\n");
    setup.connection.reply("t1.5", "done", "five");
    setup.connection.reply("t1.3", "done", "a \"quoted\" \\ value");
    setup.connection.reply("t1.4", "done");
    CHECK(setup.client.answer() ==
          R"(200 {"whole":true,"results":[{"partition":3,"value":"a \"quoted\" \\ value"},)"
          R"({"partition":4,"value":""},{"partition":5,"value":"five"}]})");
    setup.client.say(post("once", "t2", asks({7})));
    CHECK(setup.connection.frame() == "St2.7 7 1\nq");
    setup.connection.reply("t2.7", "done", "x");
    CHECK(setup.client.answer() == R"(200 {"whole":true,"results":[{"partition":7,"value":"x"}]})");
    CHECK(setup.program.counter("connections_opened") == 1);
    CHECK(setup.program.counter("multigets_answered_whole") == 2);
    CHECK(setup.program.counter("sends_returned") == 4);
    CHECK(setup.program.counter("calls") == 3);
    CHECK(setup.program.counter("invariants_broken") == 0);
}

TEST_CASE("a partial answer has only the received values and is not marked whole") {
    OneServer setup;
    setup.start();
    CHECK(setup.ask("again", "t", {1, 2}) == "St.1 1 1\nqt.2 2 1\nq");
    setup.connection.reply("t.1", "failed");
    setup.connection.reply("t.2", "done", "two");
    CHECK(setup.client.answer() == R"(200 {"whole":false,"results":[{"partition":2,"value":"two"}]})");
}

TEST_CASE("a request that has not run is pushed back, one that may have run fails") {
    OneServer setup;
    setup.start();
    SUBCASE("full") {
        setup.ask("once", "t", {1});
        setup.connection.reply("t.1", "full");
        CHECK(pinedoor::test::is_pushback(setup.client.answer(), 0.625, 1.25));
    }
    SUBCASE("failed") {
        setup.ask("once", "t", {1});
        setup.connection.reply("t.1", "failed");
        CHECK(setup.client.answer() == "500");
    }
    SUBCASE("reset") {
        setup.ask("once", "t", {1});
        setup.connection.reset();
        CHECK(setup.client.answer() == "500");
        CHECK(setup.program.counter("sends_reset") == 1);
    }
    SUBCASE("closed") {
        setup.ask("once", "t", {1});
        setup.connection = Peer{};
        CHECK(setup.client.answer() == "500");
    }
    SUBCASE("no connection") {
        setup.server.close();
        setup.client.say(post("once", "t", asks({1})));
        CHECK(pinedoor::test::is_pushback(setup.client.answer(), 0.625, 1.25));
        CHECK(setup.program.counter("sends_no_connection") == 1);
    }
}

TEST_CASE("an index server that breaks the protocol loses its connection, and its sends get their outcomes") {
    OneServer setup;
    setup.start();
    setup.ask("once", "t", {1});
    SUBCASE("an id that nobody sent") { setup.connection.reply("t.2", "done", "x"); }
    SUBCASE("an unknown letter") { setup.connection.write_frame("Zwhat"); }
    SUBCASE("a complaint") { setup.connection.write_frame("Fno"); }
    SUBCASE("an unknown end") { setup.connection.reply("t.1", "perhaps"); }
    SUBCASE("an impossible length") {
        setup.connection.say(
            std::string("\xff\xff\xff\x7f"
                        "R",
                        5));
    }
    SUBCASE("no length") { setup.connection.say(std::string(8, '\0')); }
    SUBCASE("a frame that never ends") {
        setup.connection.say(std::string("\x50\0\0\0Rt.1 done 7 -\nx", 19));
    }
    SUBCASE("a value that is no text") { setup.connection.reply("t.1", "done", "x\x01"); }
    CHECK(setup.client.answer() == "500");
    CHECK(setup.connection.ended());
    CHECK(setup.program.counter("bad_frames") == 1);
    CHECK(setup.program.counter("sends_reset") == 1);
}

TEST_CASE(
    "a malformed answer fails one send; the others on the connection are cancelled and the server stays in "
    "use") {
    OneServer setup;
    setup.start();
    CHECK(setup.ask("again", "t", {1, 2}) == "St.1 1 1\nqt.2 2 1\nq");
    auto other = setup.program.client();
    other.say(post("again", "u", asks({3})));
    CHECK(setup.connection.frame() == "Su.3 3 1\nq");
    SUBCASE("named") { setup.connection.reply("t.1", "perhaps"); }
    SUBCASE("noise") { setup.connection.say("noise that names nobody"); }
    SUBCASE("broken off") {
        setup.connection.say(std::string("\x20\0\0\0Rt.1 done", 13));
        setup.connection.reset();
    }
    SUBCASE("closed in order") { setup.connection = Peer{}; }
    CHECK(pinedoor::test::is_pushback(setup.client.answer(), 0.625, 1.25));
    CHECK(pinedoor::test::is_pushback(other.answer(), 0.625, 1.25));
    CHECK(setup.program.counter("sends_reset") == 1);
    CHECK(setup.program.counter("sends_cancelled") == 2);
    CHECK(setup.ask("again", "v", {1}) == "Sv.1 1 1\nq");
    CHECK(setup.program.log().find("aside") == std::string::npos);
}

TEST_CASE("a valid answer counts, whatever else arrives with it") {
    OneServer setup;
    setup.start();
    setup.ask("again", "t", {1});
    SUBCASE("a second copy") {
        setup.connection.reply("t.1", "done", "x");
        setup.connection.reply("t.1", "done", "x");
    }
    SUBCASE("an unreadable load report") {
        setup.connection.write_frame("Rt.1 done 7 util=much, and more\nx");
    }
    SUBCASE("no load report") { setup.connection.write_frame("Rt.1 done 7 \nx"); }
    CHECK(setup.client.answer() == R"(200 {"whole":true,"results":[{"partition":1,"value":"x"}]})");
    setup.client.say(post("again", "u", asks({1})));
    CHECK(setup.connection.frame() == "Su.1 1 1\nq");
    CHECK(setup.program.counter("bad_frames") == 0);
}

TEST_CASE("a frame cut short by the end of the connection is no answer") {
    OneServer setup;
    setup.start();
    setup.ask("once", "t", {1});
    setup.connection.say(std::string("\x20\0\0\0Rt.1 done", 13));
    setup.connection = Peer{};
    CHECK(setup.client.answer() == "500");
}

TEST_CASE("the sends of a client that disconnects are cancelled") {
    OneServer setup;
    setup.start();
    setup.ask("again", "t", {1});
    setup.client = Peer{};
    CHECK(setup.connection.frame() == "Ct.1");
    CHECK(setup.program.wait_for_counter("clients_gone", 1) == 1);
    setup.connection.reply("t.1", "done", "late");
    CHECK(setup.program.wait_for_counter("late_results", 1) == 1);
    CHECK(setup.program.counter("open_parts") == 0);
}

TEST_CASE("a late value reaches no other multiget, and a silent connection gets no new sends") {
    OneServer setup;
    setup.start();
    setup.client.say(post("again", "t1", asks({1}), 300));
    setup.connection = setup.server.accept();
    CHECK(setup.connection.frame() == "St1.1 1 1\nq");
    CHECK(pinedoor::test::is_pushback(setup.client.answer(), 0.625, 1.25));
    CHECK(setup.connection.frame() == "Ct1.1");
    auto old_connection = std::move(setup.connection);
    CHECK(setup.ask("again", "t2", {1}) == "St2.1 1 1\nq");  // on a new connection
    CHECK(old_connection.ended());
    setup.connection.reply("t2.1", "done", "new");
    CHECK(setup.client.answer() == R"(200 {"whole":true,"results":[{"partition":1,"value":"new"}]})");
}

TEST_CASE("a connection that owes answers for a connect timeout is closed, however short each send was") {
    OneServer setup;
    setup.start();
    setup.client.say(post("again", "t1", asks({1}), 200));
    auto silent = setup.server.accept();
    CHECK(silent.frame() == "St1.1 1 1\nq");
    CHECK(pinedoor::test::is_pushback(setup.client.answer(), 0.625, 1.25));
    usleep(100'000);
    CHECK(setup.ask("again", "t2", {1}) == "St2.1 1 1\nq");  // on a new connection
    setup.connection.reply("t2.1", "done", "x");
    CHECK(setup.client.answer().starts_with("200 "));
    CHECK(silent.frame() == "Ct1.1");
    CHECK(silent.ended());
}

TEST_CASE("bad requests get a plain answer, and the next ones are served") {
    OneServer setup;
    setup.program.with("\"max_open\":40", "\"max_open\":5");
    setup.start();
    const auto answer_to = [&](const std::string& request) {
        auto peer = setup.program.client();
        peer.say(request);
        return peer.answer();
    };
    const auto answer_to_body = [&](const std::string& body) { return answer_to(post("again", "t", body)); };
    CHECK(answer_to("nonsense\r\n\r\n") == "400 connection=close no request line\n");
    CHECK(answer_to("PUT / HTTP/1.1\r\n\r\n") == "405 connection=close no such method here\n");
    CHECK(answer_to("GET /else HTTP/1.1\r\n\r\n") == "404 connection=close nothing here\n");
    CHECK(answer_to(post("never", "t", asks({1}))) == "400 connection=close an unknown op type\n");
    CHECK(answer_to(post("again", "t t", asks({1}))) ==
          "400 connection=close X-Txn is missing or malformed\n");
    CHECK(answer_to(post("again", "t", asks({1}), 0)) ==
          "400 connection=close X-Remaining-Ms is malformed\n");
    CHECK(answer_to("POST /again HTTP/1.1\r\nX-Txn: t\r\nX-Org: acme, inc\r\n\r\n") ==
          "400 connection=close X-Remaining-Ms is missing\n");
    CHECK(answer_to("POST /again HTTP/1.1\r\nX-Txn: t\r\nX-Org: else\r\n\r\n") ==
          "400 connection=close an unknown X-Org\n");
    CHECK(answer_to("POST /again HTTP/1.1\r\nX-Txn: t\r\nX-Lane: once\r\n\r\n") ==
          "400 connection=close X-Lane and the path differ\n");
    CHECK(answer_to_body("{") == "400 connection=close JSON, byte 1: cut short\n");
    CHECK(answer_to_body(std::string(60'000, '[')) ==
          "400 connection=close JSON, byte 17: nested too deep\n");
    CHECK(answer_to_body(std::string(70'000, ' ')) == "413 connection=close the body is too large\n");
    CHECK(answer_to_body("{\"targets\":[]}") == "400 connection=close query is no text\n");
    CHECK(answer_to_body(asks({})) == "400 connection=close targets is no list of parts\n");
    CHECK(answer_to_body(asks({12})) == "400 connection=close a partition is out of range\n");
    CHECK(answer_to_body(asks({-1})) == "400 connection=close a partition is out of range\n");
    CHECK(answer_to_body(asks({1, 1})) == "400 connection=close a partition stands twice\n");
    CHECK(answer_to_body(R"({"targets":[{"partition":1,"share":0}],"query":"q"})") ==
          "400 connection=close a share is no positive share\n");
    CHECK(answer_to_body(R"({"targets":[{"partition":1,"share":0.5}],"query":"q"})") ==
          "400 connection=close the shares do not sum to 1\n");
    CHECK(answer_to_body(asks({1}, "\xff")) == "400 connection=close query is no usable text\n");
    for (const char* ms : {"1e3", "10.5", "-5", "+5", "99999999999", "0x10", "soon"}) {
        auto request = post("again", "t", asks({1}));
        request.replace(request.find("Ms: 4000"), 8, std::string("Ms: ") + ms);
        CHECK(answer_to(request) == "400 connection=close X-Remaining-Ms is malformed\n");
    }
    CHECK(answer_to_body(R"({"targets":[{"partition":1,"share":1,"route":"xyz"}],"query":"q"})") ==
          "400 connection=close route is not 16 hex digits\n");
    CHECK(setup.ask("again", "t", {1, 2}) == "St.1 1 1\nqt.2 2 1\nq");
    auto other = setup.program.client();
    other.say(post("again", "u", asks({3})));
    CHECK(setup.connection.frame() == "Su.3 3 1\nq");
    CHECK(answer_to(post("again", "v", asks({1}))) == "503 no room\n");
    setup.connection.reply("t.1", "done", "x");  // answered parts free capacity
    CHECK(setup.program.wait_for_counter("open_parts", 2) == 2);
    auto third = setup.program.client();
    third.say(post("again", "w", asks({4})));
    CHECK(setup.connection.frame() == "Sw.4 4 1\nq");
    other = Peer{};
    third = Peer{};
    setup.client = Peer{};
    CHECK(setup.program.wait_for_counter("open_multigets", 0) == 0);
    CHECK(setup.program.counter("bad_requests") == 28);
}

TEST_CASE("a second request with the name of an open one is rejected") {
    OneServer setup;
    setup.start();
    setup.ask("again", "t", {1});
    auto other = setup.program.client();
    other.say(post("again", "t", asks({2})));
    CHECK(other.answer() == "409 connection=close a request of this X-Txn is under way\n");
    setup.connection.reply("t.1", "done", "x");
    CHECK(setup.client.answer().starts_with("200 "));
    other = setup.program.client();
    other.say(post("again", "t", asks({2})));
    CHECK(other.answer() == "409 connection=close a request of this X-Txn may have run\n");
    other = setup.program.client();
    other.say(post("again", "u", asks({2})));
    CHECK(setup.connection.frame() == "Su.2 2 1\nq");
}

TEST_CASE("list changes are applied: new servers are used, draining ones are not, addresses may change") {
    Listener first, second, moved, discovery;
    FrontNodeProcess program({{"s-1", first.at()}}, discovery.at());
    auto client = program.start().client();
    auto watch = discovery.accept();
    CHECK(watch.read_to("\r\n") == "GET /discovery/hosts?stream=1&index=1 HTTP/1.1\r\n");
    const auto drained = list_object(2, false, {{"s-1", first.at(), "Terminating"}, {"s-2", second.at()}});
    watch.say(kStream + chunk("\n") + chunk(drained.substr(0, 30)) + chunk(drained.substr(30) + "\n"));
    CHECK(program.wait_for_counter("list_news", 2) == 2);
    client.say(post("again", "t1", asks({1})));
    auto connection = second.accept();
    CHECK(connection.frame() == "St1.1 1 1\nq");
    connection.reply("t1.1", "done", "x");
    CHECK(client.answer().starts_with("200 "));
    watch.say(chunk(list_object(3, true, {{"s-2", moved.at()}}) + "\n"));
    CHECK(program.wait_for_counter("list_news", 3) == 3);
    CHECK(connection.ended());
    client.say(post("again", "t2", asks({1})));
    connection = moved.accept();
    CHECK(connection.frame() == "St2.1 1 1\nq");
    connection.reply("t2.1", "done", "x");
    CHECK(client.answer().starts_with("200 "));
    watch.say(chunk("{\"revision\":4,\"complete\":false,\"members\":[{\"id\":\"bad\"}," +
                    Listed{"s-3", first.at()}.text() + "]}\n"));
    CHECK(program.wait_for_counter("list_news", 4) == 4);
    CHECK(program.counter("list_entries_refused") == 1);
}

TEST_CASE(
    "a known list that says when it held is as old as that; one from the time to come, or of no time, is not "
    "believed") {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    for (const auto& [held, old] : {std::pair{std::to_string(now - 90'000), true},
                                    {std::to_string(now - 200'000'000), true},
                                    {std::to_string(now + 90'000), false},
                                    {std::string("\"x\""), false}}) {
        Listener server, discovery;
        FrontNodeProcess program({{"s-1", server.at()}}, discovery.at());
        program.with("\"revision\":1", "\"saved_unix_ms\":" + held + ",\"revision\":1").start();
        CHECK((program.counter("list_age_ms") >= 90'000) == old);
        CHECK(program.counter("servers_known") == 1);  // used at once
    }
}

TEST_CASE(
    "a server that is gone from the list is forgotten once nothing is out there, and returns as a new one") {
    OneServer setup;
    Listener second;
    setup.start();
    auto watch = setup.discovery.accept();
    watch.read_to("\r\n\r\n");
    setup.ask("again", "t1", {1});
    std::string removal =
        chunk(list_object(2, false, {{"s-1", setup.server.at(), "Gone"}, {"s-2", second.at()}}) + "\n");
    SUBCASE("told") {}
    SUBCASE("not named") { removal = chunk(list_object(2, true, {{"s-2", second.at()}}) + "\n"); }
    watch.say(kStream + removal);
    CHECK(setup.program.wait_for_counter("list_news", 2) == 2);
    CHECK(setup.program.counter("servers_known") == 2);
    setup.connection.reply("t1.1", "done", "x");
    CHECK(setup.client.answer().starts_with("200 "));
    CHECK(setup.connection.ended());
    CHECK(setup.program.wait_for_counter("servers_known", 1) == 1);
    watch.say(chunk(list_object(3, true, {{"s-1", setup.server.at()}}) + "\n"));
    CHECK(setup.program.wait_for_counter("list_news", 3) == 3);
    CHECK(setup.ask("again", "t2", {1}) == "St2.1 1 1\nq");
    CHECK(setup.program.log().find("server 3 is s-1 at ") != std::string::npos);
}

TEST_CASE("a list call that fails or falls silent is repeated with the last revision, after a delay") {
    Listener server, discovery;
    FrontNodeProcess program({{"s-1", server.at()}}, discovery.at());
    program.start();
    auto watch = discovery.accept();
    watch.read_to("\r\n\r\n");
    const auto now = [] { return std::chrono::steady_clock::now(); };
    auto failed_at = now();
    SUBCASE("503") { watch.say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"); }
    SUBCASE("reset") { watch.reset(); }
    SUBCASE("nonsense") { watch.say(kStream + chunk("{\"revision\":}\n")); }
    // A watch that has sent a list may end instead of sending more: it is opened again as soon as the time
    // between two calls has passed since its own call.
    SUBCASE("the end of a watch") {
        watch.say(kStream + chunk(list_object(7, false, {}) + "\n"));
        watch = Peer{};
    }
    SUBCASE("silence") {
        watch.say(kStream + chunk(list_object(7, false, {}) + "\n"));
        CHECK(program.wait_for_counter("list_news", 2) == 2);
        CHECK(watch.ended());
    }
    auto again = discovery.accept();
    CHECK(now() - failed_at >
          std::chrono::milliseconds(80));  // a sixteenth of the time within which it must call
    const auto revision = program.counter("list_news") == 2 ? "7" : "1";
    CHECK(again.read_to(" HTTP").ends_with(std::string("index=") + revision + " HTTP"));
    CHECK(program.counter("list_failures") == 1);
}

TEST_CASE("a shutdown answers accepted requests, also those on new connections, and exits with 0") {
    OneServer setup;
    setup.start();
    setup.ask("again", "t1", {1});
    auto idle = setup.program.client();
    idle.say("GET /up HTTP/1.1\r\n\r\n");
    CHECK(idle.answer() == "200 up\n");
    setup.program.kill(SIGTERM);
    auto late = setup.program.client();
    late.say(post("again", "t2", asks({2})));
    CHECK(setup.connection.frame() == "St2.2 2 1\nq");
    usleep(1'000'000);
    idle.say("GET /up HTTP/1.1\r\n\r\n");  // open connections go on for a while and are closed when idle
    CHECK(idle.answer() == "200 up\n");
    CHECK(idle.ended());
    setup.connection.reply("t2.2", "done", "two");
    setup.connection.reply("t1.1", "done", "one");
    CHECK(setup.client.answer() ==
          R"(200 connection=close {"whole":true,"results":[{"partition":1,"value":"one"}]})");
    CHECK(late.answer() ==
          R"(200 connection=close {"whole":true,"results":[{"partition":2,"value":"two"}]})");
    CHECK(setup.client.ended());
    late = Peer{};
    setup.client = Peer{};
    CHECK(setup.program.wait() == 0);
    CHECK(setup.program.log().find("multigets_answered_whole 2\n") != std::string::npos);
}

TEST_CASE("a reload requests the full list from the new address at once, and multigets are not affected") {
    Listener first, second, initial_discovery, moved;
    FrontNodeProcess program({{"s-1", first.at()}}, moved.at());
    program.with_discovery_variable(
        initial_discovery.at());  // overrides the file at the start, but not at a later reload
    auto client = program.start().client();
    auto old_watch = initial_discovery.accept();
    old_watch.read_to("\r\n\r\n");
    old_watch.say(kStream + chunk(list_object(7, false, {}) + "\n"));
    CHECK(program.wait_for_counter("list_news", 2) == 2);
    client.say(post("again", "t1", asks({1})));
    auto connection = first.accept();
    CHECK(connection.frame() == "St1.1 1 1\nq");
    program.kill(SIGHUP);
    program.kill(SIGHUP);
    auto watch = moved.accept();
    CHECK(watch.read_to("\r\n") == "GET /discovery/hosts?stream=1 HTTP/1.1\r\n");
    CHECK(old_watch.ended());
    watch.say(kStream + chunk(list_object(8, true, {{"s-2", second.at()}}) + "\n"));
    CHECK(program.wait_for_counter("list_news", 3) == 3);
    connection.reply("t1.1", "done", "one");
    CHECK(client.answer() == R"(200 {"whole":true,"results":[{"partition":1,"value":"one"}]})");
    client.say(post("again", "t2", asks({1})));
    connection = second.accept();
    CHECK(connection.frame() == "St2.1 1 1\nq");
    connection.reply("t2.1", "done", "two");
    CHECK(client.answer().starts_with("200 "));
    CHECK(program.counter("list_failures") == 0);
    program.kill(SIGTERM);
    program.kill(SIGHUP);
    client = Peer{};
    CHECK(program.wait() == 0);
}

TEST_CASE("an invalid file changes nothing and is read again soon; settings that need a restart are logged") {
    Listener server, discovery, moved;
    FrontNodeProcess program({{"s-1", server.at()}}, discovery.at());
    program.start().client();
    auto watch = discovery.accept();
    watch.read_to("\r\n\r\n");
    program.with(net::to_text(discovery.at()), "nowhere").rewrite();
    program.kill(SIGHUP);
    while (program.counter("reload_faults") == 0) usleep(1'000);
    CHECK(program.counter("reloads") == 0);
    program.with("nowhere", net::to_text(moved.at())).with("\"sockets\":1024", "\"sockets\":512").rewrite();
    auto again = moved.accept();
    CHECK(again.read_to(" HTTP") == "GET /discovery/hosts?stream=1 HTTP");
    CHECK(program.counter("reloads") == 1);
    const auto log = program.log();
    CHECK(log.find("reload: configuration: discovery is no address and port: 'nowhere'; all stays") !=
          std::string::npos);
    CHECK(log.find("reload: discovery is at " + net::to_text(moved.at()) + "; limits needs a restart\"\n") !=
          std::string::npos);
}

TEST_CASE("after a kill it can be restarted on the same address at once") {
    OneServer setup;
    setup.start();
    setup.ask("again", "t1", {1});
    setup.program.kill(SIGKILL);
    CHECK(setup.client.answer() == "nothing");
    CHECK(setup.connection.ended());
    setup.start();
    CHECK(setup.ask("again", "t1", {1}) == "St1.1 1 1\nq");
}

TEST_CASE("with few descriptors idle client connections are closed for new ones") {
    OneServer setup;
    setup.program.with("\"sockets\":1024", "\"sockets\":32");  // eight of them for clients
    setup.start();
    std::vector<Peer> idle;
    for (int i = 0; i < 20; ++i) {
        idle.push_back(setup.program.client());
        idle.back().say("GET /up HTTP/1.1\r\n\r\n");
        CHECK(idle.back().answer() == "200 up\n");
    }
    CHECK(idle.front().ended());
    CHECK(setup.program.counter("clients_open_most_at_once") == 8);
    for (int i = 0; i < 20; ++i) {  // clients that never complete a request do not keep others out either
        idle.push_back(setup.program.client());
        idle.back().say("POST /again HTTP/1.1\r\nX-Txn");
    }
    setup.client = setup.program.client();
    CHECK(setup.ask("again", "t", {1}) == "St.1 1 1\nq");
}

TEST_CASE("a client that sends nothing, or never completes its first request, is disconnected in time") {
    OneServer setup;
    setup.start();
    const auto started_at = std::chrono::steady_clock::now();
    auto silent = setup.program.client();
    auto slow = setup.program.client();
    slow.say("POST /again HTTP/1.1\r\nX-Txn");
    CHECK(silent.ended());
    CHECK(slow.answer() == "408 connection=close the request did not come whole\n");
    CHECK(std::chrono::steady_clock::now() - started_at < std::chrono::seconds(kWaitTimeoutSeconds));
}

TEST_CASE("clients that never send a request are disconnected before those that did") {
    OneServer setup;
    setup.program.with("\"sockets\":1024", "\"sockets\":32");  // eight of them for clients
    setup.start();
    setup.client = Peer{};
    std::vector<Peer> active, silent;
    const auto is_up = [](Peer& peer) {
        peer.say("GET /up HTTP/1.1\r\n\r\n");
        return peer.answer() == "200 up\n";
    };
    for (int i = 0; i < 4; ++i) CHECK(is_up(active.emplace_back(setup.program.client())));
    for (int i = 0; i < 4; ++i) silent.push_back(setup.program.client());
    usleep(300'000);  // longer than the connect timeout
    for (int i = 0; i < 4; ++i) CHECK(is_up(active.emplace_back(setup.program.client())));
    for (auto& peer : active) CHECK(is_up(peer));
    for (auto& peer : silent) CHECK(peer.ended());
}

TEST_CASE("whatever servers and clients do, each request has one answer and each send one outcome") {
    FaultyServers servers(8);
    Listener discovery;
    std::vector<Listed> known;
    for (std::size_t i = 0; i < 8; ++i) known.push_back({"s-" + std::to_string(i), servers.at(i)});
    FrontNodeProcess program(known, discovery.at());
    for (int i = 0; i < 2; ++i)
        program.with("\"aim_ms\":2000", "\"aim_ms\":300");  // servers that are set aside are soon tried again
    program.with("\"max_attempts\":1", "\"max_attempts\":3")
        .with("\"max_open\":40", "\"max_open\":400")
        .start();
    for (int round = 0; round < 6; ++round) {
        std::vector<Peer> clients;
        for (int i = 0; i < 20; ++i) {
            clients.push_back(program.client());
            const auto name = std::to_string(round) + '-' + std::to_string(i);
            clients.back().say(
                post(i % 2 == 0 ? "again" : "once", name, asks({i % 12, (i + 5) % 12}), 400 + 10 * i));
            if (i % 7 == 0) clients.back() = Peer{};
        }
        for (int i = 0; i < 20; ++i) {
            if (i % 7 == 0) continue;
            const auto name = std::to_string(round) + '-' + std::to_string(i);
            const auto answer = clients[static_cast<std::size_t>(i)].answer();
            CAPTURE(answer);
            const auto shard = std::to_string(i % 12);
            const auto value = "\"partition\":" + shard + ",\"value\":\"of " + name + '.' + shard + '"';
            const bool has_value = answer.find(value) != std::string::npos ||
                                   answer.find("\"partition\":" + shard + ',') == std::string::npos;
            CHECK(
                (answer.starts_with("503") || answer == "500" || (answer.starts_with("200 {") && has_value)));
        }
    }
    CHECK(program.wait_for_counter("open_multigets", 0) == 0);
    CHECK(program.wait_for_counter("sends_out", 0) == 0);
    std::uint64_t outcomes = 0;
    for (const char* name :
         {"returned", "error", "full", "timed_out", "no_connection", "reset", "cancelled", "never_sent"}) {
        outcomes += program.counter(std::string("sends_") + name);
    }
    CHECK(outcomes == program.counter("sends"));
    // The request of a client that left is taken, or its close was seen before it began.
    CHECK(program.counter("multigets_taken") + program.counter("requests_of_gone_clients") == 120);
    CHECK(program.counter("requests_of_gone_clients") <= 18);
    CHECK(program.counter("invariants_broken") == 0);
    CHECK(program.counter("tasks_threw") == 0);
    program.kill(SIGTERM);
    CHECK(program.wait() == 0);
}

TEST_CASE("an invalid configuration ends the start with a message that names the faulty key") {
    OneServer setup;
    std::string expected_message;
    SUBCASE("missing") {
        setup.program.with("\"tick_ms\":1.0", "\"tock_ms\":1.0"),
            expected_message = "settings: tick_ms is missing";
    }
    SUBCASE("a second step") {
        setup.program.with("\"follow_up\":[0,0]", "\"follow_up\":[0,2]");
        expected_message =
            "settings: family_info.follow_up asks for a second step, which this protocol does not support";
    }
    SUBCASE("no JSON") {
        setup.program.with("{\"name\"", "{{\"name\""), expected_message = "configuration: JSON, byte 2: ";
    }
    setup.program.start();
    CHECK(setup.program.wait() == 1);
    CHECK(setup.program.log().starts_with("pinedoor: " + expected_message));
}

}  // namespace
