// What a person asks the store: which records there are, what became of one, and what is settled by hand.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "store/sql.hpp"

namespace pinedoor::store {

// A record's state as a person reads it: a fate's name, or one of the two.
inline constexpr const char* kInDoubt = "in-doubt";
inline constexpr const char* kUnderWay = "under-way";

struct Record {
    RecordId id;
    std::string state;
    std::string op_type, tenant, client, key;
    Time asked = 0;  // 0: its intent is not in yet
    Time not_after = 0;
    std::int64_t parts = 0;
    Time ended = 0;  // 0: without an outcome, or settled by hand
    std::string part_fates, note, answer;
};

struct Filter {
    std::string state;  // empty: all
    std::optional<std::string> tenant;
    std::string key;
    std::string client;
    std::string op_type;
    std::optional<RecordId> id;
    Time since = 0;
    Time until = INT64_MAX;
    std::size_t most = 100;
    // The page after this one, in the order of the list.
    Time after_asked = -1;
    RecordId after;
};

std::string print_id(const RecordId& id);  // NODE/INCARNATION/NUMBER
std::optional<RecordId> read_id(const std::string& text);
bool is_state(const std::string& text);
std::vector<Record> list(SqlDb& db, const Filter& filter, Time lease);  // by time asked, oldest first

struct Settled {
    Time at = 0;
    std::string who, why, was, became;
};
std::vector<Settled> history_of(SqlDb& db, const RecordId& id);
enum class Resolved { kDone, kUnknown, kNotInDoubt };
// Settles a record in doubt by hand; kept in the history. What the node itself records later goes before it.
Resolved resolve(SqlDb& db, const RecordId& id, Fate became, const std::string& who, const std::string& why,
                 Time lease);

struct Summary {
    int schema = 0;
    std::vector<std::pair<std::string, std::int64_t>> by_state;
    struct Process {
        std::string node;
        std::int64_t incarnation = 0;
        Time started = 0, seen = 0, ended = 0;
        bool alive = false;
    };
    std::vector<Process> processes;  // the newest of each node
};
Summary summary(SqlDb& db, Time lease);

// What cannot be, in words; nothing if all is well.
std::vector<std::string> find_contradictions(SqlDb& db);

// What a copy holds and the store does not is added: whole records, outcomes of records that have none, keys
// that nobody holds, and what persons settled. Nothing that is there is overwritten, so nodes may go on
// writing, and it may be done again after a break. `step` rows in one transaction. The copy is of the present
// schema.
struct TakenBack {
    std::size_t records = 0;   // that were not there
    std::size_t outcomes = 0;  // of records that had none
    std::size_t keys = 0;
    std::size_t keys_held = 0;  // by another record by now: left as they are
};
TakenBack take_back(SqlDb& db, SqlDb& copy, std::size_t step);

}  // namespace pinedoor::store
