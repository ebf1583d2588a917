// A SQLite file as a SqlDb: WAL and full sync, prepared statements. What it does blocks: only threads that
// may wait on a disk use it (the writer's, the command line's).
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
    // `vfs`: a name registered with SQLite; empty: the system's. Throws SqlError.
    explicit SqliteDb(const std::string& path, const std::string& vfs = {}, int busy_timeout_ms = 2'000);
    ~SqliteDb() override;

    std::vector<Row> run(const std::string& statement, const std::vector<Value>& values = {}) override;
    void begin() override { run("BEGIN IMMEDIATE"); }
    void commit() override;
    void roll_back() noexcept override;
    std::string kind() const override { return "sqlite"; }
    // pinedoor_now() in a statement is this machine's boot clock, which no step of the wall clock moves,
    // counted from when the wall clock said that the machine had started. All who share a file read that from
    // its table `pinedoor_clock`, which is written anew after a start of the machine.
    void agree_on_clock() override;

    // In steps, while others write; whole or not there at all. Throws SqlError.
    void back_up(const std::string& target_path);
    std::vector<std::string> check_integrity();  // what is amiss

private:
    [[noreturn]] void throw_error(int code, const std::string& action);
    bool load_shared_clock();

    struct CloseDb {
        void operator()(sqlite3* db) const;
    };
    struct FinalizeStatement {
        void operator()(sqlite3_stmt* statement) const;
    };
    std::int64_t booted_at_ =
        0;  // tenths of a millisecond since 1970, as agreed; else as this process saw it
    std::unique_ptr<sqlite3, CloseDb> db_;
    struct Prepared {
        std::unique_ptr<sqlite3_stmt, FinalizeStatement> statement;
        std::vector<int> parameter_indexes;  // of $1, $2 and so on; 0: it has no use for that one
    };
    Prepared& prepare(const std::string& text, std::size_t values);
    std::unordered_map<std::string, Prepared> prepared_;
};

}  // namespace pinedoor::store
