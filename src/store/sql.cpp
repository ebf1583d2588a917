#include "store/sql.hpp"

namespace pinedoor::store {
namespace {

using Kind = SqlError::Kind;

const std::vector<std::vector<const char*>>& migrations() {
    static const std::vector<std::vector<const char*>> kMigrations{
        {
            "CREATE TABLE pinedoor_meta(schema_version bigint NOT NULL)",
            "INSERT INTO pinedoor_meta(schema_version) VALUES (0)",
            "CREATE TABLE incarnations(node text NOT NULL, incarnation bigint NOT NULL, birth text NOT NULL, "
            "started bigint NOT NULL, seen bigint NOT NULL, ended bigint, PRIMARY KEY (node, incarnation))",
            // asked is null until the intent is stored, fate until the outcome is.
            "CREATE TABLE records(node text NOT NULL, incarnation bigint NOT NULL, number bigint NOT NULL, "
            "op_type text, tenant text, client text, ikey text, asked bigint, not_after bigint, parts "
            "bigint, "
            "fate bigint, ended bigint, part_fates text, note text, answer text, "
            "PRIMARY KEY (node, incarnation, number))",
            // state: 0 open or in doubt, 1 free to be claimed again, 2 closed
            "CREATE TABLE claims(tenant text NOT NULL, ikey text NOT NULL, fingerprint text NOT NULL, "
            "node text NOT NULL, incarnation bigint NOT NULL, number bigint NOT NULL, asked bigint NOT NULL, "
            "state bigint NOT NULL, PRIMARY KEY (tenant, ikey))",
        },
        {
            "CREATE INDEX records_by_time ON records(asked)",
            "CREATE INDEX records_by_tenant ON records(tenant, asked)",
            "CREATE INDEX records_by_fate ON records(fate, asked)",
            "CREATE INDEX records_by_op_type ON records(op_type, asked)",
            "CREATE INDEX records_by_client ON records(client)",
            "CREATE INDEX claims_by_time ON claims(asked)",
            "CREATE TABLE history(node text NOT NULL, incarnation bigint NOT NULL, number bigint NOT NULL, "
            "at bigint NOT NULL, who text NOT NULL, why text NOT NULL, was bigint, became bigint NOT NULL)",
        },
    };
    return kMigrations;
}

constexpr const char* kInsertClaim =
    "INSERT INTO claims(tenant, ikey, fingerprint, node, incarnation, number, asked, state) "
    "SELECT $1, $2, $3, $4, $5, $6, $7, 0 WHERE NOT EXISTS (SELECT 1 FROM records WHERE node = $4 AND "
    "incarnation = $5 AND number = $6 AND fate IS NOT NULL) "
    "ON CONFLICT (tenant, ikey) DO UPDATE SET fingerprint = excluded.fingerprint, node = excluded.node, "
    "incarnation = excluded.incarnation, number = excluded.number, asked = excluded.asked, state = 0 "
    "WHERE claims.state = 1";

constexpr const char* kUpsertIntent =
    "INSERT INTO records(node, incarnation, number, op_type, tenant, client, ikey, asked, not_after, parts) "
    "VALUES ($1, $2, $3, $4, $5, $6, $7, $8, $9, $10) ON CONFLICT (node, incarnation, number) DO UPDATE SET "
    "op_type = excluded.op_type, tenant = excluded.tenant, client = excluded.client, ikey = excluded.ikey, "
    "asked = excluded.asked, not_after = excluded.not_after, parts = excluded.parts";

// Stores the intent only if the preceding claim was granted.
constexpr const char* kUpsertKeyedIntent =
    "INSERT INTO records(node, incarnation, number, op_type, tenant, client, ikey, asked, not_after, parts) "
    "SELECT $1, $2, $3, $4, $5, $6, $7, $8, $9, $10 WHERE EXISTS (SELECT 1 FROM claims WHERE tenant = $5 AND "
    "ikey = $7 AND node = $1 AND incarnation = $2 AND number = $3) "
    "ON CONFLICT (node, incarnation, number) DO UPDATE SET "
    "op_type = excluded.op_type, tenant = excluded.tenant, client = excluded.client, ikey = excluded.ikey, "
    "asked = excluded.asked, not_after = excluded.not_after, parts = excluded.parts";

// An outcome recorded by the node replaces one that an operator set (the history table keeps that one).
constexpr const char* kUpsertOutcome =
    "INSERT INTO records(node, incarnation, number, fate, ended, part_fates, note, answer) "
    "VALUES ($1, $2, $3, $4, $5, $6, $7, $8) ON CONFLICT (node, incarnation, number) DO UPDATE SET "
    "fate = excluded.fate, ended = excluded.ended, part_fates = excluded.part_fates, note = excluded.note, "
    "answer = excluded.answer WHERE records.fate IS NULL OR records.ended IS NULL";

constexpr const char* kEndClaim =
    "UPDATE claims SET state = $6 WHERE tenant = $1 AND ikey = $2 AND node = $3 AND incarnation = $4 AND "
    "number = $5";

constexpr const char* kSchemaVersionQuery = "SELECT schema_version FROM pinedoor_meta";
constexpr const char* kPostgresHasTables =
    "SELECT CASE WHEN to_regclass('pinedoor_meta') IS NULL THEN 0 ELSE 1 END";

Value to_value(std::uint64_t value) { return static_cast<std::int64_t>(value); }

}  // namespace

std::int64_t number_of(const Value& value) {
    const auto* found = std::get_if<std::int64_t>(&value);
    return found != nullptr ? *found : 0;
}

std::string text_of(const Value& value) {
    if (const auto* text = std::get_if<std::string>(&value)) return *text;
    if (const auto* found = std::get_if<std::int64_t>(&value)) return std::to_string(*found);
    return {};
}

// --- Schema ---

Statement postgres_tables_query() { return {kPostgresHasTables, {}}; }
Statement schema_version_query() { return {kSchemaVersionQuery, {}}; }

int schema_version(SqlDb& db) {
    const char* const tables_query =
        db.kind() == "sqlite"
            ? "SELECT count(*) FROM sqlite_master WHERE type = 'table' AND name = 'pinedoor_meta'"
            : kPostgresHasTables;
    if (number_of(db.run(tables_query).at(0).at(0)) == 0) return 0;
    const auto rows = db.run(kSchemaVersionQuery);
    return rows.empty() ? 0 : static_cast<int>(number_of(rows[0].at(0)));
}

void check_schema(int version) {
    if (version == kSchemaVersion) return;
    const auto expected = std::to_string(kSchemaVersion);
    const auto found_version = std::to_string(version);
    if (version == 0) throw SqlError(Kind::kSchema, "the store is empty; run `pinedoor store init`");
    if (version < kSchemaVersion) {
        throw SqlError(Kind::kSchema, "the store's schema is " + found_version + ", this program's is " +
                                          expected + "; run `pinedoor store migrate`");
    }
    throw SqlError(Kind::kSchema, "the store's schema is " + found_version +
                                      ", newer than this program's, which is " + expected +
                                      "; run a newer pinedoor");
}

std::vector<int> migrate(SqlDb& db) {
    std::vector<int> applied;
    for (int version = schema_version(db); version != kSchemaVersion; ++version) {
        if (version > kSchemaVersion) check_schema(version);  // throws
        Transaction transaction(db);
        if (version == 0 && db.kind() == "postgres") {
            db.run(
                "CREATE OR REPLACE FUNCTION pinedoor_now() RETURNS bigint LANGUAGE sql AS "
                "'SELECT (extract(epoch from clock_timestamp()) * 10000)::bigint'");
        }
        for (const char* statement : migrations().at(static_cast<std::size_t>(version))) db.run(statement);
        db.run("UPDATE pinedoor_meta SET schema_version = $1", {std::int64_t{version + 1}});
        transaction.commit();
        applied.push_back(version + 1);
    }
    return applied;
}

// --- Incarnations ---

std::vector<Statement> enroll_queries(const Registration& registration) {
    return {{"SELECT coalesce(max(incarnation), 0) FROM incarnations WHERE node = $1", {registration.node}},
            {"SELECT birth FROM incarnations WHERE node = $1 AND incarnation = $2",
             {registration.node, to_value(registration.incarnation)}}};
}

std::uint64_t choose_incarnation(const Registration& registration,
                                 const std::vector<std::vector<Row>>& results) {
    const auto highest = static_cast<std::uint64_t>(number_of(results.at(0).at(0).at(0)));
    const auto& tokens = results.at(1);
    if (registration.incarnation != 0 &&
        (tokens.empty() || text_of(tokens[0].at(0)) == registration.process_token))
        return registration.incarnation;
    if (registration.incarnation != 0 && !registration.may_reassign) {
        throw SqlError(Kind::kUnavailable,
                       "incarnation " + std::to_string(registration.incarnation) + " of node '" +
                           registration.node +
                           "' belongs to another process: two nodes share a name, or a folder was copied");
    }
    return highest + 1;
}

std::vector<Statement> enroll_statements(const Registration& registration) {
    return {
        {"INSERT INTO incarnations(node, incarnation, birth, started, seen) "
         "VALUES ($1, $2, $3, pinedoor_now(), pinedoor_now()) ON CONFLICT (node, incarnation) DO UPDATE SET "
         "seen = pinedoor_now() WHERE incarnations.birth = excluded.birth",
         {registration.node, to_value(registration.incarnation), registration.process_token}},
        {"SELECT birth FROM incarnations WHERE node = $1 AND incarnation = $2",
         {registration.node, to_value(registration.incarnation)}}};
}

void check_enrolled(const Registration& registration, const std::vector<Row>& results) {
    if (!results.empty() && text_of(results[0].at(0)) == registration.process_token) return;
    throw SqlError(Kind::kUnavailable,
                   "another process of node '" + registration.node + "' is starting at the same time");
}

std::uint64_t enroll(SqlDb& db, const Registration& registration) {
    db.share_clock();
    Transaction transaction(db);
    std::vector<std::vector<Row>> results;
    for (const auto& [text, values] : enroll_queries(registration)) results.push_back(db.run(text, values));
    auto enrolled = registration;
    enrolled.incarnation = choose_incarnation(registration, results);
    for (const auto& [text, values] : enroll_statements(enrolled)) results.push_back(db.run(text, values));
    check_enrolled(enrolled, results.back());
    transaction.commit();
    return enrolled.incarnation;
}

Statement heartbeat_statement(const Registration& registration) {
    return {
        "UPDATE incarnations SET seen = pinedoor_now() WHERE node = $1 AND incarnation = $2 AND birth = $3",
        {registration.node, to_value(registration.incarnation), registration.process_token}};
}

Statement deregister_statement(const Registration& registration) {
    return {
        "UPDATE incarnations SET seen = pinedoor_now(), ended = pinedoor_now() "
        "WHERE node = $1 AND incarnation = $2 AND birth = $3",
        {registration.node, to_value(registration.incarnation), registration.process_token}};
}

std::string alive_condition(const std::string& table_alias, const std::string& lease) {
    return "EXISTS (SELECT 1 FROM incarnations i WHERE i.node = " + table_alias +
           ".node AND i.incarnation = " + table_alias +
           ".incarnation AND i.ended IS NULL AND i.seen > pinedoor_now() - " + lease +
           " AND NOT EXISTS (SELECT 1 FROM incarnations j WHERE j.node = i.node AND j.incarnation > "
           "i.incarnation))";
}

// --- Entries ---

std::vector<Statement> write_statements(const Entry& entry) {
    std::vector<Statement> statements;
    if (const auto* intent = std::get_if<Intent>(&entry)) {
        const auto& id = intent->id;
        const bool keyed = !intent->key.empty();
        if (keyed) {
            statements.push_back({kInsertClaim,
                                  {intent->tenant, intent->key, intent->fingerprint, id.node,
                                   to_value(id.incarnation), to_value(id.number), intent->requested_at}});
        }
        statements.push_back({keyed ? kUpsertKeyedIntent : kUpsertIntent,
                              {id.node, to_value(id.incarnation), to_value(id.number), intent->op_type,
                               intent->tenant, intent->request_name, intent->key, intent->requested_at,
                               intent->deadline, std::int64_t{intent->part_count}}});
        return statements;
    }
    const auto& outcome = std::get<Outcome>(entry);
    const auto& id = outcome.id;
    statements.push_back(
        {kUpsertOutcome,
         {id.node, to_value(id.incarnation), to_value(id.number), static_cast<std::int64_t>(outcome.fate),
          outcome.ended, outcome.parts, outcome.note, outcome.answer}});
    if (!outcome.key.empty()) {
        statements.push_back({kEndClaim,
                              {outcome.tenant, outcome.key, id.node, to_value(id.incarnation),
                               to_value(id.number), std::int64_t{outcome.frees_key ? 1 : 2}}});
    }
    return statements;
}

Statement claim_query(const Intent& intent, Time lease) {
    static const std::string kText =
        "SELECT c.node, c.incarnation, c.number, c.fingerprint, r.fate, coalesce(r.answer, ''), "
        "coalesce(r.note, ''), CASE WHEN " +
        alive_condition("c", "$3") +
        " THEN 1 ELSE 0 END FROM claims c LEFT JOIN records r ON r.node = c.node AND "
        "r.incarnation = c.incarnation AND r.number = c.number WHERE c.tenant = $1 AND c.ikey = $2";
    return {kText.c_str(), {intent.tenant, intent.key, lease}};
}

Claim read_claim(const Intent& intent, const std::vector<Row>& rows) {
    Claim claim;
    // No row: the outcome of the intent itself is stored already, so nothing waits for this claim.
    if (rows.empty()) return claim;
    const auto& row = rows[0];
    KeyHolder holder;
    holder.id = {text_of(row.at(0)), static_cast<std::uint64_t>(number_of(row.at(1))),
                 static_cast<std::uint64_t>(number_of(row.at(2)))};
    if (holder.id == intent.id) return claim;
    holder.fingerprint = text_of(row.at(3));
    if (const auto fate = number_of(row.at(4)); fate >= 1 && fate <= 4)
        holder.fate = static_cast<OutcomeKind>(fate);
    holder.answer = text_of(row.at(5));
    holder.note = text_of(row.at(6));
    holder.alive = number_of(row.at(7)) != 0;
    claim.kind = Claim::Kind::kHeld;
    claim.holder = std::move(holder);
    return claim;
}

Statement entry_query(const Entry& entry) {
    const auto& id = id_of(entry);
    const std::vector<Value> values{id.node, to_value(id.incarnation), to_value(id.number)};
    return std::holds_alternative<Intent>(entry)
               ? Statement{"SELECT count(asked) FROM records WHERE node = $1 AND incarnation = $2 AND number = $3",
                           values}
               : Statement{"SELECT count(fate) FROM records WHERE node = $1 AND incarnation = $2 AND number = $3",
                           values};
}

Statement claim_state_query(const Intent& intent) {
    return {"SELECT state FROM claims WHERE tenant = $1 AND ikey = $2", {intent.tenant, intent.key}};
}

// For an intent that is not stored: a claim that is free again does not block it.
Claim read_claim(const Intent& intent, const std::vector<Row>& rows, const std::vector<Row>& states) {
    if (!states.empty() && number_of(states[0].at(0)) == 1) return {};
    return read_claim(intent, rows);
}

std::vector<Claim> write_entries(SqlDb& db, const std::vector<Entry>& entries, Time lease) {
    std::vector<Claim> claims(entries.size());
    Transaction transaction(db);
    for (std::size_t i = 0; i < entries.size(); ++i) {
        for (const auto& [text, values] : write_statements(entries[i])) db.run(text, values);
        if (!is_keyed_intent(entries[i])) continue;
        const auto& intent = std::get<Intent>(entries[i]);
        const auto [text, values] = claim_query(intent, lease);
        claims[i] = read_claim(intent, db.run(text, values));
    }
    transaction.commit();
    return claims;
}

EntryLookup find_entries(SqlDb& db, const std::vector<Entry>& entries, Time lease) {
    EntryLookup result;
    for (const auto& entry : entries) {
        const auto [text, values] = entry_query(entry);
        const auto rows = db.run(text, values);
        result.present.push_back(!rows.empty() && number_of(rows[0].at(0)) != 0);
        Claim claim;
        if (is_keyed_intent(entry) && !result.present.back()) {
            const auto& intent = std::get<Intent>(entry);
            const auto query = claim_query(intent, lease);
            const auto state_query = claim_state_query(intent);
            const auto results = db.run(query.text, query.values);
            claim = read_claim(intent, results, db.run(state_query.text, state_query.values));
        }
        result.claims.push_back(std::move(claim));
    }
    return result;
}

std::vector<Statement> prune_statements(Time before, std::size_t max_records) {
    const auto limit = static_cast<std::int64_t>(max_records);
    return {
        {"DELETE FROM claims WHERE (tenant, ikey) IN (SELECT tenant, ikey FROM claims WHERE asked < $1 AND "
         "state <> 0 ORDER BY asked LIMIT $2)",
         {before, limit}},
        {"DELETE FROM records WHERE (node, incarnation, number) IN (SELECT node, incarnation, number FROM "
         "records WHERE asked < $1 AND fate IS NOT NULL ORDER BY asked LIMIT $2) RETURNING number",
         {before, limit}}};
}

std::size_t prune(SqlDb& db, Time before, std::size_t max_records) {
    Transaction transaction(db);
    std::size_t deleted = 0;
    for (const auto& [text, values] : prune_statements(before, max_records))
        deleted = db.run(text, values).size();
    transaction.commit();
    return deleted;
}

}  // namespace pinedoor::store
