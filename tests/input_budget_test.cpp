// What clients send is paid from stated budgets: memory, work in each round of the event loop, and entries of
// tables. Each case is a picture that operators saw (docs/incidents/input-without-budget.md), on real
// processes.
#include <doctest/doctest.h>

#include "stand_ins/abusive_clients.hpp"

namespace {

using namespace pinedoor::test;
namespace net = pinedoor::net;
using std::chrono::milliseconds;

// Sanitizers keep freed memory and shadow memory of their own, so the process is judged by its gauges alone.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kMeasuresProcess = false;
#else
constexpr bool kMeasuresProcess = true;
#endif

struct Limits {
    std::size_t memory_mb = 192;
    std::size_t sockets = 1024;
};

// One good server, no discovery, and the limits under test.
struct LimitedNode {
    explicit LimitedNode(Limits limits) : memory_bytes(limits.memory_mb << 20U) {
        program
            .with("\"memory_mb\":192,\"sockets\":1024", "\"memory_mb\":" + std::to_string(limits.memory_mb) +
                                                            ",\"sockets\":" + std::to_string(limits.sockets))
            .with("\"quota_per_s\":100.0", "\"quota_per_s\":10000.0")
            .with("\"max_open\":40", "\"max_open\":20000");
        program.start().client();
    }
    void check_memory() const {
        if (kMeasuresProcess) CHECK(peak_memory_bytes(program.process()) <= memory_bytes);
    }

