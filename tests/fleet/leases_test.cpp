// LeaseParticipant for limits that are never exceeded, in simulated time: random message loss, partitions,
// suspensions, crashes and clock drift; every pair of faults on a small instance; and injected defects that
// the checks must find. lease_explore_test.cpp explores all interleavings of a small instance.
#include "fleet/leases.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <memory>
#include <numeric>
#include <random>
#include <set>

namespace {

using namespace pinedoor::fleet;
using pinedoor::peers::Time;

constexpr Time kSecond = 10'000;

// Front nodes with clocks of different rates and a lossy network, in steps of 5 ms of simulated time.
class LeaseSimulation {
public:
    struct Node {
        std::unique_ptr<LeaseParticipant> leases;
        double clock_rate = 1;  // relative to simulated time
        bool up = false, suspended = false;
        std::vector<LeaseMessage> pending;
        Time last_used_at = -1;  // on its own clock, when it last looked up what it may use
    };
    LeaseSimulation(int count, std::uint64_t seed, LeaseConfig terms)
        : terms_(std::move(terms)), random_(seed) {
        for (int i = 0; i < count; ++i) nodes_.emplace_back();
        for (int i = 0; i < count; ++i) {
            nodes_[static_cast<std::size_t>(i)].clock_rate = 1 + terms_.max_drift * random_fraction() * 0.99;
            start(i);
        }
    }
    static std::string name(int which) { return "n" + std::to_string(which); }
    Node& node(int which) { return nodes_[static_cast<std::size_t>(which)]; }
    Time clock(int which) {
        return static_cast<Time>(static_cast<double>(now_) * node(which).clock_rate) + which * 777'777;
    }

    void start(int which) {
        auto& state = node(which);
        state.up = true;
        state.suspended = false;
        state.pending.clear();
        state.leases =
            std::make_unique<LeaseParticipant>("limit", name(which), random_(), terms_, clock(which));
        update_members();
    }
    void kill(int which, bool noticed = true) {
        node(which).up = false;
        if (noticed) update_members();
    }
    void resume(int which) {
        node(which).suspended = false;
        for (auto& each : std::exchange(node(which).pending, {})) deliver(which, each);
    }
    // Gives each node the member list that membership would arrive at: a partitioned node sees its own side
    // only.
    void update_members() {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (!nodes_[i].up) continue;
            std::vector<std::string> seen;
            for (std::size_t j = 0; j < nodes_.size(); ++j) {
                const int a = static_cast<int>(i), b = static_cast<int>(j);
                if (nodes_[j].up && !(is_cut && (is_cut(a, b) || is_cut(b, a)))) seen.push_back(name(b));
            }
            nodes_[i].leases->set_members(seen);
        }
    }

    double loss_rate = 0;
    Time max_delay = 50;
    std::function<bool(int, int)> is_cut;
    double max_in_use = 0;  // maximum of `in_use` over the run
    double in_use = 0;      // sum of what all nodes may use now
    std::uint64_t sent = 0;
    int owners = 0, max_owners = 0;

    void run(Time length) {
        for (const Time until = now_ + length; now_ < until; now_ += 50) {
            for (auto at = queue_.begin(); at != queue_.end() && at->first <= now_; at = queue_.erase(at)) {
                auto& to = node(at->second.first);
                if (!to.up) continue;
                if (to.suspended)
                    to.pending.push_back(at->second.second);
                else
                    deliver(at->second.first, at->second.second);
            }
            for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
                auto& state = node(i);
                if (!state.up || state.suspended || clock(i) < state.leases->due()) continue;
                transmit(i, state.leases->tick(clock(i)));
            }
            in_use = 0;
            owners = 0;
            for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
                if (!node(i).up) continue;
                // A suspended node uses nothing now; what it could use is checked with its clock, as if it
                // resumed at this time.
                in_use += node(i).leases->allowance(clock(i));
                owners += node(i).leases->owns(clock(i)) ? 1 : 0;
            }
            max_in_use = std::max(max_in_use, in_use);
            max_owners = std::max(max_owners, owners);
        }
    }
    Time now() const { return now_; }
    double random_fraction() { return static_cast<double>(random_() % 1'000'000) / 1e6; }
    std::uint64_t random_below(std::uint64_t count) { return random_() % count; }

