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
    Program program{{{"s-1", server.at()}}, discovery.at()};
    Peer client;
    Peer link;  // connection to the server, once it has received a call

    void go() { client = program.start().client(); }
    // Sends a multiget and returns the call frame that the server receives.
    std::string ask(const std::string& op_type, const std::string& name, const std::vector<int>& shards) {
        client.say(post(op_type, name, asks(shards)));
        link = server.accept();
        return link.frame();
    }
};

TEST_CASE("a multiget is sent in calls, and its values come back unchanged on a connection that stays open") {
    OneServer one;
    one.go();
    one.client.say("GET /up HTTP/1.1\r\n\r\n");
    CHECK(one.client.answer() == "200 up\n");
    const auto request = post("again", "t1", asks({3, 4, 5}, "l\\u00e4nge\\n"));
    for (const char c : request) one.client.say({&c, 1});
    one.link = one.server.accept();
    CHECK(one.link.frame() == "St1.3 3 7\nl\u00e4nge\nt1.4 4 7\nl\u00e4nge\n");
    CHECK(one.link.frame() == "St1.5 5 7\nl\u00e4nge\n");
    one.link.reply("t1.5", "done", "five");
    one.link.reply("t1.3", "done", "a \"quoted\" \\ value");
    one.link.reply("t1.4", "done");
    CHECK(one.client.answer() ==
          R"(200 {"whole":true,"results":[{"partition":3,"value":"a \"quoted\" \\ value"},)"
          R"({"partition":4,"value":""},{"partition":5,"value":"five"}]})");
    one.client.say(post("once", "t2", asks({7})));
    CHECK(one.link.frame() == "St2.7 7 1\nq");
    one.link.reply("t2.7", "done", "x");
    CHECK(one.client.answer() == R"(200 {"whole":true,"results":[{"partition":7,"value":"x"}]})");
    CHECK(one.program.counter("connections_opened") == 1);
    CHECK(one.program.counter("multigets_answered_whole") == 2);
    CHECK(one.program.counter("sends_returned") == 4);
    CHECK(one.program.counter("calls") == 3);
    CHECK(one.program.counter("invariants_broken") == 0);
}

TEST_CASE("an answer in part holds only what is in, and is not marked whole") {
    OneServer one;
    one.go();
    CHECK(one.ask("again", "t", {1, 2}) == "St.1 1 1\nqt.2 2 1\nq");
    one.link.reply("t.1", "failed");
    one.link.reply("t.2", "done", "two");
    CHECK(one.client.answer() == R"(200 {"whole":false,"results":[{"partition":2,"value":"two"}]})");
}

TEST_CASE("what has surely not run is pushed back, what may have run has failed") {
    OneServer one;
    one.go();
    SUBCASE("full") {
        one.ask("once", "t", {1});
        one.link.reply("t.1", "full");
        CHECK(pinedoor::test::is_pushback(one.client.answer(), 0.625, 1.25));
    }
    SUBCASE("failed") {
        one.ask("once", "t", {1});
        one.link.reply("t.1", "failed");
        CHECK(one.client.answer() == "500");
    }
    SUBCASE("reset") {
        one.ask("once", "t", {1});
        one.link.reset();
        CHECK(one.client.answer() == "500");
        CHECK(one.program.counter("sends_reset") == 1);
    }
    SUBCASE("closed") {
        one.ask("once", "t", {1});
        one.link = Peer{};
        CHECK(one.client.answer() == "500");
    }
    SUBCASE("no connection") {
        one.server.close();
        one.client.say(post("once", "t", asks({1})));
        CHECK(pinedoor::test::is_pushback(one.client.answer(), 0.625, 1.25));
        CHECK(one.program.counter("sends_no_connection") == 1);
    }
}

TEST_CASE("an index server that breaks the protocol loses its connection, and its sends get their outcomes") {
    OneServer one;
    one.go();
    one.ask("once", "t", {1});
    SUBCASE("an id that nobody sent") { one.link.reply("t.2", "done", "x"); }
    SUBCASE("an unknown letter") { one.link.say_frame("Zwhat"); }
    SUBCASE("a complaint") { one.link.say_frame("Fno"); }
    SUBCASE("an unknown end") { one.link.reply("t.1", "perhaps"); }
    SUBCASE("an impossible length") {
        one.link.say(
            std::string("\xff\xff\xff\x7f"
                        "R",
                        5));
    }
    SUBCASE("no length") { one.link.say(std::string(8, '\0')); }
    SUBCASE("a frame that never ends") { one.link.say(std::string("\x50\0\0\0Rt.1 done 7 -\nx", 19)); }
    SUBCASE("a value that is no text") { one.link.reply("t.1", "done", "x\x01"); }
    CHECK(one.client.answer() == "500");
    CHECK(one.link.ended());
    CHECK(one.program.counter("bad_frames") == 1);
    CHECK(one.program.counter("sends_reset") == 1);
}

