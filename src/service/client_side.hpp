// HTTP connections of clients: parses multigets, submits them and writes their answers.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/stream.hpp"
#include "parse/http.hpp"
#include "service/counters.hpp"
#include "service/log.hpp"
#include "service/request_handler.hpp"

namespace pinedoor::service {

// HTTP/1.1 server for multigets, `GET /up` and `GET /counters`.
class ClientSide {
public:
    ClientSide(net::Scheduler& scheduler, RequestHandler& handler, Counters& counters, Log& log,
               net::Endpoint listen, std::vector<std::string> op_types, std::vector<std::string> tenants,
               int shards, Time patience, Time grace, std::size_t most_connections, bool takes_keys,
               std::function<std::string()> print_counters, std::function<bool()> can_serve);

    void start();
    // Begins a graceful shutdown: accepts connections for as long as new ones may arrive, then closes idle
    // ones and answers what was accepted. done() is true once no connection is left.
    void stop();
    bool done() const { return stopping_ && !accepting_ && connections_.empty(); }
    std::string print_gauges() const;

private:
    struct Connection {
        Connection(net::Scheduler& scheduler, net::Fd fd)
            : stream(scheduler, std::move(fd)), since(scheduler.now()) {}
        net::Stream stream;
        // kNew: no complete request yet; kIdle: between two requests; kLeaving: the last answer is written.
        enum class Phase { kNew, kIdle, kReading, kBusy, kLeaving } phase = Phase::kNew;
        Time since = 0;        // when the phase began
        bool closing = false;  // to be closed when idle
        bool evicted = false;  // to be closed unless a complete request has been read
        // When the first bytes of a pipelined request, behind the open one, were read; 0: none were.
        Time next_came = 0;
        Ticket multiget = 0;  // of the open multiget; 0: none
        std::optional<Ending> ending;
        net::Task task;  // last member: destroyed first
    };
    struct Reply {
        int status = 200;
        std::string headers;
        std::string body;
        bool last = false;  // the connection is closed after this reply
    };

    net::Task accept();
    net::Task serve(Connection& connection);
    // Records the arrival time of a pipelined request.
    void note_next(Connection& connection);
    // Accepts all pending connections. Returns false if there is no capacity for one more.
    bool take_all_queued();
    void make_room();
    // Rank for eviction: the connection with the lowest rank is closed first.
    int readiness_to_go(const Connection& connection) const;
    void drop(Connection& connection);
    // Returns nothing if the answer follows with the multiget's end.
    std::optional<Reply> handle(Connection& connection, parse::HttpReader& request, Time arrived);
    std::optional<Reply> ask(Connection& connection, parse::HttpReader& request, Time arrived);
    // Returns what is wrong with the request, or an empty string.
    std::string read_multiget(parse::HttpReader& request, Time arrived, MultigetAsked& asked) const;
    // Returns what is wrong with the body, or an empty string.
    std::string read_parts(const std::string& body, MultigetAsked& asked) const;
    Reply bad(int status, std::string why);
    static Reply reply_to(const Ending& ending);

    net::Scheduler& scheduler_;
    RequestHandler& handler_;
    Counters& counters_;
    Log& log_;
    const net::Endpoint at_;
    const std::vector<std::string> op_types_;
    const std::vector<std::string> tenants_;
    const int shards_;
    const Time patience_;  // time limit for writing an answer
    const Time grace_;     // time in which the first request usually arrives on a new connection
    const std::size_t most_connections_;
    const bool takes_keys_;  // whether Idempotency-Key is read; else it is ignored
    const std::function<std::string()> print_counters_;
    const std::function<bool()> can_serve_;
    bool stopping_ = false;
    bool accepting_ = false;
    Time accept_until_ = net::kNever;
    Time serve_until_ = net::kNever;
    Time answer_until_ = net::kNever;
    std::size_t most_at_once_ = 0;
    std::list<std::unique_ptr<Connection>> connections_;
    net::Fd listener_;
    std::optional<net::Waiter> waiter_;
    net::Task task_;
};

}  // namespace pinedoor::service
