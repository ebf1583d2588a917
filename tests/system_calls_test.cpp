// The front node with failing system calls: each call fails at its n-th use, for every n of a short run, with
// each error that Linux documents for temporary conditions. Checked is what clients see.
#include <doctest/doctest.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "stand_ins.hpp"

namespace {

using namespace pinedoor::test;

struct Tally {
    int served = 0;
    int partial = 0;
    int pushed_back = 0;  // pushed back, nothing of it has run
    int ended = 0;        // with any final answer
    int unanswered = 0;
};

struct Load {
    int clients = 3;
    int requests_each = 2;
    constexpr int requests() const { return clients * requests_each; }
};

constexpr Load kLight;
constexpr Load kHeavy{24, 6};
constexpr int kRequests = kLight.requests();

// The fault may hit the request for the counter itself: it is repeated once.
std::uint64_t counter(FrontNodeProcess& program, const std::string& name) {
    constexpr std::uint64_t kUnknown = 999'999;
    const auto value = program.counter(name);
    return value == kUnknown ? program.counter(name) : value;
}

using Clock = std::chrono::steady_clock;

// The front node closes client connections that are idle for 2 s; its clock and this one may differ slightly.
constexpr auto kNearlyIdleTime = std::chrono::milliseconds(1'900);

std::string request_of(int client, int request) {
    return post("again", 't' + std::to_string(client) + '-' + std::to_string(request),
                asks({client % 8, client % 8 + 4}));
}

// Several clients each send some requests to a front node with the given fault. A client whose connection
// ends without an answer opens a new one. The request is sent once more, as the protocol allows, where
// connections without input may be closed because descriptors are short, or where the connection was idle for
// as long as the front node keeps idle ones while another client's answer was awaited.
Tally run_requests(const std::string& fault, FaultyServers& servers, Listener& discovery,
                   bool short_of_descriptors = false, Load load = kLight) {
    FrontNodeProcess program({{"s-1", servers.at(0)}, {"s-2", servers.at(1)}}, discovery.at());
    program.run_program(PINEDOOR_FAULTY)
        .with("\"max_attempts\":1", "\"max_attempts\":3")
        .with("\"max_open\":40", "\"max_open\":" + std::to_string(std::max(40, 4 * load.clients)))
        .with_environment("PINEDOOR_FAULT", fault);
    program.start();
    Tally tally;
    std::vector<Peer> clients;
    for (int i = 0; i < load.clients; ++i) clients.push_back(program.client());
    std::vector<Clock::time_point> asked(clients.size(), Clock::now());
    std::vector<bool> was_idle(clients.size(), false);
    for (int request = 0; request < load.requests_each; ++request) {
        for (int i = 0; i < load.clients; ++i) {
            const auto at = static_cast<std::size_t>(i);
            const auto now = Clock::now();
            was_idle[at] = now - std::exchange(asked[at], now) >= kNearlyIdleTime;
            clients[at].say(request_of(i, request));
        }
        for (int i = 0; i < load.clients; ++i) {
            auto& client = clients[static_cast<std::size_t>(i)];
            auto answer = client.answer();
            if (answer == "nothing" && (short_of_descriptors || was_idle[static_cast<std::size_t>(i)])) {
                client = program.client();
                client.say(request_of(i, request));
                answer = client.answer();
            }
            tally.served += answer.starts_with("200 {\"whole\":true") ? 1 : 0;
            tally.partial += answer.starts_with("200 {\"whole\":false") ? 1 : 0;
            tally.pushed_back += answer.starts_with("503 retry-after=") ? 1 : 0;
            tally.ended += answer == "nothing" ? 0 : 1;
            tally.unanswered += answer == "nothing" ? 1 : 0;
            if (answer == "nothing") client = program.client();
        }
    }
    CHECK(counter(program, "invariants_broken") == 0);  // this also shows that it still listens
    CHECK(counter(program, "tasks_threw") == 0);
    return tally;
}

struct FaultCase {
    const char* call;
    int error;
};

std::string text(const FaultCase& fault_case, int n) {
    return std::string(fault_case.call) + ' ' + std::to_string(n) + ' ' + std::to_string(fault_case.error);
}

constexpr int kCallsPerRun = 10;

// The calls that the program makes before it serves end its start when they fail.
int first_call(const std::string& call) {
    if (call == "socket") return 2;  // the listener's
    if (call == "add") return 4;     // those of the listener, the signals and the watch
    return 1;
}

TEST_CASE("a temporary failure of a system call costs no request its answer") {
    FaultyServers servers(2, FaultyServers::Manners::kGood);
    Listener discovery;
    const std::vector<FaultCase> cases{
        {"accept", ECONNABORTED},   {"accept", EINTR},          {"accept", EMFILE},
        {"accept", ENFILE},         {"accept", ENOBUFS},        {"accept", ENOMEM},
        {"accept", EPROTO},         {"accept", EPERM},          {"socket", EMFILE},
        {"socket", ENFILE},         {"socket", ENOBUFS},        {"socket", ENOMEM},
        {"connect", EADDRNOTAVAIL}, {"connect", ENETUNREACH},   {"connect", EINTR},
        {"connect", EAGAIN},        {"pending", EADDRNOTAVAIL}, {"pending", ENETUNREACH},
        {"receive", EINTR},         {"transmit", EINTR},        {"wait", EINTR},
    };
    SUBCASE("each call of a short run") {
        for (const auto& fault_case : cases) {
            for (int n = first_call(fault_case.call); n <= kCallsPerRun; ++n) {
                CAPTURE(text(fault_case, n));
                const auto tally =
                    run_requests(text(fault_case, n), servers, discovery, fault_case.error == EMFILE);
                CHECK(tally.served == kRequests);
            }
        }
    }
    SUBCASE("under load, several in a row") {
        constexpr int kFailures = 3;
        for (const auto& fault_case : cases) {
            for (const int n : {4, 16}) {
                const auto fault = text(fault_case, n) + ' ' + std::to_string(kFailures);
                CAPTURE(fault);
                const auto tally =
                    run_requests(fault, servers, discovery, fault_case.error == EMFILE, kHeavy);
                // A node that has just started answers in part, or pushes back, what exceeds its first
                // credit.
                CHECK(tally.served + tally.partial + tally.pushed_back == kHeavy.requests());
                CHECK(tally.served > kHeavy.requests() / 3);
            }
        }
    }
}

// If this machine cannot open a connection for lack of a descriptor, a port or a route, the server must not
// count as refusing or dead.
TEST_CASE("the only server stays in use when this machine fails to open a connection to it") {
    FaultyServers servers(1, FaultyServers::Manners::kGood);
    Listener discovery;
    for (const int error :
         {EADDRNOTAVAIL, ENETUNREACH}) {  // the fault hits the second connect; the first one is the watch
        CAPTURE(error);
        FrontNodeProcess program({{"s-1", servers.at(0)}}, discovery.at());
        program.run_program(PINEDOOR_FAULTY)
            .with_environment("PINEDOOR_FAULT", "connect 2 " + std::to_string(error));
        auto client = program.start().client();
        CHECK(discovery.accept().read_to("\r\n\r\n").starts_with("GET "));
        client.say(post("again", "t1", asks({1})));
        CHECK(is_pushback(client.answer(), 0.625, 1.25));  // never sent, and there is no other server
        CHECK(program.counter("connections_failed") == 1);
        client.say(post("again", "t2", asks({1, 2, 3})));
        CHECK(client.answer().starts_with("200 {\"whole\":true"));
        CHECK(program.log().find("aside") == std::string::npos);
    }
}

// A connection to a port of this machine where no server listens may connect to itself and read its own frame
// as an invalid answer. It must count as refused, so that nothing runs twice.
TEST_CASE("a connection that would reach itself counts as refused") {
    pinedoor::lab::HeldPort down;
    Listener discovery;
    FrontNodeProcess program({{"s-1", down.at()}}, discovery.at());
    program.run_program(PINEDOOR_FAULTY).with_environment("PINEDOOR_FAULT", "connect 2 self");
    auto client = program.start().client();
    CHECK(discovery.accept().read_to("\r\n\r\n").starts_with("GET "));  // the first connect
    client.say(post("once", "t", asks({1})));
    CHECK(is_pushback(client.answer(), 0.625, 1.25));  // it has never run
    CHECK(program.counter("connections_failed") == 1);
}

// Guards the test client: connected to itself, it would read its own request forever.
TEST_CASE("input that is not an answer ends the wait for one") {
    Listener server;
    Peer client(server.at());
    server.accept().say("POST / HTTP/1.1\r\n\r\n");
    CHECK(client.answer() == "malformed");
}

TEST_CASE("short reads and writes lose nothing") {
    FaultyServers servers(2, FaultyServers::Manners::kGood);
    Listener discovery;
    for (const char* call : {"receive", "transmit"}) {
        for (int n = 1; n <= kCallsPerRun; ++n) {
            const auto fault = std::string(call) + ' ' + std::to_string(n) + " short 5";
            CAPTURE(fault);
            CHECK(run_requests(fault, servers, discovery).served == kRequests);
        }
    }
}

// A connection is lost with everything outstanding on it; a client's own connection takes its request with
// it.
TEST_CASE("a connection that breaks costs at most the request on it, and no other its answer") {
    FaultyServers servers(2, FaultyServers::Manners::kGood);
    Listener discovery;
    const std::vector<FaultCase> cases{{"receive", ETIMEDOUT},
                                       {"receive", EHOSTUNREACH},
                                       {"receive", ECONNRESET},
                                       {"transmit", ETIMEDOUT},
                                       {"transmit", EHOSTUNREACH},
                                       {"transmit", EPIPE},
                                       {"pending", ETIMEDOUT},
                                       {"pending", EHOSTUNREACH},
                                       {"connect", EHOSTUNREACH},
                                       {"add", ENOMEM},
                                       {"add", ENOSPC}};
    for (const auto& fault_case : cases) {
        for (int n = first_call(fault_case.call); n <= kCallsPerRun; ++n) {
            CAPTURE(text(fault_case, n));
            const auto tally = run_requests(text(fault_case, n), servers, discovery);
            CHECK(tally.unanswered <= 1);
            CHECK(tally.ended >= kRequests - 1);
        }
    }
}

// accept() is not retried at once, which would spin, but it is retried.
TEST_CASE("while no connection can be accepted the program waits, and then accepts all pending ones") {
    constexpr int kFailures = 5;
    FaultyServers servers(2, FaultyServers::Manners::kGood);
    Listener discovery;
    for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
        FrontNodeProcess program({{"s-1", servers.at(0)}}, discovery.at());
        program.run_program(PINEDOOR_FAULTY)
            .with_environment("PINEDOOR_FAULT",
                              "accept 1 " + std::to_string(error) + ' ' + std::to_string(kFailures));
        const auto started_at = std::chrono::steady_clock::now();
        auto client = program.start().client();
        client.say(post("again", "t", asks({1})));
        CHECK(client.answer().starts_with("200 "));
        const auto duration = std::chrono::steady_clock::now() - started_at;
        CHECK(duration > std::chrono::milliseconds(50 * (kFailures - 1)));
        CHECK(program.counter("accept_failures") == kFailures);
    }
}

}  // namespace
