// Benchmarks of the store of record. Compare ratios within one run. Prints the tables of docs/store.md.
//
//   pinedoor_bench_store [FOLDER [commits|recovery|latency|memory]]
//
// FOLDER, by default the current one, holds the files; it may be on a disk or in memory.
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <set>

#include "stand_ins.hpp"
#include "stand_ins/counting.hpp"
#include "stand_ins/postgres.hpp"
#include "store/pg_backend.hpp"
#include "store/spill.hpp"
#include "store/sqlite_backend.hpp"

namespace {

using namespace pinedoor::store;
using namespace pinedoor::test;
namespace net = pinedoor::net;
using Clock = std::chrono::steady_clock;

double seconds_since(Clock::time_point start) {
    return std::chrono::duration<double>(Clock::now() - start).count();
}

double quantile(std::vector<double> values, double q) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

Entry make_outcome(std::uint64_t number) {
    Outcome outcome;
    outcome.id = {"bench", 1, number};
    outcome.tenant = "acme";
    outcome.fate = OutcomeKind::kAnswered;
    outcome.ended = 1;
    outcome.parts = "3r 4r 9r";
    outcome.answer = std::string(200, 'x');
    return outcome;
}

struct TempFolder {
    explicit TempFolder(const std::string& parent)
        : folder(parent + "/pinedoor-bench-" + std::to_string(getpid())) {
        std::filesystem::create_directories(folder);
    }
    ~TempFolder() { std::filesystem::remove_all(folder); }
    std::string folder;
};

// Entries per second written to a backend, with `at_once` entries in each write and one write at a time.
double entries_per_second(Backend& backend, net::Scheduler& scheduler, std::size_t at_once,
                          double for_seconds) {
    bool open = false, done = false;
    backend.open({"bench", 0, "birth", true}, [&](Backend::OpenResult enrolled) {
        open = enrolled.good;
        done = true;
        if (!open) std::fprintf(stderr, "bench: %s\n", enrolled.why.c_str());
    });
    scheduler.run([&] { return done; });
    if (!open) std::exit(1);
    const auto start = Clock::now();
    std::uint64_t number = 0;
    bool waiting = false;
    while (seconds_since(start) < for_seconds) {
        Entries entries;
        for (std::size_t i = 0; i < at_once; ++i)
            entries.push_back(std::make_shared<const Entry>(make_outcome(++number)));
        waiting = true;
        backend.write(std::move(entries), [&](const Backend::WriteResult& written) {
            if (written.end != Backend::End::kStored) std::exit(1);
            waiting = false;
        });
        scheduler.run([&] { return !waiting; });
    }
    return static_cast<double>(number) / seconds_since(start);
}

void measure_commits(const TempFolder& files) {
    std::printf("\nOutcomes per second, one write at a time\n");
    std::printf("  %-12s %10s %10s %10s %10s\n", "store", "1 a write", "16", "128", "512");
    for (const bool postgres : {false, true}) {
        std::printf("  %-12s", postgres ? "PostgreSQL*" : "SQLite");
        for (const std::size_t at_once : {1U, 16U, 128U, 512U}) {
            net::Scheduler scheduler;
            const auto path = files.folder + "/commits-" + std::to_string(postgres) + std::to_string(at_once);
            if (postgres) {
                PostgresStandIn server(path);
                {
                    SqliteDb db(path);
                    migrate(db);
                }
                PgBackend backend(scheduler, {server.conninfo(), 30'000, 50'000}, 100'000);
                std::printf(" %10.0f", entries_per_second(backend, scheduler, at_once, 1));
            } else {
                SqliteBackend backend(scheduler, path, 100'000);
                std::printf(" %10.0f", entries_per_second(backend, scheduler, at_once, 1));
            }
            std::fflush(stdout);
        }
        std::printf("\n");
    }
    std::printf("  %-12s", "spill");
    for (const std::size_t at_once : {1U, 16U, 128U, 512U}) {
        RealFiles real;
        const auto folder = files.folder + "/spill-" + std::to_string(at_once);
        std::filesystem::create_directories(folder);
        Spill spill(real, folder, std::size_t{8} << 20U);
        spill.recover();
        const auto start = Clock::now();
        std::uint64_t number = 0;
        while (seconds_since(start) < 1) {
            std::vector<std::string> payloads;
            for (std::size_t i = 0; i < at_once; ++i) payloads.push_back(encode(make_outcome(++number)));
            if (!spill.append(payloads)) std::exit(1);
        }
        std::printf(" %10.0f", static_cast<double>(number) / seconds_since(start));
    }
    std::printf(
        "\n  * the stand-in of this repository, which stores its rows in SQLite: only its ratios are "
        "meaningful\n");
}

void measure_recovery(const TempFolder& files) {
    std::printf("\nRecovery of the spill: reading and checking, then replay into SQLite\n");
    std::printf("  %10s %10s %12s %12s %14s\n", "entries", "MB", "read, s", "replay, s", "entries/s");
    for (const std::uint64_t count : {1'000U, 10'000U, 100'000U}) {
        RealFiles real;
        const auto folder = files.folder + "/recover-" + std::to_string(count);
        std::filesystem::create_directories(folder);
        {
            Spill spill(real, folder, std::size_t{8} << 20U);
            spill.recover();
            for (std::uint64_t i = 0; i < count; i += 500) {
                std::vector<std::string> payloads;
                for (std::uint64_t j = 0; j < 500; ++j) payloads.push_back(encode(make_outcome(i + j + 1)));
                spill.append(payloads);
            }
        }
        const auto start = Clock::now();
        Spill spill(real, folder, std::size_t{8} << 20U);
        spill.recover();
        const double read = seconds_since(start);
        const double mb = static_cast<double>(spill.bytes()) / 1e6;
        SqliteDb db(folder + "/records.db");
        migrate(db);
        const auto replay_start = Clock::now();
        for (auto next = spill.next(512); !next.empty(); next = spill.next(512)) {
            write_entries(db, next, 100'000);
            spill.done(next.size());
        }
        const double replay = seconds_since(replay_start);
        std::printf("  %10llu %10.1f %12.3f %12.3f %14.0f\n", static_cast<unsigned long long>(count), mb,
                    read, replay, static_cast<double>(count) / (read + replay));
    }
}

// Open loop: multigets are sent at fixed times, and latency counts from the scheduled time.
struct Latencies {
    double median = 0, p99 = 0, missed = 0;
};
Latencies drive(FrontNodeProcess& program, const std::string& op_type, int per_second, double for_seconds) {
    constexpr int kClients = 16;
    std::vector<Peer> clients;
    for (int i = 0; i < kClients; ++i) clients.push_back(program.client());
    std::vector<std::vector<double>> latencies_ms(kClients);
    std::atomic<int> failed = 0;
    std::vector<std::thread> threads;
    const auto start = Clock::now();
    static std::atomic<int> run = 0;
    const int id = ++run;
    for (int c = 0; c < kClients; ++c) {
        threads.emplace_back([&, c] {
            for (int i = c; i < static_cast<int>(per_second * for_seconds); i += kClients) {
                const auto scheduled =
                    start + std::chrono::duration_cast<Clock::duration>(
                                std::chrono::duration<double>(static_cast<double>(i) / per_second));
                std::this_thread::sleep_until(scheduled);
                auto& client = clients[static_cast<std::size_t>(c)];
                client.say(
                    post(op_type, "b" + std::to_string(id) + "-" + std::to_string(i), asks({i % 12}, "qa")));
                if (!client.answer().starts_with("200"))
                    ++failed;
                else
                    latencies_ms[static_cast<std::size_t>(c)].push_back(seconds_since(scheduled) * 1e3);
            }
        });
    }
    for (auto& thread : threads) thread.join();
    std::vector<double> all;
    for (const auto& each : latencies_ms) all.insert(all.end(), each.begin(), each.end());
    return {quantile(all, 0.5), quantile(all, 0.99), static_cast<double>(failed.load())};
}

void measure_latency(const TempFolder& files, double for_seconds) {
    std::printf(
        "\nLatency, ms (median, 99th percentile, not answered), median of three alternating runs; `again` is "
        "not recorded\n");
    std::printf("  %-10s %6s %28s %28s %28s\n", "op type", "per s", "store off", "SQLite", "PostgreSQL*");
    for (const int per_second : {100, 2'000}) {
        for (const char* op_type : {"once", "again"}) {
            std::vector<std::vector<Latencies>> results(3);
            for (int run = 0; run < 3; ++run) {
                for (int kind = 0; kind < 3; ++kind) {
                    CountingServer servers[2];
                    Listener discovery;
                    FrontNodeProcess program({{"s-1", servers[0].at()}, {"s-2", servers[1].at()}},
                                             discovery.at());
                    program.with("\"max_open\":40", "\"max_open\":4000");
                    const auto path =
                        files.folder + "/rows-" + std::to_string(per_second) + op_type + std::to_string(run);
                    PostgresStandIn postgres(path);
                    const auto folder = "folder = \"" + path + "-" + std::to_string(kind) + "\"\n";
                    if (kind == 1) program.with_settings("[store]\nkind = \"sqlite\"\n" + folder);
                    if (kind == 2) {
                        SqliteDb db(path);
                        migrate(db);
                        program.with_settings("[store]\nkind = \"postgres\"\n" + folder +
                                              "[store.postgres]\nconninfo = \"" + postgres.conninfo() +
                                              "\"\n");
                    }
                    program.start().client();
                    if (kind > 0) program.wait_for_counter("store_condition", 1);
                    drive(program, op_type, 100, 0.5);  // warm-up
                    results[static_cast<std::size_t>(kind)].push_back(
                        drive(program, op_type, per_second, for_seconds));
                    program.kill(SIGTERM);
                    program.wait();
                }
            }
            std::printf("  %-10s %6d", op_type, per_second);
            for (const auto& kind : results) {
                std::vector<double> medians, p99s, missed;
                for (const auto& each : kind) {
                    medians.push_back(each.median);
                    p99s.push_back(each.p99);
                    missed.push_back(each.missed);
                }
                std::printf("   %7.2f %8.2f %8.0f", quantile(medians, 0.5), quantile(p99s, 0.5),
                            quantile(missed, 0.5));
            }
            std::printf("\n");
            std::fflush(stdout);
        }
    }
}

long resident_kb(const char* which) {
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(which)) return std::atol(line.c_str() + line.find_first_of("0123456789"));
    }
    return 0;
}

void measure_memory(const TempFolder& files) {
    std::printf("\nResident memory of a process that writes records to SQLite, MB\n");
    net::Scheduler scheduler;
    SqliteBackend backend(scheduler, files.folder + "/million.db", 100'000);
    bool done = false;
    backend.open({"bench", 0, "birth", true}, [&](const Backend::OpenResult&) { done = true; });
    scheduler.run([&] { return done; });
    const long before = resident_kb("VmRSS");
    std::uint64_t number = 0;
    for (const std::uint64_t target : {1'000U, 10'000U, 100'000U, 1'000'000U}) {
        while (number < target) {
            Entries entries;
            for (int i = 0; i < 1'000; ++i)
                entries.push_back(std::make_shared<const Entry>(make_outcome(++number)));
            done = false;
            backend.write(std::move(entries), [&](const Backend::WriteResult&) { done = true; });
            scheduler.run([&] { return done; });
        }
        std::printf("  %10llu records %8.1f more\n", static_cast<unsigned long long>(number),
                    static_cast<double>(resident_kb("VmRSS") - before) / 1024);
        std::fflush(stdout);
    }
}

}  // namespace

int main(int count, char** arguments) {
    const TempFolder files(count > 1 ? arguments[1] : ".");
    const std::string only = count > 2 ? arguments[2] : "";
    if (only.empty() || only == "commits") measure_commits(files);
    if (only.empty() || only == "recovery") measure_recovery(files);
    if (only.empty() || only == "latency") measure_latency(files, 2);
    if (only.empty() || only == "memory") measure_memory(files);
}
