// Non-blocking access to a PostgreSQL database through libpq, driven by the scheduler. It uses one connection
// in pipeline mode; a batch of entries takes one transaction and one round trip.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/scheduler.hpp"
#include "store/backend.hpp"
#include "store/pq.hpp"
#include "store/terms.hpp"

namespace pinedoor::store {

class PgBackend : public Backend {
public:
    // Throws SqlError if libpq is missing, or if the host is a name, because resolving it would block the
    // loop.
    PgBackend(net::Scheduler& scheduler, PostgresConfig config, Time lease);
    ~PgBackend() override;

    void open(Registration registration, std::function<void(OpenResult)> done) override;
    void write(Entries entries, std::function<void(WriteResult)> done) override;
    void reconcile(Entries entries, std::function<void(WriteResult)> done) override;
    void maintain(Time delete_before, std::size_t max_deletes,
                  std::function<void(std::size_t)> done) override;
    void deregister(Time timeout, std::function<void()> done) override;
    void on_lost(std::function<void()> callback) override { on_lost_ = std::move(callback); }

private:
    struct QueryResult {
        enum class Status { kOk, kError, kLost } status = Status::kLost;
        SqlError::Kind error_kind = SqlError::Kind::kUnavailable;  // if kError
        std::string error;
        std::vector<std::vector<Row>> rows;  // of each statement
    };
    struct Request {
        std::vector<Statement> statements;
        bool transaction = false;
        // Runs in the connection's coroutine; may submit the next request.
        std::function<void(QueryResult)> done;
    };
    struct ConnectionCloser {
        const LibPq* pq = nullptr;
        void operator()(PGconn* connection) const { pq->finish(connection); }
    };

    net::Task connect_and_serve();
    std::string send(const Request& request);  // returns the error, or an empty text
    // Reads the results that have arrived. Returns false while more are expected.
    bool read_results(QueryResult& result);
    void submit(std::vector<Statement> statements, bool transaction, std::function<void(QueryResult)> done);
    void check_schema_and_enroll(Registration registration, std::function<void(OpenResult)> done);
    void enroll(Registration registration, std::function<void(OpenResult)> done);
    void close_connection();
    std::string connection_error() const;
    std::unique_ptr<net::Waiter> make_waiter();
    static WriteResult to_written(const QueryResult& result);

    net::Scheduler& scheduler_;
    const PostgresConfig config_;
    const Time lease_;
    LibPq pq_;
    std::function<void()> on_lost_;
    std::unique_ptr<PGconn, ConnectionCloser> connection_;
    std::map<std::string, std::string> prepared_;  // statement to its name on this connection
    std::uint64_t last_statement_number_ = 0;
    // For each command sent: whether its result belongs to the request (false: PREPARE, BEGIN or COMMIT).
    std::vector<bool> result_expected_;
    std::size_t results_seen_ = 0;
    bool connected_ = false;
    std::uint64_t generation_ = 0;  // of the connection; notifications of an older one are ignored
    std::deque<Request> requests_;
    std::function<void(OpenResult)> on_opened_;
    Registration registration_;
    std::unique_ptr<net::Waiter> socket_waiter_;
    net::Task task_;  // last member: destroyed first
};

}  // namespace pinedoor::store
