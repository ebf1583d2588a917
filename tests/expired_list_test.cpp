// Twenty front nodes whose watches of the server list fall silent, end, or are never opened while discovery
// is faulty. Guards against sends to a server that left the list longer ago than the protocol allows.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>

#include "stand_ins/faulty_discovery.hpp"

namespace {

using namespace pinedoor::test;
using namespace std::chrono_literals;

constexpr int kNodes = 20;
constexpr int kConfiguredNodes = 300;  // fleet size in the settings, by which front nodes spread their calls
constexpr auto kLease = 6s;            // protocol: a change counts as received so long after discovery had it
constexpr auto kStopSendingWithin = 250ms;  // settings: time to stop sending after that
// Failed calls of one front node in a row. Where half of the calls fail, such a series has a probability of
// 1/64.
constexpr int kMaxFailuresInARow = 6;
constexpr auto kSlack = 50ms;  // protocol: tolerance on each time limit

// An index server that answers all requests and records when each front node last sent to it.
class RecordingServer {
public:
    RecordingServer() {
        thread_ = std::thread([this] { run(); });
    }
    ~RecordingServer() {
        stop_ = true;
        thread_.join();
    }
    pinedoor::net::Endpoint at() const { return listener_.at(); }
    std::map<int, Clock::time_point> last_attempts() {
        const std::lock_guard lock(mutex_);
        return last_;
    }

private:
    void run() {
        std::vector<Peer> peers;
        while (!stop_) {
            std::vector<pollfd> polled{{listener_.fd(), POLLIN, 0}};
            for (const auto& peer : peers) polled.push_back({peer.fd(), POLLIN, 0});
            poll(polled.data(), polled.size(), 5);
            for (std::size_t i = peers.size(); i-- > 0;) {
                bool open = true;
                if (polled[i + 1].revents != 0) open = serve(peers[i]);
                while (open && peers[i].has_buffered_data()) open = serve(peers[i]);
                if (!open) peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
            }
            if (polled[0].revents != 0) peers.push_back(listener_.accept());
        }
    }
    // The name of a request starts with the number of its front node and a dash.
    bool serve(Peer& peer) {
        const auto frame = peer.frame();
        if (frame == "nothing") return false;
        if (frame[0] != 'S') return true;
        const auto id = frame.substr(1, frame.find(' ') - 1);
        {
            const std::lock_guard lock(mutex_);
            last_[std::stoi(id)] = Clock::now();
        }
        peer.reply(id, "done", "v");
        return true;
    }

