#include "tool/shard_commands.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>

#include "stated/fleet_file.hpp"
#include "stated/installation.hpp"
#include "store/make_backend.hpp"
#include "tool/command_group.hpp"
#include "tool/command_line.hpp"
#include "tool/fleet_view.hpp"
#include "tool/planned_moves.hpp"
#include "tool/shard_carrier.hpp"
#ifdef PINEDOOR_HAS_GLPK
#include "placement/exact.hpp"
#endif

namespace pinedoor::tool {
namespace {

using namespace placement;
using Json = nlohmann::ordered_json;
constexpr int kBarWidth = 40;  // columns of a plot

std::string bar(double value, double max) {
    const auto length = max > 0 ? static_cast<std::size_t>(value / max * kBarWidth + 0.5) : 0;
    return std::string(std::min<std::size_t>(length, kBarWidth), '#');
}

class ShardCommands : CommandGroup {
public:
    ShardCommands(CLI::App& app, int& exit_code)
        : CommandGroup(app, exit_code, "shards", "See, plan and move shards, and stop moves") {
        group_->footer(
            "Examples:\n  pinedoor shards plan fleet.toml\n"
            "  pinedoor shards -s deploy/pinedoor.toml --discovery 10.0.0.5:7000 apply fleet.toml --dry-run\n"
            "  pinedoor shards -s deploy/pinedoor.toml abort 17\n"
            "  pinedoor shards heat --node 10.0.0.7:8080 --node 10.0.0.8:8080");
        group_
            ->add_option("-s,--settings", settings_,
                         "The settings (TOML) that name the store with the journal")
            ->envname("PINEDOOR_SETTINGS");
        group_->add_option("--sqlite", sqlite_,
                           "A SQLite file for the journal, instead of the store in the settings");
        group_->add_option("--discovery", discovery_, "HOST:PORT of discovery, an IPv4 address");
        group_->add_option("--path", path_, "Path of the map at discovery")->capture_default_str();
        add_all();
    }

private:
    void add_all() {
        auto* show = command("show", "Show the map published by discovery", [this] { return this->show(); });
        show->add_flag("--json", json_, "The map as one JSON object");
        auto* check = command("check", "Check whether a fleet file can be used; exit 3 if not",
                              [this] { return this->check(); });
        check->add_option("file", file_, "The fleet's TOML")->required();
        auto* plan = command(
            "plan", "Plan the placement of replicas and the steps to it; exit 3 if a requirement is unmet",
            [this] { return this->run_plan(); });
        plan->add_option("file", file_, "The fleet's TOML")->required();
        plan->add_flag("--json", json_, "One JSON object");
        plan->add_flag("--exact", exact_, "The optimum, computed with GLPK; for small fleets only");
        plan->add_option("--seconds", seconds_, "For --exact")->capture_default_str();
        auto* apply =
            command("apply", "Plan and execute the moves; without a file, continue the pending ones",
                    [this] { return this->apply(); });
        apply->add_option("file", file_, "The fleet's TOML");
        apply->add_flag("--dry-run", dry_run_, "Only list the moves");
        apply->add_option("--node", nodes_,
                          "HOST:PORT of a front node: moves pause while nodes reject many multigets");
        apply->add_option("--at-once", desk_config_.at_once, "Maximum number of concurrent moves")
            ->capture_default_str();
        apply->add_option("--at-once-box", desk_config_.at_once_box, "Maximum from one box, and to one box")
            ->capture_default_str();
        apply->add_option("--at-once-zone", desk_config_.at_once_zone, "Maximum to one zone")
            ->capture_default_str();
        apply->add_option("--pause-above", desk_config_.pause_above, "Share of multigets rejected or failed")
            ->capture_default_str();
        apply->add_option("--resume-below", desk_config_.resume_below, "The same, to resume")
            ->capture_default_str();
        apply
            ->add_option("--lease-ms", lease_ms_, "Lease duration, after which another process may take over")
            ->capture_default_str()
            ->check(CLI::Range(100, 3'600'000));
        auto* split = command("split", "Schedule the split of a shard; `apply` executes it",
                              [this] { return this->schedule_cut(true); });
        split->add_option("shard", shard_, "Its number")->required();
        split->add_option("key", split_key_, "The first key of the upper part, hexadecimal")->required();
        auto* merge = command("merge", "Schedule the merge of two adjacent shards on the same boxes",
                              [this] { return this->schedule_cut(false); });
        merge->add_option("lower", shard_, "Number of the lower shard")->required();
        merge->add_option("upper", other_shard_, "Number of the upper shard")->required();
        command("pause", "Start no move, and hold those that have not fenced yet",
                [this] { return this->pause(true); });
        command("resume", "Resume the moves", [this] { return this->pause(false); });
        auto* abort = command("abort", "Undo a move, unless it has switched; exit 3 if there is none",
                              [this] { return this->abort(); });
        abort->add_option("move", move_id_, "Its number, as `history` prints it")->required();
        auto* history = command("history", "List all moves, and the process that executes them",
                                [this] { return this->history(); });
        history->add_flag("--json", json_, "A JSON object a line");
        history->add_flag("--open", open_only_, "Only those that have not ended");
        auto* heat = command("heat", "List the hottest shards by the counters of front nodes",
                             [this] { return this->heat(); });
        heat->add_option("--node", nodes_, "HOST:PORT of a front node")->required();
        heat->add_flag("--json", json_, "A JSON object a line");
    }

