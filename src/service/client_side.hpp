// HTTP connections of clients: reads multigets, submits them and writes their answers.
//
// Each connection does a bounded share of work before the others have their turn. What it holds is paid from
// a budget of memory; over it, the connections that held most for longest are closed. Before a multiget
// begins, its connection's input is read to its end, so that a close behind it is seen in time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/stream.hpp"
#include "parse/http.hpp"
#include "service/client_connection.hpp"
#include "service/client_eviction.hpp"
#include "service/counters.hpp"
#include "service/input_budgets.hpp"
#include "service/log.hpp"
#include "service/multiget_parser.hpp"
#include "service/recent_names.hpp"
#include "service/request_handler.hpp"

namespace pinedoor::service {

struct ClientSideConfig {
    net::Endpoint listen;
    MultigetParser::Vocabulary vocabulary;
    Time write_timeout = 0;       // time limit for writing an answer
    Time first_request_time = 0;  // time in which the first request usually arrives on a new connection
    std::size_t max_connections = 0;
    std::size_t max_names = 0;  // names of requests that may have run
    std::uint64_t seed = 0;
};

// HTTP/1.1 server for multigets, `GET /up` and `GET /counters`.
class ClientConnections {
public:
    ClientConnections(net::Scheduler& scheduler, RequestHandler& handler, Counters& counters, Log& log,
                      InputBudgets& budgets, ClientSideConfig config,
                      std::function<std::string()> print_counters, std::function<bool()> is_ready);

    void start();
    // Begins a graceful shutdown: accepts connections for as long as new ones may arrive, then closes idle
    // ones and answers what was accepted. done() is true once no connection is left.
    void stop();
    bool done() const { return stopping_ && !accepting_ && connections_.empty(); }
    std::string print_gauges() const;

private:
    using Connection = ClientConnection;
    struct Reply {
        int status = 200;
        std::string headers;
        std::string body;
        bool close_after = false;  // the connection is closed after this reply
    };
    enum class Accepted { kAll, kShare, kNoCapacity };  // kShare: more may be pending
    // kMore: bytes were read; kAll: no more have come; kFull: no more are kept; kGone: the client has closed.
    enum class ReadAhead { kMore, kAll, kFull, kGone };

    net::Task accept_clients();
    net::Task run_connection(Connection& connection);
    // Accepts pending connections, at most its share of them for one turn.
    Accepted accept_pending();
    void add_connection(net::Fd fd);
    void remove(Connection& connection);

    void evict(Connection& connection, Connection::Eviction reason);
    // Evicts connections whose descriptors are wanted; the more, the longer some have been waiting.
    void free_descriptors();
    // Evicts connections until the reserve of the budget is free.
    void free_memory(const MemoryBudget& budget, ChargeOfConnection charge);
    void free_memory();
    // What is kept free for the requests of clients that hold little.
    std::size_t memory_reserve(const MemoryBudget& budget) const;
    // Whether there is memory for a multiget that takes so many bytes; a large one leaves the reserve.
    bool has_room_for_multiget(std::size_t bytes) const;
    void update_memory(Connection& connection);
    // Whether the connection may read more of its request.
    bool may_hold_more(const Connection& connection) const;

    void begin_share(Connection& connection);
    bool has_done_share(Connection& connection);

    // Prepares for the next request; returns whether it is one that is skipped.
    bool begin_request(Connection& connection);
    void note_first_bytes(Connection& connection, Time& arrived);
    // Reads what came behind a complete request, once.
    ReadAhead read_ahead(Connection& connection);
    // Reads the requests that were read ahead without keeping them.
    void skip_ahead(Connection& connection);
    // The answers to some of the requests that were skipped; empty if there are none left.
    std::string answer_skipped(Connection& connection);

    // Returns nothing if the answer follows with the multiget's end.
    std::optional<Reply> handle_request(Connection& connection, Time arrived);
    std::optional<Reply> submit_multiget(Connection& connection, Time arrived);
    Reply finish_multiget(Connection& connection);
    void remember_name(const Connection& connection, const store::PartOutcomes& parts);
    Reply bad_request(int status, std::string reason);
    Reply too_far_ahead();
    static Reply make_reply(const MultigetResult& ending);

    net::Scheduler& scheduler_;
    RequestHandler& handler_;
    Counters& counters_;
    Log& log_;
    InputBudgets& budgets_;
    MemoryBudget& memory_;
    const ClientSideConfig config_;
    const MultigetParser parser_;
    const std::function<std::string()> print_counters_;
    const std::function<bool()> is_ready_;
    RecentNames names_;
    bool stopping_ = false;
    bool accepting_ = false;
    Time accept_until_ = net::kNever;
    Time serve_until_ = net::kNever;
    Time answer_until_ = net::kNever;
    std::size_t peak_connections_ = 0;
    std::uint64_t last_number_ = 0;
    Time memory_freed_at_ = 0;
    std::size_t evictions_wanted_ = 1;  // by the next call of free_descriptors()
    ClientConnectionList connections_;
    net::Fd listener_;
    std::optional<net::Waiter> waiter_;
    net::Task accept_task_;
};

}  // namespace pinedoor::service
