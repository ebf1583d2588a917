#include "lab/commands.hpp"

#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <thread>

#include "lab/fleet/fleet_hunt.hpp"
#include "lab/fleet/verdict.hpp"
#include "lab/live/live.hpp"
#include "lab/read/checker.hpp"
#include "lab/read/report.hpp"
#include "lab/read/timeline.hpp"
#include "lab/sim/simulation.hpp"
#include "lab/study/compare.hpp"
#include "lab/study/experiment.hpp"
#include "lab/study/hunt.hpp"
#include "stated/stated.hpp"

namespace pinedoor::lab {
namespace {

using Clock = std::chrono::steady_clock;
using Number = unsigned long long;

double seconds_since(Clock::time_point began) {
    return std::chrono::duration<double>(Clock::now() - began).count();
}

// While an object exists, SIGINT sets flag(). A second SIGINT terminates the program as usual.
class InterruptFlag {
public:
    InterruptFlag() {
        flag() = false;
        struct sigaction action {};
        action.sa_handler = [](int) { flag() = true; };
        action.sa_flags = static_cast<int>(SA_RESETHAND);
        sigaction(SIGINT, &action, &before_);
    }
    ~InterruptFlag() { sigaction(SIGINT, &before_, nullptr); }
    InterruptFlag(const InterruptFlag&) = delete;
    InterruptFlag& operator=(const InterruptFlag&) = delete;
    static std::atomic<bool>& flag() {
        static std::atomic<bool> kFlag = false;
        return kFlag;
    }

private:
    struct sigaction before_ {};
};

// Progress bar on standard error; shown only if that is a terminal.
class ProgressBar {
public:
    explicit ProgressBar(const char* what) : what_(what), on_terminal_(isatty(2) != 0) {}
    ~ProgressBar() {
        if (on_terminal_) std::fprintf(stderr, "\r\033[K");
    }
    void show(std::size_t done, std::size_t of, const std::string& more = "") const {
        if (!on_terminal_ || of == 0) return;
        constexpr std::size_t kWidth = 40;
        const auto filled = done * kWidth / of;
        std::fprintf(stderr, "\r\033[K%s [%s%s] %zu of %zu %s", what_, std::string(filled, '#').c_str(),
                     std::string(kWidth - filled, ' ').c_str(), done, of, more.c_str());
    }

private:
    const char* what_;
    const bool on_terminal_;
};

unsigned threads_or_all(unsigned threads) {
    return threads > 0 ? threads : std::max(1U, std::thread::hardware_concurrency());
}

void print_breaches(const std::vector<Breach>& breaches) {
    for (const auto& each : breaches)
        std::printf("  %s: %s\n", name_of(each.rule).c_str(), each.what.c_str());
    if (breaches.empty()) std::printf("  no rule broken\n");
}

bool is_world(const std::string& path) { return path.ends_with(".toml"); }

// A log file. If the path is a world's, the world is simulated and its log kept until destruction.
struct RunLog {
    RunLog(const std::string& from, std::optional<std::uint64_t> seed, PolicyKind policy) : path(from) {
        if (!is_world(from)) {
            if (!std::filesystem::exists(from))
                throw stated::ConfigError(from + ": cannot be read; name a world or a log");
            return;
        }
        auto world = World::read_file(from);
        if (seed) world.seed = *seed;
        toml = world.to_toml();
        path = (std::getenv("TMPDIR") != nullptr ? std::getenv("TMPDIR") : "/tmp");
        path += "/pinedoor-log-XXXXXX";
        const int fd = mkstemp(path.data());
        if (fd < 0) throw stated::ConfigError(path + ": cannot be written");
        close(fd);
        is_temporary = true;
        std::ofstream log(path, std::ios::binary);
        const auto totals =
            Simulation(world, policy, [&log](const std::string& line) { log << line << '\n'; }).run();
        if (!log.flush()) throw stated::ConfigError(path + ": cannot be written; is the disk full?");
        char text[200];
        std::snprintf(text, sizeof text, "seed %llu, %s: service %.4f", static_cast<Number>(world.seed),
                      std::string(name_of(policy)).c_str(), totals.service());
        subtitle = text;
        name = world.name;
    }
    ~RunLog() {
        if (is_temporary) std::filesystem::remove(path);
    }
    RunLog(const RunLog&) = delete;
    RunLog& operator=(const RunLog&) = delete;

