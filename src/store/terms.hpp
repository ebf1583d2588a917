// What an installation states about the store of record, in plain types. Read from TOML by `stated`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "store/decide.hpp"

namespace pinedoor::store {

enum class Kind : std::uint8_t { kNone, kSqlite, kPostgres };

struct PostgresTerms {
    std::string conninfo;
    Time connect_timeout = 30'000;
    Time statement_timeout = 50'000;
};

struct KeepTerms {
    int days = 0;  // 0: for good
    std::size_t step = 200;
    Time every = 10'000;
};

struct StoreTerms {
    Kind kind = Kind::kNone;
    std::string folder;       // of this node alone: its spill, its incarnation, its lock
    std::string sqlite_file;  // empty: records.db in the folder
    PostgresTerms postgres;
    std::vector<std::string> op_types;  // recorded; empty: all that are not retriable
    std::size_t largest_answer = 64 * 1024;
    Time lease = 150'000;  // after so long without word a node's process counts as gone
    std::size_t spill_file_bytes = std::size_t{8} << 20U;
    WriteTerms write;
    KeepTerms keep;

    std::string sqlite_path() const { return sqlite_file.empty() ? folder + "/records.db" : sqlite_file; }
};

}  // namespace pinedoor::store
