// Random histories of moves: plans, splits, merges, aborts and pauses, while movers are killed, index servers
// go down and discovery refuses changes. Once all is well again and `apply` runs, every move must end, every
// shard must be run by its owner, and no part that must not run twice may have run twice.
//
// PINEDOOR_FIRST_SEED and PINEDOOR_HISTORIES, in the environment, play other histories than the default ones.
#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <random>
#include <thread>

#include "placement/shards_fixture.hpp"

namespace {

using namespace pinedoor::test;
using namespace pinedoor::placement;

constexpr int kHistories = 6;
constexpr int kRounds = 5;
constexpr unsigned kFirstSeed = 20261205;
constexpr int kMoverSeconds = 3;  // after which a mover that still runs is ended
constexpr int kApplySeconds = 10;
constexpr std::chrono::seconds kRecovery{30};  // until no move is open, once all is well

constexpr std::array kCrashPoints{"keep-prepare",  "kept-prepare",  "asked-copy",  "kept-catch-up",
                                  "asked-missing", "kept-fence",    "asked-fence", "asked-reach",
                                  "kept-switch",   "published",     "asked-own",   "asked-read",
                                  "kept-drain",    "asked-drained", "kept-retire", "asked-drop",
                                  "asked-unfence", "kept-undo",     "keep-undone", "keep-done"};

// One random history.
class History {
public:
    explicit History(unsigned seed) : random_(seed) { fixture_.use_map(ShardsFixture::alike()); }

    void play() {
        for (int round = 0; round < kRounds; ++round) {
            for (const auto& command : random_commands()) log(run(command));
            ask_in_flight(round);
            run_mover();
        }
    }

