// Simulates many members and the network between them in simulated time, with message loss, delays,
// partitions, killed and suspended members. Only Membership itself runs, so a thousand members are cheap.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peers/decide.hpp"

namespace pinedoor::test {

using namespace peers;

class SimulatedPeers {
public:
    struct Node {
        std::unique_ptr<Membership> membership;
        bool up = false, suspended = false;
        std::vector<std::function<void()>> unread;  // messages that arrived during a suspension
        std::uint64_t starts = 0;                   // identifies the process instance
        std::uint64_t sent = 0, bytes = 0;
        Time scheduled_tick = -1;
        std::map<std::string, bool> reported_members;  // whether a member, as of the last MembershipChange
        int conflicts = 0;
    };

    SimulatedPeers(int count, std::uint64_t seed, MembershipConfig settings = {},
                   std::vector<int> seeds = {0})
        : settings_(settings), rng_(seed), nodes_(static_cast<std::size_t>(count)) {
        for (const int each : seeds) seeds_.push_back(address(each));
    }

    double loss = 0;
    Time min_delay = 2, max_delay = 10;
    std::function<bool(int from, int to)> cut;  // true: the link is down

    static At address(int node) { return {0x7f000001, static_cast<std::uint16_t>(1'000 + node)}; }
    static std::string name(int node) { return "n" + std::to_string(node); }
    Node& node(int index) { return nodes_[static_cast<std::size_t>(index)]; }
    Time now() const { return now_; }

    void start(int index, const std::string& name_as = "", std::uint64_t wall_clock_ms = 0) {
        auto& self = node(index);
        self.up = true;
        self.suspended = false;
        self.reported_members.clear();
        const auto incarnation =
            wall_clock_ms != 0 ? wall_clock_ms : 1'000'000 + static_cast<std::uint64_t>(now_ / 10);
        self.membership =
            std::make_unique<Membership>(name_as.empty() ? name(index) : name_as, address(index), index % 3,
                                         incarnation, rng_(), settings_, seeds_);
        ++self.starts;
        tick(index, self.starts);
    }
    void start_all() {
        for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) start(i);
    }
    void kill(int index) {
        node(index).up = false;
        node(index).unread.clear();
    }
    void stop(int index) { node(index).suspended = true; }
    void wake(int index) {
        auto& self = node(index);
        self.suspended = false;
        const auto unread = std::exchange(self.unread, {});
        tick(index, self.starts);  // timers before the pending messages, the harder order
        for (const auto& each : unread) each();
    }
    void leave(int index) { execute_all(index, node(index).membership->leave(now_)); }

    void run(Time length) {
        const Time until = now_ + length;
        while (!queue_.empty() && queue_.begin()->first <= until) {
            now_ = queue_.begin()->first;
            const auto task = std::move(queue_.begin()->second);
            queue_.erase(queue_.begin());
            task();
        }
        now_ = until;
    }
    bool run_until(Time limit, const std::function<bool()>& condition) {
        for (const Time until = now_ + limit; now_ < until; run(1'000)) {
            if (condition()) return true;
        }
        return condition();
    }

    // Number of running members that see `name` as a member.
    int count_seeing_member(const std::string& name) {
        int count = 0;
        for (auto& each : nodes_) {
            if (!each.up) continue;
            // Cheaper than members(), as this is called for thousands of members.
            count += each.membership->address_of(name).has_value() ? 1 : 0;
        }
        return count;
    }
    bool all_know(std::size_t members) {
        return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& each) {
            return !each.up || each.membership->member_count() == members;
        });
    }
    MembershipCounts total_counts() const {
        MembershipCounts all;
        for (const auto& each : nodes_) {
            if (!each.membership) continue;
            const auto& counts = each.membership->counts();
            all.probes += counts.probes;
            all.suspected += counts.suspected;
            all.declared_dead += counts.declared_dead;
            all.suspensions += counts.suspensions;
            all.refuted += counts.refuted;
        }
        return all;
    }
    // Running and reachable members that were reported as dead, counted once per reporting node.
    std::uint64_t false_deaths = 0;
    std::size_t largest_message = 0;  // approximate encoded size in bytes

private:
    void schedule(Time when, std::function<void()> task) { queue_.emplace(when, std::move(task)); }

    void tick(int index, std::uint64_t start) {
        auto& self = node(index);
        if (!self.up || self.suspended || self.starts != start) return;
        execute_all(index, self.membership->tick(now_));
    }
    void schedule_tick(int index) {
        auto& self = node(index);
        const Time due = std::max(now_ + 1, self.membership->due());
        if (self.scheduled_tick == due) return;
        self.scheduled_tick = due;
        schedule(due, [this, index, start = self.starts, due] {
            if (node(index).scheduled_tick == due) node(index).scheduled_tick = -1;
            if (node(index).membership->due() <= now_)
                tick(index, start);
            else
                schedule_tick(index);
        });
    }
    static std::size_t size(const Message& message) {
        std::size_t bytes = 40 + message.from.size() + message.target.size();
        for (const auto& record : message.records)
            bytes += 48 + record.name.size() + record.reported_by.size();
        return bytes;
    }
    int node_at(At address) const { return address.port - 1'000; }
    Time delay() {
        return min_delay + static_cast<Time>(rng_() % static_cast<std::uint64_t>(max_delay - min_delay + 1));
    }
    bool is_connected(int from, int to) { return !(cut && cut(from, to)); }
    void deliver(int to, std::function<void()> task) {
        auto& receiver = node(to);
        if (!receiver.up) return;
        if (receiver.suspended) {
            if (receiver.unread.size() < 200)
                receiver.unread.push_back(std::move(task));  // limit of the socket buffer
            return;
        }
        task();
    }

    void execute_all(int index, std::vector<Action> actions) {
        for (auto& action : actions) std::visit([&](auto& each) { execute(index, each); }, action);
        schedule_tick(index);
    }
    void execute(int index, SendMessage& action) {
        const int to = node_at(action.to);
        auto& self = node(index);
        ++self.sent;
        const auto bytes = size(action.message);
        self.bytes += bytes;
        largest_message = std::max(largest_message, bytes);
        if (to < 0 || to >= static_cast<int>(nodes_.size()) || !is_connected(index, to)) return;
        if (loss > 0 && static_cast<double>(rng_()) / 4294967296.0 < loss) return;
        schedule(now_ + delay(), [this, to, message = std::move(action.message)] {
            deliver(to,
                    [this, to, message] { execute_all(to, node(to).membership->receive(now_, message)); });
        });
    }
    void execute(int index, StateSync& action) {  // over a stream: only a partition loses it
        const int to = node_at(action.peer);
        if (to < 0 || to >= static_cast<int>(nodes_.size()) || !is_connected(index, to) ||
            !is_connected(to, index))
            return;
        auto own_state = node(index).membership->all_records();
        node(index).bytes += own_state.size() * 60;
        schedule(now_ + 2 * delay(),
                 [this, index, to, own_state = std::move(own_state), start = node(index).starts] {
                     auto& other = node(to);
                     if (!other.up && node(index).up && !node(index).suspended &&
                         node(index).starts == start)  // connection refused
                         execute_all(index, node(index).membership->sync_refused(now_));
                     if (!other.up || other.suspended) return;
                     auto other_state = other.membership->all_records();
                     other.bytes += other_state.size() * 60;
                     execute_all(to, other.membership->receive_state(now_, own_state));
                     schedule(now_ + 2 * delay(), [this, index, other_state = std::move(other_state), start] {
                         auto& self = node(index);
                         if (self.up && !self.suspended && self.starts == start)
                             execute_all(index, self.membership->receive_state(now_, other_state));
                     });
                 });
    }
    void execute(int index, MembershipChange& change) {
        node(index).reported_members[change.record.name] = change.is_member;
        const int subject = node_at(change.record.at);
        if (!change.is_member && change.record.state == MemberState::kDead && node(subject).up &&
            !node(subject).suspended && is_connected(index, subject) && is_connected(subject, index))
            ++false_deaths;
    }
    void execute(int index, NameConflict&) { ++node(index).conflicts; }

    const MembershipConfig settings_;
    std::mt19937 rng_;
    std::vector<Node> nodes_;
    std::vector<At> seeds_;
    std::multimap<Time, std::function<void()>> queue_;
    Time now_ = 10'000;
};

}  // namespace pinedoor::test