    static net::Endpoint endpoint(const std::string& text, const char* option) {
        const auto endpoint = net::parse_endpoint(text);
        if (!endpoint)
            throw CommandError(std::string(option) + " is '" + text + "'; write an IPv4 address and a port");
        return *endpoint;
    }

    std::unique_ptr<store::SqlDb> open_journal() {
        store::StoreConfig store_config;
        if (!settings_.empty()) store_config = stated::NodeSettings::read_file(settings_).store;
        if (!sqlite_.empty()) {
            store_config.kind = store::Kind::kSqlite;
            store_config.sqlite_file = sqlite_;
        }
        if (store_config.kind == store::Kind::kNone)
            throw CommandError(
                "no store is named for the journal; give --settings FILE with [store] kind, or --sqlite");
        auto db = store::open_db(store_config);
        if (db->kind() == "postgres" && store::schema_version(*db) == 0)
            throw CommandError("the store is empty; run `pinedoor store init`");
        store::MoveJournal(*db).init();
        return db;
    }

    int show() {
        ServerNames names;
        const auto fleet = fetch_fleet(endpoint(discovery_, "--discovery"), path_, names, 2'000);
        if (json_) {
            std::printf("%s\n", print_map(fleet.map, names).c_str());
            return kSuccess;
        }
        std::printf("version %llu, %zu shards\n%-8s %-17s %-17s %6s  %s\n",
                    static_cast<unsigned long long>(fleet.map.version()), fleet.map.size(), "shard", "first",
                    "last", "epoch", "boxes, the owner first");
        for (const auto& shard : fleet.map.shards()) {
            auto text = names.name(shard.owner());
            for (const auto& each : shard.replicas) {
                if (each.role == Role::kReader) text += ' ' + names.name(each.box);
            }
            std::printf("%-8llu %-17s %-17s %6llu  %s\n", static_cast<unsigned long long>(shard.id),
                        print_key(shard.first).c_str(), print_key(shard.last).c_str(),
                        static_cast<unsigned long long>(shard.epoch), text.c_str());
        }
        return kSuccess;
    }

    int check() {
        try {
            const auto file = stated::read_fleet_file(file_);
            std::printf("%s: good, %zu boxes, %zu shards\n", file_.c_str(), file.fleet.boxes.size(),
                        file.fleet.shards.size());
            return kSuccess;
        } catch (const stated::ConfigError& error) {
            std::printf("%s\n", error.what());
            return kProblemFound;
        }
    }

    Plan make_plan(const stated::FleetFile& file) {
        if (!exact_) return plan(file.fleet);
#ifdef PINEDOOR_HAS_GLPK
        std::string why;
        const auto best = exact_target(file.fleet, seconds_, why);
        if (!best) throw CommandError(why);
        if (!best->proven) std::fprintf(stderr, "pinedoor: the time ran out: not proven to be the best\n");
        return order_steps(file.fleet, best->target);
#else
        throw CommandError("this pinedoor was built without GLPK; install libglpk-dev and build it again");
#endif
    }

    std::string describe(const PlanStep& step, const ServerNames& names) const {
        const auto shard = "shard " + std::to_string(step.shard);
        switch (step.kind) {
            case PlanStep::Kind::kCopy:
                return "copy " + shard + "  " + names.name(step.from) + " -> " + names.name(step.to);
            case PlanStep::Kind::kPass:
                return "pass " + shard + "  " + names.name(step.from) + " -> " + names.name(step.to);
            case PlanStep::Kind::kRemove: return "remove " + shard + "  " + names.name(step.from);
        }
        return {};
    }

    int run_plan() {
        const auto file = stated::read_fleet_file(file_);
        const auto result = make_plan(file);
        const auto exit_code = result.unmet.empty() ? kSuccess : kProblemFound;
        std::vector<std::vector<Replica>> now;
        for (const auto& need : file.fleet.shards) now.push_back(need.now);
        const auto before = loads(file.fleet, now), after = loads(file.fleet, result.target);
        if (json_) {
            Json json;
            json["fullest_before"] = result.fullest_before;
            json["fullest_after"] = result.fullest_after;
            json["copies"] = result.copies;
            json["moved"] = result.bytes_moved;
            json["unmet"] = result.unmet;
            json["boxes"] = Json::array();
            for (std::size_t b = 0; b < before.size(); ++b)
                json["boxes"].push_back({{"name", file.names.name(file.fleet.boxes[b].id)},
                                         {"before", before[b]},
                                         {"after", after[b]}});
            json["waves"] = Json::array();
            for (const auto& wave : result.waves) {
                auto& list = json["waves"].emplace_back(Json::array());
                for (const auto& step : wave) list.push_back(describe(step, file.names));
            }
            std::printf("%s\n", json.dump().c_str());
            return exit_code;
        }
        std::printf("fullest box %.3f -> %.3f of its capacity; %zu copies, %.6g moved, %zu waves\n",
                    result.fullest_before, result.fullest_after, result.copies, result.bytes_moved,
                    result.waves.size());
        const double fullest = std::max(result.fullest_before, result.fullest_after);
        for (std::size_t b = 0; b < before.size(); ++b) {
            std::printf("%-16s before %6.3f %s\n%-16s after  %6.3f %s\n",
                        file.names.name(file.fleet.boxes[b].id).c_str(), before[b],
                        bar(before[b], fullest).c_str(), "", after[b], bar(after[b], fullest).c_str());
        }
        for (std::size_t w = 0; w < result.waves.size(); ++w) {
            for (const auto& step : result.waves[w])
                std::printf("wave %zu: %s\n", w + 1, describe(step, file.names).c_str());
        }
        for (const auto& each : result.unmet) std::printf("unmet: %s\n", each.c_str());
        return exit_code;
    }

    // The moves of the plan, based on the current map. The fleet file must agree with the map.
    std::vector<store::JournalMove> moves_of(const stated::FleetFile& file, const FleetView& fleet,
                                             ServerNames& names) {
        const auto result = make_plan(file);
        if (!result.unmet.empty())
            throw CommandError("the plan leaves something unmet: " + result.unmet.front());
        std::map<ShardId, std::size_t> first_wave;
        for (std::size_t w = result.waves.size(); w-- > 0;) {
            for (const auto& step : result.waves[w]) first_wave[step.shard] = w;
        }
        const auto to_map_ids = [&](std::vector<Replica> replicas) {
            for (auto& each : replicas) each.box = *names.number(file.names.name(each.box));
            std::sort(replicas.begin(), replicas.end());
            return replicas;
        };
        std::vector<store::JournalMove> all;
        for (std::size_t s = 0; s < file.fleet.shards.size(); ++s) {
            const auto& need = file.fleet.shards[s];
            const auto* shard = fleet.map.find(need.shard);
            const auto planned_from = to_map_ids(need.now);
            auto actual = shard == nullptr ? std::vector<Replica>{} : shard->replicas;
            std::sort(actual.begin(), actual.end());
            if (actual != planned_from)
                throw CommandError("shard " + std::to_string(need.shard) +
                                   " is not where the fleet's file says; see `shards show`");
            auto wave = first_wave.contains(need.shard) ? first_wave[need.shard] : 0;
            for (auto& move :
                 moves_between(need.shard, shard->epoch, planned_from, to_map_ids(result.target[s]))) {
                move.wave = wave++;
                move.from = names.name(move.move.from);
                move.to = names.name(move.move.to);
                move.map = fleet.map.version();
                all.push_back(std::move(move));
            }
        }
        std::stable_sort(all.begin(), all.end(),
                         [](const auto& a, const auto& b) { return a.wave < b.wave; });
        return all;
    }

    int apply() {
        if (const auto fault = MoveQueue::fault_of(desk_config_); !fault.empty()) throw CommandError(fault);
        MoveExecutorConfig config;
        config.discovery = endpoint(discovery_, "--discovery");
        config.path = path_;
        config.desk = desk_config_;
        config.lease = lease_ms_ * 10;
        for (const auto& node : nodes_) config.nodes.push_back(endpoint(node, "--node"));
        char host[256] = {};
        gethostname(host, sizeof host - 1);
        config.who = std::string(host) + '/' + std::to_string(getpid());
        const auto db = dry_run_ ? nullptr : open_journal();
        if (!file_.empty()) {
            ServerNames names;
            const auto fleet = fetch_fleet(config.discovery, path_, names, 2'000);
            auto moves = moves_of(stated::read_fleet_file(file_), fleet, names);
            if (db) {
                store::MoveJournal journal(*db);
                if (!journal.moves(true).empty())
                    throw CommandError(
                        "moves of an earlier plan have not ended; see `shards history --open`");
                moves = journal.add(std::move(moves));
            }
            for (const auto& each : moves)
                std::printf("%s of shard %llu  %s -> %s\n", std::string(name_of(each.move.kind)).c_str(),
                            static_cast<unsigned long long>(each.move.shard), each.from.c_str(),
                            each.to.empty() ? "-" : each.to.c_str());
            std::fflush(stdout);
        }
        if (!db) return kSuccess;
        MoveExecutor carrier(*db, config, [](const std::string& line) {
            std::printf("%s\n", line.c_str());
            std::fflush(stdout);
        });
        return carrier.run() ? kSuccess : kProblemFound;
    }

    // Whether the map allows the change is checked against the current map.
    int schedule_cut(bool split) {
        ServerNames names;
        const auto fleet = fetch_fleet(endpoint(discovery_, "--discovery"), path_, names, 2'000);
        const auto db = open_journal();
        store::MoveJournal journal(*db);
        ShardId next = 0;
        for (const auto& shard : fleet.map.shards()) next = std::max(next, shard.id);
        for (const auto& each : journal.moves(false))
            next = std::max({next, each.move.cut.lower, each.move.cut.upper});
        store::JournalMove requested;
        requested.move.shard = shard_;
        requested.move.kind = split ? MoveKind::kSplit : MoveKind::kMerge;
        requested.move.cut.other = split ? 0 : other_shard_;
        requested.move.cut.lower = next + 1;
        requested.move.cut.upper = split ? next + 2 : 0;
        const auto key = read_key(split_key_);
        if (split && !key)
            throw CommandError("'" + split_key_ + "' is no key; write up to 16 hexadecimal digits");
        requested.move.cut.at = key.value_or(0);
        const Step step = split ? Step(Split{shard_, *key, next + 1, next + 2})
                                : Step(Merge{shard_, other_shard_, next + 1});
        const auto tried = fleet.map.after(step);
        if (const auto* refused = std::get_if<ShardMap::Refused>(&tried)) throw CommandError(refused->why);
        const auto* shard = fleet.map.find(shard_);
        requested.move.from = shard->owner();
        requested.move.epoch = shard->epoch;
        requested.from = names.name(shard->owner());
        requested.map = fleet.map.version();
        // Scheduled after all pending moves, which may concern the same shard.
        for (const auto& each : journal.moves(true)) requested.wave = std::max(requested.wave, each.wave + 1);
        const auto added = journal.add({requested});
        std::printf("move %llu: %s\n", static_cast<unsigned long long>(added.front().move.id),
                    print(step).c_str());
        return kSuccess;
    }

    int pause(bool paused) {
        const auto db = open_journal();
        store::MoveJournal(*db).pause(paused);
        std::printf("%s\n", paused ? "paused" : "resumed");
        return kSuccess;
    }

    int abort() {
        const auto db = open_journal();
        if (!store::MoveJournal(*db).wish(move_id_, "abort")) {
            std::printf("there is no move %llu that goes on\n", static_cast<unsigned long long>(move_id_));
            return kProblemFound;
        }
        std::printf("move %llu is to be undone; whoever carries it says how that went\n",
                    static_cast<unsigned long long>(move_id_));
        return kSuccess;
    }

    int history() {
        const auto db = open_journal();
        store::MoveJournal journal(*db);
        const auto holder = journal.holder();
        if (!json_)
            std::printf("%s%s\n", holder.empty() ? "nobody carries moves" : ("carried by " + holder).c_str(),
                        journal.paused() ? ", paused" : "");
        for (const auto& each : journal.moves(open_only_)) {
            if (json_) {
                std::printf("%s\n", Json{{"move", each.move.id},
                                         {"kind", name_of(each.move.kind)},
                                         {"shard", each.move.shard},
                                         {"from", each.from},
                                         {"to", each.to},
                                         {"step", name_of(each.move.step)},
                                         {"wave", each.wave},
                                         {"map", each.map},
                                         {"wish", each.wish},
                                         {"note", each.note}}
                                        .dump()
                                        .c_str());
                continue;
            }
            std::printf("%-6llu %-8s shard %-8llu %s -> %s  %s%s%s%s\n",
                        static_cast<unsigned long long>(each.move.id),
                        std::string(name_of(each.move.kind)).c_str(),
                        static_cast<unsigned long long>(each.move.shard), each.from.c_str(),
                        each.to.empty() ? "-" : each.to.c_str(), std::string(name_of(each.move.step)).c_str(),
                        each.wish.empty() ? "" : ", wished: ", each.wish.c_str(),
                        each.note.empty() ? "" : (", " + each.note).c_str());
        }
        return kSuccess;
    }

    int heat() {
        std::map<std::uint64_t, std::uint64_t> load;
        std::uint64_t proposals = 0;
        for (const auto& node : nodes_) {
            const auto response = send_http_request(endpoint(node, "--node"), "GET", "/counters", "", 2'000);
            if (!response || response->status != 200) throw CommandError("no counters from " + node);
            std::istringstream in(response->body);
            std::uint64_t value = 0;
            constexpr std::string_view kName = "heat_shard_";
            for (std::string name; in >> name >> value;) {
                if (name.starts_with(kName))
                    load[std::strtoull(name.c_str() + kName.size(), nullptr, 10)] += value;
                if (name == "placement_proposals") proposals += value;
            }
        }
        std::vector<std::pair<std::uint64_t, std::uint64_t>> sorted(load.begin(), load.end());
        std::sort(sorted.begin(), sorted.end(),
                  [](const auto& a, const auto& b) { return a.second > b.second; });
        for (const auto& [shard, parts] : sorted) {
            if (json_)
                std::printf("%s\n", Json{{"shard", shard}, {"parts_per_second", parts}}.dump().c_str());
            else
                std::printf(
                    "shard %-8llu %8llu parts a second  %s\n", static_cast<unsigned long long>(shard),
                    static_cast<unsigned long long>(parts),
                    bar(static_cast<double>(parts), static_cast<double>(sorted.front().second)).c_str());
        }
        if (!json_)
            std::printf("%llu proposals so far; the nodes' logs name them (placement_proposed)\n",
                        static_cast<unsigned long long>(proposals));
        return kSuccess;
    }

    std::string settings_, sqlite_, discovery_, path_ = "/discovery/shards", file_;
    std::vector<std::string> nodes_;
    bool json_ = false, exact_ = false, dry_run_ = false, open_only_ = false;
    int seconds_ = 30;
    std::int64_t lease_ms_ = 10'000;
    std::uint64_t move_id_ = 0, shard_ = 0, other_shard_ = 0;
    std::string split_key_;
    MoveQueueConfig desk_config_;
};

}  // namespace

void add_shard_commands(CLI::App& app, int& exit_code) {
    auto commands = std::make_shared<ShardCommands>(app, exit_code);
    // Keeps the commands alive while arguments are parsed, because CLI11 holds pointers to their members.
    app.get_subcommand("shards")->parse_complete_callback([commands] {});
}

}  // namespace pinedoor::tool
