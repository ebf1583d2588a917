#include "tool/store_commands.hpp"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "stated/installation.hpp"
#include "store/catalog.hpp"
#include "store/make_backend.hpp"
#include "store/sqlite_db.hpp"
#include "tool/command_group.hpp"
#include "tool/command_line.hpp"

namespace pinedoor::tool {
namespace {

using store::Filter;
using store::Record;
using store::SqlDb;
using store::Time;
using Json = nlohmann::ordered_json;

constexpr std::size_t kPageSize = 500;
constexpr Time kTicksPerSecond = 10'000;

std::string print_time(Time time) {
    if (time == 0) return "-";
    const std::time_t seconds = time / kTicksPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    return std::string(text.data()) + '.' + std::to_string(1000 + time % kTicksPerSecond / 10).substr(1) +
           'Z';
}

// Parses "2026-12-01T19:00:00Z", also shortened from the right, or an age: "90s", "15m", "2h", "7d".
Time read_time(const std::string& text) {
    const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count() /
                     100;
    char unit = 0;
    long long count = 0;
    int used = 0;
    if (std::sscanf(text.c_str(), "%lld%c%n", &count, &unit, &used) == 2 &&
        static_cast<std::size_t>(used) == text.size() && count >= 0) {
        for (const auto& [letter, seconds] : {std::pair{'s', 1}, {'m', 60}, {'h', 3'600}, {'d', 86'400}}) {
            if (unit == letter) return now - count * seconds * kTicksPerSecond;
        }
    }
    for (const char* form : {"%Y-%m-%dT%H:%M:%SZ", "%Y-%m-%dT%H:%M:%S", "%Y-%m-%dT%H:%M", "%Y-%m-%d"}) {
        std::tm parts{};
        const char* end = strptime(text.c_str(), form, &parts);
        if (end != nullptr && *end == '\0') return static_cast<Time>(timegm(&parts)) * kTicksPerSecond;
    }
    throw CommandError("'" + text + "' is not a time; write 2026-12-01T19:00:00Z, or an age such as 15m");
}

std::string text_for_json(const std::string& text) {
    // Texts from clients may be any bytes, but JSON must be UTF-8.
    return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json to_json(const Record& record, bool with_answer) {
    Json json;
    const auto put = [&json](const char* name, const std::string& text) {
        json[name] = Json::parse(text_for_json(text));
    };
    put("record", format_id(record.id));
    put("state", record.state);
    put("op_type", record.op_type);
    put("tenant", record.tenant);
    put("client", record.request_name);
    put("key", record.key);
    json["asked"] = print_time(record.requested_at);
    json["not_after"] = print_time(record.deadline);
    json["ended"] = print_time(record.ended_at);
    json["parts"] = record.part_count;
    put("part_fates", record.part_outcomes);
    put("note", record.note);
    json["answer_bytes"] = record.answer.size();
    if (with_answer) put("answer", record.answer);
    return json;
}

std::string csv_field(const std::string& text) {
    if (text.find_first_of(",\"\r\n") == std::string::npos) return text;
    std::string out = "\"";
    for (const char c : text) out += c == '"' ? std::string("\"\"") : std::string(1, c);
    return out + '"';
}

std::string printable(std::string text) {
    for (char& c : text) {
        if (static_cast<unsigned char>(c) < ' ' || c == 127) c = '?';
    }
    return text;
}

void print_row(const Record& record) {
    std::printf("%-24s %-18s %-24s %-16s %-12s %s%s%s\n", print_time(record.requested_at).c_str(),
                record.state.c_str(), format_id(record.id).c_str(), printable(record.op_type).c_str(),
                printable(record.tenant).c_str(), printable(record.request_name).c_str(),
                record.note.empty() ? "" : "  ", printable(record.note).c_str());
}

// Calls `on_record` for every record that matches the filter, reading page by page, until it returns false.
void for_each_record(SqlDb& db, Filter filter, Time lease,
                     const std::function<bool(const Record&)>& on_record) {
    const auto max_records = filter.max_records;
    for (std::size_t seen = 0; seen < max_records;) {
        filter.max_records = std::min(kPageSize, max_records - seen);
        const auto page = list_records(db, filter, lease);
        for (const auto& record : page) {
            if (!on_record(record)) return;
        }
        if (page.size() < filter.max_records) return;
        seen += page.size();
        filter.after_requested_at = page.back().requested_at;
        filter.after_id = page.back().id;
    }
}

class Commands : CommandGroup {
public:
    Commands(CLI::App& app, int& exit_code)
        : CommandGroup(app, exit_code, "store", "Query the store of record, and resolve records in doubt") {
        group_->add_option("-s,--settings", settings_, "The settings (TOML) that name the store")
            ->envname("PINEDOOR_SETTINGS");
        group_->add_option("--sqlite", sqlite_, "A SQLite file, instead of the store in the settings");
        group_->add_option("--postgres", postgres_,
                           "A libpq connection string, instead of the store in the settings");
        group_->footer(
            "Examples:\n  pinedoor store -s deploy/pinedoor.toml list --state in-doubt --since 2h\n"
            "  pinedoor store --sqlite records.db show n3/17/204\n"
            "  pinedoor store -s deploy/pinedoor.toml resolve n3/17/204 refused --who ann --why 'not on the "
            "books'");
        add_all();
    }

private:
    const store::StoreConfig& store_config() {
        if (store_config_) return *store_config_;
        store_config_.emplace();
        if (!settings_.empty()) *store_config_ = stated::NodeSettings::read_file(settings_).store;
        if (!sqlite_.empty()) {
            store_config_->kind = store::Kind::kSqlite;
            store_config_->sqlite_file = sqlite_;
        }
        if (!postgres_.empty()) {
            store_config_->kind = store::Kind::kPostgres;
            store_config_->postgres.conninfo = postgres_;
        }
        if (store_config_->kind == store::Kind::kNone)
            throw CommandError(
                "no store is configured; give --settings FILE with [store] kind, --sqlite or --postgres");
        return *store_config_;
    }

    std::unique_ptr<SqlDb> open(bool require_schema = true) {
        if (store_config().kind == store::Kind::kSqlite && require_schema &&
            !std::filesystem::exists(store_config().sqlite_path()))
            throw CommandError("there is no '" + store_config().sqlite_path() +
                               "'; run `pinedoor store init`");
        auto db = store::open_db(store_config());
        if (require_schema) check_schema(*db);
        return db;
    }

    void add_filter(CLI::App* command) {
        command->add_option("--state", state_,
                            "answered, answered-in-part, refused, failed, in-doubt or under-way");
        command->add_option("--tenant", tenant_, "Of this tenant only");
        command->add_option("--client", filter_.request_name, "The client's name for the multiget (X-Txn)");
        command->add_option("--op-type", filter_.op_type, "Of this op type only");
        command->add_option("--key", filter_.key, "With this Idempotency-Key only");
        command->add_option("--since", since_, "Requested at or after: 2026-12-01T19:00:00Z, or 15m ago");
        command->add_option("--until", until_, "Requested before");
        command->add_option("--most", filter_.max_records, "Maximum number of records")
            ->capture_default_str();
    }

    Filter filter() {
        auto filter = filter_;
        if (!state_.empty() && !store::is_record_state(state_)) {
            throw CommandError(
                "--state is '" + state_ +
                "'; it must be answered, answered-in-part, refused, failed, in-doubt or under-way");
        }
        filter.state = state_;
        if (!tenant_.empty()) filter.tenant = tenant_;
        if (!since_.empty()) filter.since = read_time(since_);
        if (!until_.empty()) filter.until = read_time(until_);
        return filter;
    }

    void add_all() {
        command("init", "Create the tables; an initialized store is left unchanged",
                [this] { return migrate(true); });
        command("migrate", "Bring an older store to this program's schema",
                [this] { return migrate(false); });
        auto* show =
            command("show", "Show one record, or a summary of the store", [this] { return this->show(); });
        show->add_option("record", record_, "NODE/INCARNATION/NUMBER, as `list` prints it");
        show->add_flag("--json", json_, "One JSON object");
        auto* list = command("list", "List records, oldest first", [this] { return this->list(); });
        add_filter(list);
        list->add_flag("--json", json_, "One JSON object a line");
        auto* resolve =
            command("resolve", "Resolve a record that is in doubt", [this] { return this->resolve(); });
        resolve->add_option("record", record_, "NODE/INCARNATION/NUMBER")->required();
        resolve->add_option("fate", fate_, "answered, refused (its key is free again) or failed")->required();
        resolve->add_option("--who", who_, "Who resolves it")->required();
        resolve->add_option("--why", why_, "The evidence")->required();
        auto* exported =
            command("export", "Export records, including answers", [this] { return export_all(); });
        add_filter(exported);
        exported->add_option("--format", format_, "csv or jsonl")->check(CLI::IsMember({"csv", "jsonl"}));
        auto* prune =
            command("prune", "Delete old records that have an outcome", [this] { return this->prune(); });
        prune->add_option("--before", until_, "Requested before: a time, or 30d ago")->required();
        prune->add_option("--step", step_, "Records per transaction")->capture_default_str();
        auto* backup =
            command("backup", "Copy a SQLite store while nodes write", [this] { return back_up(); });
        backup->add_option("file", path_, "The copy; the file must not exist")->required();
        auto* restore = command("restore", "Replace a lost SQLite store by a copy, or add what a store lacks",
                                [this] { return this->restore(); });
        restore->add_option("file", path_, "The copy")->required();
        restore->add_flag(
            "--add", add_,
            "Add what the store lacks, SQLite or PostgreSQL, also while nodes write; nothing is "
            "overwritten");
        auto* verify = command("verify", "Check for inconsistencies; exit 3 if there are any",
                               [this] { return this->verify(); });
        verify->add_flag("--json", json_, "One JSON object");
        auto* follow =
            command("follow", "Print records as they are created and end", [this] { return this->follow(); });
        follow->add_flag("--json", json_, "One JSON object a line");
        follow->add_option("--for", seconds_, "Seconds to run; 0: until interrupted");
    }

    int migrate(bool init) {
        const auto db = open(false);
        const int before = store::schema_version(*db);
        if (!init && before == 0) throw CommandError("the store is empty; run `pinedoor store init`");
        if (init && before != 0) check_schema(*db);
        const auto steps = store::migrate(*db);
        std::printf("schema %d\n", steps.empty() ? before : steps.back());
        return kSuccess;
    }

    int show() {
        const auto db = open();
        if (record_.empty()) return show_all(*db);
        const auto record = find(*db);
        const auto history = resolution_history(*db, record.id);
        auto json = to_json(record, true);
        json["history"] = Json::array();
        for (const auto& each : history) {
            json["history"].push_back({{"at", print_time(each.resolved_at)},
                                       {"who", each.resolved_by},
                                       {"why", each.reason},
                                       {"was", each.old_state},
                                       {"became", each.new_state}});
        }
        if (json_) {
            std::cout << json.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n';
            return kSuccess;
        }
        for (const auto& [name, value] : json.items()) {
            if (value.is_array()) continue;
            std::printf("%-13s %s\n", name.c_str(),
                        printable(value.is_string() ? value.get<std::string>() : value.dump()).c_str());
        }
        for (const auto& each : history) {
            std::printf("settled       %s by %s as %s: %s\n", print_time(each.resolved_at).c_str(),
                        printable(each.resolved_by).c_str(), each.new_state.c_str(),
                        printable(each.reason).c_str());
        }
        return kSuccess;
    }

    int show_all(SqlDb& db) {
        const auto found = summary(db, store_config().lease);
        Json json{{"schema", found.schema}, {"records", Json::object()}, {"nodes", Json::array()}};
        for (const auto& [state, count] : found.by_state) json["records"][state] = count;
        for (const auto& each : found.processes) {
            json["nodes"].push_back({{"node", each.node},
                                     {"incarnation", each.incarnation},
                                     {"started", print_time(each.started_at)},
                                     {"seen", print_time(each.last_seen)},
                                     {"ended", print_time(each.ended_at)},
                                     {"alive", each.alive}});
        }
        if (json_) {
            std::cout << json.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n';
            return kSuccess;
        }
        std::printf("schema %d\n", found.schema);
        for (const auto& [state, count] : found.by_state)
            std::printf("%-18s %lld\n", state.c_str(), static_cast<long long>(count));
        for (const auto& each : found.processes) {
            std::printf("node %s, incarnation %lld, %s, last seen %s\n", printable(each.node).c_str(),
                        static_cast<long long>(each.incarnation),
                        each.ended_at != 0 ? "ended"
                        : each.alive       ? "alive"
                                           : "gone",
                        print_time(each.last_seen).c_str());
        }
        return kSuccess;
    }

    Record find(SqlDb& db) {
        Filter by_id;
        by_id.id = store::parse_id(record_);
        if (!by_id.id)
            throw CommandError("'" + record_ + "' is not a record id; write NODE/INCARNATION/NUMBER");
        const auto found = store::list_records(db, by_id, store_config().lease);
        if (found.empty()) throw CommandError("there is no record " + record_);
        return found[0];
    }

    int list() {
        const auto record_filter = filter();
        const auto db = open();
        for_each_record(*db, record_filter, store_config().lease, [this](const Record& record) {
            if (json_)
                std::cout << to_json(record, false).dump(-1, ' ', false, Json::error_handler_t::replace)
                          << '\n';
            else
                print_row(record);
            return true;
        });
        return kSuccess;
    }

    int resolve() {
        const auto outcome_kind = store::parse_outcome_kind(fate_);
        const auto id = store::parse_id(record_);
        if (!outcome_kind)
            throw CommandError("'" + fate_ + "' is not an outcome; write answered, refused or failed");
        if (!id) throw CommandError("'" + record_ + "' is not a record id; write NODE/INCARNATION/NUMBER");
        const auto db = open();
        switch (store::resolve(*db, *id, *outcome_kind, who_, why_, store_config().lease)) {
            case store::ResolveResult::kResolved:
                std::printf("%s is %s\n", record_.c_str(), fate_.c_str());
                return kSuccess;
            case store::ResolveResult::kNotFound:
                std::fprintf(stderr, "pinedoor: there is no record %s\n", record_.c_str());
                break;
            case store::ResolveResult::kNotInDoubt:
                std::fprintf(stderr, "pinedoor: %s is not in doubt: see `store show`\n", record_.c_str());
                break;
        }
        return kProblemFound;
    }

    int export_all() {
        auto record_filter = filter();
        if (record_filter.max_records == Filter{}.max_records) record_filter.max_records = SIZE_MAX;
        const auto db = open();
        const bool csv = format_ == "csv";
        if (csv)
            std::cout << "record,state,op_type,tenant,client,key,asked,not_after,ended,parts,part_fates,note,"
                         "answer\n";
        for_each_record(*db, record_filter, store_config().lease, [csv](const Record& r) {
            if (!csv) {
                std::cout << to_json(r, true).dump(-1, ' ', false, Json::error_handler_t::replace) << '\n';
                return true;
            }
            std::string line;
            for (const auto& field :
                 {format_id(r.id), r.state, r.op_type, r.tenant, r.request_name, r.key,
                  print_time(r.requested_at), print_time(r.deadline), print_time(r.ended_at),
                  std::to_string(r.part_count), r.part_outcomes, r.note, r.answer}) {
                line += (line.empty() ? "" : ",") + csv_field(field);
            }
            std::cout << line << '\n';
            return true;
        });
        return kSuccess;
    }

    int prune() {
        const auto before = read_time(until_);
        const auto db = open();
        std::size_t deleted = 0;
        for (std::size_t batch = step_; batch == step_;) {
            batch = store::prune(*db, before, step_);
            deleted += batch;
        }
        std::printf("%zu records deleted\n", deleted);
        return kSuccess;
    }

    store::SqliteDb& sqlite(SqlDb& db) {
        auto* found = dynamic_cast<store::SqliteDb*>(&db);
        if (found == nullptr)
            throw CommandError(
                "this is a PostgreSQL store: its own tools copy it; `store export` writes the records out");
        return *found;
    }

    int back_up() {
        const auto db = open();
        if (std::filesystem::exists(path_))
            throw CommandError("'" + path_ + "' is there already; name another file");
        sqlite(*db).back_up(path_);
        std::printf("%s\n", path_.c_str());
        return kSuccess;
    }

    int restore() {
        if (!std::filesystem::exists(path_)) throw CommandError("there is no '" + path_ + "'");
        store::SqliteDb copy(path_);
        check_schema(copy);
        if (const auto problems = copy.check_integrity(); !problems.empty())
            throw CommandError("'" + path_ + "' is damaged: " + problems.front());
        if (add_) {
            const auto db = open();
            const auto result = store::restore_copy(*db, copy, step_);
            std::printf("%zu records, %zu outcomes, %zu keys added\n", result.records, result.outcomes,
                        result.keys);
            if (result.conflicting_keys > 0)
                std::printf("%zu keys are held by other records by now, and were left\n",
                            result.conflicting_keys);
            return kSuccess;
        }
        if (store_config().kind != store::Kind::kSqlite)
            throw CommandError(
                "a PostgreSQL store is not replaced by a copy; write --add to add what it lacks");
        const auto target_path = store_config().sqlite_path();
        if (std::filesystem::exists(target_path)) {
            throw CommandError(
                "'" + target_path +
                "' is there; write --add to add what it lacks, or stop the front node and move it "
                "away first, with its -wal and -shm");
        }
        copy.back_up(target_path);
        std::printf("%s\n", target_path.c_str());
        return kSuccess;
    }

    int verify() {
        const auto db = open();
        auto problems = find_inconsistencies(*db);
        if (auto* file = dynamic_cast<store::SqliteDb*>(db.get()))
            for (auto& each : file->check_integrity()) problems.push_back("the file: " + each);
        if (json_) std::cout << Json{{"amiss", problems}}.dump() << '\n';
        for (const auto& each : problems) {
            if (!json_) std::printf("%s\n", each.c_str());
        }
        if (!json_ && problems.empty()) std::printf("nothing amiss\n");
        return problems.empty() ? kSuccess : kProblemFound;
    }

    int follow() {
        const auto db = open();
        const auto began = std::chrono::steady_clock::now();
        std::map<std::string, std::string> states;  // states at the last poll
        Filter record_filter;
        record_filter.since = read_time("0s");
        record_filter.max_records = SIZE_MAX;
        for (;;) {
            Time oldest_open = read_time("0s");
            std::map<std::string, std::string> next;
            for_each_record(
                *db, record_filter, store_config().lease, [&](const Record& record) {
                    const auto id = format_id(record.id);
                    const auto before = states.find(id);
                    if (before == states.end() || before->second != record.state) {
                        if (json_)
                            std::cout
                                << to_json(record, false).dump(-1, ' ', false, Json::error_handler_t::replace)
                                << '\n';
                        else
                            print_row(record);
                    }
                    if (record.state == store::kStateInProgress)
                        oldest_open = std::min(oldest_open, record.requested_at);
                    next[id] = record.state;
                    return true;
                });
            std::cout.flush();
            std::fflush(stdout);
            states = std::move(next);
            // Looks back 10 s, because a record may be written some time after its request.
            record_filter.since = std::max(record_filter.since, std::min(oldest_open, read_time("10s")));
            if (seconds_ > 0 &&
                std::chrono::steady_clock::now() - began >= std::chrono::duration<double>(seconds_))
                return kSuccess;
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
    }

    std::string settings_, sqlite_, postgres_, state_, tenant_, since_, until_, record_, fate_, who_, why_,
        path_;
    std::string format_ = "jsonl";
    Filter filter_;
    std::size_t step_ = 500;
    double seconds_ = 0;
    bool json_ = false;
    bool add_ = false;
    std::optional<store::StoreConfig> store_config_;
};

}  // namespace

void add_store_commands(CLI::App& app, int& exit_code) {
    // Keeps the commands alive while arguments are parsed, because CLI11 holds pointers to their members.
    auto commands = std::make_shared<Commands>(app, exit_code);
    app.parse_complete_callback([commands] {});
}

}  // namespace pinedoor::tool
