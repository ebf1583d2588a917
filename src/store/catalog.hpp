// Operator access to the store of record: lists and shows records, resolves records in doubt, checks the
// store and restores it from a copy.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "store/sql.hpp"

namespace pinedoor::store {

// States of a record without an outcome; a record with one has the outcome's name as its state.
inline constexpr const char* kStateInDoubt = "in-doubt";
inline constexpr const char* kStateInProgress = "under-way";

struct Record {
    RecordId id;
    std::string state;
    std::string op_type, tenant, request_name, key;
    Time requested_at = 0;  // 0: the intent is not stored yet
    Time deadline = 0;
    std::int64_t part_count = 0;
    Time ended_at = 0;  // 0: no outcome yet, or it was set by an operator
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
    // Start of the next page: the last record of the previous one.
    Time after_requested_at = -1;
    RecordId after_id;
};

std::string format_id(const RecordId& id);  // NODE/INCARNATION/NUMBER
std::optional<RecordId> parse_id(const std::string& text);
bool is_record_state(const std::string& text);
// Ordered by request time, oldest first.
std::vector<Record> list_records(SqlDb& db, const Filter& filter, Time lease);

struct Resolution {
    Time resolved_at = 0;
    std::string resolved_by, reason, old_state, new_state;
};
std::vector<Resolution> resolution_history(SqlDb& db, const RecordId& id);
enum class ResolveResult { kResolved, kNotFound, kNotInDoubt };
// Sets the outcome of a record in doubt and adds it to the history. An outcome that the node itself records
// later replaces it.
ResolveResult resolve(SqlDb& db, const RecordId& id, OutcomeKind outcome_kind, const std::string& resolved_by,
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
    std::vector<Process> processes;  // the latest of each node
};
Summary summary(SqlDb& db, Time lease);

// Returns a description of each kind of inconsistency found; empty if there is none.
std::vector<std::string> find_inconsistencies(SqlDb& db);

// Adds what a copy has and the store lacks: whole records, missing outcomes, keys that nobody holds, and the
// history. Nothing is overwritten, so nodes may keep writing, and an interrupted restore can be repeated.
// Uses `batch_size` rows per transaction. The copy must have the current schema.
struct RestoreResult {
    std::size_t records = 0;   // records added
    std::size_t outcomes = 0;  // outcomes added to existing records
    std::size_t keys = 0;
    std::size_t conflicting_keys = 0;  // held by another record now, left unchanged
};
RestoreResult restore_copy(SqlDb& db, SqlDb& copy, std::size_t batch_size);

}  // namespace pinedoor::store
