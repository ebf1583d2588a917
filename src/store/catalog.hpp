// What a person asks the store: which records there are, what became of one, and what is settled by hand.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "store/sql.hpp"

namespace pinedoor::store {

// A record's state as a person reads it: a fate's name, or one of the two.
inline constexpr const char* kStateInDoubt = "in-doubt";
inline constexpr const char* kStateInProgress = "under-way";

struct Record {
    RecordId id;
    std::string state;
    std::string op_type, tenant, request_name, key;
    Time requested_at = 0;  // 0: its intent is not in yet
    Time deadline = 0;
    std::int64_t part_count = 0;
    Time ended_at = 0;  // 0: without an outcome, or settled by hand
    std::string part_outcomes, note, answer;
};

struct Filter {
    std::string state;  // empty: all
    std::optional<std::string> tenant;
    std::string key;
    std::string request_name;
    std::string op_type;
    std::optional<RecordId> id;
    Time since = 0;
    Time until = INT64_MAX;
    std::size_t max_records = 100;
    // The page after this one, in the order of the list.
    Time after_requested_at = -1;
    RecordId after_id;
};

std::string format_id(const RecordId& id);  // NODE/INCARNATION/NUMBER
std::optional<RecordId> parse_id(const std::string& text);
bool is_record_state(const std::string& text);
std::vector<Record> list_records(SqlDb& db, const Filter& filter, Time lease);  // by time asked, oldest first

struct Resolution {
    Time resolved_at = 0;
    std::string resolved_by, reason, old_state, new_state;
};
std::vector<Resolution> resolution_history(SqlDb& db, const RecordId& id);
enum class ResolveResult { kResolved, kNotFound, kNotInDoubt };
// Settles a record in doubt by hand; kept in the history. What the node itself records later goes before it.
ResolveResult resolve(SqlDb& db, const RecordId& id, Fate outcome_kind, const std::string& resolved_by,
                      const std::string& reason, Time lease);

struct Summary {
    int schema = 0;
    std::vector<std::pair<std::string, std::int64_t>> by_state;
    struct Process {
        std::string node;
        std::int64_t incarnation = 0;
        Time started_at = 0, last_seen = 0, ended_at = 0;
        bool alive = false;
    };
    std::vector<Process> processes;  // the newest of each node
};
Summary summary(SqlDb& db, Time lease);

// What cannot be, in words; nothing if all is well.
std::vector<std::string> find_inconsistencies(SqlDb& db);

// What a copy holds and the store does not is added: whole records, outcomes of records that have none, keys
// that nobody holds, and what persons settled. Nothing that is there is overwritten, so nodes may go on
// writing, and it may be done again after a break. `step` rows in one transaction. The copy is of the present
// schema.
struct RestoreResult {
    std::size_t records = 0;   // that were not there
    std::size_t outcomes = 0;  // of records that had none
    std::size_t keys = 0;
    std::size_t conflicting_keys = 0;  // by another record by now: left as they are
};
RestoreResult restore_copy(SqlDb& db, SqlDb& copy, std::size_t batch_size);

}  // namespace pinedoor::store
