// Access to a SQLite file through a writer thread, so that the scheduler's loop does not wait for a disk.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "net/worker.hpp"
#include "store/backend.hpp"
#include "store/sqlite_db.hpp"

namespace pinedoor::store {

class SqliteBackend : public Backend {
public:
    SqliteBackend(net::Scheduler& scheduler, std::string path, Time lease, std::string vfs = {});

    void open(Registration registration, std::function<void(OpenResult)> done) override;
    void write(Entries entries, std::function<void(WriteResult)> done) override;
    void reconcile(Entries entries, std::function<void(WriteResult)> done) override;
    void maintain(Time delete_before, std::size_t max_deletes,
                  std::function<void(std::size_t)> done) override;
    void deregister(Time timeout, std::function<void()> done) override;
    void on_lost(std::function<void()>) override {}  // a file has no connection to lose

private:
    struct WriterState {  // used by the writer thread only
        std::string path;
        std::string vfs;
        Time lease = 0;
        std::unique_ptr<SqliteDb> db;
        Registration registration;

        OpenResult open(Registration new_registration);
        template <class Operation>
        WriteResult run(Operation operation);
    };
    template <class Result, class Job>
    void submit(Job job, std::function<void(Result)> done, Result result_if_full);

    net::Scheduler& scheduler_;
    std::shared_ptr<WriterState> state_;
    net::Worker worker_;  // last member: destroyed first, because its jobs use the others
};

}  // namespace pinedoor::store
