#include "store/catalog.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace pinedoor::store {
namespace {

constexpr std::array<OutcomeKind, 4> kOutcomeKinds{OutcomeKind::kAnswered, OutcomeKind::kAnsweredInPart,
                                                   OutcomeKind::kRefused, OutcomeKind::kFailed};

std::string state_of(std::int64_t fate, bool alive) {
    if (fate >= 1 && fate <= 4) return std::string(name_of(static_cast<OutcomeKind>(fate)));
    return alive ? kStateInProgress : kStateInDoubt;
}

std::uint64_t to_unsigned(const Value& value) { return static_cast<std::uint64_t>(number_of(value)); }

std::vector<Value> id_values(const RecordId& id) {
    return {id.node, static_cast<std::int64_t>(id.incarnation), static_cast<std::int64_t>(id.number)};
}

}  // namespace

std::string format_id(const RecordId& id) {
    return id.node + '/' + std::to_string(id.incarnation) + '/' + std::to_string(id.number);
}

std::optional<RecordId> parse_id(const std::string& text) {
    const auto last = text.rfind('/');
    if (last == std::string::npos || last == 0) return std::nullopt;
    const auto middle = text.rfind('/', last - 1);
    if (middle == std::string::npos) return std::nullopt;
    RecordId id{text.substr(0, middle), 0, 0};
    const auto read = [](std::string_view digits, std::uint64_t& to) {
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), to);
        return error == std::errc{} && end == digits.data() + digits.size() && !digits.empty();
    };
    const std::string_view rest(text);
    if (!read(rest.substr(middle + 1, last - middle - 1), id.incarnation) ||
        !read(rest.substr(last + 1), id.number)) {
        return std::nullopt;
    }
    return id;
}

bool is_record_state(const std::string& text) {
    return parse_outcome_kind(text).has_value() || text == kStateInDoubt || text == kStateInProgress;
}

std::vector<Record> list_records(SqlDb& db, const Filter& filter, Time lease) {
    std::string where = "coalesce(r.asked, 0) >= $1 AND coalesce(r.asked, 0) < $2";
    std::vector<Value> values{filter.since, filter.until, lease};
    const auto add = [&values](Value value) {
        values.push_back(std::move(value));
        auto name = std::to_string(values.size());
        name.insert(name.begin(), '$');
        return name;
    };
    if (const auto fate = parse_outcome_kind(filter.state)) {
        where += " AND r.fate = " + add(static_cast<std::int64_t>(*fate));
    } else if (!filter.state.empty()) {
        where += std::string(" AND r.fate IS NULL AND ") + (filter.state == kStateInDoubt ? "NOT " : "") +
                 alive_condition("r", "$3");
    }
    if (filter.tenant) where += " AND r.tenant = " + add(*filter.tenant);
    if (!filter.request_name.empty()) where += " AND r.client = " + add(filter.request_name);
    if (!filter.op_type.empty()) where += " AND r.op_type = " + add(filter.op_type);
    if (!filter.key.empty()) where += " AND r.ikey = " + add(filter.key);
    if (filter.id) {
        where += " AND r.node = " + add(filter.id->node) +
                 " AND r.incarnation = " + add(static_cast<std::int64_t>(filter.id->incarnation)) +
                 " AND r.number = " + add(static_cast<std::int64_t>(filter.id->number));
    }
    if (filter.after_requested_at >= 0) {
        where += " AND (coalesce(r.asked, 0), r.node, r.incarnation, r.number) > (" +
                 add(filter.after_requested_at) + ", " + add(filter.after_id.node) + ", " +
                 add(static_cast<std::int64_t>(filter.after_id.incarnation)) + ", " +
                 add(static_cast<std::int64_t>(filter.after_id.number)) + ')';
    }
    const auto rows =
        db.run("SELECT r.node, r.incarnation, r.number, r.fate, CASE WHEN " + alive_condition("r", "$3") +
                   " THEN 1 ELSE 0 END, r.op_type, r.tenant, r.client, r.ikey, r.asked, r.not_after, "
                   "r.parts, r.ended, "
                   "r.part_fates, r.note, r.answer FROM records r WHERE " +
                   where + " ORDER BY coalesce(r.asked, 0), r.node, r.incarnation, r.number LIMIT " +
                   add(static_cast<std::int64_t>(filter.max_records)),
               values);
    std::vector<Record> records;
    for (const auto& row : rows) {
        Record record;
        record.id = {text_of(row.at(0)), to_unsigned(row.at(1)), to_unsigned(row.at(2))};
        record.state = state_of(number_of(row.at(3)), number_of(row.at(4)) != 0);
        record.op_type = text_of(row.at(5));
        record.tenant = text_of(row.at(6));
        record.request_name = text_of(row.at(7));
        record.key = text_of(row.at(8));
        record.requested_at = number_of(row.at(9));
        record.deadline = number_of(row.at(10));
        record.part_count = number_of(row.at(11));
        record.ended_at = number_of(row.at(12));
        record.part_outcomes = text_of(row.at(13));
        record.note = text_of(row.at(14));
        record.answer = text_of(row.at(15));
        records.push_back(std::move(record));
    }
    return records;
}

