#include "store/sqlite_backend.hpp"

#include <utility>

namespace pinedoor::store {
namespace {

constexpr std::size_t kMostQueued = 4;  // one write, one tending, one leave, and one to spare

std::vector<Entry> copies(const Entries& entries) {
    std::vector<Entry> out;
    out.reserve(entries.size());
    for (const auto& entry : entries) out.push_back(*entry);
    return out;
}

}  // namespace

SqliteBackend::SqliteBackend(net::Scheduler& scheduler, std::string path, Time lease, std::string vfs)
    : scheduler_(scheduler), inside_(std::make_shared<Inside>()), worker_(scheduler, kMostQueued) {
    inside_->path = std::move(path);
    inside_->vfs = std::move(vfs);
    inside_->lease = lease;
}

// A job that finds the queue full ends at once, by way of the loop like any other.
template <class Result, class Job>
void SqliteBackend::hand_over(Job job, std::function<void(Result)> done, Result if_full) {
    auto result = std::make_shared<Result>(std::move(if_full));
    const auto told = [result, done] { done(std::move(*result)); };
    if (!worker_.submit([result, job, inside = inside_] { *result = job(*inside); }, told))
        scheduler_.defer(told);
}

SqliteBackend::Enrolled SqliteBackend::Inside::open(Registration asked) {
    Enrolled enrolled;
    db.reset();
    registration = std::move(asked);
    try {
        db = std::make_unique<SqliteDb>(path, vfs);
        if (schema_version(*db) == 0) migrate(*db);
        check_schema(*db);
        registration.incarnation = enroll(*db, registration);
        enrolled.good = true;
        enrolled.incarnation = registration.incarnation;
    } catch (const SqlError& error) {
        db.reset();
        enrolled.schema = error.kind == SqlError::Kind::kSchema;
        enrolled.why = error.what();
    }
    return enrolled;
}

template <class Doing>
SqliteBackend::Written SqliteBackend::Inside::attempt(Doing doing) {
    Written written;
    if (!db) return {End::kRefused, {}, {}, "the store is not open"};
    try {
        doing(written);
        written.end = End::kStored;
    } catch (const SqlError& error) {
        written = {error.kind == SqlError::Kind::kUnsure    ? End::kUnsure
                   : error.kind == SqlError::Kind::kEntries ? End::kEntriesAtFault
                                                            : End::kRefused,
                   {},
                   {},
                   error.what()};
        // After an error of the file the next one starts from what is on disk.
        if (written.end != End::kEntriesAtFault) db.reset();
    }
    return written;
}

void SqliteBackend::open(Registration registration, std::function<void(Enrolled)> done) {
    hand_over<Enrolled>(
        [registration = std::move(registration)](Inside& inside) { return inside.open(registration); },
        std::move(done), {false, false, 0, "the writer is busy"});
}

void SqliteBackend::write(Entries entries, std::function<void(Written)> done) {
    hand_over<Written>(
        [entries = std::move(entries)](Inside& inside) {
            return inside.attempt([&](Written& written) {
                written.claims = write_entries(*inside.db, copies(entries), inside.lease);
            });
        },
        std::move(done), {End::kRefused, {}, {}, "the writer is busy"});
}

void SqliteBackend::settle(Entries entries, std::function<void(Written)> done) {
    hand_over<Written>(
        [entries = std::move(entries)](Inside& inside) {
            return inside.attempt([&](Written& written) {
                auto found = find_entries(*inside.db, copies(entries), inside.lease);
                written.present = std::move(found.present);
                written.claims = std::move(found.claims);
            });
        },
        std::move(done), {End::kUnsure, {}, {}, "the writer is busy"});
}

void SqliteBackend::tend(Time delete_before, std::size_t most, std::function<void(std::size_t)> done) {
    hand_over<std::size_t>(
        [delete_before, most](Inside& inside) {
            std::size_t deleted = 0;
            inside.attempt([&](Written&) {
                const auto statement = alive(inside.registration);
                inside.db->run(statement.text, statement.values);
                if (delete_before > 0) deleted = prune(*inside.db, delete_before, most);
            });
            return deleted;
        },
        std::move(done), 0);
}

void SqliteBackend::leave(Time, std::function<void()> done) {
    hand_over<bool>(
        [](Inside& inside) {
            inside.attempt([&](Written&) {
                const auto statement = ended(inside.registration);
                inside.db->run(statement.text, statement.values);
            });
            inside.db.reset();
            return true;
        },
        [done = std::move(done)](bool) { done(); }, false);
}

}  // namespace pinedoor::store
