// A SQLite file behind a writer thread: the loop hands groups over and never waits on a disk.
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

    void open(Registration registration, std::function<void(Enrolled)> done) override;
    void write(Entries entries, std::function<void(Written)> done) override;
    void reconcile(Entries entries, std::function<void(Written)> done) override;
    void maintain(Time delete_before, std::size_t max_deletes,
                  std::function<void(std::size_t)> done) override;
    void deregister(Time timeout, std::function<void()> done) override;
    void on_lost(std::function<void()>) override {}  // a file does not go away by itself

private:
    struct WriterState {  // touched by the thread alone
        std::string path;
        std::string vfs;
        Time lease = 0;
        std::unique_ptr<SqliteDb> db;
        Registration registration;

        Enrolled open(Registration new_registration);
        template <class Operation>
        Written run(Operation operation);
    };
    template <class Result, class Job>
    void submit(Job job, std::function<void(Result)> done, Result result_if_full);

    net::Scheduler& scheduler_;
    std::shared_ptr<WriterState> state_;
    net::Worker worker_;  // last: goes first, and with it what uses the rest
};

}  // namespace pinedoor::store