    std::size_t memory_bytes;
    FaultyServers servers{1, FaultyServers::Manners::kGood};
    Listener discovery;
    FrontNodeProcess program{{{"s-1", servers.at(0)}}, discovery.at()};
};

// Case (a): a crowd of unfinished requests took a process over its memory limit.
void check_crowd(Limits limits, const std::string& bytes) {
    LimitedNode node(limits);
    const Crowd crowd(node.program.at(), limits.sockets / 2 - 40, bytes);
    const auto service = ask_as_ordinary_client(node.program.at(), milliseconds(1'500), "o");
    CHECK(service.requests > 0);
    CHECK(service.lost == 0);
    CHECK(service.served * 10 >= service.requests * 9);
    node.check_memory();
    CHECK(node.program.counter("invariants_broken") == 0);
    node.program.kill(SIGTERM);
    CHECK(node.program.wait() == 0);
}

TEST_CASE("hundreds of heads of very many short fields stay within the memory limit") {
    Limits limits;
    SUBCASE("192 MB and 1024 descriptors") {}
    SUBCASE("48 MB and 1024 descriptors") { limits = {48, 1024}; }
    SUBCASE("24 MB and 256 descriptors") { limits = {24, 256}; }
    SUBCASE("16 MB and 1024 descriptors") { limits = {16, 1024}; }
    SUBCASE("16 MB and 96 descriptors") { limits = {16, 96}; }
    check_crowd(limits, unfinished_head_of_short_fields(16'000));
}

TEST_CASE("hundreds of clients that stop half way through a large request stay within the memory limit") {
    Limits limits;
    SUBCASE("192 MB and 1024 descriptors") {}
    SUBCASE("48 MB and 1024 descriptors") { limits = {48, 1024}; }
    SUBCASE("24 MB and 256 descriptors") { limits = {24, 256}; }
    SUBCASE("16 MB and 1024 descriptors") { limits = {16, 1024}; }
    SUBCASE("16 MB and 96 descriptors") { limits = {16, 96}; }
    check_crowd(limits, unfinished_body(64'000));
}

// A crowd that came back after each eviction kept the memory full, and ordinary requests were refused for it.
TEST_CASE("a crowd that returns after each eviction takes no room from ordinary requests") {
    Limits limits;
    SUBCASE("192 MB and 1024 descriptors") {}
    SUBCASE("48 MB and 1024 descriptors") { limits = {48, 1024}; }
    SUBCASE("24 MB and 256 descriptors") { limits = {24, 256}; }
    SUBCASE("16 MB and 1024 descriptors") { limits = {16, 1024}; }
    SUBCASE("16 MB and 96 descriptors") { limits = {16, 96}; }
    LimitedNode node(limits);
    Service service;
    {
        const ReturningCrowd crowd(node.program.at(), limits.sockets / 2 - 40, unfinished_body(64'000));
        service = ask_as_ordinary_client(node.program.at(), milliseconds(3'000), "o");
        CHECK(crowd.connections() > limits.sockets / 2 - 40);
    }
    CHECK(service.requests > 0);
    CHECK(service.lost == 0);
    CHECK(service.served * 10 >= service.requests * 9);
    CHECK(node.program.counter("requests_without_memory") == 0);
    node.check_memory();
}

// The same on the peers' port: states of members that never come whole.
TEST_CASE("unfinished states of front nodes stay within the memory limit") {
    Listener server;
    Listener discovery;
    const pinedoor::lab::HeldPort peers;
    std::size_t memory_mb = 48;
    SUBCASE("48 MB") {}
    SUBCASE("24 MB") { memory_mb = 24; }
    FrontNodeProcess program({{"s-1", server.at()}}, discovery.at());
    program.with("\"memory_mb\":192", "\"memory_mb\":" + std::to_string(memory_mb))
        .with_settings("[peers]\non = true\nlisten = \"" + net::to_text(peers.at()) + "\"\n");
    program.start().client();
    std::string state("\xff\xff\x0f\x00", 4);  // a length of almost 1 MB
    state += std::string(900'000, 's');
    const Crowd crowd(peers.at(), 100, state);
    usleep(200'000);
    CHECK(program.counter("peers_exchanges_over_memory") > 0);
    if (kMeasuresProcess) CHECK(peak_memory_bytes(program.process()) <= memory_mb << 20U);
    program.kill(SIGTERM);
    CHECK(program.wait() == 0);
}

// The first line that an operator's command prints about a front node's peers, and how long it took.
struct CommandRun {
    std::string text;
    milliseconds took;
};
CommandRun list_peers(const std::string& control) {
    const auto began = std::chrono::steady_clock::now();
    const auto command = std::string(PINEDOOR_PROGRAM) + " peers --control " + control + " list 2>&1";
    CommandRun run;
    auto* const pipe = popen(command.c_str(), "r");
    for (char bytes[4096]; const auto count = fread(bytes, 1, sizeof bytes, pipe);)
        run.text.append(bytes, count);
    pclose(pipe);
    run.took = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - began);
    return run;
}

// Connections that sent nothing whole took all places, of members and of the operator's commands.
TEST_CASE("a crowd on the peers' port keeps neither a member nor an operator's command waiting") {
    Listener server;
    Listener discovery;
    const pinedoor::lab::HeldPort first_port, second_port;
    const auto peers = [](net::Endpoint at, const std::string& more) {
        return "[peers]\non = true\nlisten = \"" + net::to_text(at) + "\"\n" + more;
    };
    FrontNodeProcess first({{"s-1", server.at()}}, discovery.at());
    first.with_settings(peers(first_port.at(), "control = \"@/control\"\n"));
    first.start().client();
    const ReturningCrowd crowd(first_port.at(), 140, std::string("\xff\xff\x0f\x00", 4));
    usleep(300'000);
    FrontNodeProcess second({{"s-1", server.at()}}, discovery.at());
    second.with("\"name\":\"n0\"", "\"name\":\"n1\"")
        .with_settings(peers(second_port.at(), "seeds = [\"" + net::to_text(first_port.at()) + "\"]\n"));
    second.start().client();
    const auto began = std::chrono::steady_clock::now();
    CommandRun run;
    do {
        run = list_peers(first.folder() + "/control");
        CHECK(run.took < milliseconds(1'000));
        usleep(50'000);
    } while (run.text.find("n1 alive") == std::string::npos &&
             std::chrono::steady_clock::now() - began < milliseconds(2'000));
    CHECK(run.text.find("n1 alive") != std::string::npos);
}

// The listener was closed with what waited behind a full table of connections.
TEST_CASE("a shutdown answers a client that waits for a free connection") {
    Listener server;
    Listener discovery;
    FrontNodeProcess program({{"s-1", server.at()}}, discovery.at());
    program.with("\"sockets\":1024", "\"sockets\":32")
        .with("\"streams_per_conn\":4", "\"streams_per_conn\":64");
    program.start();
    std::vector<Peer> busy;
    Peer connection;
    for (int i = 0; i < 8; ++i) {  // all that there may be
        busy.push_back(program.client());
        busy.back().say(post("once", "t" + std::to_string(i), asks({1})));
        if (i == 0) connection = server.accept();
        REQUIRE(connection.frame() == "St" + std::to_string(i) + ".1 1 1\nq");
    }
    program.kill(SIGTERM);
    Peer waiting(program.at());
    REQUIRE(waiting.connected());
    waiting.say(post("once", "last", asks({1})));
    usleep(600'000);  // longer than new connections are expected
    for (int i = 0; i < 8; ++i) connection.reply("t" + std::to_string(i) + ".1", "done", "x");
    for (auto& client : busy) CHECK(client.answer().starts_with("200 "));
    busy.clear();
    CHECK(connection.frame() == "Slast.1 1 1\nq");
    connection.reply("last.1", "done", "y");
    CHECK(waiting.answer().starts_with("200 "));
    CHECK(program.wait() == 0);
}

// Case (b): one connection at full speed kept the event loop, and others got their answers late or never.
void check_flood(int flooders, const std::function<std::string(std::uint64_t)>& next_request) {
    LimitedNode node({});
    std::vector<std::unique_ptr<Flooder>> floods;
    for (int i = 0; i < flooders; ++i)
        floods.push_back(std::make_unique<Flooder>(node.program.at(), [&, i](std::uint64_t number) {
            return next_request(number * 100 + static_cast<std::uint64_t>(i));
        }));
    const auto service = ask_as_ordinary_client(node.program.at(), milliseconds(3'000), "o");
    for (const auto& flood : floods) CHECK(flood->bytes_sent() > 0);
    floods.clear();
    CHECK(service.requests > 0);
    CHECK(service.lost == 0);
    CHECK(service.served * 10 >= service.requests * 9);
    node.check_memory();
    CHECK(node.program.counter("invariants_broken") == 0);
}

TEST_CASE("requests at full speed on one connection delay no other client") {
    SUBCASE("readiness, from six clients") {
        check_flood(6, [](std::uint64_t) { return "GET /up HTTP/1.1\r\n\r\n"; });
    }
    SUBCASE("counters") {
        check_flood(1, [](std::uint64_t) { return "GET /counters HTTP/1.1\r\n\r\n"; });
    }
    SUBCASE("unsound requests") {
        check_flood(2, [](std::uint64_t) { return post("again", "bad name", "{}"); });
    }
    SUBCASE("multigets of ever new names with very much time") {
        check_flood(2, [](std::uint64_t number) {
            return post("again", "flood" + std::to_string(number), asks({1}), 80'000'000);
        });
    }
}

// Case (c): a close that stood behind unread bytes was not seen.
TEST_CASE("a client that closes with much still unread has gone, and nothing of its begins afterwards") {
    Listener server;
    Listener discovery;
    FrontNodeProcess program({{"s-1", server.at()}}, discovery.at());
    auto client = program.start().client();
    const int send_buffer_bytes = 1 << 20;
    setsockopt(client.fd(), SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes, sizeof send_buffer_bytes);
    client.say(post("once", "t", asks({1})));
    auto connection = server.accept();
    REQUIRE(connection.frame() == "St.1 1 1\nq");
    std::string behind;
    for (int i = 0; i < 4'000; ++i) behind += post("once", "u" + std::to_string(i), asks({2}));
    fcntl(client.fd(), F_SETFL, O_NONBLOCK);
    client.say(behind);
    client = Peer{};
    CHECK(connection.frame() == "Ct.1");
    CHECK(program.wait_for_counter("clients_gone", 1) == 1);
    CHECK(program.wait_for_counter("clients_open", 1) == 1);  // the one that asks
    CHECK(program.counter("multigets_taken") == 1);
    CHECK(program.counter("sends") == 1);
}

TEST_CASE("requests that were read together with the client's close do not begin") {
    Listener server;
    Listener discovery;
    FrontNodeProcess program({{"s-1", server.at()}}, discovery.at());
    auto client = program.start().client();
    client.say(post("once", "t", asks({1})));
    auto connection = server.accept();
    REQUIRE(connection.frame() == "St.1 1 1\nq");
    program.kill(SIGSTOP);  // the answer, the next request and the close are there when it goes on
    client.say(post("once", "u", asks({2})));
    client = Peer{};
    connection.reply("t.1", "done", "one");
    program.kill(SIGCONT);
    CHECK(program.wait_for_counter("open_multigets", 0) == 0);
    CHECK(program.counter("multigets_taken") == 1);
    CHECK(program.counter("sends") == 1);
}

// Timers that fell due while the process stood still went before input that had come meanwhile.
TEST_CASE("after a suspension a client's close is seen before the timers of its request") {
    Listener first, second, discovery;
    FrontNodeProcess program({{"s-1", first.at()}, {"s-2", second.at()}}, discovery.at());
    program.with("\"max_attempts\":1", "\"max_attempts\":3")
        .with("\"stop_sending_within_ms\":250.0",
              "\"stop_sending_within_ms\":250.0,\"extra_floor\":20.0,\"repeat_ratio\":0.5,"
              "\"look_back_ms\":10000.0");
    auto client = program.start().client();
    client.say(post("again", "t", asks({1})));
    REQUIRE(program.wait_for_counter("calls", 1) == 1);
    program.kill(SIGSTOP);
    client = Peer{};
    std::this_thread::sleep_for(std::chrono::milliseconds(2'000));
    program.kill(SIGCONT);
    CHECK(program.wait_for_counter("clients_gone", 1) == 1);
    CHECK(program.counter("sends") == 1);
}

TEST_CASE("an id that may have run does not run again after its client has left") {
    Listener server;
    Listener discovery;
    FrontNodeProcess program({{"s-1", server.at()}}, discovery.at());
    auto client = program.start().client();
    client.say(post("once", "t", asks({1})));
    auto connection = server.accept();
    REQUIRE(connection.frame() == "St.1 1 1\nq");
    client = Peer{};
    CHECK(connection.frame() == "Ct.1");
    REQUIRE(program.wait_for_counter("sends_out", 0) == 0);
    client = program.client();
    client.say(post("once", "t", asks({1})));
    CHECK(client.answer().starts_with("409 "));
    CHECK(program.counter("sends") == 1);
    client = program.client();
    client.say(post("once", "u", asks({2})));
    CHECK(connection.frame() == "Su.2 2 1\nq");
}

}  // namespace