private:
    void deliver(int which, const LeaseMessage& message) {
        transmit(which, node(which).leases->take(clock(which), message));
    }
    void transmit(int from, std::vector<OutgoingLeaseMessage> messages) {
        for (auto& each : messages) {
            ++sent;
            const int to = std::stoi(each.to.substr(1));
            if ((is_cut && is_cut(from, to)) || random_fraction() < loss_rate) continue;
            for (int copies = random_fraction() < loss_rate / 2 ? 2 : 1; copies > 0; --copies)
                queue_.emplace(
                    now_ + 1 + static_cast<Time>(random_below(static_cast<std::uint64_t>(max_delay))),
                    std::pair(to, each.message));
        }
    }
    const LeaseConfig terms_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::multimap<Time, std::pair<int, LeaseMessage>> queue_;
    Time now_ = kSecond;
};

LeaseConfig terms(int nodes) {
    LeaseConfig settings;
    settings.limit = 1'000;
    settings.node_count = nodes;
    settings.voters = {"n0", "n1", "n2"};
    return settings;
}

TEST_CASE(
    "max_min: no share exceeds its need; capacity is used up if needs suffice; the smallest needs are served "
    "first") {
    CHECK(max_min(10, {2, 8, 10}) == std::vector<double>{2, 4, 4});
    CHECK(max_min(30, {2, 8, 10}) == std::vector<double>{2, 8, 10});
    CHECK(max_min(0, {1}) == std::vector<double>{0});
    CHECK(rc::check("max-min", [] {
        const auto needs = *rc::gen::container<std::vector<double>>(
            rc::gen::map(rc::gen::inRange(0, 100), [](int n) { return n * 1.0; }));
        const double capacity = *rc::gen::inRange(0, 500);
        const auto shares = max_min(capacity, needs);
        double sum = 0, wanted = 0, least_short = 1e9;
        for (std::size_t i = 0; i < needs.size(); ++i) {
            RC_ASSERT(shares[i] <= needs[i]);
            sum += shares[i];
            wanted += needs[i];
            if (shares[i] < needs[i]) least_short = std::min(least_short, shares[i]);
        }
        RC_ASSERT(std::abs(sum - std::min(capacity, wanted)) < 1e-6);
        for (const double each : shares)
            RC_ASSERT(each <= least_short + 1e-6);  // no share exceeds one that is short of its need
    }));
}

