// Runs a scripted sequence of events against one front node in simulated time, and records its actions, one
// line each.
#pragma once

#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "logic.hpp"

namespace pinedoor::test {

// Four index servers A to D on a ring of four positions. A shard is held by the servers at its own position
// and the next one.
class Script {
public:
    OpType partial_op{10'000, 20'000, RetrySafety::kRetriable, 0, 5, 0, 0.6, 1, 0.9, 0};
    OpType whole_op{10'000, 20'000, RetrySafety::kRetriable, 0, 1, 0, 1, 1, 0.9, 0};
    OpType once{10'000, 20'000, RetrySafety::kNonRetriable, 0, 1, 0.3, 1, 1, 0.9, 0};  // non-retriable
    OpType deduped_op{10'000, 20'000, RetrySafety::kDeduped, 4'000, 1, 0, 1, 1, 0.9, 0};
    ShardRing ring{4, 2, 1, 0};
    SendConfig sends{3, true, true, 2'500};
    FurtherSendConfig further;
    ColdStartConfig cold_start{0.2, 100'000, 3, 10'000};
    ServerListConfig list_config;
    int front_nodes = 2;
    ClientConfig clients{true, 5'000, false, 200};

    // Updates the server list. "A0 B1d C2g D3@400": server and position; d: draining, g: removed, @: started
    // at that millisecond.
    Script& list(const std::string& text, ListUpdateKind kind = ListUpdateKind::kFull) {
        ListUpdate update{kind, {}};
        std::istringstream in(text);
        for (std::string item; in >> item;) {
            ListEntry entry;
            entry.server = {static_cast<std::uint32_t>(item.at(0)), 1};
            entry.place = item.at(1) - '0';
            const bool draining = item.find('d') != std::string::npos;
            const bool removed = item.find('g') != std::string::npos;
            entry.state = removed    ? ServerState::kGone
                          : draining ? ServerState::kDraining
                                     : ServerState::kReady;
            const auto started = item.find('@');
            if (started != std::string::npos) entry.started = std::stoi(item.substr(started + 1)) * 10;
            update.entries.push_back(entry);
        }
        return play({update});
    }

    // A multiget arrives with one part for each weight, at successive shards. The ids of the parts count up
    // from 100 times the id of the multiget.
    Script& arrive(Id id, int op_type, const std::vector<double>& weights, int shard = 0,
                   Time client_ms = 2'000, std::uint64_t key = 0) {
        MultigetArrival arrival{id, id, op_type, 0, false, now_ + client_ms * 10, {}};
        for (std::size_t i = 0; i < weights.size(); ++i) {
            const int part_shard = (shard + static_cast<int>(i)) % ring.places;
            arrival.parts.push_back(
                {id * 100 + static_cast<Id>(i), part_shard, weights[i], key == 0 ? 0 : key + i, 0});
        }
        return play({arrival});
    }

    // Ends the latest send of each part.
    Script& end(const std::vector<Id>& parts, Outcome outcome = Outcome::kReturned) {
        std::vector<Event> events;
        for (const Id part : parts) {
            auto& send = sends_.at(part).back();
            const int send_number = static_cast<int>(sends_.at(part).size()) - 1;
            events.emplace_back(SendEnded{part, send_number, send.first, now_ - send.second, outcome, {}});
        }
        return play(events);
    }

    // Runs one turn with the events.
    Script& play(const std::vector<Event>& events) {
        if (!node_) start();
        for (const auto& action : node_->turn(now_, events)) {
            std::visit([&](const auto& content) { print(content); }, action);
        }
        return *this;
    }

    // Advances the clock by `ms` milliseconds, with a turn every 5 ms.
    Script& pass(Time ms) {
        const Time until = now_ + ms * 10;
        for (; now_ < until;) {
            now_ += 50;
            play({TimerFired{}});
        }
        return *this;
    }

    // Clears the recorded lines.
    Script& quietly() {
        trace_.str("");
        return *this;
    }

    // The recorded lines, "<ms> <action>", after an initial newline.
    std::string trace() const { return std::string(1, '\n').append(trace_.str()); }

private:
    void start() {
        node_ = std::make_unique<FrontNode>(
            7, NodeConfig{0, front_nodes, 0, 50}, std::vector<OpType>{partial_op, whole_op, once, deduped_op},
            ring, sends, further, cold_start, list_config, clients, std::vector<TenantQuota>{}, HintConfig{});
    }

    std::ostream& line() { return trace_ << now_ / 10 << ' '; }
    static char name(ServerId id) { return static_cast<char>(id.address); }

    void print(const Send& a) {
        sends_[a.part].emplace_back(a.server, now_);
        line() << "send " << a.part << " to " << name(a.server) << '\n';
    }
    void print(const CancelSend& a) { line() << "cancel " << a.part << " send " << a.send << '\n'; }
    void print(const Answer& a) {
        line() << "answer " << a.multiget << (a.whole ? " whole\n" : " in part\n");
    }
    void print(const PushBack& a) { line() << "push back " << a.multiget << " for " << a.wait / 10 << '\n'; }
    void print(const Fail& a) { line() << "fail " << a.multiget << '\n'; }
    void print(const LogLine& a) { line() << "log " << a.text << '\n'; }
    void print(const WatchServerList&) { line() << "watch the list\n"; }
    void print(const FetchServerList&) { line() << "fetch the list\n"; }
    void print(const Probe& a) { line() << "probe " << name(a.server) << '\n'; }
    void print(const SetTimer&) {}

    Time now_ = 0;
    std::unique_ptr<FrontNode> node_;
    std::ostringstream trace_;
    std::map<Id, std::vector<std::pair<ServerId, Time>>> sends_;  // of each part: server and time
};

}  // namespace pinedoor::test
