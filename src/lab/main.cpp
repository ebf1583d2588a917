// pinedoor-lab: worlds of emulated servers and clients, and what the front node makes of them.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "lab/commands.hpp"
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
            throw pinedoor::stated::BadStated("--set " + item +
                                              ": write key=value, such as servers.count=24");
        changes.emplace_back(item.substr(0, equal), item.substr(equal + 1));
    }
    return changes;
}

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
            "Exit codes: 0 done; 1 a file cannot be used; 2 the words are not understood; 3 a rule was "
            "broken; 130 "
            "stopped by SIGINT.");
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
        to->add_option("--seed", seed_, "Another seed than the file's")->check(CLI::NonNegativeNumber);
        to->add_option("--set", changes_, "Change the world: servers.count=24, clients.0.per_second=500");
    }
    std::string program() const {
        if (!program_.empty()) return program_;
        return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "pinedoor").string();
    }
    void add_policy(CLI::App* to) {
        to->add_option("--policy", policy_, "Who decides")->check(CLI::IsMember(policy_names()));
    }
    void add_experiment(CLI::App* to) {
        to->add_option("--seeds", compare_.seeds, "So many, from the world's own on")
            ->check(CLI::Range(2, 10'000));
        to->add_option("--threads", compare_.threads, "Runs at a time; 0: one a core");
        to->add_option(
            "--results", compare_.results,
            "Keep what comes of each run in this SQLite file, and do not play again what it holds");
    }

    void add_run(CLI::App& app) {
        auto* run = app.add_subcommand("run", "Play a world in simulated time and print what came of it");
        add_world(run);
        add_policy(run);
        run->add_option("--log", run_.log, "Write what happens, a line each, to this file");
        run->add_flag("--check", run_.check, "Check the six rules by the log; exit 3 if one is broken");
        run->add_flag("--json", run_.json, "One JSON object");
        run->callback([this] { code_ = run_world(world(), *policy_named(policy_), run_); });
        auto* live = app.add_subcommand("live", "Play a world on sockets, with real front nodes on loopback");
        add_world(live);
        live->add_option("--program", program_, "pinedoor; else the one beside this program");
        live->add_option("--connections", connections_, "Of clients, at most")->capture_default_str();
        live->add_option("--log", run_.log, "Write what happens, a line each, to this file");
        live->add_flag("--check", run_.check, "Check the six rules by the log; exit 3 if one is broken");
        live->add_flag("--json", run_.json, "One JSON object");
        live->callback([this] { code_ = pinedoor::lab::live(world(), program(), connections_, run_); });
        auto* watch =
            app.add_subcommand("watch", "Play a world on sockets to look at, with a report at the end");
        add_world(watch);
        watch->add_option("--program", program_, "pinedoor; else the one beside this program");
        watch->add_option("--out", out_, "The report")->capture_default_str();
        watch->callback([this] { code_ = pinedoor::lab::watch(world(), program(), out_); });
        auto* fleet = app.add_subcommand(
            "fleet", "Play many front nodes on sockets, with faults of processes and of links between them");
        add_world(fleet);
        fleet->add_option("--program", program_, "pinedoor; else the one beside this program");
        fleet->add_option("--connections", connections_, "Of clients, at most")->capture_default_str();
        fleet->add_option("--log", run_.log, "Write what happens, a line each, to this file");
        fleet
            ->add_option("--hunt", fleet_hunt_.rounds,
                         "Search so many schedules of faults for the worst, and shrink it")
            ->check(CLI::Range(1, 100'000));
        fleet->add_option("--faults", fleet_hunt_.max_faults, "Of a schedule that is hunted for, at most")
            ->capture_default_str()
            ->check(CLI::Range(1, 100));
        fleet->add_option("--out", fleet_hunt_.out,
                          "Write the world that the hunt found here; else it is printed");
        fleet->callback([this] {
            auto world = FleetWorld::read_file(path_, read_changes(changes_));
            if (seed()) world.world.seed = *seed();
            if (fleet_hunt_.rounds > 0) {
                code_ = pinedoor::lab::fleet_hunt(world, program(), connections_, fleet_hunt_);
                return;
            }
            code_ = pinedoor::lab::fleet(world, program(), connections_, run_.log);
        });
        auto* judge = app.add_subcommand("judge", "Check the six rules by a log that was written");
        judge->add_option("log", path_, "The log of a run")->required();
        judge->callback([this] { code_ = judge_log(path_); });
    }
    void add_compare(CLI::App& app) {
        auto* compare =
            app.add_subcommand("compare", "Play worlds under several variants, on the same seeds");
        compare->add_option("worlds", compare_.worlds, "Worlds' TOML")->required();
        compare->add_option(
            "--variants,--policies", compare_.variants,
            "POLICY[,KEY=VALUE...] or build:PROGRAM; the first is what the others are compared with");
        add_experiment(compare);
        compare->callback([this] {
            if (compare_.variants.empty()) compare_.variants = policy_names();
            code_ = compare_variants(compare_);
        });
        auto* sweep = app.add_subcommand("sweep", "One number of a world against service");
        sweep->add_option("world", path_, "A world's TOML")->required();
        sweep->add_option("key", key_, "Such as servers.queue or sends.most")->required();
        sweep->add_option("values", values_, "The first is what the others are compared with")->required();
        add_policy(sweep);
        add_experiment(sweep);
        sweep->callback([this] {
            compare_.worlds = {path_};
            for (const auto& value : values_) compare_.variants.push_back(policy_ + ',' + key_ + '=' + value);
            code_ = compare_variants(compare_);
        });
    }
    void add_hunt(CLI::App& app) {
        auto* hunt = app.add_subcommand("hunt", "Search troubles for the worst day, and shrink it");
        add_world(hunt);
        hunt->add_option("--for", hunt_.goal,
                         "loss of service; gap to who sees all; rule: the day nearest to a broken one")
            ->check(CLI::IsMember({"loss", "gap", "rule"}));
        hunt->add_option("--rounds", hunt_.rounds)->capture_default_str()->check(CLI::Range(1, 100'000));
        hunt->add_option("--each", hunt_.worlds_per_round, "Worlds a round")
            ->capture_default_str()
            ->check(CLI::Range(1, 10'000));
        hunt->add_option("--seeds", hunt_.seeds, "For each world")
            ->capture_default_str()
            ->check(CLI::Range(1, 1'000));
        hunt->add_option("--troubles", hunt_.max_troubles, "At most")
            ->capture_default_str()
            ->check(CLI::Range(1, 100));
        hunt->add_option("--keep", hunt_.keep_ratio, "Of what was found, in the shrunk world")
            ->capture_default_str()
            ->check(CLI::Range(0.0, 1.0));
        hunt->add_option("--threads", hunt_.threads, "Runs at a time; 0: one a core");
        hunt->add_option("--out", hunt_.out, "Write the shrunk world here; else it is printed");
        hunt->callback([this] { code_ = pinedoor::lab::hunt(world(), hunt_); });
    }
    void add_scale(CLI::App& app) {
        auto* scale = app.add_subcommand("scale", "Service, CPU and memory as a world grows");
        add_world(scale);
        scale->add_option("--what", what_, "servers (and requests), nodes, fleet (both), parts")
            ->capture_default_str()
            ->check(CLI::IsMember({"servers", "nodes", "fleet", "parts"}));
        scale->add_option("--factors", factors_)->capture_default_str()->check(CLI::PositiveNumber);
        scale->callback([this] { code_ = pinedoor::lab::scale(world(), what_, factors_); });
    }
    void add_reports(CLI::App& app) {
        auto* replay = app.add_subcommand("replay", "One multiget's life, from a world or a log");
        replay->add_option("path", path_, "A world's TOML or a log")->required();
        replay->add_option("multiget", multiget_, "Its number; else one of those that went worst");
        replay->add_option("--node", node_, "A front node's life instead, from a log that fleet wrote");
        replay->add_option("--seed", seed_, "Another seed than the file's")->check(CLI::NonNegativeNumber);
        replay->callback([this] {
            if (node_ >= 0) {
                code_ = pinedoor::lab::replay_node(path_, node_);
                return;
            }
            code_ = pinedoor::lab::replay(
                path_, multiget_ < 0 ? std::nullopt : std::optional<std::uint64_t>(multiget_), seed());
        });
        auto* report = app.add_subcommand("report", "A run as one HTML file, from a world or a log");
        report->add_option("path", path_, "A world's TOML or a log")->required();
        report->add_option("--seed", seed_, "Another seed than the file's")->check(CLI::NonNegativeNumber);
        add_policy(report);
        report->add_option("--out", out_)->capture_default_str();
        report->add_option("--plots", plots_, "Write the plots into this folder too, as SVG and PNG");
        report->callback(
            [this] { code_ = pinedoor::lab::report(path_, seed(), *policy_named(policy_), out_, plots_); });
    }
    void add_worlds(CLI::App& app) {
        auto* worlds = app.add_subcommand("world", "Worlds as files")->require_subcommand(1);
        auto* check = worlds->add_subcommand("check", "Say whether a world can be used");
        check->add_option("world", path_, "A world's TOML")->required();
        check->callback([this] {
            World::read_file(path_);
            std::printf("%s: good\n", path_.c_str());
        });
        auto* show = worlds->add_subcommand("show", "Print a world with every key, defaults filled in");
        add_world(show);
        show->callback([this] { std::printf("%s", world().to_toml().c_str()); });
        auto* made = worlds->add_subcommand("new", "Write a calm world to begin with");
        made->add_option("file", path_, "It must not be there")->required();
        made->add_option("--set", changes_, "Change it: servers.count=24");
        made->callback([this] {
            if (std::ifstream(path_))
                throw pinedoor::stated::BadStated(path_ + ": is there already; name another file");
            const auto changed =
                World::from_text("name = \"new\"\n[[clients]]\n", path_, read_changes(changes_));
            if (!(std::ofstream(path_) << changed.to_toml()))
                throw pinedoor::stated::BadStated(path_ + ": cannot be written");
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
};

}  // namespace

int main(int count, char** arguments) {
    CLI::App app{"Worlds of emulated servers and clients, and what pinedoor makes of them", "pinedoor-lab"};
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
