// The store's tables and statements, in the part of SQL that SQLite and PostgreSQL share, over one interface.
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

std::int64_t number_of(const Value& value);  // 0 for none
std::string text_of(const Value& value);     // empty for none

struct SqlError : std::runtime_error {
    enum class Kind {
        kUnavailable,      // the store cannot be reached, or cannot do it now
        kRejectedEntries,  // the store is well and refuses these values
        kCommitUnknown,    // it failed while committing: what was written may be in
        kSchema            // the schema is none, older or newer than this program's: a person must act
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
    virtual void commit() = 0;  // throws kUnsure if its end is not known
    virtual void roll_back() noexcept = 0;
    virtual std::string kind() const = 0;  // "sqlite", "postgres"
    // Before leases are kept in it: who shares it has to read one clock. A server's own is one.
    virtual void agree_on_clock() {}
};

// A transaction that is rolled back unless it came to commit().
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
int schema_version(SqlDb& db);   // 0: there is none
void check_schema(int version);  // throws SqlError kSchema, which says what to do
inline void check_schema(SqlDb& db) { check_schema(schema_version(db)); }
std::vector<int> migrate(SqlDb& db);  // forward to this program's; the versions gone through

// --- What a front node writes ---

struct Registration {
    std::string node;
    std::uint64_t incarnation = 0;  // 0: the next one that is free
    std::string process_token;      // tells this process from any other
    bool may_reassign = true;       // nothing is recorded under this number yet
};
// Makes the incarnation known as alive. The number to use, which is another one if that one was taken by
// somebody else; throws SqlError kStore if it may not change.
std::uint64_t enroll(SqlDb& db, const Registration& registration);

// A statement with its values; the text lives as long as the program.
struct Statement {
    const char* text;
    std::vector<Value> values;
};
// The same in steps, for who cannot wait: look, pick the number from what was seen, write, and look again.
std::vector<Statement> enroll_queries(const Registration& registration);
std::uint64_t choose_incarnation(const Registration& registration,
                                 const std::vector<std::vector<Row>>& results);
std::vector<Statement> enroll_statements(const Registration& registration);
void check_enrolled(const Registration& registration, const std::vector<Row>& results);
Statement heartbeat_statement(const Registration& registration);
Statement deregister_statement(const Registration& registration);
std::vector<Statement> prune_statements(
    Time before, std::size_t max_records);  // the last tells a row for each record gone

Statement postgres_tables_query();  // one row: 1 or 0
Statement schema_version_query();   // one row: the version

// Those of an entry are to be run in order, in one transaction; its claim's end is what see_claim() then
// says.
std::vector<Statement> write_statements(const Entry& entry);
Statement claim_query(const Intent& intent, Time lease);
Claim read_claim(const Intent& intent, const std::vector<Row>& rows);
Statement entry_query(const Entry& entry);  // one row with a number that is not 0 if the entry is there
Claim read_claim(const Intent& intent, const std::vector<Row>& rows, const std::vector<Row>& states);
Statement claim_state_query(const Intent& intent);

std::vector<Claim> write_entries(SqlDb& db, const std::vector<Entry>& entries,
                                 Time lease);  // one transaction
struct EntryLookup {
    std::vector<bool> present;
    std::vector<Claim> claims;
};
EntryLookup find_entries(SqlDb& db, const std::vector<Entry>& entries, Time lease);

// Deletes up to so many records with an outcome that were asked before; how many it were. Those in doubt
// stay.
std::size_t prune(SqlDb& db, Time before, std::size_t max_records);

// True where the record's process is known to run: it has not ended, was seen within the lease ($N), and no
// later one of its node has started.
std::string alive_condition(const std::string& table_alias, const std::string& lease);

}  // namespace pinedoor::store
