// Emulated clients on real sockets. The load is open loop: a request's latency counts from its scheduled
// time. Connections are kept and reused.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "lab/live/agenda.hpp"
#include "lab/live/live_server.hpp"
#include "lab/world/demand.hpp"
#include "lab/world/totals.hpp"
#include "net/stream.hpp"

namespace pinedoor::lab {

// Generates the requests of all client kinds and records their ends.
class LiveClients {
public:
    // `nodes`: the addresses of the front nodes.
    LiveClients(net::Scheduler& scheduler, TimerQueue& timers, LiveContext& context,
                std::vector<net::Endpoint> nodes, std::size_t most_connections);

    void start();  // generates requests from now on, for the world's length
    void surge(double by) { surge_ *= by; }
    void shift(Shift to) { shift_ = to; }
    // Opens this many connections per second of clients that send noise, an incomplete request, an oversized
    // one, or nothing; 0 stops it.
    void set_bad_client_rate(double per_second);
    std::size_t open() const { return open_; }
    std::size_t connections() const { return connections_.size(); }
    std::uint64_t without_room() const { return without_room_; }  // not sent: all connections were busy

private:
    struct PendingRequest {
        Request request;
        std::uint64_t multiget = 0;
        int node = 0;
        net::Moment until = 0;  // when its client disconnects or its time is over
        bool leaves = false;    // the client disconnects early
        int connects = 0;       // connection attempts
    };
    struct Connection {
        Connection(net::Scheduler& scheduler, net::Fd fd, int to)
            : stream(scheduler, std::move(fd)), node(to) {}
        net::Stream stream;
        const int node;
        std::unique_ptr<PendingRequest> pending;
        bool used = false;  // has answered a request before
        bool closed = false;
        net::Task task;
    };

    struct BadClient {
        BadClient(net::Scheduler& scheduler, net::Fd fd) : stream(scheduler, std::move(fd)) {}
        net::Stream stream;
        net::Task task;
        bool closed = false;
    };

    void generate_arrivals(std::uint32_t kind);
    void open_bad_client();
    net::Task run_bad_client(BadClient& bad);
    void start_try(std::unique_ptr<PendingRequest> pending, bool is_new);
    void send_to_node(std::unique_ptr<PendingRequest> pending, int node);
    net::Task run_connection(Connection& connection);
    void handle_disconnect(Connection& connection, bool answering);
    void end(std::unique_ptr<PendingRequest> pending, How end_kind, bool whole, double returned_weight,
             Time wait, const std::string& shards);
    const std::string& tenant_name(const PendingRequest& pending) const;
    std::string request_text(const PendingRequest& pending) const;
    void answered(std::unique_ptr<PendingRequest> pending, int status, const std::string* retry_after,
                  const std::string& body);

    net::Scheduler& scheduler_;
    TimerQueue& timers_;
    LiveContext& context_;
    const std::vector<net::Endpoint> nodes_;
    const std::size_t max_connections_;
    double surge_ = 1;
    Shift shift_;
    double bad_per_second_ = 0;
    std::list<std::unique_ptr<BadClient>> bad_clients_;
    std::uint64_t multigets_ = 0, without_room_ = 0;
    std::size_t open_ = 0;
    std::list<std::unique_ptr<Connection>> connections_;
    std::vector<std::vector<Connection*>> idle_;  // by front node
};

}  // namespace pinedoor::lab