TEST_CASE("a spoilt answer fails one send; what else is out there is given up, and the server stays in use") {
    OneServer one;
    one.go();
    CHECK(one.ask("again", "t", {1, 2}) == "St.1 1 1\nqt.2 2 1\nq");
    auto other = one.program.client();
    other.say(post("again", "u", asks({3})));
    CHECK(one.link.frame() == "Su.3 3 1\nq");
    SUBCASE("named") { one.link.reply("t.1", "perhaps"); }
    SUBCASE("noise") { one.link.say("noise that names nobody"); }
    SUBCASE("broken off") {
        one.link.say(std::string("\x20\0\0\0Rt.1 done", 13));
        one.link.reset();
    }
    SUBCASE("closed in order") { one.link = Peer{}; }
    CHECK(pinedoor::test::is_pushback(one.client.answer(), 0.625, 1.25));
    CHECK(pinedoor::test::is_pushback(other.answer(), 0.625, 1.25));
    CHECK(one.program.counter("sends_reset") == 1);
    CHECK(one.program.counter("sends_cancelled") == 2);
    CHECK(one.ask("again", "v", {1}) == "Sv.1 1 1\nq");
    CHECK(one.program.log().find("aside") == std::string::npos);
}

TEST_CASE("a good answer stays good, whatever else comes with it") {
    OneServer one;
    one.go();
    one.ask("again", "t", {1});
    SUBCASE("a second copy") {
        one.link.reply("t.1", "done", "x");
        one.link.reply("t.1", "done", "x");
    }
    SUBCASE("an unreadable load report") { one.link.say_frame("Rt.1 done 7 util=much, and more\nx"); }
    SUBCASE("no load report") { one.link.say_frame("Rt.1 done 7 \nx"); }
    CHECK(one.client.answer() == R"(200 {"whole":true,"results":[{"partition":1,"value":"x"}]})");
    one.client.say(post("again", "u", asks({1})));
    CHECK(one.link.frame() == "Su.1 1 1\nq");
    CHECK(one.program.counter("bad_frames") == 0);
}

TEST_CASE("a frame cut short by the end of the connection is no answer") {
    OneServer one;
    one.go();
    one.ask("once", "t", {1});
    one.link.say(std::string("\x20\0\0\0Rt.1 done", 13));
    one.link = Peer{};
    CHECK(one.client.answer() == "500");
}

TEST_CASE("a client that goes away takes its sends with it") {
    OneServer one;
    one.go();
    one.ask("again", "t", {1});
    one.client = Peer{};
    CHECK(one.link.frame() == "Ct.1");
    CHECK(one.program.counter_at("clients_gone", 1) == 1);
    one.link.reply("t.1", "done", "late");
    CHECK(one.program.counter_at("late_results", 1) == 1);
    CHECK(one.program.counter("open_parts") == 0);
}

TEST_CASE("a late value reaches no other multiget, and a silent connection takes nothing new") {
    OneServer one;
    one.go();
    one.client.say(post("again", "t1", asks({1}), 300));
    one.link = one.server.accept();
    CHECK(one.link.frame() == "St1.1 1 1\nq");
    CHECK(pinedoor::test::is_pushback(one.client.answer(), 0.625, 1.25));
    CHECK(one.link.frame() == "Ct1.1");
    auto old_link = std::move(one.link);
    CHECK(one.ask("again", "t2", {1}) == "St2.1 1 1\nq");  // on a new connection
    CHECK(old_link.ended());
    one.link.reply("t2.1", "done", "new");
    CHECK(one.client.answer() == R"(200 {"whole":true,"results":[{"partition":1,"value":"new"}]})");
}

