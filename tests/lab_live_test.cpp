// The laboratory on sockets: real front nodes under every kind of fault, and front nodes that crash, hang or
// fail to start.
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include <fstream>
#include <set>
#include <sstream>

#include "lab/live/held_port.hpp"
#include "lab/live/live.hpp"
#include "lab/read/checker.hpp"
#include "lab/read/timeline.hpp"
#include "lab/sim/simulation.hpp"
#include "lab/study/experiment.hpp"
#include "stand_ins/scratch.hpp"
#include "stated/stated.hpp"

namespace {

using namespace pinedoor;
using namespace pinedoor::lab;

// A low request rate and long timeouts, so a slow machine gets the same outcomes.
const char* const kWorldText = R"(
seconds = 3
nodes = 2
shards = 3
zones = 2
delay_ms = 0.2
zone_delay_ms = 1
list_lag_ms = 20
[servers]
count = 6
part_ms = { exponential = 3 }
queue = 50
warm_after_ms = 300
[[clients]]
per_second = 60
parts = [1, 3]
latency_budget_ms = 1000
route_timeout_ms = 2000
least_share = 0.3
retries = 1
[[clients]]
name = "write"
per_second = 20
parts = 1
repeat = "non-retriable"
latency_budget_ms = 1000
route_timeout_ms = 2000
)";

std::string with_fault(const std::string& kind) {
    std::string text = std::string(kWorldText) + "[[troubles]]\nkind = \"" + kind +
                       "\"\nfrom_s = 0.6\nuntil_s = 2\nshare = 0.34\n" + "every_ms = 500\nfor_ms = 200\n";
    if (kind == "zone-lost" || kind == "cut-off" || kind == "shift") text += "zone = 1\n";
    if (kind == "lossy" || kind == "errors" || kind == "spoilt") text += "factor = 0.4\n";
    if (kind == "surge") text += "factor = 3\n";
    if (kind == "bad-clients") text += "factor = 100\n";
    return text;
}

struct RunResult {
    LiveTotals totals;
    std::vector<Breach> breaches;
    Timeline timeline;
};
RunResult run_world(const std::string& text, const std::string& program = PINEDOOR_PROGRAM) {
    RunResult result;
    RuleChecker checker;
    result.totals =
        play_live(World::from_text(text, "live.toml"), {program, 200, {}}, [&](const std::string& line) {
            checker.take(line);
            result.timeline.take(line);
        });
    result.breaches = checker.finish();
    result.timeline.finish();
    return result;
}

// A shell script that replaces the pinedoor program.
struct Script {
    explicit Script(const std::string& text)
        : path(test::scratch() + "/pinedoor-script-" + std::to_string(getpid())) {
        std::ofstream(path) << "#!/bin/sh\n" << text << '\n';
        chmod(path.c_str(), 0700);
    }
    ~Script() { std::remove(path.c_str()); }
    std::string path;
};

