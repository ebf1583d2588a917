// Measures the effect and the cost of fleet-wide verdicts in simulated time. Runs the decision module, the
// exchange of reports and verdicts, and gossip as bytes on the wire, for many front nodes in front of servers
// of which a quarter hang. Run with `./dev bench fleet [NODES [ZONES]]`; with NODES only that fleet is run.
// Membership is assumed to be known; docs/fleet.md covers real processes on loopback.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/server_words.hpp"
#include "logic.hpp"
#include "peers/gossip.hpp"
#include "peers/wire.hpp"

namespace {

using namespace pinedoor;
using fleet::MemberReport;

constexpr Time kSecond = 10'000, kTurnInterval = 50, kLookInterval = 1'000;
constexpr int kServers = 32, kShards = 8;
constexpr Time kHangStart = 8 * kSecond, kHangEnd = 16 * kSecond, kRunEnd = 26 * kSecond;

struct Scenario {
    int nodes = 30;
    double per_node = 5;  // multigets per second
    double loss = 0;
    bool verdicts = true;
    double misreporting = 0;  // share of nodes that report the opposite of what they observe
    int zones = 1;
};
struct Result {
    Time left_after = -1, back_after = -1;
    double share_after_2_s = 0;      // share of sends to hung servers, from 2 s after the start of the hang
    double served = 0;               // share answered in time of the multigets asked during the hang
    double bytes = 0, messages = 0;  // per node and second, during the hang
    double wrongly_aside = 0;        // mean share of (node, healthy server) pairs set aside by reports
};

class Fleet {
public:
    explicit Fleet(const Scenario& scenario) : scenario_(scenario), random_(7), wire_("bench", "") {
        for (int i = 0; i < scenario.nodes; ++i) {
            zones_["n" + std::to_string(i)] = i % scenario.zones;
            nodes_.push_back(std::make_unique<Node>(i, random_()));
        }
        for (auto& node : nodes_) {
            peers::Gossip::Members others;
            for (const auto& other : nodes_) {
                if (other != node) others.emplace_back(other->name, at(other->index));
            }
            node->gossip.set_members(std::move(others));
            ListUpdate list{ListUpdateKind::kFull, {}};
            for (int s = 0; s < kServers; ++s)
                list.entries.push_back({server(s), 0, s % kShards, ServerState::kReady, 1, 0});
            node->events.emplace_back(list);
        }
    }

