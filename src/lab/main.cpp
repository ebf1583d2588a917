// pinedoor-lab: parses the command line and runs the subcommands of commands.hpp.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "lab/commands.hpp"
#include "lab/soak/soak_command.hpp"
#include "stated/stated.hpp"

namespace {

using namespace pinedoor::lab;

constexpr int kExitError = 1;
constexpr int kExitUsage = 2;

World::Changes read_changes(const std::vector<std::string>& items) {
    World::Changes changes;
    for (const auto& item : items) {
        const auto equal = item.find('=');
        if (equal == std::string::npos)
            throw pinedoor::stated::ConfigError("--set " + item +
                                                ": write key=value, such as servers.count=24");
        changes.emplace_back(item.substr(0, equal), item.substr(equal + 1));
    }
    return changes;
}

// Declares the subcommands with their options and runs the one that is given.
class CommandLine {
public:
    explicit CommandLine(CLI::App& app) {
        app.require_subcommand(1);
        app.footer(
            "Examples:\n"
            "  pinedoor-lab run lab/worlds/hall.toml --check\n"
            "  pinedoor-lab live lab/worlds/hall.toml --check\n"
            "  pinedoor-lab fleet lab/fleets/cold-start.toml --set nodes=30\n"
            "  pinedoor-lab compare lab/worlds/evening.toml --seeds 20 --results lab.db\n"
            "  pinedoor-lab compare lab/worlds/*.toml --variants pinedoor pinedoor,sends.most=2 sees-all\n"
            "  pinedoor-lab sweep lab/worlds/evening.toml servers.queue 4 16 64\n"
            "  pinedoor-lab hunt lab/worlds/evening.toml --for gap --out worst.toml\n"
            "  pinedoor-lab report worst.toml --out worst.html\n"
            "  pinedoor-lab replay worst.toml\n\n"
            "Exit codes: 0 success; 1 a file cannot be used; 2 invalid command line; 3 a rule was "
            "broken; 130 "
            "interrupted by SIGINT.");
        add_run(app);
        add_compare(app);
        add_hunt(app);
        add_scale(app);
        add_reports(app);
        add_worlds(app);
    }
    int code() const { return code_; }

private:
    std::optional<std::uint64_t> seed() const {
        return seed_ < 0 ? std::nullopt : std::optional<std::uint64_t>(seed_);
    }
    World world() const {
        auto world = World::read_file(path_, read_changes(changes_));
        if (seed()) world.seed = *seed();
        return world;
    }
    void add_world(CLI::App* to) {
        to->add_option("world", path_, "A world's TOML")->required();
        to->add_option("--seed", seed_, "Seed that replaces the file's")->check(CLI::NonNegativeNumber);
        to->add_option("--set", changes_, "Change the world: servers.count=24, clients.0.per_second=500");
    }
    std::string program() const {
        if (!program_.empty()) return program_;
        return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "pinedoor").string();
    }
    void add_policy(CLI::App* to) {
        to->add_option("--policy", policy_, "The policy that makes the decisions")
            ->check(CLI::IsMember(policy_names()));
    }
    void add_experiment(CLI::App* to) {
        to->add_option("--seeds", compare_.seeds,
                       "Number of consecutive seeds, starting with the world's own")
            ->check(CLI::Range(2, 10'000));
        to->add_option("--threads", compare_.threads, "Concurrent runs; 0: one per core");
        to->add_option(
            "--results", compare_.results,
            "Store the result of each run in this SQLite file, and skip the runs that it already contains");
    }

    void add_run(CLI::App& app) {
        auto* run = app.add_subcommand("run", "Run a world in simulated time and print its totals");
        add_world(run);
        add_policy(run);
        run->add_option("--log", run_.log, "Write a log of the events, one per line, to this file");
        run->add_flag("--check", run_.check,
                      "Check the six rules against the log; exit code 3 if one is broken");
        run->add_flag("--json", run_.json, "Print one JSON object");
        run->callback([this] { code_ = run_world(world(), *policy_named(policy_), run_); });
        auto* live = app.add_subcommand("live", "Run a world on sockets, with real front nodes on loopback");
        add_world(live);
        live->add_option("--program", program_, "Path of pinedoor; default: beside this program");
        live->add_option("--connections", connections_, "Client connections, at most")->capture_default_str();
        live->add_option("--log", run_.log, "Write a log of the events, one per line, to this file");
        live->add_flag("--check", run_.check,
                       "Check the six rules against the log; exit code 3 if one is broken");
        live->add_flag("--json", run_.json, "Print one JSON object");
        live->callback([this] { code_ = pinedoor::lab::live(world(), program(), connections_, run_); });
        auto* watch = app.add_subcommand(
            "watch", "Run a world on sockets and show its state each second, with a report at the end");
        add_world(watch);
        watch->add_option("--program", program_, "Path of pinedoor; default: beside this program");
        watch->add_option("--out", out_, "The report")->capture_default_str();
        watch->callback([this] { code_ = pinedoor::lab::watch(world(), program(), out_); });
        auto* fleet = app.add_subcommand(
            "fleet", "Run many front nodes on sockets, with faults of processes and of links between them");
        add_world(fleet);
        fleet->add_option("--program", program_, "Path of pinedoor; default: beside this program");
        fleet->add_option("--connections", connections_, "Client connections, at most")
            ->capture_default_str();
        fleet->add_option("--log", run_.log, "Write a log of the events, one per line, to this file");
        fleet
            ->add_option("--hunt", fleet_hunt_.rounds,
                         "Try this many fault schedules, and reduce the worst one")
            ->check(CLI::Range(1, 100'000));
        fleet->add_option("--faults", fleet_hunt_.max_faults, "Faults per schedule of the hunt, at most")
            ->capture_default_str()
            ->check(CLI::Range(1, 100));
        fleet->add_option("--out", fleet_hunt_.out,
                          "File for the world found by --hunt; default: standard output");
        fleet->callback([this] {
            auto world = FleetWorld::read_file(path_, read_changes(changes_));
            if (seed()) world.world.seed = *seed();
            if (fleet_hunt_.rounds > 0) {
                code_ = pinedoor::lab::fleet_hunt(world, program(), connections_, fleet_hunt_);
                return;
            }
            code_ = pinedoor::lab::fleet(world, program(), connections_, run_.log);
        });
        add_soak(app);
        auto* judge = app.add_subcommand("judge", "Check the six rules against a log file");
        judge->add_option("log", path_, "The log of a run")->required();
        judge->callback([this] { code_ = judge_log(path_); });
    }
    void add_soak(CLI::App& app) {
        auto* soak = app.add_subcommand(
            "soak", "Run a front node beside ordinary and abusive clients, with signals, and judge each run");
        soak->add_option("--seed", soak_.seed, "Seed of the first run")->capture_default_str();
        soak->add_option("--seeds", soak_.seeds, "Number of runs, with consecutive seeds")
            ->capture_default_str()
            ->check(CLI::Range(1, 100'000));
        soak->add_option("--seconds", soak_.seconds, "Length of a run")
            ->capture_default_str()
            ->check(CLI::Range(8, 3'600));
        soak->add_option("--program", program_, "Path of pinedoor; default: beside this program");
        soak->add_option("--log", soak_.log, "Write the observations of the last run to this file");
        soak->callback([this] { code_ = pinedoor::lab::soak(soak_, program()); });
        auto* judge = app.add_subcommand("soak-judge", "Judge the observations of a soak run");
        judge->add_option("log", path_, "The file")->required();
        judge->callback([this] { code_ = judge_soak(path_); });
    }
    void add_compare(CLI::App& app) {
        auto* compare = app.add_subcommand("compare", "Run worlds under several variants, on the same seeds");
        compare->add_option("worlds", compare_.worlds, "Worlds' TOML")->required();
        compare->add_option("--variants,--policies", compare_.variants,
                            "POLICY[,KEY=VALUE...] or build:PROGRAM; the first is the baseline");
        add_experiment(compare);
        compare->callback([this] {
            if (compare_.variants.empty()) compare_.variants = policy_names();
            code_ = compare_variants(compare_);
        });
        auto* sweep = app.add_subcommand("sweep", "Compare service for several values of one key of a world");
        sweep->add_option("world", path_, "A world's TOML")->required();
        sweep->add_option("key", key_, "The key, such as servers.queue or sends.most")->required();
        sweep->add_option("values", values_, "The values; the first is the baseline")->required();
        add_policy(sweep);
        add_experiment(sweep);
        sweep->callback([this] {
            compare_.worlds = {path_};
            for (const auto& value : values_) compare_.variants.push_back(policy_ + ',' + key_ + '=' + value);
            code_ = compare_variants(compare_);
        });
    }
    void add_hunt(CLI::App& app) {
        auto* hunt = app.add_subcommand(
            "hunt", "Search for the faults with the worst effect, and reduce the world that shows it");
        add_world(hunt);
        hunt->add_option("--for", hunt_.goal,
                         "loss: of service; gap: to the policy sees-all; rule: nearness to a broken rule")
            ->check(CLI::IsMember({"loss", "gap", "rule"}));
        hunt->add_option("--rounds", hunt_.rounds)->capture_default_str()->check(CLI::Range(1, 100'000));
        hunt->add_option("--each", hunt_.worlds_per_round, "Worlds per round")
            ->capture_default_str()
            ->check(CLI::Range(1, 10'000));
        hunt->add_option("--seeds", hunt_.seeds, "Seeds per world")
            ->capture_default_str()
            ->check(CLI::Range(1, 1'000));
        hunt->add_option("--troubles", hunt_.max_troubles, "Faults per world, at most")
            ->capture_default_str()
            ->check(CLI::Range(1, 100));
        hunt->add_option("--keep", hunt_.keep_ratio,
                         "Least share of the badness found that the reduced world must keep")
            ->capture_default_str()
            ->check(CLI::Range(0.0, 1.0));
        hunt->add_option("--threads", hunt_.threads, "Concurrent runs; 0: one per core");
        hunt->add_option("--out", hunt_.out, "File for the reduced world; default: standard output");
        hunt->callback([this] { code_ = pinedoor::lab::hunt(world(), hunt_); });
    }
    void add_scale(CLI::App& app) {
        auto* scale = app.add_subcommand("scale", "Measure service, CPU and memory as a world grows");
        add_world(scale);
        scale->add_option("--what", what_, "servers (and requests), nodes, fleet (both), parts")
            ->capture_default_str()
            ->check(CLI::IsMember({"servers", "nodes", "fleet", "parts"}));
        scale->add_option("--factors", factors_)->capture_default_str()->check(CLI::PositiveNumber);
        scale->callback([this] { code_ = pinedoor::lab::scale(world(), what_, factors_); });
    }
    void add_reports(CLI::App& app) {
        auto* replay =
            app.add_subcommand("replay", "Print the history of one multiget, from a world or a log");
        replay->add_option("path", path_, "A world's TOML or a log")->required();
        replay->add_option("multiget", multiget_, "Its number; default: one of the worst");
        replay->add_option("--node", node_,
                           "Print the history of a front node instead, from a log written by fleet");
        replay->add_option("--seed", seed_, "Seed that replaces the file's")->check(CLI::NonNegativeNumber);
        replay->callback([this] {
            if (node_ >= 0) {
                code_ = pinedoor::lab::replay_node(path_, node_);
                return;
            }
            code_ = pinedoor::lab::replay(
                path_, multiget_ < 0 ? std::nullopt : std::optional<std::uint64_t>(multiget_), seed());
        });
        auto* report =
            app.add_subcommand("report", "Write a report of a run as one HTML file, from a world or a log");
        report->add_option("path", path_, "A world's TOML or a log")->required();
        report->add_option("--seed", seed_, "Seed that replaces the file's")->check(CLI::NonNegativeNumber);
        add_policy(report);
        report->add_option("--out", out_)->capture_default_str();
        report->add_option("--plots", plots_, "Also write the plots to this folder, as SVG and PNG");
        report->callback(
            [this] { code_ = pinedoor::lab::report(path_, seed(), *policy_named(policy_), out_, plots_); });
    }
    void add_worlds(CLI::App& app) {
        auto* worlds =
            app.add_subcommand("world", "Check, print or create world files")->require_subcommand(1);
        auto* check = worlds->add_subcommand("check", "Check whether a world is valid");
        check->add_option("world", path_, "A world's TOML")->required();
        check->callback([this] {
            World::read_file(path_);
            std::printf("%s: good\n", path_.c_str());
        });
        auto* show = worlds->add_subcommand("show", "Print a world with every key, defaults filled in");
        add_world(show);
        show->callback([this] { std::printf("%s", world().to_toml().c_str()); });
        auto* made = worlds->add_subcommand("new", "Write a new world without faults");
        made->add_option("file", path_, "Path of the new file; it must not exist")->required();
        made->add_option("--set", changes_, "Change the world: servers.count=24");
        made->callback([this] {
            if (std::ifstream(path_))
                throw pinedoor::stated::ConfigError(path_ + ": already exists; name another file");
            const auto changed =
                World::from_text("name = \"new\"\n[[clients]]\n", path_, read_changes(changes_));
            if (!(std::ofstream(path_) << changed.to_toml()))
                throw pinedoor::stated::ConfigError(path_ + ": cannot be written");
            std::printf("%s\n", path_.c_str());
        });
    }

    int code_ = kExitSuccess;
    std::string path_, policy_ = "pinedoor", key_, what_ = "fleet", out_ = "report.html", plots_;
    std::string program_;
    std::size_t connections_ = 2'000;
    std::int64_t seed_ = -1, multiget_ = -1;
    int node_ = -1;
    std::vector<std::string> changes_, values_;
    std::vector<double> factors_{1, 2, 4, 8};
    RunOptions run_;
    CompareOptions compare_;
    HuntOptions hunt_;
    FleetHuntOptions fleet_hunt_;
    SoakOptions soak_;
};

}  // namespace

int main(int count, char** arguments) {
    CLI::App app{"Runs pinedoor against worlds of emulated servers and clients", "pinedoor-lab"};
    CommandLine command_line(app);
    try {
        app.parse(count, arguments);
        return command_line.code();
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? kExitSuccess : kExitUsage;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "pinedoor-lab: %s\n", error.what());
        return kExitError;
    }
}