    // Ends all troubles and carries the open moves to their ends.
    void recover() {
        log(fixture_.shards("resume").text);
        const auto until = std::chrono::steady_clock::now() + kRecovery;
        while (!fixture_.open_moves().empty() && std::chrono::steady_clock::now() < until) {
            usleep(120'000);  // a killed mover's lease
            log(fixture_.shards("apply --lease-ms 100", "", kApplySeconds).text);
        }
    }

    void check() {
        const auto trace = log_ + fixture_.shards("history").text;
        CHECK_MESSAGE(fixture_.open_moves().empty(), trace);
        const auto map = fixture_.discovery.current_map();
        for (const auto& shard : map.shards()) {
            const auto guard = fixture_.boxes.guard(shard.owner(), shard.id);
            CHECK_MESSAGE(guard.owns(), "shard " << shard.id << '\n' << trace);
            CHECK_MESSAGE(guard.epoch() == shard.epoch, "shard " << shard.id << '\n' << trace);
            CHECK_MESSAGE(!guard.fenced(), "shard " << shard.id << '\n' << trace);
        }
        CHECK(fixture_.program->wait_for_counter("map_version", map.version()) == map.version());
        for (int split = 0; split < kSplits; ++split)
            CHECK_MESSAGE(
                fixture_.ask("once", "end" + std::to_string(split), {split}) == whole_answer({split}), trace);
        CHECK_MESSAGE(fixture_.boxes.count_repeated_runs("once") == 0, trace);
    }

private:
    int pick(int count) { return std::uniform_int_distribution(0, count - 1)(random_); }
    bool chance(int percent) { return pick(100) < percent; }
    void log(const std::string& text) { log_ += text; }

    // An operator's command, drawn before it is run. What it names is chosen by `choice` when it is run.
    struct Command {
        enum class Kind { kSplit, kMerge, kAbort, kPause, kResume } kind = Kind::kSplit;
        unsigned choice = 0;
        int after_ms = 0;  // the start of the mover beside which it is run
    };
    Command random_command() {
        constexpr std::array kKinds{Command::Kind::kSplit, Command::Kind::kMerge, Command::Kind::kAbort,
                                    Command::Kind::kAbort, Command::Kind::kPause, Command::Kind::kResume};
        const auto kind = kKinds.at(static_cast<std::size_t>(pick(static_cast<int>(kKinds.size()))));
        const auto choice = static_cast<unsigned>(pick(1'000));
        return {kind, choice, pick(800)};
    }
    std::vector<Command> random_commands() {
        std::vector<Command> commands(static_cast<std::size_t>(pick(3)));
        for (auto& each : commands) each = random_command();
        return commands;
    }

    // The command line of a command; empty if there is nothing that it could name.
    std::string words_of(const Command& command) const {
        const auto shards = fixture_.discovery.current_map().shards();
        const auto open = fixture_.open_moves();
        switch (command.kind) {
            case Command::Kind::kSplit: {
                const auto& shard = shards[command.choice % shards.size()];
                return "split " + std::to_string(shard.id) + ' ' +
                       print_key(shard.first + (shard.last - shard.first) / 2);
            }
            case Command::Kind::kMerge: {
                if (shards.size() < 2) return {};
                const auto lower = command.choice % (shards.size() - 1);
                return "merge " + std::to_string(shards[lower].id) + ' ' +
                       std::to_string(shards[lower + 1].id);
            }
            case Command::Kind::kAbort:
                if (open.empty()) return {};
                return "abort " + std::to_string(open[command.choice % open.size()].move.id);
            case Command::Kind::kPause: return "pause";
            case Command::Kind::kResume: return "resume";
        }
        return {};
    }
    std::string run(const Command& command) const {
        const auto words = words_of(command);
        return words.empty() ? "" : "$ " + words + '\n' + fixture_.shards(words).text;
    }

    // A fleet file for the map of now, with one server to be emptied.
    std::string fleet_file() {
        const auto path = fixture_.folder.path + "/random.toml";
        std::ofstream file(path);
        file << "[limits]\nnear_enough = 10\n";
        const int draining = pick(3) + 1;
        for (int box = 1; box <= 3; ++box) {
            file << "[[boxes]]\nname = \"s-" << box << "\"\ncapacity = 100\nspace = 100\n";
            if (box == draining) file << "draining = true\n";
        }
        for (const auto& shard : fixture_.discovery.current_map().shards()) {
            file << "[[shards]]\nid = " << shard.id << "\nreplicas = [";
            auto replicas = shard.replicas;
            std::stable_partition(replicas.begin(), replicas.end(),
                                  [](const Replica& each) { return each.role == Role::kOwner; });
            for (std::size_t i = 0; i < replicas.size(); ++i)
                file << (i == 0 ? "" : ", ") << '"' << fixture_.names.name(replicas[i].box) << '"';
            file << "]\nreads = 10\nwrites = 1\nsize = 5\n";
        }
        return path;
    }

    void ask_in_flight(int round) {
        client_ = fixture_.program->client();
        client_.say(post("once", "flight" + std::to_string(round), asks({pick(kSplits)}, "once"), 500));
    }

    void run_mover() {
        const auto point = chance(70) ? std::string(kCrashPoints.at(static_cast<std::size_t>(
                                            pick(static_cast<int>(kCrashPoints.size()))))) +
                                            ':' + std::to_string(1 + pick(3))
                                      : "";
        const auto file = chance(50) ? fleet_file() : "";
        fixture_.boxes.set_copy_duration(chance(50) ? pick(400) : 0);
        std::thread troubles = start_troubles();
        std::string commands_log;
        std::thread commands([this, &commands_log, beside = random_commands()] {
            for (const auto& each : beside) {
                usleep(static_cast<unsigned>(each.after_ms) * 1'000);
                commands_log += run(each);
            }
        });
        usleep(120'000);  // a killed mover's lease
        const auto output = fixture_.shards("apply --lease-ms 100 " + file, point, kMoverSeconds).text;
        commands.join();
        troubles.join();
        log("# apply " + file + " killed at '" + point + "'\n" + output + "beside it:\n" + commands_log);
    }
    // A server that is down for a while, and a discovery that refuses changes.
    std::thread start_troubles() {
        const auto down = chance(40) ? static_cast<std::size_t>(pick(3) + 1) : 0;
        const bool refuses = chance(15);
        const int after_ms = pick(200), for_ms = 100 + pick(2'600);
        log("# s-" + std::to_string(down) + " is down after " + std::to_string(after_ms) + " ms for " +
            std::to_string(for_ms) + (refuses ? ", changes are refused\n" : "\n"));
        fixture_.discovery.refuse_changes(refuses);
        return std::thread([this, down, after_ms, for_ms] {
            usleep(static_cast<unsigned>(after_ms) * 1'000);
            if (down != 0) fixture_.boxes.set_down(down, true);
            usleep(static_cast<unsigned>(for_ms) * 1'000);
            if (down != 0) fixture_.boxes.set_down(down, false);
            fixture_.discovery.refuse_changes(false);
        });
    }

    std::mt19937 random_;
    ShardsFixture fixture_;
    Peer client_;
    std::string log_;
};

// Guards against moves that neither end nor are undone, whatever came together before.
TEST_CASE("after any history of commands, kills and troubles each move ends and each shard is run") {
    const char* first = std::getenv("PINEDOOR_FIRST_SEED");
    const char* count = std::getenv("PINEDOOR_HISTORIES");
    const unsigned from =
        first == nullptr ? kFirstSeed : static_cast<unsigned>(std::strtoul(first, nullptr, 10));
    const int histories = count == nullptr ? kHistories : std::atoi(count);
    for (int i = 0; i < histories; ++i) {
        const unsigned seed = from + static_cast<unsigned>(i);
        CAPTURE(seed);
        History history(seed);
        history.play();
        history.recover();
        history.check();
    }
}

}  // namespace
