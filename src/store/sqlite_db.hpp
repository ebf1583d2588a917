// A SQLite file as a SqlDb, in WAL mode with full sync, with cached prepared statements. All calls block, so
// it is used only by threads that may wait for a disk (the writer thread, the command line).
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "store/sql.hpp"

struct sqlite3;
struct sqlite3_stmt;

namespace pinedoor::store {

class SqliteDb : public SqlDb {
public:
    // `vfs`: a name registered with SQLite; empty: the default one. Throws SqlError.
    explicit SqliteDb(const std::string& path, const std::string& vfs = {}, int busy_timeout_ms = 2'000);
    ~SqliteDb() override;

    std::vector<Row> run(const std::string& statement, const std::vector<Value>& values = {}) override;
    void begin() override { run("BEGIN IMMEDIATE"); }
    void commit() override;
    void roll_back() noexcept override;
    std::string kind() const override { return "sqlite"; }
    // In statements, pinedoor_now() is the boot-time clock, which is not affected by steps of the wall clock,
    // plus the time at which the machine booted by the wall clock. All processes that share a file take that
    // time from its table `pinedoor_clock`, which is rewritten after each boot.
    void share_clock() override;

    // Copies the database in steps while others write. The target exists only once it is complete. Throws
    // SqlError.
    void back_up(const std::string& target_path);
    std::vector<std::string> check_integrity();  // returns the problems found

private:
    [[noreturn]] void throw_error(int code, const std::string& action);
    bool load_shared_clock();

    struct CloseDb {
        void operator()(sqlite3* db) const;
    };
    struct FinalizeStatement {
        void operator()(sqlite3_stmt* statement) const;
    };
    // When the machine booted, in tenths of a millisecond since 1970: the shared value, or what this process
    // determined.
    std::int64_t booted_at_ = 0;
    std::unique_ptr<sqlite3, CloseDb> db_;
    struct Prepared {
        std::unique_ptr<sqlite3_stmt, FinalizeStatement> statement;
        std::vector<int> parameter_indexes;  // of $1, $2 and so on; 0: not used by the statement
    };
    Prepared& prepare(const std::string& text, std::size_t values);
    std::unordered_map<std::string, Prepared> prepared_;
};

}  // namespace pinedoor::store
