// Configuration of the store of record; `stated` reads it from TOML. Times are in tenths of a millisecond.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "store/decide.hpp"

namespace pinedoor::store {

enum class Kind : std::uint8_t { kNone, kSqlite, kPostgres };

struct PostgresConfig {
    std::string conninfo;
    Time connect_timeout = 30'000;
    Time statement_timeout = 50'000;
};

struct RetentionConfig {
    int days = 0;  // 0: records are kept forever
    std::size_t step = 200;
    Time every = 10'000;
};

struct StoreConfig {
    Kind kind = Kind::kNone;
    std::string folder;       // of this node only: its spill, incarnation and lock
    std::string sqlite_file;  // empty: records.db in the folder
    PostgresConfig postgres;
    std::vector<std::string> op_types;  // recorded ones; empty: all that are not retriable
    std::size_t largest_answer = 64 * 1024;
    Time lease = 150'000;  // without a heartbeat for this long a process counts as dead
    std::size_t spill_file_bytes = std::size_t{8} << 20U;
    WriteConfig write;
    RetentionConfig keep;

    std::string sqlite_path() const { return sqlite_file.empty() ? folder + "/records.db" : sqlite_file; }
};

}  // namespace pinedoor::store