std::vector<Resolution> resolution_history(SqlDb& db, const RecordId& id) {
    std::vector<Resolution> history;
    for (const auto& row : db.run("SELECT at, who, why, was, became FROM history WHERE node = $1 AND "
                                  "incarnation = $2 AND number = $3 ORDER BY at",
                                  id_values(id))) {
        history.push_back({number_of(row.at(0)), text_of(row.at(1)), text_of(row.at(2)),
                           state_of(number_of(row.at(3)), false), state_of(number_of(row.at(4)), false)});
    }
    return history;
}

ResolveResult resolve(SqlDb& db, const RecordId& id, OutcomeKind outcome_kind, const std::string& resolved_by,
                      const std::string& reason, Time lease) {
    Transaction transaction(db);
    Filter filter;
    filter.id = id;
    const auto records = list_records(db, filter, lease);
    if (records.empty()) return ResolveResult::kNotFound;
    if (records[0].state != kStateInDoubt) return ResolveResult::kNotInDoubt;
    auto values = id_values(id);
    values.emplace_back(static_cast<std::int64_t>(outcome_kind));
    values.emplace_back(resolved_by);
    values.emplace_back(reason);
    db.run(
        "INSERT INTO history(node, incarnation, number, at, who, why, was, became) "
        "VALUES ($1, $2, $3, pinedoor_now(), $5, $6, 0, $4)",
        values);
    // ended stays null, which marks the outcome as set by an operator and not recorded by the node.
    db.run(
        "UPDATE records SET fate = $4, note = $5 WHERE node = $1 AND incarnation = $2 AND number = $3 AND "
        "fate IS NULL",
        {values[0], values[1], values[2], values[3], "settled by " + resolved_by + ": " + reason});
    db.run("UPDATE claims SET state = $4 WHERE node = $1 AND incarnation = $2 AND number = $3",
           {values[0], values[1], values[2], std::int64_t{outcome_kind == OutcomeKind::kRefused ? 1 : 2}});
    transaction.commit();
    return ResolveResult::kResolved;
}

Summary summary(SqlDb& db, Time lease) {
    Summary result;
    result.schema = schema_version(db);
    for (const auto fate : kOutcomeKinds) {
        result.by_state.emplace_back(name_of(fate),
                                     number_of(db.run("SELECT count(*) FROM records WHERE fate = $1",
                                                      {static_cast<std::int64_t>(fate)})
                                                   .at(0)
                                                   .at(0)));
    }
    for (const bool alive : {true, false}) {
        result.by_state.emplace_back(
            alive ? kStateInProgress : kStateInDoubt,
            number_of(db.run(std::string("SELECT count(*) FROM records r WHERE r.fate IS NULL AND ") +
                                 (alive ? "" : "NOT ") + alive_condition("r", "$1"),
                             {lease})
                          .at(0)
                          .at(0)));
    }
    for (const auto& row : db.run("SELECT node, incarnation, started, seen, ended, CASE WHEN ended IS NULL "
                                  "AND seen > pinedoor_now() "
                                  "- $1 THEN 1 ELSE 0 END FROM incarnations i WHERE NOT EXISTS (SELECT 1 "
                                  "FROM incarnations j WHERE "
                                  "j.node = i.node AND j.incarnation > i.incarnation) ORDER BY node",
                                  {lease})) {
        result.processes.push_back({text_of(row.at(0)), number_of(row.at(1)), number_of(row.at(2)),
                                    number_of(row.at(3)), number_of(row.at(4)), number_of(row.at(5)) != 0});
    }
    return result;
}

std::vector<std::string> find_inconsistencies(SqlDb& db) {
    struct Check {
        const char* description;
        const char* query;
    };
    constexpr std::array<Check, 3> kChecks{{
        {"keys whose record is not there",
         "SELECT count(*) FROM claims c WHERE c.state <> 1 AND NOT EXISTS (SELECT 1 "
         "FROM records r WHERE r.node = c.node AND r.incarnation = c.incarnation "
         "AND r.number = c.number)"},
        {"keys that are open though their record has an outcome",
         "SELECT count(*) FROM claims c JOIN records r ON r.node = c.node AND r.incarnation = c.incarnation "
         "AND "
         "r.number = c.number WHERE c.state = 0 AND r.fate IS NOT NULL"},
        {"records with a fate that is none", "SELECT count(*) FROM records WHERE fate < 1 OR fate > 4"},
    }};
    std::vector<std::string> inconsistencies;
    for (const auto& check : kChecks) {
        const auto count = number_of(db.run(check.query).at(0).at(0));
        if (count != 0) inconsistencies.push_back(std::to_string(count) + ' ' + check.description);
    }
    return inconsistencies;
}