TEST_CASE("a connection that owes answers for a connect time-out is left, however short each send was") {
    OneServer one;
    one.go();
    one.client.say(post("again", "t1", asks({1}), 200));
    auto silent = one.server.accept();
    CHECK(silent.frame() == "St1.1 1 1\nq");
    CHECK(pinedoor::test::is_pushback(one.client.answer(), 0.625, 1.25));
    usleep(100'000);
    CHECK(one.ask("again", "t2", {1}) == "St2.1 1 1\nq");  // on a new connection
    one.link.reply("t2.1", "done", "x");
    CHECK(one.client.answer().starts_with("200 "));
    CHECK(silent.frame() == "Ct1.1");
    CHECK(silent.ended());
}

TEST_CASE("bad requests get a plain answer, and the next ones are served") {
    OneServer one;
    one.program.with("\"max_open\":40", "\"max_open\":5");
    one.go();
    const auto answer_to = [&](const std::string& request) {
        auto peer = one.program.client();
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
    CHECK(one.ask("again", "t", {1, 2}) == "St.1 1 1\nqt.2 2 1\nq");
    auto other = one.program.client();
    other.say(post("again", "u", asks({3})));
    CHECK(one.link.frame() == "Su.3 3 1\nq");
    CHECK(answer_to(post("again", "v", asks({1}))) == "503 no room\n");
    one.link.reply("t.1", "done", "x");  // answered parts free capacity
    CHECK(one.program.counter_at("open_parts", 2) == 2);
    auto third = one.program.client();
    third.say(post("again", "w", asks({4})));
    CHECK(one.link.frame() == "Sw.4 4 1\nq");
    other = Peer{};
    third = Peer{};
    one.client = Peer{};
    CHECK(one.program.counter_at("open_multigets", 0) == 0);
    CHECK(one.program.counter("bad_requests") == 28);
}

TEST_CASE("a name that is under way is not taken twice") {
    OneServer one;
    one.go();
    one.ask("again", "t", {1});
    auto other = one.program.client();
    other.say(post("again", "t", asks({2})));
    CHECK(other.answer() == "409 connection=close a request of this X-Txn is under way\n");
    one.link.reply("t.1", "done", "x");
    CHECK(one.client.answer().starts_with("200 "));
    other = one.program.client();
    other.say(post("again", "t", asks({2})));
    CHECK(one.link.frame() == "St.2 2 1\nq");
}

TEST_CASE("the list is followed: new servers are used, drained ones are not, addresses may change") {
    Listener first, second, moved, discovery;
    Program program({{"s-1", first.at()}}, discovery.at());
    auto client = program.start().client();
    auto watch = discovery.accept();
    CHECK(watch.read_to("\r\n") == "GET /discovery/hosts?stream=1&index=1 HTTP/1.1\r\n");
    const auto drained = list_object(2, false, {{"s-1", first.at(), "Terminating"}, {"s-2", second.at()}});
    watch.say(kStream + chunk("\n") + chunk(drained.substr(0, 30)) + chunk(drained.substr(30) + "\n"));
    CHECK(program.counter_at("list_news", 2) == 2);
    client.say(post("again", "t1", asks({1})));
    auto link = second.accept();
    CHECK(link.frame() == "St1.1 1 1\nq");
    link.reply("t1.1", "done", "x");
    CHECK(client.answer().starts_with("200 "));
    watch.say(chunk(list_object(3, true, {{"s-2", moved.at()}}) + "\n"));
    CHECK(program.counter_at("list_news", 3) == 3);
    CHECK(link.ended());
    client.say(post("again", "t2", asks({1})));
    link = moved.accept();
    CHECK(link.frame() == "St2.1 1 1\nq");
    link.reply("t2.1", "done", "x");
    CHECK(client.answer().starts_with("200 "));
    watch.say(chunk("{\"revision\":4,\"complete\":false,\"members\":[{\"id\":\"bad\"}," +
                    Listed{"s-3", first.at()}.text() + "]}\n"));
    CHECK(program.counter_at("list_news", 4) == 4);
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
        Program program({{"s-1", server.at()}}, discovery.at());
        program.with("\"revision\":1", "\"saved_unix_ms\":" + held + ",\"revision\":1").start();
        CHECK((program.counter("list_age_ms") >= 90'000) == old);
        CHECK(program.counter("servers_known") == 1);  // used at once
    }
}

TEST_CASE(
    "a server that is gone from the list is forgotten once nothing is out there, and returns as a new one") {
    OneServer one;
    Listener second;
    one.go();
    auto watch = one.discovery.accept();
    watch.read_to("\r\n\r\n");
    one.ask("again", "t1", {1});
    std::string gone =
        chunk(list_object(2, false, {{"s-1", one.server.at(), "Gone"}, {"s-2", second.at()}}) + "\n");
    SUBCASE("told") {}
    SUBCASE("not named") { gone = chunk(list_object(2, true, {{"s-2", second.at()}}) + "\n"); }
    watch.say(kStream + gone);
    CHECK(one.program.counter_at("list_news", 2) == 2);
    CHECK(one.program.counter("servers_known") == 2);
    one.link.reply("t1.1", "done", "x");
    CHECK(one.client.answer().starts_with("200 "));
    CHECK(one.link.ended());
    CHECK(one.program.counter_at("servers_known", 1) == 1);
    watch.say(chunk(list_object(3, true, {{"s-1", one.server.at()}}) + "\n"));
    CHECK(one.program.counter_at("list_news", 3) == 3);
    CHECK(one.ask("again", "t2", {1}) == "St2.1 1 1\nq");
    CHECK(one.program.log().find("server 3 is s-1 at ") != std::string::npos);
}

TEST_CASE("a list call that fails or falls silent is made again, on the last revision, and not in a storm") {
    Listener server, discovery;
    Program program({{"s-1", server.at()}}, discovery.at());
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
        CHECK(program.counter_at("list_news", 2) == 2);
        CHECK(watch.ended());
    }
    auto again = discovery.accept();
    CHECK(now() - failed_at >
          std::chrono::milliseconds(80));  // a sixteenth of the time within which it must call
    const auto revision = program.counter("list_news") == 2 ? "7" : "1";
    CHECK(again.read_to(" HTTP").ends_with(std::string("index=") + revision + " HTTP"));
    CHECK(program.counter("list_failures") == 1);
}

TEST_CASE("a planned restart answers what was taken, also on new connections, and ends with 0") {
    OneServer one;
    one.go();
    one.ask("again", "t1", {1});
    auto idle = one.program.client();
    idle.say("GET /up HTTP/1.1\r\n\r\n");
    CHECK(idle.answer() == "200 up\n");
    one.program.kill(SIGTERM);
    auto late = one.program.client();
    late.say(post("again", "t2", asks({2})));
    CHECK(one.link.frame() == "St2.2 2 1\nq");
    usleep(1'000'000);
    idle.say("GET /up HTTP/1.1\r\n\r\n");  // open connections go on for a while and are closed when idle
    CHECK(idle.answer() == "200 up\n");
    CHECK(idle.ended());
    one.link.reply("t2.2", "done", "two");
    one.link.reply("t1.1", "done", "one");
    CHECK(one.client.answer() ==
          R"(200 connection=close {"whole":true,"results":[{"partition":1,"value":"one"}]})");
    CHECK(late.answer() ==
          R"(200 connection=close {"whole":true,"results":[{"partition":2,"value":"two"}]})");
    CHECK(one.client.ended());
    late = Peer{};
    one.client = Peer{};
    CHECK(one.program.wait() == 0);
    CHECK(one.program.log().find("multigets_answered_whole 2\n") != std::string::npos);
}

TEST_CASE("a reload asks at the new address for the whole list at once, and multigets notice nothing") {
    Listener first, second, told, moved;
    Program program({{"s-1", first.at()}}, moved.at());
    program.with_variable(told.at());  // overrides the file at the start, but not at a later reload
    auto client = program.start().client();
    auto old_watch = told.accept();
    old_watch.read_to("\r\n\r\n");
    old_watch.say(kStream + chunk(list_object(7, false, {}) + "\n"));
    CHECK(program.counter_at("list_news", 2) == 2);
    client.say(post("again", "t1", asks({1})));
    auto link = first.accept();
    CHECK(link.frame() == "St1.1 1 1\nq");
    program.kill(SIGHUP);
    program.kill(SIGHUP);
    auto watch = moved.accept();
    CHECK(watch.read_to("\r\n") == "GET /discovery/hosts?stream=1 HTTP/1.1\r\n");
    CHECK(old_watch.ended());
    watch.say(kStream + chunk(list_object(8, true, {{"s-2", second.at()}}) + "\n"));
    CHECK(program.counter_at("list_news", 3) == 3);
    link.reply("t1.1", "done", "one");
    CHECK(client.answer() == R"(200 {"whole":true,"results":[{"partition":1,"value":"one"}]})");
    client.say(post("again", "t2", asks({1})));
    link = second.accept();
    CHECK(link.frame() == "St2.1 1 1\nq");
    link.reply("t2.1", "done", "two");
    CHECK(client.answer().starts_with("200 "));
    CHECK(program.counter("list_failures") == 0);
    program.kill(SIGTERM);
    program.kill(SIGHUP);
    client = Peer{};
    CHECK(program.wait() == 0);
}

TEST_CASE("a file that cannot be used changes nothing, is read again soon, and names what needs a restart") {
    Listener server, discovery, moved;
    Program program({{"s-1", server.at()}}, discovery.at());
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

TEST_CASE("after a kill it starts from nothing on the same address at once") {
    OneServer one;
    one.go();
    one.ask("again", "t1", {1});
    one.program.kill(SIGKILL);
    CHECK(one.client.answer() == "nothing");
    CHECK(one.link.ended());
    one.go();
    CHECK(one.ask("again", "t1", {1}) == "St1.1 1 1\nq");
}

TEST_CASE("with few descriptors idle clients make room for new ones") {
    OneServer one;
    one.program.with("\"sockets\":1024", "\"sockets\":32");  // eight of them for clients
    one.go();
    std::vector<Peer> idle;
    for (int i = 0; i < 20; ++i) {
        idle.push_back(one.program.client());
        idle.back().say("GET /up HTTP/1.1\r\n\r\n");
        CHECK(idle.back().answer() == "200 up\n");
    }
    CHECK(idle.front().ended());
    CHECK(one.program.counter("clients_open_most_at_once") == 8);
    for (int i = 0; i < 20; ++i) {  // clients that never complete a request do not keep others out either
        idle.push_back(one.program.client());
        idle.back().say("POST /again HTTP/1.1\r\nX-Txn");
    }
    one.client = one.program.client();
    CHECK(one.ask("again", "t", {1}) == "St.1 1 1\nq");
}

TEST_CASE("a client that says nothing, or never ends its first request, is closed in time") {
    OneServer one;
    one.go();
    const auto began = std::chrono::steady_clock::now();
    auto silent = one.program.client();
    auto slow = one.program.client();
    slow.say("POST /again HTTP/1.1\r\nX-Txn");
    CHECK(silent.ended());
    CHECK(slow.answer() == "408 connection=close the request did not come whole\n");
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(kPatienceSeconds));
}

TEST_CASE("clients that never come up with a request make room before those that did") {
    OneServer one;
    one.program.with("\"sockets\":1024", "\"sockets\":32");  // eight of them for clients
    one.go();
    one.client = Peer{};
    std::vector<Peer> usual, silent;
    const auto up = [](Peer& peer) {
        peer.say("GET /up HTTP/1.1\r\n\r\n");
        return peer.answer() == "200 up\n";
    };
    for (int i = 0; i < 4; ++i) CHECK(up(usual.emplace_back(one.program.client())));
    for (int i = 0; i < 4; ++i) silent.push_back(one.program.client());
    usleep(300'000);  // longer than the connect timeout
    for (int i = 0; i < 4; ++i) CHECK(up(usual.emplace_back(one.program.client())));
    for (auto& peer : usual) CHECK(up(peer));
    for (auto& peer : silent) CHECK(peer.ended());
}

TEST_CASE("whatever servers and clients do, each request has one answer and each send one outcome") {
    Mischief servers(8);
    Listener discovery;
    std::vector<Listed> known;
    for (std::size_t i = 0; i < 8; ++i) known.push_back({"s-" + std::to_string(i), servers.at(i)});
    Program program(known, discovery.at());
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
    CHECK(program.counter_at("open_multigets", 0) == 0);
    CHECK(program.counter_at("sends_out", 0) == 0);
    std::uint64_t outcomes = 0;
    for (const char* name :
         {"returned", "error", "full", "timed_out", "no_connection", "reset", "cancelled", "never_sent"}) {
        outcomes += program.counter(std::string("sends_") + name);
    }
    CHECK(outcomes == program.counter("sends"));
    CHECK(program.counter("multigets_taken") == 120);
    CHECK(program.counter("invariants_broken") == 0);
    CHECK(program.counter("tasks_threw") == 0);
    program.kill(SIGTERM);
    CHECK(program.wait() == 0);
}

TEST_CASE("a configuration that cannot be used ends the start with the faulty key") {
    OneServer one;
    std::string told;
    SUBCASE("missing") {
        one.program.with("\"tick_ms\":1.0", "\"tock_ms\":1.0"), told = "settings: tick_ms is missing";
    }
    SUBCASE("a second step") {
        one.program.with("\"follow_up\":[0,0]", "\"follow_up\":[0,2]");
        told = "settings: family_info.follow_up asks for a second step, which this protocol lacks";
    }
    SUBCASE("no JSON") {
        one.program.with("{\"name\"", "{{\"name\""), told = "configuration: JSON, byte 2: ";
    }
    one.program.start();
    CHECK(one.program.wait() == 1);
    CHECK(one.program.log().starts_with("pinedoor: " + told));
}

}  // namespace