    Listener listener_{512};
    std::atomic<bool> stop_ = false;
    std::mutex mutex_;
    std::map<int, Clock::time_point> last_;
    std::thread thread_;
};

// Front nodes under constant load. Two servers hold all shards, and one of them leaves the list.
class Fleet {
public:
    Fleet(const char* must_ask_in_ms, std::uint32_t seed) : discovery_(full_list(), kNodes, seed) {
        for (int i = 0; i < kNodes; ++i) {
            auto& node =
                *nodes_.emplace_back(std::make_unique<FrontNodeProcess>(initial_servers(), discovery_.at(i)));
            char number[17];
            std::snprintf(number, sizeof number, "%016x", seed * 1'000 + static_cast<unsigned>(i));
            node.with("8c1f30d27a5be964", number)
                .with("\"siblings\":1", "\"siblings\":" + std::to_string(kConfiguredNodes))
                .with("\"must_ask_in_ms\":1600.0", std::string("\"must_ask_in_ms\":") + must_ask_in_ms);
        }
    }

    FaultyDiscovery& discovery() { return discovery_; }
    void start() {
        for (auto& node : nodes_) node->start();
        for (auto& node : nodes_) clients_.push_back(node->client());
    }
    void wait_until_all_watch() {
        const auto until = Clock::now() + 30s;
        while (discovery_.watching() < kNodes && Clock::now() < until) std::this_thread::sleep_for(10ms);
        REQUIRE(discovery_.watching() == kNodes);
    }
    void remove_server() { discovery_.change(list_object(2, true, {{"s-stays", kept_.at()}}) + '\n'); }
    // Sends ten requests per second to each front node.
    void send_requests_until(Clock::time_point until) {
        for (; Clock::now() < until; ++rounds_) {
            const auto next = Clock::now() + 100ms;
            for (int i = 0; i < kNodes; ++i) {
                auto& client = clients_[static_cast<std::size_t>(i)];
                client.say(post("again", std::to_string(i) + "-" + std::to_string(rounds_), asks({1})));
                const auto answer = client.answer();
                if (answer.starts_with("200"))
                    ++served_;
                else
                    ++unserved_;
            }
            std::this_thread::sleep_until(next);
        }
    }
    // Number of front nodes that sent to the removed server later than the time to stop sending after
    // `effective_at`, when the change counted as received.
    int late_nodes(Clock::time_point effective_at) {
        int count = 0;
        for (const auto& [node, last] : removed_.last_attempts()) {
            if (last <= effective_at + kStopSendingWithin + kSlack) continue;
            ++count;
            MESSAGE("front node ", node, " sent ",
                    std::chrono::duration_cast<std::chrono::milliseconds>(last - effective_at).count(),
                    " ms after the change counted as received\n", list_lines(node));
        }
        MESSAGE(discovery_.calls(), " calls, ", discovery_.faulty_calls(), " of them failed; ", served_,
                " requests served, ", unserved_, " not served");
        return count;
    }
    int served() const { return served_; }
    int unserved() const { return unserved_; }

private:
    std::vector<Listed> initial_servers() const {
        return {{"s-stays", kept_.at()}, {"s-leaves", removed_.at()}};
    }
    std::string full_list() const { return list_object(1, true, initial_servers()) + '\n'; }
    std::string list_lines(int node) const {
        std::istringstream log(nodes_[static_cast<std::size_t>(node)]->log());
        std::string lines;
        for (std::string line; std::getline(log, line);) {
            if (line.find("event=list_") != std::string::npos) lines += line + '\n';
        }
        return lines;
    }

    RecordingServer kept_, removed_;
    FaultyDiscovery discovery_;
    std::vector<std::unique_ptr<FrontNodeProcess>> nodes_;
    std::vector<Peer> clients_;
    int rounds_ = 0;  // of requests; each has names of its own
    int served_ = 0;
    int unserved_ = 0;
};

FaultyDiscovery::Manners with_delays(FaultyDiscovery::Manners manners) {
    manners.least_delay = 300ms;
    manners.most_delay = 1000ms;
    manners.max_consecutive_faults = kMaxFailuresInARow;
    return manners;
}

// Guards against incident-313091: pauses between failed calls depended on the fleet size only, and reached
// ten seconds.
TEST_CASE("after an outage of discovery no front node uses an old list for longer than the protocol allows") {
    Fleet fleet("10000", 11);
    fleet.start();
    fleet.wait_until_all_watch();
    fleet.discovery().behave({1, 0, 0, 1800ms, 2000ms});
    fleet.discovery().end_watches();
    fleet.send_requests_until(Clock::now() + 9s);
    fleet.remove_server();
    fleet.discovery().behave({});
    const auto restored = Clock::now();
    fleet.send_requests_until(restored + kLease + 2s);
    CHECK(fleet.late_nodes(restored + kLease) == 0);
    CHECK(fleet.unserved() == 0);  // a discovery that is down must not stop traffic
}

TEST_CASE("watches that fall silent while calls fail leave no front node with an expired list") {
    FaultyDiscovery::Manners manners;
    std::uint32_t seed = 21;
    SUBCASE("none of the calls fails") {}
    SUBCASE("half of the calls are refused") { manners.refused = 0.5; }
    SUBCASE("half of the calls are refused, another seed") {
        manners.refused = 0.5;
        seed = 22;
    }
    SUBCASE("three calls in ten are never answered") { manners.unanswered = 0.3; }
    SUBCASE("three answers in ten stop in the middle of the list") { manners.broken_off = 0.3; }
    Fleet fleet("1600", seed);
    fleet.start();
    fleet.wait_until_all_watch();
    fleet.discovery().behave(with_delays(manners));
    fleet.discovery().silence_watches();
    const auto changed = Clock::now();
    fleet.remove_server();
    fleet.send_requests_until(changed + kLease + 2s);
    CHECK(fleet.late_nodes(changed + kLease) == 0);
}

TEST_CASE("a start with a known list that is out of date leaves no front node with an expired list") {
    FaultyDiscovery::Manners manners;
    SUBCASE("half of the calls are refused") { manners.refused = 0.5; }
    SUBCASE("four calls in ten are never answered") { manners.unanswered = 0.4; }
    SUBCASE("four answers in ten stop in the middle of the list") { manners.broken_off = 0.4; }
    Fleet fleet("1600", 31);
    fleet.remove_server();
    fleet.discovery().behave(with_delays(manners));
    const auto started = Clock::now();
    fleet.start();
    fleet.send_requests_until(started + kLease + 2s);
    CHECK(fleet.late_nodes(started + kLease) == 0);
}

}  // namespace
