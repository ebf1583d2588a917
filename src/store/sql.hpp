// Schema and statements of the store of record, in the SQL subset that SQLite and PostgreSQL share, and the
// interface of a database connection.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

#include "store/record.hpp"

namespace pinedoor::store {

using Value = std::variant<std::monostate, std::int64_t, std::string>;
using Row = std::vector<Value>;

std::int64_t number_of(const Value& value);  // 0 for null
std::string text_of(const Value& value);     // empty for null

struct SqlError : std::runtime_error {
    enum class Kind {
        kUnavailable,      // the store cannot be reached, or cannot do it now
        kRejectedEntries,  // the store works but rejects these values
        kCommitUnknown,    // the commit failed: the writes may be stored
        kSchema            // the schema is missing, older or newer than this program's: needs an operator
    };
    SqlError(Kind error_kind, const std::string& message) : std::runtime_error(message), kind(error_kind) {}
    Kind kind;
};

class SqlDb {
public:
    virtual ~SqlDb() = default;
    // Parameters are $1, $2 and so on. Throws SqlError.
    virtual std::vector<Row> run(const std::string& statement, const std::vector<Value>& values = {}) = 0;
    virtual void begin() = 0;
    virtual void commit() = 0;  // throws kCommitUnknown if the result is unknown
    virtual void roll_back() noexcept = 0;
    virtual std::string kind() const = 0;  // "sqlite" or "postgres"
    // Makes all processes that share the database read one clock, which leases depend on. Call before leases
    // are written. A database server's own clock is shared already.
    virtual void share_clock() {}
};

// A transaction that is rolled back unless commit() was called.
class Transaction {
public:
    explicit Transaction(SqlDb& db) : db_(db) { db_.begin(); }
    ~Transaction() {
        if (!committed_) db_.roll_back();
    }
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;
    void commit() {
        committed_ = true;
        db_.commit();
    }

private:
    SqlDb& db_;
    bool committed_ = false;
};

// --- Schema ---

inline constexpr int kSchemaVersion = 2;
int schema_version(SqlDb& db);   // 0: no schema
void check_schema(int version);  // throws SqlError kSchema, whose message names the remedy
inline void check_schema(SqlDb& db) { check_schema(schema_version(db)); }
std::vector<int> migrate(SqlDb& db);  // to this program's version; returns the versions applied

// --- Registration of a front node's process ---

struct Registration {
    std::string node;
    std::uint64_t incarnation = 0;  // 0: assign the next free one
    std::string process_token;      // random, distinguishes this process from any other
    bool may_reassign = true;       // no entry has been written under this number
};
// Registers the incarnation as alive. Returns the number to use, which differs if another process has taken
// the requested one; throws SqlError kUnavailable in that case if may_reassign is false.
std::uint64_t enroll(SqlDb& db, const Registration& registration);

// A statement with its values; the text has static storage.
struct Statement {
    const char* text;
    std::vector<Value> values;
};
// The steps of enroll(), for a caller that must not block: run the queries, choose the incarnation from their
// results, run the statements, and check the result of the last one.
std::vector<Statement> enroll_queries(const Registration& registration);
std::uint64_t choose_incarnation(const Registration& registration,
                                 const std::vector<std::vector<Row>>& results);
std::vector<Statement> enroll_statements(const Registration& registration);
void check_enrolled(const Registration& registration, const std::vector<Row>& results);
Statement heartbeat_statement(const Registration& registration);
Statement deregister_statement(const Registration& registration);
// The last one returns a row for each deleted record.
std::vector<Statement> prune_statements(Time before, std::size_t max_records);

Statement postgres_tables_query();  // returns one row: 1 or 0
Statement schema_version_query();   // returns one row: the version

// The statements of an entry, to be run in order in one transaction. Afterwards claim_query() returns the
// result of its claim.
std::vector<Statement> write_statements(const Entry& entry);
Statement claim_query(const Intent& intent, Time lease);
Claim read_claim(const Intent& intent, const std::vector<Row>& rows);
Statement entry_query(const Entry& entry);  // returns one row, not 0 if the entry is stored
Claim read_claim(const Intent& intent, const std::vector<Row>& rows, const std::vector<Row>& states);
Statement claim_state_query(const Intent& intent);

// Writes the entries in one transaction; returns the result of each one's claim.
std::vector<Claim> write_entries(SqlDb& db, const std::vector<Entry>& entries, Time lease);
struct EntryLookup {
    std::vector<bool> present;
    std::vector<Claim> claims;
};
// Looks up which entries are stored, and the claims of keyed intents that are not.
EntryLookup find_entries(SqlDb& db, const std::vector<Entry>& entries, Time lease);

// Deletes up to `max_records` records with an outcome that were requested before that time, and returns how
// many. Records in doubt are kept.
std::size_t prune(SqlDb& db, Time before, std::size_t max_records);

// SQL condition for a record whose process is alive: not ended, seen within the lease ($N), and not
// superseded by a later incarnation of its node.
std::string alive_condition(const std::string& table_alias, const std::string& lease);

}  // namespace pinedoor::store
