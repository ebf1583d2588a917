#include "store/sqlite_backend.hpp"

#include <utility>

namespace pinedoor::store {
namespace {

constexpr std::size_t kMaxQueuedJobs = 4;  // one write, one maintenance, one deregistration, and one spare

std::vector<Entry> copy_entries(const Entries& entries) {
    std::vector<Entry> out;
    out.reserve(entries.size());
    for (const auto& entry : entries) out.push_back(*entry);
    return out;
}

}  // namespace

SqliteBackend::SqliteBackend(net::Scheduler& scheduler, std::string path, Time lease, std::string vfs)
    : scheduler_(scheduler), state_(std::make_shared<WriterState>()), worker_(scheduler, kMaxQueuedJobs) {
    state_->path = std::move(path);
    state_->vfs = std::move(vfs);
    state_->lease = lease;
}

// If the queue is full the request fails at once; its result is delivered from the loop like any other.
template <class Result, class Job>
void SqliteBackend::submit(Job job, std::function<void(Result)> done, Result result_if_full) {
    auto result = std::make_shared<Result>(std::move(result_if_full));
    const auto deliver = [result, done] { done(std::move(*result)); };
    if (!worker_.submit([result, job, state = state_] { *result = job(*state); }, deliver))
        scheduler_.defer(deliver);
}

SqliteBackend::OpenResult SqliteBackend::WriterState::open(Registration new_registration) {
    OpenResult result;
    db.reset();
    registration = std::move(new_registration);
    try {
        db = std::make_unique<SqliteDb>(path, vfs);
        if (schema_version(*db) == 0) migrate(*db);
        check_schema(*db);
        registration.incarnation = enroll(*db, registration);
        result.good = true;
        result.incarnation = registration.incarnation;
    } catch (const SqlError& error) {
        db.reset();
        result.schema_error = error.kind == SqlError::Kind::kSchema;
        result.why = error.what();
    }
    return result;
}

template <class Operation>
SqliteBackend::WriteResult SqliteBackend::WriterState::run(Operation operation) {
    WriteResult result;
    if (!db) return {End::kRejected, {}, {}, "the store is not open"};
    try {
        operation(result);
        result.end = End::kStored;
    } catch (const SqlError& error) {
        result = {error.kind == SqlError::Kind::kCommitUnknown     ? End::kUnknown
                  : error.kind == SqlError::Kind::kRejectedEntries ? End::kEntriesRejected
                                                                   : End::kRejected,
                  {},
                  {},
                  error.what()};
        // After a database error the file is reopened, so that the next operation starts from what is on
        // disk.
        if (result.end != End::kEntriesRejected) db.reset();
    }
    return result;
}

void SqliteBackend::open(Registration registration, std::function<void(OpenResult)> done) {
    submit<OpenResult>(
        [registration = std::move(registration)](WriterState& state) { return state.open(registration); },
        std::move(done), {false, false, 0, "the writer is busy"});
}

void SqliteBackend::write(Entries entries, std::function<void(WriteResult)> done) {
    submit<WriteResult>(
        [entries = std::move(entries)](WriterState& state) {
            return state.run([&](WriteResult& result) {
                result.claims = write_entries(*state.db, copy_entries(entries), state.lease);
            });
        },
        std::move(done), {End::kRejected, {}, {}, "the writer is busy"});
}

void SqliteBackend::reconcile(Entries entries, std::function<void(WriteResult)> done) {
    submit<WriteResult>(
        [entries = std::move(entries)](WriterState& state) {
            return state.run([&](WriteResult& result) {
                auto found = find_entries(*state.db, copy_entries(entries), state.lease);
                result.present = std::move(found.present);
                result.claims = std::move(found.claims);
            });
        },
        std::move(done), {End::kUnknown, {}, {}, "the writer is busy"});
}

void SqliteBackend::maintain(Time delete_before, std::size_t max_deletes,
                             std::function<void(std::size_t)> done) {
    submit<std::size_t>(
        [delete_before, max_deletes](WriterState& state) {
            std::size_t deleted = 0;
            state.run([&](WriteResult&) {
                const auto statement = heartbeat_statement(state.registration);
                state.db->run(statement.text, statement.values);
                if (delete_before > 0) deleted = prune(*state.db, delete_before, max_deletes);
            });
            return deleted;
        },
        std::move(done), 0);
}

void SqliteBackend::deregister(Time, std::function<void()> done) {
    submit<bool>(
        [](WriterState& state) {
            state.run([&](WriteResult&) {
                const auto statement = deregister_statement(state.registration);
                state.db->run(statement.text, statement.values);
            });
            state.db.reset();
            return true;
        },
        [done = std::move(done)](bool) { done(); }, false);
}

}  // namespace pinedoor::store
