// Closed-loop load on the decision module of one newly started front node, with idle servers and clients that
// each wait for an answer before the next request. Counts how the requests end. Runs in simulated time,
// deterministic for a seed.
#pragma once

#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "logic.hpp"

namespace pinedoor::test {

struct ClosedLoop {
    int clients = 64;
    int parts = 4;
    int servers = 4;
    int cores = 16;      // per server
    double part_ms = 1;  // mean work of a part on a core, exponentially distributed
    double min_share = 1;
    Time turn = 10;
    int front_nodes = 1;
    Time retry_delay = 500;  // of a client after a pushback or a failure
    Time warm_up_time = 0;   // not 0: all servers start together, cold, and warm up in this time
    std::uint64_t seed = 1;

    struct Counts {
        std::uint64_t whole = 0, in_part = 0, pushed_back = 0, failed = 0, late = 0;
        std::uint64_t ended() const { return whole + in_part + pushed_back + failed; }
        // Share of the ended requests that were not answered whole and in time.
        double failure_share() const {
            return ended() == 0 ? 1 : 1 - static_cast<double>(whole - late) / static_cast<double>(ended());
        }
    };

    Counts run(Time length) const { return Simulation(*this).run(length); }

private:
    class Simulation {
    public:
        explicit Simulation(const ClosedLoop& config)
            : config_(config), rng_(config.seed), servers_(static_cast<std::size_t>(config.servers)),
              node_(config.seed, NodeConfig{0, config.front_nodes, 0, config.turn}, {type(config)},
                    ShardRing{config.servers, std::min(2, config.servers), 8, 0},
                    SendConfig{3, true, true, 1'000}, FurtherSendConfig{10, 0.2, 100'000},
                    ColdStartConfig{0.25, config.warm_up_time, 3, 10'000}, ServerListConfig{},
                    ClientConfig{true, 10'000, false, 200}, {}, HintConfig{}) {}

        Counts run(Time length) {
            ListUpdate list{ListUpdateKind::kFull, {}};
            for (int i = 0; i < config_.servers; ++i) {
                ListEntry entry{{static_cast<std::uint32_t>(i + 1), 1}, 0, i, ServerState::kReady, 1, 0};
                entry.started = config_.warm_up_time > 0 ? kStart : 0;
                list.entries.push_back(entry);
            }
            post(list);
            for (int i = 0; i < config_.clients; ++i)
                schedule(kStart + static_cast<Time>(rng_() % 100), [this] { send_request(); });
            while (!schedule_.empty() && schedule_.begin()->first < kStart + length) {
                now_ = schedule_.begin()->first;
                const auto callback = std::move(schedule_.begin()->second);
                schedule_.erase(schedule_.begin());
                callback();
            }
            return counts_;
        }

    private:
        static constexpr Time kStart = 1'000'000;
        static constexpr Time kNetworkDelay = 2;
        static OpType type(const ClosedLoop& config) {
            return {1'000, 4'000, RetrySafety::kRetriable, 0, 1, 0, config.min_share, 1, 0.9, 0};
        }
        struct Server {
            int busy = 0;
            std::deque<std::function<void()>> waiting;
        };
        struct Part {
            Id multiget = 0;
            std::vector<std::pair<ServerId, Time>> sends;
        };

        void schedule(Time when, std::function<void()> callback) {
            schedule_.emplace(when, std::move(callback));
        }
        void post(Event event) {
            events_.push_back(std::move(event));
            request_turn(now_);
        }
        // Schedules a turn for `when`, or for the earliest time that the minimum time between turns allows.
        void request_turn(Time when) {
            when = std::max(when, next_turn_);
            if (turn_due_ > 0 && turn_due_ <= when) return;
            turn_due_ = when;
            schedule(when, [this, when] {
                if (turn_due_ == when) turn();
            });
        }
        void turn() {
            turn_due_ = 0;
            next_turn_ = now_ + config_.turn;
            for (const auto& action : node_.turn(now_, std::exchange(events_, {})))
                std::visit([this](const auto& content) { carry_out(content); }, action);
        }

        void send_request() {
            MultigetArrival arrival{++last_id_, last_id_, 0, 0, false, now_ + 4'000, {}};
            started_at_[arrival.id] = now_;
            for (int i = 0; i < config_.parts; ++i) {
                const Id id = ++last_id_;
                parts_[id].multiget = arrival.id;
                arrival.parts.push_back(PartArrival{id, i, 1.0 / static_cast<double>(config_.parts), 0, 0});
            }
            post(std::move(arrival));
        }
        void carry_out(const Send& send) {
            auto& part = parts_[send.part];
            const int send_number = static_cast<int>(part.sends.size());
            part.sends.emplace_back(send.server, now_);
            schedule(now_ + kNetworkDelay,
                     [this, send, send_number] { arrive_at_server(send, send_number); });
        }
        void arrive_at_server(const Send& send, int send_number) {
            auto& server = servers_[send.server.address - 1];
            const auto work = [this, &server, send, send_number] {
                const double ms = -config_.part_ms * std::log1p(-static_cast<double>(rng_()) / 4294967296.0);
                schedule(now_ + std::max<Time>(1, static_cast<Time>(ms * 10)),
                         [this, &server, send, send_number] {
                             schedule(now_ + kNetworkDelay,
                                      [this, send, send_number] { deliver_answer(send, send_number); });
                             if (server.waiting.empty()) {
                                 --server.busy;
                                 return;
                             }
                             const auto next = std::move(server.waiting.front());
                             server.waiting.pop_front();
                             next();
                         });
            };
            if (server.busy < config_.cores) {
                ++server.busy;
                return work();
            }
            server.waiting.push_back(work);
        }
        void deliver_answer(const Send& send, int send_number) {
            const auto part = parts_.find(send.part);
            if (part == parts_.end()) return;
            const auto [server, sent] = part->second.sends[static_cast<std::size_t>(send_number)];
            post(SendEnded{send.part, send_number, server, now_ - sent, Outcome::kReturned, {}});
        }
        // Counts the end of a multiget. Its client sends the next one after `delay`.
        void end(Id multiget, std::uint64_t& counter, Time delay) {
            ++counter;
            if (now_ - started_at_[multiget] > 1'000 && &counter == &counts_.whole) ++counts_.late;
            started_at_.erase(multiget);
            schedule(now_ + delay, [this] { send_request(); });
        }
        void carry_out(const Answer& a) { end(a.multiget, a.whole ? counts_.whole : counts_.in_part, 1); }
        void carry_out(const PushBack& a) { end(a.multiget, counts_.pushed_back, config_.retry_delay); }
        void carry_out(const Fail& a) { end(a.multiget, counts_.failed, config_.retry_delay); }
        void carry_out(const SetTimer& timer) { request_turn(now_ + timer.after); }
        void carry_out(const CancelSend&) {}
        void carry_out(const LogLine&) {}
        void carry_out(const WatchServerList&) {}
        void carry_out(const FetchServerList&) {}
        void carry_out(const Probe&) {}

        const ClosedLoop& config_;
        std::mt19937 rng_;
        std::multimap<Time, std::function<void()>> schedule_;
        Time now_ = kStart, next_turn_ = 0, turn_due_ = 0;
        std::vector<Server> servers_;
        std::vector<Event> events_;
        std::map<Id, Part> parts_;
        std::map<Id, Time> started_at_;
        Id last_id_ = 0;
        Counts counts_;
        FrontNode node_;
    };
};

}  // namespace pinedoor::test
