#include "store/sqlite_db.hpp"

#include <sqlite3.h>

#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>

namespace pinedoor::store {
namespace {

using Kind = SqlError::Kind;
constexpr std::size_t kMaxPreparedStatements = 64;
constexpr int kBackupPagesPerStep = 256;  // pages per step; other connections can write between steps
constexpr int kBackupPauseMs = 5;

constexpr std::int64_t kTicksPerSecond = 10'000;
constexpr std::int64_t kNanosPerTick = 100'000;

std::int64_t read_clock_ticks(clockid_t clock) {
    timespec time{};
    clock_gettime(clock, &time);
    return std::int64_t{time.tv_sec} * kTicksPerSecond + time.tv_nsec / kNanosPerTick;
}

// Changes with each boot of the machine; empty if it cannot be read.
std::string boot_id() {
    std::string id;
    std::getline(std::ifstream("/proc/sys/kernel/random/boot_id"), id);
    return id;
}

void sql_now(sqlite3_context* context, int, sqlite3_value**) {
    const auto booted_at = *static_cast<const std::int64_t*>(sqlite3_user_data(context));
    sqlite3_result_int64(context, booted_at + read_clock_ticks(CLOCK_BOOTTIME));
}

Kind error_kind(int code) {
    switch (code & 0xff) {
        case SQLITE_CONSTRAINT:
        case SQLITE_MISMATCH:
        case SQLITE_TOOBIG:
        case SQLITE_RANGE: return Kind::kRejectedEntries;
        default: return Kind::kUnavailable;
    }
}

}  // namespace

void SqliteDb::CloseDb::operator()(sqlite3* db) const { sqlite3_close_v2(db); }
void SqliteDb::FinalizeStatement::operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }

SqliteDb::SqliteDb(const std::string& path, const std::string& vfs, int busy_timeout_ms) {
    sqlite3* db = nullptr;
    const int code =
        sqlite3_open_v2(path.c_str(), &db, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX,
                        vfs.empty() ? nullptr : vfs.c_str());
    db_.reset(db);
    if (code != SQLITE_OK) throw_error(code, "cannot open '" + path + "'");
    sqlite3_extended_result_codes(db, 1);
    sqlite3_busy_timeout(db, busy_timeout_ms);
    booted_at_ = read_clock_ticks(CLOCK_REALTIME) - read_clock_ticks(CLOCK_BOOTTIME);
    sqlite3_create_function(db, "pinedoor_now", 0, SQLITE_UTF8, &booted_at_, sql_now, nullptr, nullptr);
    run("PRAGMA journal_mode = WAL");
    run("PRAGMA synchronous = FULL");
    const auto tables =
        run("SELECT count(*) FROM sqlite_master WHERE type = 'table' AND name = 'pinedoor_clock'");
    if (number_of(tables.at(0).at(0)) != 0) load_shared_clock();
}

SqliteDb::~SqliteDb() = default;

void SqliteDb::throw_error(int code, const std::string& action) {
    throw SqlError(error_kind(code),
                   action + ": " + (db_ ? sqlite3_errmsg(db_.get()) : sqlite3_errstr(code)));
}

SqliteDb::Prepared& SqliteDb::prepare(const std::string& text, std::size_t values) {
    const auto found = prepared_.find(text);
    if (found != prepared_.end()) return found->second;
    // The set of statements is small; callers that generate statement texts do not benefit from the cache.
    if (prepared_.size() >= kMaxPreparedStatements) prepared_.clear();
    sqlite3_stmt* raw = nullptr;
    const int code = sqlite3_prepare_v2(db_.get(), text.c_str(), -1, &raw, nullptr);
    Prepared prepared{std::unique_ptr<sqlite3_stmt, FinalizeStatement>(raw), {}};
    if (code != SQLITE_OK) throw_error(code, "cannot prepare");
    for (std::size_t i = 0; i < values; ++i) {
        std::string name = std::to_string(i + 1);
        name.insert(name.begin(), '$');
        prepared.parameter_indexes.push_back(sqlite3_bind_parameter_index(raw, name.c_str()));
    }
    return prepared_.emplace(text, std::move(prepared)).first->second;
}

void SqliteDb::share_clock() {
    run("CREATE TABLE IF NOT EXISTS pinedoor_clock(one bigint PRIMARY KEY, boot text NOT NULL, booted_at "
        "bigint "
        "NOT NULL)");
    Transaction transaction(*this);
    if (!load_shared_clock()) {
        run("INSERT INTO pinedoor_clock(one, boot, booted_at) VALUES (1, $1, $2) ON CONFLICT (one) DO UPDATE "
            "SET "
            "boot = excluded.boot, booted_at = excluded.booted_at",
            {boot_id(), booted_at_});
    }
    transaction.commit();
}