TEST_CASE("shares follow needs: the limit is lent by max-min and moves to the node that needs it next") {
    LeaseSimulation sim(10, 1, terms(10));
    for (int i = 0; i < 10; ++i) sim.node(i).leases->need(i == 4 ? 5'000 : 30);
    sim.run(12 * kSecond);  // voters grant no votes for 6 s after a start
    CHECK(sim.node(4).leases->allowance(sim.clock(4)) == doctest::Approx(730).epsilon(0.01));
    CHECK(sim.node(5).leases->allowance(sim.clock(5)) == doctest::Approx(30).epsilon(0.01));
    sim.node(4).leases->need(0);
    sim.node(7).leases->need(5'000);
    sim.run(5 * kSecond);
    CHECK(sim.node(7).leases->allowance(sim.clock(7)) > 700);
    CHECK(sim.max_in_use <= 1'000 + 1e-6);
    CHECK(sim.max_owners == 1);
}

TEST_CASE(
    "owner dies: another lends once votes and leases have expired; a restarted holder starts without its old "
    "share") {
    LeaseSimulation sim(10, 2, terms(10));
    for (int i = 0; i < 10; ++i) sim.node(i).leases->need(200);
    sim.run(12 * kSecond);
    int owner = -1;
    for (int i = 0; i < 10; ++i) owner = sim.node(i).leases->owns(sim.clock(i)) ? i : owner;
    REQUIRE(owner >= 0);
    const double before = sim.in_use;
    CHECK(before > 950);
    sim.kill(owner);
    Time elapsed = 0;
    sim.run(3 * kSecond);
    CHECK(sim.in_use >= 90 - 1e-6);  // the floors of nine nodes
    for (; elapsed < 20 * kSecond && sim.in_use < 950; elapsed += kSecond) sim.run(kSecond);
    CHECK(elapsed <= 7 * kSecond);
    sim.kill(5);
    sim.start(5);
    CHECK(sim.node(5).leases->allowance(sim.clock(5)) == doctest::Approx(10));
    sim.start(owner);
    sim.run(10 * kSecond);
    CHECK(sim.max_in_use <= 1'000 + 1e-6);
}

// Membership takes ten seconds or more to detect a death, so replacing the owner must not depend on it.
TEST_CASE("an owner whose death is not noticed by membership is replaced when its votes expire") {
    LeaseSimulation sim(10, 4, terms(10));
    for (int i = 0; i < 10; ++i) sim.node(i).leases->need(200);
    sim.run(14 * kSecond);
    int owner = -1;
    for (int i = 0; i < 10; ++i) owner = sim.node(i).leases->owns(sim.clock(i)) ? i : owner;
    REQUIRE(owner >= 0);
    sim.kill(owner, false);
    Time elapsed = 0;
    do sim.run(kSecond), elapsed += kSecond;
    while (elapsed < 30 * kSecond && sim.in_use < 950);
    MESSAGE("share granted again after " << elapsed / kSecond << " s");
    CHECK(elapsed <= 12 * kSecond);
    CHECK(sim.max_in_use <= 1'000 + 1e-6);
}

TEST_CASE(
    "limit is never exceeded under partitions, one-way cuts, suspensions, kills, losses and clock drift") {
    std::uint64_t ownerships = 0;
    double worst = 0, mean = 0;
    int runs = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        auto settings = terms(8);
        settings.max_drift = 0.02;
        settings.voters = seed % 2 == 0 ? std::vector<std::string>{"n0", "n1", "n2"}
                                        : std::vector<std::string>{"n0", "n1", "n2", "n3", "n4"};
        LeaseSimulation sim(8, seed, settings);
        sim.loss_rate = seed % 3 == 0 ? 0.3 : 0.05;
        sim.max_delay = seed % 4 == 0 ? 9'000 : 100;
        for (int step = 0; step < 40; ++step) {
            const int which = static_cast<int>(sim.random_below(8)),
                      other = static_cast<int>(sim.random_below(8));
            auto& state = sim.node(which);
            switch (sim.random_below(8)) {
                case 0: sim.kill(which); break;
                case 1:
                case 2:
                    if (!state.up) sim.start(which);
                    break;
                case 3:
                    if (state.up) state.suspended = true;
                    break;
                case 4:
                    if (state.up && state.suspended) sim.resume(which);
                    break;
                case 5: sim.is_cut = [which](int a, int b) { return (a <= which) != (b <= which); }; break;
                case 6: sim.is_cut = [which, other](int a, int b) { return a == which && b != other; }; break;
                default: sim.is_cut = nullptr; break;
            }
            sim.update_members();
            for (int i = 0; i < 8; ++i)
                if (sim.node(i).up) sim.node(i).leases->need(static_cast<double>(sim.random_below(400)));
            sim.run(static_cast<Time>(sim.random_below(3 * kSecond)));
            mean += sim.in_use;
            ++runs;
        }
        for (int i = 0; i < 8; ++i)
            ownerships += sim.node(i).leases ? sim.node(i).leases->counts().ownership_gained : 0;
        CHECK(sim.max_in_use <= 1'000 + 1e-6);
        CHECK(sim.max_owners <= 1);
        worst = std::max(worst, sim.max_in_use);
    }
    MESSAGE("worst " << worst << " of 1,000 in use, mean " << mean / runs << ", owners elected "
                     << ownerships);
    CHECK(worst > 900);  // nearly all of the limit was lent
    CHECK(ownerships > 60);
}

// Guards against two different replies to a duplicated request: the holder used the first one while the owner
// counted the second, smaller one.
TEST_CASE("a duplicated request gets the same reply") {
    auto settings = terms(2);
    settings.voters = {"n0"};
    LeaseParticipant owner("limit", "n0", 1, settings, 0);
    owner.set_members({"n0", "n1"});
    Time now = 10 * kSecond;
    owner.tick(now);
    REQUIRE(owner.owns(now));
    const auto ask = [&](std::uint64_t number, double needs) {
        LeaseMessage message;
        message.kind = LeaseMessage::Kind::kShareRequest;
        message.limit = "limit";
        message.from = "n1";
        message.incarnation = 5;
        message.request_number = number;
        message.amount = needs;
        return owner.take(now, message).at(0).message;
    };
    const auto first = ask(1, 800);
    CHECK(first.amount == 800);
    now += 100;
    const auto second = ask(1, 100);
    CHECK(second.amount == first.amount);
    CHECK(second.duration == first.duration);
    CHECK(owner.lent(now) == 800);
    ask(2, 100);
    CHECK(owner.lent(now) == 800);  // n1 may not have received the new lease
}

// Shows that the checks can fail: each rule that prevents an excess is broken once.
TEST_CASE(
    "injected defects are found: clock drift beyond the configured bound; a voter that forgets its vote") {
    bool over = false;
    for (std::uint64_t seed = 1; seed <= 20 && !over; ++seed) {
        LeaseSimulation sim(8, seed, terms(8));
        sim.node(6).clock_rate = 0.5;  // measures half of the time that passes
        sim.start(6);
        for (int i = 0; i < 8; ++i) sim.node(i).leases->need(400);
        sim.run(12 * kSecond);
        sim.is_cut = [](int a, int b) { return a == 6 || b == 6; };
        sim.update_members();
        sim.run(10 * kSecond);
        over = sim.max_in_use > 1'000 + 1e-6 || sim.max_owners > 1;
    }
    CHECK(over);
    over = false;
    for (std::uint64_t seed = 1; seed <= 20 && !over; ++seed) {
        auto settings = terms(8);
        settings.vote_duration = 60'000;
        LeaseSimulation sim(8, seed, settings);
        for (int i = 0; i < 8; ++i) sim.node(i).leases->need(400);
        sim.run(12 * kSecond);
        int owner = 0;
        for (int i = 0; i < 3; ++i) owner = sim.node(i).leases->owns(sim.clock(i)) ? i : owner;
        sim.is_cut = [owner](int a, int b) { return (a == owner || a > 4) != (b == owner || b > 4); };
        for (int i = 0; i < 3; ++i) {
            if (i == owner) continue;
            sim.kill(i);
            // Started long ago as far as it knows, so it may vote at once.
            sim.node(i).up = true;
            sim.node(i).leases = std::make_unique<LeaseParticipant>("limit", LeaseSimulation::name(i),
                                                                    99 + static_cast<std::uint64_t>(i),
                                                                    settings, sim.clock(i) - 100 * kSecond);
        }
        sim.update_members();
        for (int i = 0; i < 8; ++i) sim.node(i).leases->need(400);
        sim.run(5 * kSecond);
        over = sim.max_in_use > 1'000 + 1e-6 || sim.max_owners > 1;
    }
    CHECK(over);
}

// One fault on one node during [from, until), in simulated time since the start of the run.
struct Fault {
    int kind = 0, node = 0;
    Time from = 0, until = 0;
};
enum : int { kIsolated, kSendBlocked, kReceiveBlocked, kSuspended, kCrash, kDelayed, kFaultKinds };

// Runs two faults on three nodes that act as voters, holders, owner and successor. Returns the largest amount
// in use at one time, or 1e9 if there were two owners at a time.
double max_in_use_under(const Fault& first, const Fault& second, double max_drift) {
    LeaseConfig settings;
    settings.limit = 300;
    settings.node_count = 3;
    settings.voters = {"n0", "n1", "n2"};
    settings.vote_duration = 3'000;
    settings.lease_duration = 1'500;
    settings.renew_interval = 500;
    settings.max_drift = max_drift;
    LeaseSimulation sim(3, 1, settings);
    sim.max_delay = 1;
    for (int i = 0; i < 3; ++i) {
        sim.node(i).clock_rate = 1;
        sim.start(i);
        sim.node(i).leases->need(i == 0 ? 100 : 200);
    }
    sim.run(4'500);  // until there is an owner
    std::set<Time> change_times;
    for (const auto& each : {first, second}) change_times.insert(each.from), change_times.insert(each.until);
    const Time begin = sim.now();
    for (const Time at : change_times) {
        sim.run(begin + at - sim.now());
        std::vector<Fault> active;
        for (const auto& each : {first, second}) {
            if (each.kind == kSuspended && each.from == at) sim.node(each.node).suspended = true;
            if (each.kind == kSuspended && each.until == at && sim.node(each.node).suspended)
                sim.resume(each.node);
            if (each.kind == kCrash && each.from == at) sim.kill(each.node);
            if (each.kind == kCrash && each.until == at) sim.start(each.node);
            if (each.from <= at && at < each.until) active.push_back(each);
        }
        sim.max_delay =
            std::any_of(active.begin(), active.end(), [](const auto& each) { return each.kind == kDelayed; })
                ? 1'200
                : 1;
        sim.is_cut = [active](int from, int to) {
            return std::any_of(active.begin(), active.end(), [&](const auto& each) {
                if (each.kind == kIsolated) return from == each.node || to == each.node;
                return (each.kind == kSendBlocked && from == each.node) ||
                       (each.kind == kReceiveBlocked && to == each.node);
            });
        };
        for (int i = 0; i < 3; ++i)  // needs change, so that shares move
            if (sim.node(i).up) sim.node(i).leases->need(at % 1'500 == 0 ? 250 : 50 + 75.0 * i);
        sim.update_members();
    }
    sim.run(5'000);
    return sim.max_owners > 1 ? 1e9 : sim.max_in_use;
}

TEST_CASE(
    "limit is never exceeded for every pair of faults on a grid with three nodes; a halved grantor wait is "
    "found") {
    std::vector<Fault> faults;
    for (int kind = 0; kind < kFaultKinds; ++kind) {
        for (int node = 0; node < (kind == kDelayed ? 1 : 3); ++node) {
            for (Time from = 0; from < 4'500; from += 750) {
                for (const Time length : {1'000, 4'000}) faults.push_back({kind, node, from, from + length});
            }
        }
    }
    std::size_t runs = 0, over = 0;
    double max_in_use = 0;
#ifdef __SANITIZE_ADDRESS__
    constexpr std::size_t kStride = 11;  // runs are about fifteen times slower; other builds cover all pairs
#else
    constexpr std::size_t kStride = 1;
#endif
    for (std::size_t i = 0; i < faults.size(); ++i) {
        for (std::size_t j = i; j < faults.size(); j += kStride, ++runs) {
            const double worst = max_in_use_under(faults[i], faults[j], 0.01);
            max_in_use = std::max(max_in_use, worst);
            over += worst > 300 + 1e-6 ? 1U : 0U;
        }
    }
    MESSAGE(runs << " pairs of faults; at most " << max_in_use << " of 300 in use");
    CHECK(over == 0);
    CHECK(max_in_use > 250);
    // Injected defect: the grantor counts a grant for half of its duration only.
    std::size_t found = 0;
    for (std::size_t i = 0; i < faults.size(); i += 3) {
        for (std::size_t j = i; j < faults.size(); j += 7)
            found += max_in_use_under(faults[i], faults[j], -0.25) > 300 + 1e-6 ? 1U : 0U;
    }
    MESSAGE("halved grantor wait found by " << found << " pairs");
    CHECK(found > 0);
}

}  // namespace
