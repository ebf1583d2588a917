// Interface to the database of the store of record, as the front node uses it. Calls do not block; every
// request is answered exactly once, from the scheduler's loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "store/sql.hpp"

namespace pinedoor::store {

using Entries = std::vector<std::shared_ptr<const Entry>>;

class Backend {
public:
    struct OpenResult {
        bool good = false;
        bool schema_error = false;  // the schema does not fit: needs an operator
        std::uint64_t incarnation = 0;
        std::string why;
    };
    enum class End { kStored, kRejected, kEntriesRejected, kUnknown };
    struct WriteResult {
        End end = End::kRejected;
        std::vector<Claim> claims;  // if kStored: one for each entry
        std::vector<bool> present;  // after reconcile()
        std::string error;
    };

    virtual ~Backend() = default;
    // Connects, checks the schema (a new SQLite file is initialized) and enrolls this process. Closes a
    // connection that is open.
    virtual void open(Registration registration, std::function<void(OpenResult)> done) = 0;
    virtual void write(Entries entries, std::function<void(WriteResult)> done) = 0;
    virtual void reconcile(Entries entries, std::function<void(WriteResult)> done) = 0;
    // Renews this process's lease and deletes records older than `delete_before` (0: none). Does not report
    // failures; the next write detects them.
    virtual void maintain(Time delete_before, std::size_t max_deletes,
                          std::function<void(std::size_t deleted)> done) = 0;
    // Marks this process as ended. Calls done() within the timeout in any case.
    virtual void deregister(Time timeout, std::function<void()> done) = 0;
    // Sets the callback for a connection that is lost while no request is outstanding.
    virtual void on_lost(std::function<void()> callback) = 0;
};

}  // namespace pinedoor::store