// Returns false if the table has no entry since the machine booted.
bool SqliteDb::load_shared_clock() {
    const auto rows = run("SELECT booted_at FROM pinedoor_clock WHERE one = 1 AND boot = $1", {boot_id()});
    if (rows.empty()) return false;
    booted_at_ = number_of(rows[0].at(0));
    return true;
}

std::vector<Row> SqliteDb::run(const std::string& text, const std::vector<Value>& values) {
    const auto& prepared = prepare(text, values.size());
    auto* const statement = prepared.statement.get();
    struct Reset {
        sqlite3_stmt* statement;
        ~Reset() {
            sqlite3_reset(statement);
            sqlite3_clear_bindings(statement);
        }
    } const reset{statement};
    for (std::size_t i = 0; i < values.size(); ++i) {
        const int parameter = prepared.parameter_indexes.at(i);
        if (parameter == 0) continue;
        int code = SQLITE_OK;
        if (const auto* number = std::get_if<std::int64_t>(&values[i]))
            code = sqlite3_bind_int64(statement, parameter, *number);
        else if (const auto* bytes = std::get_if<std::string>(&values[i]))
            code = sqlite3_bind_text(statement, parameter, bytes->data(), static_cast<int>(bytes->size()),
                                     SQLITE_STATIC);
        if (code != SQLITE_OK) throw_error(code, "cannot bind");
    }
    std::vector<Row> rows;
    for (;;) {
        const int code = sqlite3_step(statement);
        if (code == SQLITE_DONE) break;
        if (code != SQLITE_ROW) throw_error(code, "cannot run");
        Row row;
        for (int i = 0; i < sqlite3_column_count(statement); ++i) {
            switch (sqlite3_column_type(statement, i)) {
                case SQLITE_NULL: row.emplace_back(); break;
                case SQLITE_INTEGER:
                    row.emplace_back(std::int64_t{sqlite3_column_int64(statement, i)});
                    break;
                default: {
                    const auto* bytes = reinterpret_cast<const char*>(sqlite3_column_blob(statement, i));
                    const auto size = static_cast<std::size_t>(sqlite3_column_bytes(statement, i));
                    row.emplace_back(bytes == nullptr ? std::string() : std::string(bytes, size));
                }
            }
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

void SqliteDb::commit() {
    try {
        run("COMMIT");
    } catch (const SqlError& error) {
        roll_back();
        // A commit that could not be made durable may still be found in the WAL by the next process that
        // opens the file.
        throw SqlError(Kind::kCommitUnknown, error.what());
    }
}

void SqliteDb::roll_back() noexcept {
    if (sqlite3_get_autocommit(db_.get()) == 0)
        sqlite3_exec(db_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
}

void SqliteDb::back_up(const std::string& target_path) {
    const auto partial_path = target_path + ".part";
    std::error_code ignored;
    std::filesystem::remove(partial_path, ignored);
    sqlite3* target = nullptr;
    const int opened =
        sqlite3_open_v2(partial_path.c_str(), &target, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
    const std::unique_ptr<sqlite3, CloseDb> target_owner(target);
    if (opened != SQLITE_OK) throw SqlError(Kind::kUnavailable, "cannot open '" + partial_path + "'");
    auto* const backup = sqlite3_backup_init(target, "main", db_.get(), "main");
    if (backup == nullptr)
        throw SqlError(Kind::kUnavailable, std::string("backup: ") + sqlite3_errmsg(target));
    int code = SQLITE_OK;
    while (code == SQLITE_OK || code == SQLITE_BUSY || code == SQLITE_LOCKED) {
        code = sqlite3_backup_step(backup, kBackupPagesPerStep);
        if (code != SQLITE_DONE) sqlite3_sleep(kBackupPauseMs);
    }
    sqlite3_backup_finish(backup);
    if (code != SQLITE_DONE)
        throw SqlError(Kind::kUnavailable, std::string("backup: ") + sqlite3_errstr(code));
    // Makes the copy a single file, whatever journal mode the original has.
    if (sqlite3_exec(target, "PRAGMA journal_mode = DELETE", nullptr, nullptr, nullptr) != SQLITE_OK)
        throw SqlError(Kind::kUnavailable, std::string("backup: ") + sqlite3_errmsg(target));
    if (std::rename(partial_path.c_str(), target_path.c_str()) != 0)
        throw SqlError(Kind::kUnavailable, "cannot rename '" + partial_path + "'");
}

std::vector<std::string> SqliteDb::check_integrity() {
    std::vector<std::string> problems;
    for (const auto& row : run("PRAGMA integrity_check")) {
        if (text_of(row.at(0)) != "ok") problems.push_back(text_of(row.at(0)));
    }
    return problems;
}

}  // namespace pinedoor::store
