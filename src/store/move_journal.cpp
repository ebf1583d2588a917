#include "store/move_journal.hpp"

#include <cstdlib>

namespace pinedoor::store {
namespace {

constexpr const char* kOpenCondition = "step NOT IN ('done', 'undone')";

Value to_value(std::uint64_t value) { return static_cast<std::int64_t>(value); }
Value to_value(std::string_view value) { return std::string(value); }

JournalMove read_move(const Row& row) {
    JournalMove result;
    result.move.id = static_cast<placement::MoveId>(number_of(row.at(0)));
    result.move.shard = static_cast<placement::ShardId>(number_of(row.at(1)));
    result.move.from = static_cast<placement::ServerNumber>(number_of(row.at(2)));
    result.move.to = static_cast<placement::ServerNumber>(number_of(row.at(3)));
    result.move.epoch = static_cast<placement::Epoch>(number_of(row.at(4)));
    const auto step = placement::move_step_named(text_of(row.at(5)));
    const auto kind = placement::move_kind_named(text_of(row.at(6)));
    if (!step || !kind)
        throw SqlError(SqlError::Kind::kSchema,
                       "move " + std::to_string(result.move.id) + " has an unknown step or kind");
    result.move.step = *step;
    result.move.kind = *kind;
    result.wave = static_cast<std::size_t>(number_of(row.at(7)));
    result.from = text_of(row.at(8));
    result.to = text_of(row.at(9));
    result.map = static_cast<std::uint64_t>(number_of(row.at(10)));
    result.wish = text_of(row.at(11));
    result.since = number_of(row.at(12));
    result.note = text_of(row.at(13));
    result.move.cut = {std::strtoull(text_of(row.at(14)).c_str(), nullptr, 10),
                       static_cast<placement::ShardId>(number_of(row.at(15))),
                       static_cast<placement::ShardId>(number_of(row.at(16))),
                       static_cast<placement::ShardId>(number_of(row.at(17)))};
    return result;
}

}  // namespace

void MoveJournal::init() {
    db_.share_clock();
    Transaction transaction(db_);
    db_.run(
        "CREATE TABLE IF NOT EXISTS shard_moves(id bigint PRIMARY KEY, shard bigint NOT NULL, "
        "from_box bigint NOT NULL, to_box bigint NOT NULL, epoch bigint NOT NULL, step text NOT NULL, "
        "kind text NOT NULL, wave bigint NOT NULL, from_name text NOT NULL, to_name text NOT NULL, "
        "map bigint NOT NULL, wish text NOT NULL, cut_at text NOT NULL, other bigint NOT NULL, "
        "lower bigint NOT NULL, upper bigint NOT NULL, since bigint NOT NULL, note text NOT NULL)");
    db_.run(
        "CREATE TABLE IF NOT EXISTS shard_mover(one bigint PRIMARY KEY, who text NOT NULL, until bigint NOT "
        "NULL, paused bigint NOT NULL)");
    db_.run(
        "INSERT INTO shard_mover(one, who, until, paused) VALUES (1, '', 0, 0) ON CONFLICT (one) DO NOTHING");
    transaction.commit();
}

bool MoveJournal::acquire_lease(const std::string& owner, std::int64_t duration) {
    Transaction transaction(db_);
    db_.run(
        "UPDATE shard_mover SET who = $1, until = pinedoor_now() + $2 WHERE one = 1 AND (who = $1 OR until < "
        "pinedoor_now())",
        {owner, duration});
    const auto rows = db_.run("SELECT who FROM shard_mover WHERE one = 1");
    const bool acquired = !rows.empty() && text_of(rows[0].at(0)) == owner;
    transaction.commit();
    return acquired;
}

void MoveJournal::release_lease(const std::string& owner) {
    db_.run("UPDATE shard_mover SET until = 0 WHERE one = 1 AND who = $1", {owner});
}

std::string MoveJournal::holder() {
    const auto rows = db_.run("SELECT who FROM shard_mover WHERE one = 1 AND until >= pinedoor_now()");
    return rows.empty() ? "" : text_of(rows[0].at(0));
}

std::vector<JournalMove> MoveJournal::add(std::vector<JournalMove> moves) {
    Transaction transaction(db_);
    const auto rows = db_.run("SELECT max(id) FROM shard_moves");
    auto id = rows.empty() ? 0 : number_of(rows[0].at(0));
    for (auto& each : moves) {
        each.move.id = static_cast<placement::MoveId>(++id);
        db_.run(
            "INSERT INTO shard_moves(id, shard, from_box, to_box, epoch, step, kind, wave, from_name, "
            "to_name, "
            "map, cut_at, other, lower, upper, wish, since, note) "
            "VALUES ($1, $2, $3, $4, $5, $6, $7, $8, $9, $10, $11, $12, $13, $14, $15, '', pinedoor_now(), "
            "'')",
            {to_value(each.move.id), to_value(each.move.shard), to_value(each.move.from),
             to_value(each.move.to), to_value(each.move.epoch), to_value(name_of(each.move.step)),
             to_value(name_of(each.move.kind)), to_value(each.wave), each.from, each.to, to_value(each.map),
             std::to_string(each.move.cut.at), to_value(each.move.cut.other), to_value(each.move.cut.lower),
             to_value(each.move.cut.upper)});
    }
    transaction.commit();
    return moves;
}

void MoveJournal::keep(const placement::Move& move, const std::string& owner) {
    Transaction transaction(db_);
    // Updating the lease row, instead of only reading it, makes the transactions of two movers conflict.
    db_.run("UPDATE shard_mover SET until = until WHERE one = 1 AND who = $1", {owner});
    const auto rows = db_.run("SELECT who FROM shard_mover WHERE one = 1");
    if (rows.empty() || text_of(rows[0].at(0)) != owner)
        throw LeaseLost("another mover holds the lease: " + (rows.empty() ? "" : text_of(rows[0].at(0))));
    db_.run("UPDATE shard_moves SET step = $2, epoch = $3, since = pinedoor_now() WHERE id = $1",
            {to_value(move.id), to_value(name_of(move.step)), to_value(move.epoch)});
    transaction.commit();
}

std::vector<JournalMove> MoveJournal::moves(bool open_only) {
    std::vector<JournalMove> all;
    const std::string columns =
        "SELECT id, shard, from_box, to_box, epoch, step, kind, wave, from_name, to_name, map, wish, since, "
        "note, cut_at, other, lower, upper FROM shard_moves ";
    for (const auto& row :
         db_.run(columns + (open_only ? "WHERE " + std::string(kOpenCondition) : "") + " ORDER BY id"))
        all.push_back(read_move(row));
    return all;
}

bool MoveJournal::wish(placement::MoveId id, const std::string& request) {
    Transaction transaction(db_);
    const auto rows = db_.run("SELECT id FROM shard_moves WHERE id = $1 AND " + std::string(kOpenCondition),
                              {to_value(id)});
    if (!rows.empty()) db_.run("UPDATE shard_moves SET wish = $2 WHERE id = $1", {to_value(id), request});
    transaction.commit();
    return !rows.empty();
}

void MoveJournal::note(placement::MoveId id, const std::string& text) {
    db_.run("UPDATE shard_moves SET note = $2 WHERE id = $1", {to_value(id), text});
}

void MoveJournal::pause(bool paused) {
    db_.run("UPDATE shard_mover SET paused = $1 WHERE one = 1", {std::int64_t{paused ? 1 : 0}});
}

bool MoveJournal::paused() {
    const auto rows = db_.run("SELECT paused FROM shard_mover WHERE one = 1");
    return !rows.empty() && number_of(rows[0].at(0)) != 0;
}

}  // namespace pinedoor::store