TEST_CASE(
    "on sockets, under every fault: each request ends once, no rule is violated, all nodes exit cleanly") {
    const std::atomic<bool> never = false;
    std::vector<RunResult> results(trouble_names().size());
    run_on_threads(results.size(), 6, never,
                   [&results](std::size_t i) { results[i] = run_world(with_fault(trouble_names()[i])); });
    for (std::size_t i = 0; i < results.size(); ++i) {
        const auto& kind = trouble_names()[i];
        const auto& result = results[i];
        CAPTURE(kind);
        for (const auto& each : result.breaches) {
            const auto what = name_of(each.rule) + ' ' + each.what;
            FAIL_CHECK(what);
        }
        CHECK(result.totals.broken() == 0);
        CHECK(result.totals.bad_exits == 0);
        CHECK(result.totals.without_room == 0);
        CHECK(result.totals.node_kills == (kind == "node-killed" ? 1 : 0));
        std::uint64_t tries = 0;
        for (const auto& each : result.totals.clients) {
            CHECK(each.asked > 20);
            CHECK(each.whole + each.in_part + each.pushed_back + each.failed + each.left == each.asked);
            tries += each.tries;
        }
        std::uint64_t ends = 0;
        for (const auto& [client, each] : result.timeline.ends_by_kind()) ends += each.all();
        CHECK(ends == tries);  // the log has one end for each try
        CHECK(result.totals.service() > 0.3);
        CHECK(result.timeline.troubles().size() == 1);
        // Faults that affect servers appear in the servers' timelines, the others do not.
        std::size_t at_servers = 0;
        for (const auto& [id, server] : result.timeline.servers()) at_servers += server.troubles.size();
        const std::set<std::string> elsewhere{"cut-off",     "discovery-down", "surge",  "shift",
                                              "node-killed", "node-restarted", "reload", "bad-clients"};
        CHECK((at_servers > 0) == !elsewhere.contains(kind));
        // Planned restarts, reloads and bad clients must not fail any request.
        if (kind == "node-restarted" || kind == "reload" || kind == "bad-clients")
            CHECK(result.totals.clients[0].failed == 0);
    }
}

TEST_CASE("a reserved port stays reserved while its server is down") {
    const HeldPort port;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port.at().port);
    address.sin_addr.s_addr = htonl(port.at().address);
    const auto* const socket_address = reinterpret_cast<const sockaddr*>(&address);
    const auto refused = [socket_address] {
        const net::Fd fd(socket(AF_INET, SOCK_STREAM, 0));
        return connect(fd.get(), socket_address, sizeof(sockaddr_in)) != 0 && errno == ECONNREFUSED;
    };
    for (int life = 0; life < 2; ++life) {
        CHECK(refused());
        const net::Fd other(socket(AF_INET, SOCK_STREAM, 0));
        CHECK(bind(other.get(), socket_address, sizeof(sockaddr_in)) != 0);
        CHECK(errno == EADDRINUSE);
        const auto server = net::listen_on(port.at());
        CHECK(!refused());
    }
}

TEST_CASE("a world without faults gets the same service on sockets as in simulated time") {
    const auto result = run_world(kWorldText);
    const auto simulated = Simulation(World::from_text(kWorldText, "live.toml")).run();
    CHECK(simulated.service() > 0.99);
    CHECK(std::abs(result.totals.service() - simulated.service()) < 0.05);
    // Open loop: the number of requests does not depend on the answers' latency.
    CHECK(static_cast<double>(result.totals.clients[0].asked) ==
          doctest::Approx(static_cast<double>(simulated.clients[0].asked)).epsilon(0.35));
}

TEST_CASE("front nodes that fail to start, crash, or hang are reported and the run ends") {
    const auto error_of = [](const std::string& program) -> std::string {
        try {
            run_world(kWorldText, program);
            return "played";
        } catch (const stated::ConfigError& error) {
            return error.what();
        }
    };
    CHECK(error_of("/no/such") == "'/no/such' is no program; name pinedoor with --program");
    {
        const Script dies("echo out of paper >&2; exit 1");
        CHECK(error_of(dies.path).find("did not come up: out of paper") != std::string::npos);
    }
    {
        const Script dies_later(std::string("(sleep 1.5; kill -KILL $$) & exec ") + PINEDOOR_PROGRAM);
        const auto result = run_world(kWorldText, dies_later.path);
        CHECK(result.totals.bad_exits == 2);
        CHECK(result.totals.clients[0].failed > 0);
        CHECK(result.totals.clients[0].lost == 0);  // the closed connections are noticed at once
    }
    {
        const Script hangs(std::string("(sleep 1.5; kill -STOP $$) & exec ") + PINEDOOR_PROGRAM);
        const auto result = run_world(kWorldText, hangs.path);
        CHECK(result.totals.bad_exits == 2);
        CHECK(result.totals.broken() > 0);  // requests to a hung node get no answer
        CHECK(!result.breaches.empty());
    }
}

}  // namespace
