// A store as the front node uses it: never blocking, one thing at a time, each answered exactly once from the
// scheduler's loop.
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
    struct Enrolled {
        bool good = false;
        bool schema_error = false;  // it fails by its schema: a person must act
        std::uint64_t incarnation = 0;
        std::string why;
    };
    enum class End { kStored, kRejected, kEntriesRejected, kUnknown };
    struct Written {
        End end = End::kRejected;
        std::vector<Claim> claims;  // kStored: one for each entry
        std::vector<bool> present;  // after settle()
        std::string error;
    };

    virtual ~Backend() = default;
    // Connects, checks the schema (a new SQLite file gets one) and enrolls; what was open before is closed.
    virtual void open(Registration registration, std::function<void(Enrolled)> done) = 0;
    virtual void write(Entries entries, std::function<void(Written)> done) = 0;
    virtual void reconcile(Entries entries, std::function<void(Written)> done) = 0;
    // Says that this process is alive and deletes what is old (0: nothing); its failure is found by others.
    virtual void maintain(Time delete_before, std::size_t max_deletes,
                          std::function<void(std::size_t deleted)> done) = 0;
    // Says that this process ends in order; done() is called within the time, whatever comes of it.
    virtual void deregister(Time timeout, std::function<void()> done) = 0;
    // Told when an open store goes away while nothing is asked of it.
    virtual void on_lost(std::function<void()> callback) = 0;
};

}  // namespace pinedoor::store
