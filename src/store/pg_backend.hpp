// A PostgreSQL database through libpq, never blocking, on the scheduler: one connection in pipeline mode, a
// group of entries in one transaction and one round trip.
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
    // Throws SqlError if libpq is missing, or the address is a name: a look-up would block the loop.
    PgBackend(net::Scheduler& scheduler, PostgresTerms terms, Time lease);
    ~PgBackend() override;

    void open(Registration registration, std::function<void(Enrolled)> done) override;
    void write(Entries entries, std::function<void(Written)> done) override;
    void settle(Entries entries, std::function<void(Written)> done) override;
    void tend(Time delete_before, std::size_t most, std::function<void(std::size_t)> done) override;
    void leave(Time within, std::function<void()> done) override;
    void on_lost(std::function<void()> lost) override { lost_ = std::move(lost); }

private:
    struct Answer {
        enum class End { kGood, kError, kLost } end = End::kLost;
        SqlError::Kind kind = SqlError::Kind::kStore;  // of an error
        std::string why;
        std::vector<std::vector<Row>> rows;  // of each statement
    };
    struct Request {
        std::vector<Statement> statements;
        bool transaction = false;
        std::function<void(Answer)> done;  // from the connection's own coroutine; it may ask the next
    };
    struct Finish {
        const Pq* pq = nullptr;
        void operator()(PGconn* connection) const { pq->finish(connection); }
    };

    net::Task connect_and_serve();
    std::string send(const Request& request);  // what went wrong, or nothing
    // False: more must come. Takes what has come of the request's results.
    bool take_results(Answer& answer);
    void ask(std::vector<Statement> statements, bool transaction, std::function<void(Answer)> done);
    void look(Registration registration, std::function<void(Enrolled)> done);
    void enroll_now(Registration registration, std::function<void(Enrolled)> done);
    void drop();
    std::string why() const;
    std::unique_ptr<net::Waiter> watch();
    static Written written_from(const Answer& answer);

    net::Scheduler& scheduler_;
    const PostgresTerms terms_;
    const Time lease_;
    Pq pq_;
    std::function<void()> lost_;
    std::unique_ptr<PGconn, Finish> connection_;
    std::map<std::string, std::string> prepared_;  // statement to its name on this connection
    std::uint64_t last_name_ = 0;
    std::vector<bool> awaited_;  // of what was sent: does its result count (else it is a preparation's)
    std::size_t results_ = 0;
    bool up_ = false;
    std::uint64_t generation_ = 0;  // of the connection: what an older one still tells is passed over
    std::deque<Request> requests_;
    std::function<void(Enrolled)> connected_;
    Registration registration_;
    std::unique_ptr<net::Waiter> socket_;
    net::Task task_;  // last: goes first
};

}  // namespace pinedoor::store