    Timeline read() const {
        Timeline timeline;
        std::ifstream log(path, std::ios::binary);
        for (std::string line; std::getline(log, line);) timeline.take(line);
        timeline.finish();
        return timeline;
    }

    std::string path, toml, subtitle, name;
    bool is_temporary = false;
};

}  // namespace

namespace {

void print_clients(const Totals& totals) {
    std::printf("  %-16s %9s %9s %8s %8s %8s %8s %8s %6s %8s %8s %8s\n", "clients", "asked", "whole",
                "in part", "late", "pushed", "failed", "left", "lost", "p50 ms", "p99 ms", "service");
    for (const auto& each : totals.clients) {
        std::printf("  %-16s %9llu %9llu %8llu %8llu %8llu %8llu %8llu %6llu %8.2f %8.2f %8.4f\n",
                    each.name.c_str(), static_cast<Number>(each.asked), static_cast<Number>(each.whole),
                    static_cast<Number>(each.in_part), static_cast<Number>(each.late),
                    static_cast<Number>(each.pushed_back), static_cast<Number>(each.failed),
                    static_cast<Number>(each.left), static_cast<Number>(each.lost), each.ms.quantile(0.5),
                    each.ms.quantile(0.99), each.possible > 0 ? each.earned / each.possible : 0);
    }
}

// Passes the log lines of a run to a file, to the checker, to both, or to neither.
struct LogSink {
    explicit LogSink(const RunOptions& options) : path(options.log), check_rules(options.check) {
        if (path.empty()) return;
        file.open(path, std::ios::binary);
        if (!file) throw stated::ConfigError(path + ": cannot be written");
    }
    std::function<void(const std::string&)> sink() {
        if (!file.is_open() && !check_rules) return {};
        return [this](const std::string& line) {
            if (file.is_open()) file << line << '\n';
            if (check_rules) checker.take(line);
        };
    }
    void close() {
        if (file.is_open() && !file.flush())
            throw stated::ConfigError(path + ": cannot be written; is the disk full?");
    }
    std::string path;
    bool check_rules;
    std::ofstream file;
    RuleChecker checker;
};

int exit_code_of(LogSink& log_lines, const Totals& totals) {
    if (log_lines.check_rules) {
        const auto breaches = log_lines.checker.finish();
        print_breaches(breaches);
        if (!breaches.empty()) return kExitRuleBroken;
    }
    return totals.broken() > 0 ? kExitRuleBroken : kExitSuccess;
}

}  // namespace

int run_world(const World& world, PolicyKind policy, const RunOptions& options) {
    LogSink log_lines(options);
    const auto start = Clock::now();
    const auto totals = Simulation(world, policy, log_lines.sink()).run();
    const double duration_s = seconds_since(start);
    log_lines.close();
    if (options.json) {
        std::printf("%s\n", totals.to_json().c_str());
        return totals.broken() > 0 ? kExitRuleBroken : kExitSuccess;
    }
    std::printf("%s, seed %llu, %s: service %.4f\n", world.name.c_str(), static_cast<Number>(world.seed),
                std::string(name_of(policy)).c_str(), totals.service());
    print_clients(totals);
    std::printf(
        "  sends %llu, parts run %llu, run twice %llu; %llu events in %.2f s, %.1f times real time; %.0f%% "
        "of "
        "it in the module, %.1f us per turn\n",
        static_cast<Number>(totals.sends), static_cast<Number>(totals.run),
        static_cast<Number>(totals.run_twice), static_cast<Number>(totals.events), duration_s,
        static_cast<double>(world.length) / 1e4 / duration_s, 100 * totals.turns_seconds / duration_s,
        totals.turns > 0 ? totals.turns_seconds / static_cast<double>(totals.turns) * 1e6 : 0);
    return exit_code_of(log_lines, totals);
}

int live(const World& world, const std::string& program, std::size_t connections, const RunOptions& options) {
    LogSink log_lines(options);
    const ProgressBar bar("on sockets, seconds");
    LiveOptions live_options{program, connections, {}};
    const auto last_second = static_cast<std::size_t>(world.length / 10'000);
    live_options.watch = [&bar, last_second](int second, std::size_t open) {
        bar.show(std::min(static_cast<std::size_t>(second), last_second), last_second,
                 std::to_string(open) + " open");
    };
    const auto totals = play_live(world, live_options, log_lines.sink());
    log_lines.close();
    if (options.json) {
        std::printf("%s\n", totals.to_json().c_str());
        return totals.broken() > 0 ? kExitRuleBroken : kExitSuccess;
    }
    std::printf("%s, seed %llu, on sockets: service %.4f\n", world.name.c_str(),
                static_cast<Number>(world.seed), totals.service());
    print_clients(totals);
    std::uint64_t tries = 0;
    for (const auto& each : totals.clients) tries += each.tries;
    const auto us_per_try = [tries](double seconds) {
        return seconds / static_cast<double>(std::max<std::uint64_t>(1, tries)) * 1e6;
    };
    std::printf(
        "  sends %llu, parts run %llu, run twice %llu; front nodes %.0f us of CPU per request, the "
        "laboratory "
        "%.0f; %zu client connections%s%s\n",
        static_cast<Number>(totals.sends), static_cast<Number>(totals.run),
        static_cast<Number>(totals.run_twice), us_per_try(totals.node_cpu_seconds),
        us_per_try(totals.own_cpu_seconds), totals.most_connections,
        totals.without_room > 0
            ? (", " + std::to_string(totals.without_room) + " requests found no free connection").c_str()
            : "",
        totals.bad_exits > 0 ? ", A FRONT NODE DID NOT END WITH 0" : "");
    const int verdict = exit_code_of(log_lines, totals);
    return totals.bad_exits > 0 ? kExitRuleBroken : verdict;
}

int fleet(const FleetWorld& world, const std::string& program, std::size_t connections,
          const std::string& log) {
    FleetReader reader(world.world.nodes);
    std::ofstream file;
    if (!log.empty()) {
        file.open(log, std::ios::binary);
        if (!file) throw stated::ConfigError(log + ": cannot be written");
    }
    const ProgressBar bar("fleet, seconds");
    LiveOptions live_options{program, connections, {}};
    const auto last_second = static_cast<std::size_t>(world.world.length / 10'000);
    live_options.watch = [&bar, last_second](int second, std::size_t open) {
        bar.show(std::min(static_cast<std::size_t>(second), last_second), last_second,
                 std::to_string(open) + " open");
    };
    LimitReader limit(world.fleet.limit_per_second, world.fleet.limit_burst, world.fleet.limit_of);
    const auto result = play_fleet(world, live_options, [&](const std::string& line) {
        reader.take(line);
        limit.take(line);
        if (file.is_open()) file << line << '\n';
    });
    std::ostringstream verdict_text;
    print_verdict(verdict_text, world, result, reader);
    std::printf("%s", verdict_text.str().c_str());
    bool over_limit = false;
    if (world.fleet.limit_per_second > 0) {
        over_limit = limit.worst_excess() > world.world.nodes;
        std::printf(
            "limit: passed %.1f per second of %g; worst window %+.1f beyond rate and burst, %d allowed%s\n",
            static_cast<double>(limit.passed(0, world.world.length)) * 10'000 /
                static_cast<double>(world.world.length),
            world.fleet.limit_per_second, limit.worst_excess(), world.world.nodes,
            over_limit ? ": OVER" : "");
    }
    const auto breaches = reader.finish();
    print_breaches(breaches);
    return over_limit || !breaches.empty() || result.totals.broken() > 0 || result.totals.bad_exits > 0
               ? kExitRuleBroken
               : kExitSuccess;
}

int fleet_hunt(const FleetWorld& base, const std::string& program, std::size_t connections,
               const FleetHuntOptions& options) {
    FleetHunter hunter(base, base.world.seed, options.max_faults);
    const InterruptFlag stop;
    const LiveOptions live_options{program, connections, {}};
    const auto play = [&](const FleetWorld& world) {
        RuleChecker checker;
        const auto result =
            play_fleet(world, live_options, [&](const std::string& line) { checker.take(line); });
        return badness_of(world, result, checker.finish());
    };
    for (int round = 1; round <= options.rounds && !InterruptFlag::flag(); ++round) {
        const auto world = hunter.next();
        const double badness = play(world);
        hunter.told(badness);
        std::fprintf(stderr, "%d of %d: %zu faults, badness %.3f; worst so far %.3f\n", round, options.rounds,
                     world.faults.size(), badness, hunter.worst_bad());
    }
    if (!hunter.worst()) return kExitInterrupted;
    auto worst = *hunter.worst();
    double found_badness = hunter.worst_bad();
    // Repeatedly replaces the world by the first reduction that is still at least keep_ratio times as bad.
    for (bool smaller = true; smaller && !InterruptFlag::flag();) {
        smaller = false;
        for (const auto& each : reductions(worst)) {
            if (InterruptFlag::flag() || play(each) < options.keep_ratio * found_badness) continue;
            worst = each;
            smaller = true;
            break;
        }
    }
    char header[64];
    std::snprintf(header, sizeof header, "# Found by fleet --hunt: %.3f\n", found_badness);
    if (options.out.empty()) {
        std::printf("%s%s", header, worst.to_toml().c_str());
        return kExitSuccess;
    }
    std::ofstream file(options.out, std::ios::binary);
    if (!(file << header << worst.to_toml()) || !file.flush())
        throw stated::ConfigError(options.out + ": cannot be written");
    std::printf("%s\n", options.out.c_str());
    return kExitSuccess;
}

int replay_node(const std::string& path, int node) {
    std::ifstream log(path, std::ios::binary);
    if (!log) throw stated::ConfigError(path + ": cannot be read; name a log that exists");
    const auto lines = node_timeline(log, node);
    if (lines.empty())
        throw stated::ConfigError("there is no front node " + std::to_string(node) + " in the log");
    for (const auto& line : lines) std::printf("%s\n", line.c_str());
    return kExitSuccess;
}

namespace {

// Prints the counts of the previous second and the state of each server as one letter.
void print_second(const Timeline& run, const World& world, std::size_t second) {
    if (second == 0 || second > run.seconds().size()) return;
    const auto& s = run.seconds()[second - 1];
    std::printf(
        "%3zu s  asked %4llu  whole %4llu  in part %3llu  late %3llu  pushed back %3llu  failed %3llu   p50 "
        "%6.1f ms  p99 %6.1f ms\n",
        second, static_cast<Number>(s.asked), static_cast<Number>(s.ends.whole),
        static_cast<Number>(s.ends.in_part), static_cast<Number>(s.ends.late),
        static_cast<Number>(s.ends.pushed_back),
        static_cast<Number>(s.ends.failed + s.ends.gone + s.ends.lost), s.ms.quantile(0.5),
        s.ms.quantile(0.99));
    std::string server_letters, active_faults;
    for (int id = 0; id < world.servers.count; ++id) {
        if (id > 0 && id % world.places() == 0) server_letters += ' ';
        const auto found = run.servers().find(id);
        if (found == run.servers().end()) {
            server_letters += '_';
            continue;
        }
        const auto& server = found->second;
        const bool faulty = std::any_of(server.troubles.begin(), server.troubles.end(),
                                        [](const Timeline::FaultInterval& each) { return each.until < 0; });
        const auto runs = server.runs.find(static_cast<int>(second) - 1);
        const auto failed = server.bad.find(static_cast<int>(second) - 1);
        server_letters += faulty                                           ? 'X'
                          : failed != server.bad.end()                     ? '!'
                          : runs == server.runs.end() || runs->second == 0 ? '_'
                          : runs->second < 20                              ? '.'
                          : runs->second < 60                              ? 'o'
                                                                           : 'O';
    }
    for (const auto& each : run.troubles()) active_faults += each.until < 0 ? ' ' + each.what : std::string();
    std::printf("       servers %s%s%s\n", server_letters.c_str(),
                active_faults.empty() ? "" : "   active faults:", active_faults.c_str());
    std::fflush(stdout);
}

}  // namespace

int watch(const World& world, const std::string& program, const std::string& report_path) {
    std::printf(
        "%s: %d index servers in %d zones, %d front nodes (real processes on loopback), for %.0f s.\nEach "
        "letter is a "
        "server: X faulty, ! sends to it failed, _ idle, . o O low to high "
        "load.\n\n",
        world.name.c_str(), world.servers.count, world.zones, world.nodes,
        static_cast<double>(world.length) / 1e4);
    Timeline timeline;
    RuleChecker checker;
    LiveOptions live_options{program, 2'000, {}};
    live_options.watch = [&](int second, std::size_t) {
        print_second(timeline, world, static_cast<std::size_t>(second));
    };
    const auto totals = play_live(world, live_options, [&](const std::string& line) {
        timeline.take(line);
        checker.take(line);
    });
    timeline.finish();
    std::printf("\nservice %.4f\n", totals.service());
    print_clients(totals);
    const auto breaches = checker.finish();
    print_breaches(breaches);
    char subtitle[100];
    std::snprintf(subtitle, sizeof subtitle, "seed %llu, on sockets: service %.4f",
                  static_cast<Number>(world.seed), totals.service());
    if (!report_path.empty()) {
        const auto page = report_page(timeline, {world.name, world.to_toml(), subtitle});
        std::ofstream file(report_path, std::ios::binary);
        if (!(file << page) || !file.flush()) throw stated::ConfigError(report_path + ": cannot be written");
        std::printf("\nOpen %s in a browser for the report.\n", report_path.c_str());
    }
    return totals.broken() > 0 || !breaches.empty() || totals.bad_exits > 0 ? kExitRuleBroken : kExitSuccess;
}

int judge_log(const std::string& path) {
    std::ifstream log(path, std::ios::binary);
    if (!log) throw stated::ConfigError(path + ": cannot be read; name a log that exists");
    RuleChecker checker;
    for (std::string line; std::getline(log, line);) checker.take(line);
    const auto breaches = checker.finish();
    print_breaches(breaches);
    return breaches.empty() ? kExitSuccess : kExitRuleBroken;
}

int compare_variants(const CompareOptions& options) {
    Experiment experiment;
    for (const auto& path : options.worlds) experiment.worlds.push_back({path, World::read_file(path)});
    for (const auto& text : options.variants) experiment.variants.push_back(Variant::read(text));
    for (const auto& world : experiment.worlds) {  // reports an invalid change before any run starts
        for (const auto& variant : experiment.variants)
            World::from_text(world.world.to_toml(), world.path, variant.changes);
    }
    experiment.seeds = options.seeds;
    std::optional<Results> results;
    if (!options.results.empty()) results.emplace(options.results, build_of_this_program());
    Outcomes outcomes;
    std::size_t reused = 0;
    {
        const InterruptFlag stop;
        const ProgressBar bar("playing");
        outcomes = play_all(experiment, results ? &*results : nullptr, threads_or_all(options.threads),
                            InterruptFlag::flag(), [&](const Progress& progress) {
                                reused = progress.reused;
                                bar.show(progress.done, progress.total);
                            });
    }
    if (!outcomes.complete) {
        std::fprintf(
            stderr, "pinedoor-lab: stopped%s\n",
            results ? "; the same command goes on from here" : "; with --results it could go on from here");
        return kExitInterrupted;
    }
    std::uint64_t broken = 0;
    for (std::size_t w = 0; w < experiment.worlds.size(); ++w) {
        const auto& world = experiment.worlds[w].world;
        std::printf("%s, %d seeds from %llu; against %s\n", world.name.c_str(), options.seeds,
                    static_cast<Number>(world.seed), experiment.variants[0].name.c_str());
        std::size_t width = 14;
        for (const auto& variant : experiment.variants) width = std::max(width, variant.name.size());
        std::printf("  %-*s %8s %9s %20s %6s\n", static_cast<int>(width), "variant", "service", "less",
                    "95% of it", "broken");
        for (std::size_t v = 0; v < experiment.variants.size(); ++v) {
            const auto& service = outcomes.service[w][v];
            double sum = 0;
            for (const double each : service) sum += each;
            const auto difference = compare(outcomes.service[w][0], service, 0.95, world.seed);
            broken += outcomes.broken[w][v];
            std::printf("  %-*s %8.4f %+9.4f  %+8.4f to %+8.4f %6llu%s\n", static_cast<int>(width),
                        experiment.variants[v].name.c_str(), sum / options.seeds, difference.mean,
                        difference.lower, difference.upper, static_cast<Number>(outcomes.broken[w][v]),
                        v > 0 && !difference.shown() ? "  no difference shown" : "");
        }
    }
    if (reused > 0) std::printf("%zu runs were kept by an earlier run\n", reused);
    return broken > 0 ? kExitRuleBroken : kExitSuccess;
}

namespace {

// Mean badness of a world over the seeds; larger is worse.
double badness(const World& world, const HuntOptions& options) {
    double sum = 0;
    for (int i = 0; i < options.seeds; ++i) {
        auto seeded_world = world;
        seeded_world.seed = world.seed + static_cast<std::uint64_t>(i);
        if (options.goal == "rule") {
            RuleChecker checker;
            Simulation(seeded_world, PolicyKind::kPinedoor, [&checker](const std::string& line) {
                checker.take(line);
            }).run();
            const auto breaches = checker.finish();
            double highest_ratio = static_cast<double>(breaches.size());
            for (const auto rule : {Breach::Rule::kNoneLost, Breach::Rule::kDrainsKept,
                                    Breach::Rule::kNoColdServerOver, Breach::Rule::kBudget})
                highest_ratio = std::max(highest_ratio, checker.nearest(rule));
            sum += highest_ratio;
            continue;
        }
        const auto totals = Simulation(seeded_world).run();
        const double best =
            options.goal == "gap" ? Simulation(seeded_world, PolicyKind::kSeesAll).run().service() : 1;
        sum += best - totals.service() + static_cast<double>(totals.broken());
    }
    return sum / options.seeds;
}

std::string describe(const Trouble& trouble) {
    char text[200];
    std::snprintf(text, sizeof text, "%s %.1f-%.1f s, share %.2f, factor %.2f%s",
                  name_of(trouble.kind).c_str(), static_cast<double>(trouble.from) / 1e4,
                  static_cast<double>(trouble.until) / 1e4, trouble.share, trouble.factor,
                  trouble.zone >= 0 ? (", zone " + std::to_string(trouble.zone)).c_str() : "");
    return text;
}

}  // namespace

int hunt(const World& base, const HuntOptions& options) {
    const InterruptFlag stop;
    Hunter hunter(base, base.seed, options.max_troubles);
    const auto threads = threads_or_all(options.threads);
    const auto play_worlds = [&](const std::vector<World>& worlds) {
        std::vector<double> badness_values(worlds.size(), 0);
        run_on_threads(worlds.size(), threads, InterruptFlag::flag(),
                       [&](std::size_t i) { badness_values[i] = badness(worlds[i], options); });
        return badness_values;
    };
    std::printf("hunting for %s in %s: %d rounds of %d worlds, %d seeds each\n", options.goal.c_str(),
                base.name.c_str(), options.rounds, options.worlds_per_round, options.seeds);
    for (int round = 0; round < options.rounds && !InterruptFlag::flag(); ++round) {
        const auto badness_values =
            play_worlds(hunter.next(static_cast<std::size_t>(options.worlds_per_round)));
        if (InterruptFlag::flag()) break;
        const double previous = hunter.found() ? hunter.worst_badness() : -1;
        hunter.record_badness(badness_values);
        if (hunter.worst_badness() <= previous) continue;
        std::printf("round %d: %.4f\n", round + 1, hunter.worst_badness());
        for (const auto& each : hunter.worst().troubles) std::printf("    %s\n", describe(each).c_str());
        std::fflush(stdout);
    }
    if (!hunter.found()) return kExitInterrupted;
    auto smallest = hunter.worst();
    const double min_badness = hunter.worst_badness() * options.keep_ratio;
    double current_badness = hunter.worst_badness();
    // Takes the first reduction, in order, that still shows the effect.
    for (bool smaller = true; smaller && !InterruptFlag::flag();) {
        smaller = false;
        const auto candidates = reductions(smallest);
        for (std::size_t from = 0; from < candidates.size() && !smaller; from += threads) {
            const std::vector<World> batch(candidates.begin() + static_cast<std::ptrdiff_t>(from),
                                           candidates.begin() + static_cast<std::ptrdiff_t>(std::min(
                                                                    candidates.size(), from + threads)));
            const auto badness_values = play_worlds(batch);
            if (InterruptFlag::flag()) break;
            for (std::size_t i = 0; i < batch.size() && !smaller; ++i) {
                if (badness_values[i] < min_badness) continue;
                smallest = batch[i];
                current_badness = badness_values[i];
                smaller = true;
            }
        }
    }
    std::printf("shrunk: %.4f with %d servers, %d nodes, %.1f s, %zu kinds of clients\n", current_badness,
                smallest.servers.count, smallest.nodes, static_cast<double>(smallest.length) / 1e4,
                smallest.clients.size());
    for (const auto& each : smallest.troubles) std::printf("    %s\n", describe(each).c_str());
    smallest.name = base.name + "-" + options.goal;
    if (options.out.empty()) {
        std::printf("%s", smallest.to_toml().c_str());
    } else if (!(std::ofstream(options.out) << smallest.to_toml())) {
        throw stated::ConfigError(options.out + ": cannot be written");
    }
    return InterruptFlag::flag() ? kExitInterrupted : kExitSuccess;
}

int scale(const World& world, const std::string& what, const std::vector<double>& factors) {
    std::printf("%s, %s multiplied by the factor\n", world.name.c_str(), what.c_str());
    std::printf("  %8s %8s %9s %10s %10s %12s %12s %9s\n", "factor", "service", "asked", "sends", "CPU s",
                "module us/req", "module us/turn", "MB");
    std::vector<double> log_factors, log_module_times, log_cpu_times;
    for (const double factor : factors) {
        auto scaled = world;
        const auto times = [factor](int count) {
            return std::max(1, static_cast<int>(std::lround(count * factor)));
        };
        if (what == "servers" || what == "fleet") {  // with the load scaled alike
            scaled.servers.count = times(world.servers.count);
            scaled.shards = times(world.shards);
            for (auto& each : scaled.clients) each.per_second *= factor;
        }
        if (what == "nodes" || what == "fleet") scaled.nodes = times(world.nodes);
        if (what == "parts") {
            for (auto& each : scaled.clients) {  // more parts per request, fewer requests
                each.parts.a *= factor;
                each.parts.b *= factor;
                each.per_second /= factor;
            }
        }
        struct RunResult {
            double service = 0, cpu = 0, module = 0, turns = 0, asked = 0, sends = 0, mb = 0;
        } result;
        int pipe_ends[2];
        if (pipe(pipe_ends) != 0) throw stated::ConfigError("cannot create a pipe");
        const pid_t child = fork();  // a separate process, so that its memory is measured alone
        if (child == 0) {
            const auto totals = Simulation(scaled).run();
            rusage used{};
            getrusage(RUSAGE_SELF, &used);
            result.service = totals.service();
            result.cpu =
                static_cast<double>(used.ru_utime.tv_sec) + static_cast<double>(used.ru_utime.tv_usec) / 1e6;
            result.module = totals.turns_seconds;
            result.turns = static_cast<double>(totals.turns);
            for (const auto& each : totals.clients) result.asked += static_cast<double>(each.tries);
            result.sends = static_cast<double>(totals.sends);
            result.mb = static_cast<double>(used.ru_maxrss) / 1024;
            const auto written = write(pipe_ends[1], &result, sizeof result);
            _exit(written == sizeof result ? 0 : 1);
        }
        close(pipe_ends[1]);
        const auto bytes_read = read(pipe_ends[0], &result, sizeof result);
        close(pipe_ends[0]);
        int status = 0;
        waitpid(child, &status, 0);
        if (bytes_read != sizeof result || status != 0)
            throw stated::ConfigError("a run ended without reporting its results");
        std::printf("  %8.2f %8.4f %9.0f %10.0f %10.2f %13.1f %14.2f %9.0f\n", factor, result.service,
                    result.asked, result.sends, result.cpu, result.module / std::max(1.0, result.asked) * 1e6,
                    result.module / std::max(1.0, result.turns) * 1e6, result.mb);
        std::fflush(stdout);
        log_factors.push_back(std::log(factor));
        log_module_times.push_back(std::log(std::max(1e-9, result.module / std::max(1.0, result.asked))));
        log_cpu_times.push_back(std::log(std::max(1e-9, result.cpu / std::max(1.0, result.asked))));
    }
    if (log_factors.size() < 2) return kExitSuccess;
    const auto slope = [&log_factors](const std::vector<double>& y) {  // least squares
        double mean_x = 0, mean_y = 0, numerator = 0, denominator = 0;
        for (std::size_t i = 0; i < log_factors.size(); ++i) {
            mean_x += log_factors[i] / static_cast<double>(log_factors.size());
            mean_y += y[i] / static_cast<double>(log_factors.size());
        }
        for (std::size_t i = 0; i < log_factors.size(); ++i) {
            numerator += (log_factors[i] - mean_x) * (y[i] - mean_y);
            denominator += (log_factors[i] - mean_x) * (log_factors[i] - mean_x);
        }
        return denominator > 0 ? numerator / denominator : 0;
    };
    std::printf("  time per request grows as the factor to the power of %.2f in the module, %.2f in all\n",
                slope(log_module_times), slope(log_cpu_times));
    return kExitSuccess;
}

int replay(const std::string& path, std::optional<std::uint64_t> multiget,
           std::optional<std::uint64_t> seed) {
    const RunLog log(path, seed, PolicyKind::kPinedoor);
    if (!multiget) {
        const auto worst = log.read().worst(1);
        if (worst.empty()) {
            std::printf("every multiget was answered in time; give the number of one\n");
            return kExitSuccess;
        }
        multiget = worst[0].multiget;
        std::printf("one of the worst multigets, number %llu: %s after %.1f ms\n",
                    static_cast<Number>(*multiget), worst[0].end.c_str(),
                    static_cast<double>(worst[0].latency) / 10);
    }
    const auto history = multiget_history(log.path, *multiget);
    if (history.empty())
        throw stated::ConfigError("there is no multiget " + std::to_string(*multiget) + " in the log");
    for (const auto& line : history) std::printf("%s\n", line.c_str());
    return kExitSuccess;
}

int report(const std::string& path, std::optional<std::uint64_t> seed, PolicyKind policy,
           const std::string& out, const std::string& plots) {
    const RunLog log(path, seed, policy);
    const auto timeline = log.read();
    if (!plots.empty()) write_plots(timeline, plots);
    const auto page = report_page(timeline, {log.name.empty() ? path : log.name, log.toml, log.subtitle});
    std::ofstream file(out, std::ios::binary);
    if (!(file << page) || !file.flush()) throw stated::ConfigError(out + ": cannot be written");
    std::printf("%s\n", out.c_str());
    return kExitSuccess;
}

}  // namespace pinedoor::lab