    Result run() {
        for (; now_ < kRunEnd; now_ += kTurnInterval) {
            deliver();
            for (auto& node : nodes_) step(*node);
        }
        Result result;
        const auto share = [this](Time from, Time until) {
            double sent = 0, to_hang_targets = 0;
            for (auto i = from / kTurnInterval; i < until / kTurnInterval; ++i)
                sent += sends_[i].first, to_hang_targets += sends_[i].second;
            return sent > 0 ? to_hang_targets / sent : 0;
        };
        for (Time from = kHangStart; from + kSecond <= kHangEnd && result.left_after < 0;
             from += kSecond / 20) {
            if (share(from, from + kSecond) <= 0.01) result.left_after = from - kHangStart;
        }
        for (Time from = kHangEnd; from + kSecond / 5 <= kRunEnd && result.back_after < 0;
             from += kSecond / 20) {
            if (share(from, from + kSecond / 5) >= 0.125) result.back_after = from - kHangEnd;
        }
        const double node_seconds = static_cast<double>(scenario_.nodes) * (kHangEnd - kHangStart) / kSecond;
        result.share_after_2_s = share(kHangStart + 2 * kSecond, kHangEnd);
        result.served =
            static_cast<double>(in_time_) / static_cast<double>(std::max<std::uint64_t>(1, asked_in_hang_));
        result.bytes = static_cast<double>(bytes_) / node_seconds;
        result.messages = static_cast<double>(messages_) / node_seconds;
        result.wrongly_aside = static_cast<double>(wrongly_aside_) /
                               static_cast<double>(std::max<std::uint64_t>(1, pairs_checked_));
        return result;
    }

private:
    struct PendingSend {
        Time sent = 0, ends = 0;
        ServerId server;
        bool hangs = false;
    };
    struct Node {
        Node(int number, std::uint64_t seed)
            : index(number), name("n" + std::to_string(number)),
              module(seed, NodeConfig{number, 1'000, 0, kTurnInterval},
                     {OpType{3'000, 12'000, RetrySafety::kRetriable, 0, 1, 0, 1, 1, 0, 0}},
                     ShardRing{kShards, 1, 1, 0}, SendConfig{3, true, true, 1'000}, FurtherSendConfig{},
                     ColdStartConfig{}, ServerListConfig{}, ClientConfig{}, {}, HintConfig{}),
              gossip(name, at(number), 1, seed, seed, {}), reader({}), teller({}), hearer({}, name) {}
        const int index;
        const std::string name;
        FrontNode module;
        peers::Gossip gossip;
        fleet::ReportReader reader;
        fleet::ReportPublisher teller;
        fleet::ConsensusTracker hearer;
        fleet::Said others;
        std::vector<Event> events;
        Time timer_due = 0, next_look = 0, last_read = 0;
        std::uint64_t changes = 0;
        Id next_multiget = 1;
        std::map<std::pair<Id, int>, PendingSend> pending_sends;  // by part and send number
        std::map<Id, int> send_counts;                            // sends so far, by part
        std::map<Id, Time> open_multigets;                        // arrival time, by multiget
    };
    static peers::At at(int index) { return {1, static_cast<std::uint16_t>(index + 1)}; }
    static ServerId server(int index) { return {static_cast<std::uint32_t>(index + 1), 1}; }
    static std::string name_of(ServerId id) { return "s-" + std::to_string(id.address - 1); }
    // A quarter of the servers hang: one of the four replicas of each shard.
    static bool is_hang_target(ServerId id) { return (id.address - 1) / kShards == 1; }
    bool hangs(ServerId id) const { return now_ >= kHangStart && now_ < kHangEnd && is_hang_target(id); }
    double draw() { return static_cast<double>(random_() >> 11U) / static_cast<double>(1ULL << 53U); }
    bool misreports(const Node& node) const { return node.index < scenario_.misreporting * scenario_.nodes; }

    void step(Node& node) {
        if (draw() < scenario_.per_node * kTurnInterval / kSecond) arrive(node);
        for (auto it = node.pending_sends.begin(); it != node.pending_sends.end();) {
            auto& [key, send] = *it;
            if (send.hangs && !hangs(send.server) && send.ends > now_ + kTurnInterval)
                send.hangs = false, send.ends = now_ + kTurnInterval;
            if (send.ends > now_) {
                ++it;
                continue;
            }
            const auto outcome = send.hangs ? Outcome::kTimedOut : Outcome::kReturned;
            node.events.emplace_back(
                SendEnded{key.first, key.second, send.server, now_ - send.sent, outcome, {}});
            it = node.pending_sends.erase(it);
        }
        if (scenario_.verdicts && now_ >= node.next_look) exchange_reports(node);
        if (node.events.empty() && now_ < node.timer_due) return;
        const auto events = std::exchange(node.events, {});
        for (const auto& action : node.module.turn(now_, events)) act(node, action);
    }

    void arrive(Node& node) {
        MultigetArrival arrival{node.next_multiget, node.next_multiget, 0, 0, false, now_ + 12'000, {}};
        std::vector<int> shards{0, 1, 2, 3, 4, 5, 6, 7};
        std::shuffle(shards.begin(), shards.end(), random_);
        for (Id i = 0; i < 6; ++i)
            arrival.parts.push_back({node.next_multiget * 8 + i, shards[i], 1.0 / 6, 0, 0});
        node.open_multigets[node.next_multiget++] = now_;
        if (now_ >= kHangStart && now_ < kHangEnd) ++asked_in_hang_;
        node.events.emplace_back(std::move(arrival));
    }

    void act(Node& node, const Action& action) {
        if (const auto* send = std::get_if<Send>(&action)) {
            auto& [sent, to_hang_targets] = sends_[now_ / kTurnInterval];
            ++sent;
            const bool hung = hangs(send->server);
            to_hang_targets += now_ >= kHangStart && is_hang_target(send->server) ? 1 : 0;
            const auto service_time = static_cast<Time>(10 - 20 * std::log(1 - draw()));
            node.pending_sends[{send->part, node.send_counts[send->part]++}] = {
                now_, now_ + (hung ? send->try_for : service_time), send->server, hung};
        } else if (const auto* cancellation = std::get_if<CancelSend>(&action)) {
            const auto pending = node.pending_sends.find({cancellation->part, cancellation->send});
            if (pending == node.pending_sends.end()) return;
            node.events.emplace_back(SendEnded{cancellation->part,
                                               cancellation->send,
                                               pending->second.server,
                                               now_ - pending->second.sent,
                                               Outcome::kCancelled,
                                               {}});
            node.pending_sends.erase(pending);
        } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
            node.timer_due = now_ + timer->after;
        } else if (const auto* answer = std::get_if<Answer>(&action)) {
            const Time arrived = node.open_multigets[answer->multiget];
            if (arrived >= kHangStart && arrived < kHangEnd && now_ - arrived <= 3'000) ++in_time_;
            end(node, answer->multiget);
        } else if (const auto* push = std::get_if<PushBack>(&action)) {
            end(node, push->multiget);
        } else if (const auto* fail = std::get_if<Fail>(&action)) {
            end(node, fail->multiget);
        }
    }
    void end(Node& node, Id multiget) {
        node.open_multigets.erase(multiget);
        for (Id i = 0; i < 6; ++i) node.send_counts.erase(multiget * 8 + i);
    }

    // Same sequence as in service/fleet_side.
    void exchange_reports(Node& node) {
        node.next_look = now_ + kLookInterval;
        const bool changed = std::exchange(node.changes, node.gossip.changes()) != node.gossip.changes();
        if (changed || now_ - node.last_read >= kSecond) {
            node.last_read = now_;
            node.others =
                node.reader.read(now_, node.gossip.facts(now_, fleet::kServersTopic), zones_, node.name);
        }
        for (const auto& [name, report] : node.hearer.hear(now_, node.others)) {
            const auto id = server(std::atoi(name.c_str() + 2));
            node.events.emplace_back(ServerReport{id, report.aside, report.held, report.seen, 0, 0});
        }
        for (const auto& [name, report] : node.hearer.told())
            wrongly_aside_ +=
                report.aside && !hangs(server(std::atoi(name.c_str() + 2))) && now_ < kHangEnd ? 1U : 0U;
        pairs_checked_ += kServers;
        std::vector<fleet::ServerObservation> seen;
        for (const auto& view : node.module.servers())
            seen.push_back({name_of(view.server), view.doubted, view.failed, view.answered, -1, 0});
        if (!misreports(node)) {
            if (const auto reports = node.teller.tell(now_, seen, node.others))
                node.gossip.publish(now_, fleet::kServersTopic, *reports, 15 * kSecond);
        } else if (now_ % (kSecond / 2) < kLookInterval) {
            std::map<std::string, MemberReport> reports;
            for (int s = 0; s < kServers; ++s)
                reports[name_of(server(s))].opinion =
                    hangs(server(s)) ? MemberReport::Opinion::kGood : MemberReport::Opinion::kBad;
            node.gossip.publish(now_, fleet::kServersTopic, fleet::write_reports(reports), 15 * kSecond);
        }
    }

    void deliver() {
        std::vector<std::pair<int, peers::SendGossip>> outgoing;
        for (auto& node : nodes_) {
            if (!scenario_.verdicts || node->gossip.due() > now_) continue;
            for (auto& each : node->gossip.tick(now_)) outgoing.emplace_back(node->index, std::move(each));
        }
        for (auto& [to, talk] : std::exchange(in_flight_, {})) {
            for (auto& each : nodes_[static_cast<std::size_t>(to)]->gossip.take(now_, talk))
                outgoing.emplace_back(to, std::move(each));
        }
        for (auto& [from, send] : outgoing) {
            if (now_ >= kHangStart && now_ < kHangEnd) {
                ++messages_;
                bytes_ += wire_.write(send.talk).size();
            }
            if (draw() >= scenario_.loss) in_flight_.emplace_back(send.to.port - 1, std::move(send.talk));
        }
    }

    const Scenario scenario_;
    std::mt19937_64 random_;
    const peers::Wire wire_;
    Time now_ = kSecond;
    std::map<std::string, int> zones_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<std::pair<int, peers::GossipMessage>> in_flight_;
    std::map<Time, std::pair<double, double>> sends_;  // by turn: all sends, sends to servers that hang
    std::uint64_t asked_in_hang_ = 0, in_time_ = 0, messages_ = 0, bytes_ = 0, wrongly_aside_ = 0,
                  pairs_checked_ = 0;
};

std::string seconds(Time at) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f s", static_cast<double>(at) / kSecond);
    return at < 0 ? "never" : text;
}

void print(const Scenario& scenario) {
    const auto result = Fleet(scenario).run();
    std::printf(
        "| %5d | %5d | %3.0f %% | %3.0f %% | %-7s | %7s | %5.1f %% | %.3f | %7s | %6.0f | %5.1f | %.4f |\n",
        scenario.nodes, scenario.zones, 100 * scenario.loss, 100 * scenario.misreporting,
        scenario.verdicts ? "with" : "without", seconds(result.left_after).c_str(),
        100 * result.share_after_2_s, result.served, seconds(result.back_after).c_str(), result.bytes,
        result.messages, result.wrongly_aside);
    std::fflush(stdout);
}

}  // namespace

int main(int count, char** arguments) {
    std::printf(
        "| nodes | zones | loss | lie | verdicts | left after | from 2 s on | served in time | back after | "
        "bytes | messages | wrongly aside |\n");
    const auto row = [](int nodes, double loss, double misreporting, bool verdicts, int zones = 1) {
        print({nodes, 5, loss, verdicts, misreporting, zones});
    };
    if (count > 1) {
        row(std::atoi(arguments[1]), 0, 0, true, count > 2 ? std::atoi(arguments[2]) : 1);
        return 0;
    }
    for (const int nodes : {10, 30, 100, 300}) {
        row(nodes, 0, 0, false);
        for (const double loss : {0.0, 0.1, 0.3}) row(nodes, loss, 0, true);
        if (nodes >= 30) row(nodes, 0, 0.1, true);
        if (nodes >= 30) row(nodes, 0, 0, true, 3);
    }
}
