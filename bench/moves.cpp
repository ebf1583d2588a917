// Benchmarks of moves over loopback: front nodes under load while shards continuously move, split and merge,
// compared with the same fleet without moves; the time from a map step until the last node has it; and the
// time to drain an index server whose copies have a fixed duration. Prints the tables of docs/placement.md.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <random>

#include "stand_ins/boxes.hpp"
#include "store/sqlite_db.hpp"
#include "tool/shard_carrier.hpp"

namespace {

using namespace pinedoor::test;
using namespace pinedoor::placement;
using pinedoor::tool::MoveExecutor;
using pinedoor::tool::MoveExecutorConfig;
namespace store = pinedoor::store;
using Clock = std::chrono::steady_clock;

constexpr int kSplits = 12;
constexpr int kClients = 8;
constexpr int kPerSecond = 50;  // requests per second of each client
constexpr auto kInTime = std::chrono::milliseconds(50);

double ms(Clock::duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

struct Fleet {
    Fleet(std::size_t nodes, std::size_t count, std::size_t shards) : boxes(count) {
        std::vector<ServerNumber> ids;
        for (std::size_t b = 1; b <= count; ++b) ids.push_back(*names.number("s-" + std::to_string(b)));
        const auto map = ShardMap::even(shards, ids, 2);
        boxes.use_map(map);
        discovery.list(boxes.listed());
        discovery.set_map(map, names);
        for (std::size_t n = 0; n < nodes; ++n) {
            programs.push_back(std::make_unique<FrontNodeProcess>(boxes.listed(), discovery.at()));
            programs.back()->with("\"max_open\":40", "\"max_open\":2000");
            programs.back()->with_settings(
                "[placement]\non = true\nask_again_ms = 5\nmost_legs = 20\n[placement.merge]\nagain = "
                "\"sum\"\nonce "
                "= \"sum\"\n");
            programs.back()->start().client();
        }
        for (auto& program : programs) program->wait_for_counter("map_version", 1);
        folder = scratch() + "/pinedoor-moves-XXXXXX";
        folder = mkdtemp(folder.data());
        db = std::make_unique<store::SqliteDb>(folder + "/journal.db", "", 1'000);
        terms.discovery = discovery.at();
        terms.who = "bench";
        terms.desk.at_once = 4;
    }
    ~Fleet() { std::filesystem::remove_all(folder); }

    void execute(std::vector<store::JournalMove> moves) {
        store::MoveJournal journal(*db);
        journal.init();
        if (!moves.empty()) journal.add(std::move(moves));
        MoveExecutor(*db, terms, [](const std::string&) {}).run();
    }

    ServerNames names;
    TestServers boxes;
    MapDiscovery discovery;
    std::vector<std::unique_ptr<FrontNodeProcess>> programs;
    std::string folder;
    std::unique_ptr<store::SqliteDb> db;
    MoveExecutorConfig terms;
};

struct Served {
    std::size_t asked = 0, in_time = 0, late = 0, refused = 0, wrong = 0;
    std::vector<double> latency;
};

// Open loop: latency is measured from the time at which the request was due.
Served serve(Fleet& fleet, int seconds, const std::string& prefix) {
    std::vector<Served> each(kClients);
    std::vector<std::thread> threads;
    for (int t = 0; t < kClients; ++t) {
        threads.emplace_back([&, t] {
            auto& seen = each[static_cast<std::size_t>(t)];
            auto client = fleet.programs[static_cast<std::size_t>(t) % fleet.programs.size()]->client();
            const auto begin = Clock::now();
            for (int i = 0; i < seconds * kPerSecond; ++i) {
                const auto due = begin + std::chrono::microseconds(i * 1'000'000LL / kPerSecond);
                std::this_thread::sleep_until(due);
                const bool once = i % 4 == 0;
                std::vector<int> splits{(i + t) % kSplits};
                if (!once) splits = {i % kSplits, (i + 4) % kSplits, (i + 7) % kSplits};
                std::sort(splits.begin(), splits.end());
                client.say(post(once ? "once" : "again", prefix + std::to_string(t) + "x" + std::to_string(i),
                                asks(splits, once ? "once" : "sum")));
                const auto answer = client.answer();
                const auto latency = Clock::now() - due;
                ++seen.asked;
                seen.latency.push_back(ms(latency));
                if (answer == whole_answer(splits))
                    ++(latency <= kInTime ? seen.in_time : seen.late);
                else if (answer.starts_with("200") && answer.find("\"whole\":true") != std::string::npos)
                    ++seen.wrong;
                else
                    ++seen.refused;
            }
        });
    }
    for (auto& thread : threads) thread.join();
    Served all;
    for (auto& one : each) {
        all.asked += one.asked;
        all.in_time += one.in_time;
        all.late += one.late;
        all.refused += one.refused;
        all.wrong += one.wrong;
        all.latency.insert(all.latency.end(), one.latency.begin(), one.latency.end());
    }
    std::sort(all.latency.begin(), all.latency.end());
    return all;
}

double at(const std::vector<double>& sorted, double share) {
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

// A random move that the map allows.
std::vector<store::JournalMove> some_moves(const ShardMap& map, const ServerNames& names,
                                           std::mt19937_64& chance, ShardId& next, std::size_t boxes) {
    const auto all = map.shards();
    const auto which = chance() % all.size();
    const auto& one = all[which];
    store::JournalMove made;
    made.move.shard = one.id;
    made.move.from = one.owner();
    ServerNumber reader = 0;
    for (const auto& each : one.replicas) reader = each.role == Role::kReader ? each.box : reader;
    const auto other = static_cast<ServerNumber>(chance() % boxes + 1);
    const bool held = is_on(one.replicas, other);
    made.move.kind = MoveKind::kPass;
    made.move.to = reader;
    if (chance() % 3 == 0 && all.size() < 16) {
        made.move.kind = MoveKind::kSplit;
        made.move.to = 0;
        made.move.cut = {one.first + 1 + chance() % (one.last - one.first), 0, next + 1, next + 2};
        next += 2;
    } else if (chance() % 3 == 0 && which + 1 < all.size() &&
               !std::holds_alternative<ShardMap::Refused>(
                   map.after(Merge{one.id, all[which + 1].id, next + 1}))) {
        // Both shards have the same replicas with the same roles, so `from` is the owner of either.
        made.move.kind = MoveKind::kMerge;
        made.move.to = 0;
        made.move.cut = {0, all[which + 1].id, next + 1, 0};
        next += 1;
    } else if (!held) {
        made.move.kind = MoveKind::kOwner;
        made.move.to = other;
    }
    made.from = names.name(made.move.from);
    made.to = made.move.to == 0 ? "" : names.name(made.move.to);
    return {made};
}

void service_during_moves() {
    std::printf(
        "service over 4 s rounds, %d clients at %d a second each, 4 nodes, 4 boxes; in time: %lld ms\n",
        kClients, kPerSecond, static_cast<long long>(kInTime.count()));
    std::printf("  %-8s %7s %8s %6s %8s %6s %8s %8s %7s\n", "", "asked", "in time", "late", "refused",
                "wrong", "p50 ms", "p99 ms", "moves");
    Fleet fleet(4, 4, 6);
    serve(fleet, 2, "w");
    std::mt19937_64 chance(3);
    ShardId next = 1'000;
    double still = 0, moving = 0;
    for (int round = 0; round < 6; ++round) {
        const bool moves = round % 2 == 1;
        std::atomic<bool> done = false;
        std::size_t executed = 0;
        std::thread mover;
        if (moves) {
            mover = std::thread([&] {
                while (!done) {
                    fleet.execute(some_moves(fleet.discovery.current_map(), fleet.names, chance, next, 4));
                    ++executed;
                    usleep(20'000);
                }
            });
        }
        const auto seen = serve(fleet, 4, "r" + std::to_string(round) + "c");
        done = true;
        if (moves) mover.join();
        (moves ? moving : still) += static_cast<double>(seen.in_time) / static_cast<double>(seen.asked) / 3;
        std::printf("  %-8s %7zu %8zu %6zu %8zu %6zu %8.2f %8.2f %7zu\n", moves ? "moving" : "still",
                    seen.asked, seen.in_time, seen.late, seen.refused, seen.wrong, at(seen.latency, 0.5),
                    at(seen.latency, 0.99), executed);
        std::fflush(stdout);
    }
    std::printf("  moving against still %.4f; run twice %zu\n", moving / still,
                fleet.boxes.count_repeated_runs("once"));
}

void map_propagation() {
    Fleet fleet(20, 3, 4);
    std::vector<double> latency;
    for (int i = 0; i < 20; ++i) {
        const auto map = fleet.discovery.current_map();
        const auto one = map.shards()[0];
        ServerNumber reader = 0;
        for (const auto& each : one.replicas) reader = each.role == Role::kReader ? each.box : reader;
        const auto began = Clock::now();
        pinedoor::tool::send_http_request(
            fleet.discovery.at(), "POST", "/discovery/shards",
            print_changes(map.version(), {PassOwnership{one.id, reader}}, fleet.names), 1'000);
        for (auto& program : fleet.programs) {
            while (program->counter("map_version") != map.version() + 1) usleep(200);
        }
        latency.push_back(ms(Clock::now() - began));
    }
    std::sort(latency.begin(), latency.end());
    std::printf(
        "from a step in the map to the last of 20 nodes that knows it: median %.1f ms, most %.1f ms\n",
        at(latency, 0.5), latency.back());
}

void drain_server() {
    std::printf("a box of 8 shards emptied, each copy taking 500 ms\n");
    for (const std::size_t at_once : {1U, 2U, 4U}) {
        Fleet fleet(1, 5, 20);
        fleet.boxes.set_copy_duration(500);
        fleet.terms.desk.at_once = fleet.terms.desk.at_once_box = at_once;
        std::vector<store::JournalMove> moves;
        const auto map = fleet.discovery.current_map();
        for (const auto& shard : map.shards()) {
            const auto held = is_on(shard.replicas, 1);
            if (!held) continue;
            ServerNumber to = 2;
            while (is_on(shard.replicas, to)) ++to;
            store::JournalMove made;
            made.move = {0,
                         shard.id,
                         1,
                         to,
                         shard.epoch,
                         MoveStep::kPrepare,
                         shard.owner() == 1 ? MoveKind::kOwner : MoveKind::kReader,
                         {}};
            made.from = fleet.names.name(1);
            made.to = fleet.names.name(to);
            moves.push_back(std::move(made));
        }
        const auto count = moves.size();
        const auto began = Clock::now();
        fleet.execute(std::move(moves));
        const double seconds = ms(Clock::now() - began) / 1'000;
        const double ideal = 0.5 * static_cast<double>((count + at_once - 1) / at_once);
        std::printf("  %zu at once: %zu moves in %.2f s; the copies alone %.2f s, ratio %.2f\n", at_once,
                    count, seconds, ideal, seconds / ideal);
        std::fflush(stdout);
    }
}

}  // namespace

int main(int count, char** arguments) {
    const std::string only = count > 1 ? arguments[1] : "";
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    if (only.empty() || only == "service") service_during_moves();
    if (only.empty() || only == "news") map_propagation();
    if (only.empty() || only == "empty") drain_server();
}
