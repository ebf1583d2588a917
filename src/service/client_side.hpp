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
class ClientConnections {
public:
    ClientConnections(net::Scheduler& scheduler, RequestHandler& handler, Counters& counters, Log& log,
                      net::Endpoint listen, std::vector<std::string> op_types,
                      std::vector<std::string> tenants, int shards, Time write_timeout,
                      Time first_request_time, std::size_t max_connections, bool accepts_keys,
                      std::function<std::string()> print_counters, std::function<bool()> is_ready);

    void start();
    // Begins a graceful shutdown: accepts connections for as long as new ones may arrive, then closes idle
    // ones and answers what was accepted. done() is true once no connection is left.
    void stop();
    bool done() const { return stopping_ && !accepting_ && connections_.empty(); }
    std::string print_gauges() const;

private:
    struct Connection {
        Connection(net::Scheduler& scheduler, net::Fd fd)
            : stream(scheduler, std::move(fd)), phase_since(scheduler.now()) {}
        net::Stream stream;
        // kNew: no complete request yet; kIdle: between two requests; kLeaving: the last answer is written.
        enum class Phase { kNew, kIdle, kReading, kBusy, kLeaving } phase = Phase::kNew;
        Time phase_since = 0;          // when the phase began
        bool close_when_idle = false;  // to be closed when idle
        bool evicted = false;          // to be closed unless a complete request has been read
        // When the first bytes of a pipelined request, behind the open one, were read; 0: none were.
        Time next_arrived_at = 0;
        Ticket ticket = 0;  // of the open multiget; 0: none
        std::optional<MultigetResult> result;
        net::Task task;  // last member: destroyed first
    };
    struct Reply {
        int status = 200;
        std::string headers;
        std::string body;
        bool close_after = false;  // the connection is closed after this reply
    };

    net::Task accept_clients();
    net::Task run_connection(Connection& connection);
    // Records the arrival time of a pipelined request.
    void note_pipelined_request(Connection& connection);
    // Accepts all pending connections. Returns false if there is no capacity for one more.
    bool accept_pending();
    void evict_connection();
    // Rank for eviction: the connection with the lowest rank is closed first.
    int eviction_rank(const Connection& connection) const;
    void remove(Connection& connection);
    // Returns nothing if the answer follows with the multiget's end.
    std::optional<Reply> handle_request(Connection& connection, parse::HttpParser& request, Time arrived);
    std::optional<Reply> submit_multiget(Connection& connection, parse::HttpParser& request, Time arrived);
    // Returns what is wrong with the request, or an empty string.
    std::string parse_multiget(parse::HttpParser& request, Time arrived, MultigetRequest& multiget) const;
    // Returns what is wrong with the body, or an empty string.
    std::string parse_parts(const std::string& body, MultigetRequest& multiget) const;
    Reply bad_request(int status, std::string reason);
    static Reply make_reply(const MultigetResult& ending);

    net::Scheduler& scheduler_;
    RequestHandler& handler_;
    Counters& counters_;
    Log& log_;
    const net::Endpoint endpoint_;
    const std::vector<std::string> op_types_;
    const std::vector<std::string> tenants_;
    const int shards_;
    const Time write_timeout_;       // time limit for writing an answer
    const Time first_request_time_;  // time in which the first request usually arrives on a new connection
    const std::size_t max_connections_;
    const bool accepts_keys_;  // whether Idempotency-Key is read; else it is ignored
    const std::function<std::string()> print_counters_;
    const std::function<bool()> is_ready_;
    bool stopping_ = false;
    bool accepting_ = false;
    Time accept_until_ = net::kNever;
    Time serve_until_ = net::kNever;
    Time answer_until_ = net::kNever;
    std::size_t peak_connections_ = 0;
    std::list<std::unique_ptr<Connection>> connections_;
    net::Fd listener_;
    std::optional<net::Waiter> waiter_;
    net::Task accept_task_;
};

}  // namespace pinedoor::service