namespace {

// Calls `on_row` for every row of a table of the copy, ordered by its first three columns, with `batch_size`
// rows in each transaction of the store.
template <class RowFunction>
void copy_rows(SqlDb& db, SqlDb& copy, const std::string& columns, const std::string& table,
               std::size_t batch_size, RowFunction on_row) {
    const auto order = columns.substr(0, columns.find(',', columns.find(',', columns.find(',') + 1) + 1));
    std::vector<Value> after{std::string(), std::int64_t{-1}, std::int64_t{-1}};
    for (;;) {
        const auto rows = copy.run("SELECT " + columns + " FROM " + table + " WHERE (" + order +
                                       ") > ($1, $2, $3) ORDER BY " + order + " LIMIT $4",
                                   {after[0], after[1], after[2], static_cast<std::int64_t>(batch_size)});
        if (rows.empty()) return;
        Transaction transaction(db);
        for (const auto& row : rows) on_row(row);
        transaction.commit();
        after.assign(rows.back().begin(), rows.back().begin() + 3);
    }
}

}  // namespace

RestoreResult restore_copy(SqlDb& db, SqlDb& copy, std::size_t batch_size) {
    RestoreResult result;
    for (const auto& row :
         copy.run("SELECT node, incarnation, birth, started, seen, ended FROM incarnations")) {
        db.run(
            "INSERT INTO incarnations(node, incarnation, birth, started, seen, ended) "
            "VALUES ($1, $2, $3, $4, $5, $6) ON CONFLICT DO NOTHING",
            row);
    }
    const std::string id_condition = " WHERE node = $1 AND incarnation = $2 AND number = $3";
    copy_rows(
        db, copy,
        "node, incarnation, number, op_type, tenant, client, ikey, asked, not_after, parts, fate, ended, "
        "part_fates, note, answer",
        "records", batch_size, [&](const Row& row) {
            const auto existing = db.run("SELECT fate FROM records" + id_condition, {row[0], row[1], row[2]});
            if (existing.empty()) {
                db.run(
                    "INSERT INTO records(node, incarnation, number, op_type, tenant, client, ikey, asked, "
                    "not_after, parts, fate, ended, part_fates, note, answer) VALUES ($1, $2, $3, $4, $5, "
                    "$6, $7, $8, $9, $10, $11, $12, $13, $14, $15) ON CONFLICT DO NOTHING",
                    row);
                ++result.records;
            } else if (std::holds_alternative<std::monostate>(existing[0][0]) &&
                       !std::holds_alternative<std::monostate>(row[10])) {
                db.run("UPDATE records SET fate = $4, ended = $5, part_fates = $6, note = $7, answer = $8" +
                           id_condition + " AND fate IS NULL",
                       {row[0], row[1], row[2], row[10], row[11], row[12], row[13], row[14]});
                ++result.outcomes;
            }
        });
    // A key is restored together with its record: added as the copy has it if nobody holds it, and closed if
    // the record is closed.
    copy_rows(
        db, copy, "node, incarnation, number, tenant, ikey, fingerprint, asked, state", "claims", batch_size,
        [&](const Row& row) {
            const auto existing =
                db.run("SELECT node, incarnation, number FROM claims WHERE tenant = $1 AND ikey = $2",
                       {row[3], row[4]});
            if (existing.empty()) {
                db.run(
                    "INSERT INTO claims(node, incarnation, number, tenant, ikey, fingerprint, asked, state) "
                    "VALUES ($1, $2, $3, $4, $5, $6, $7, $8) ON CONFLICT DO NOTHING",
                    row);
                ++result.keys;
            } else if (std::equal(existing[0].begin(), existing[0].end(), row.begin())) {
                db.run("UPDATE claims SET state = $3 WHERE tenant = $1 AND ikey = $2 AND state = 0",
                       {row[3], row[4], row[7]});
            } else {
                ++result.conflicting_keys;
            }
        });
    for (const auto& row :
         copy.run("SELECT node, incarnation, number, at, who, why, was, became FROM history")) {
        db.run(
            "INSERT INTO history(node, incarnation, number, at, who, why, was, became) "
            "SELECT $1, $2, $3, $4, $5, $6, $7, $8 WHERE NOT EXISTS (SELECT 1 FROM history" +
                id_condition + " AND at = $4)",
            row);
    }
    return result;
}

}  // namespace pinedoor::store
