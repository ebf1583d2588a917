// Connections to index servers: writes sends in call frames, reads results, and reports the outcome of each
// send to the dispatcher.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/stream.hpp"
#include "parse/frame.hpp"
#include "service/counters.hpp"
#include "service/exchange.hpp"
#include "service/input_budgets.hpp"
#include "service/log.hpp"

namespace pinedoor::service {

// Pools connections for each index server and tracks every send until its outcome.
class ServerConnections : public SendTransport {
public:
    ServerConnections(net::Scheduler& scheduler, Dispatcher& dispatcher, Counters& counters, Log& log,
                      MemoryBudget& memory, std::vector<std::string> report_fields, int parts_per_call,
                      int streams_per_connection, Time connect_timeout, Time idle_timeout,
                      std::size_t max_connections, std::size_t max_idle);

    // To be called before start(). `may_connect` is called before each new connection and may refuse it.
    void set_connection_pacing(std::function<bool(net::Endpoint)> may_connect) {
        may_connect_ = std::move(may_connect);
    }
    void start();
    void send(PartSend call) override;
    void flush() override;
    void cancel(Id part, int send) override;
    bool is_unwritten(Id part, int send) const override;
    void update_server(ServerId id, net::Endpoint endpoint, ServerState state, Time started) override;
    std::string print_gauges() const;

private:
    using SendKey = std::pair<Id, int>;
    enum class Stage { kQueued, kWriting, kSent };  // no byte of its frame is written; some are; all are

    struct Server;
    struct Connection {
        Connection(net::Scheduler& scheduler, net::Fd fd, Server& to_server, MemoryBudget& budget)
            : server(to_server), stream(scheduler, std::move(fd)), opened_at(scheduler.clock()),
              last_used(opened_at), memory(budget) {}

        std::size_t load() const { return open_sends; }
        // What its buffers hold now, as allocated, in bytes.
        std::size_t held_bytes() const {
            return stream.buffer().capacity() + frame.capacity() + cancel_frames.capacity() +
                   cancelled_names.size() * sizeof(std::uint64_t);
        }
        bool busy() const { return open_sends > 0 || !cancel_frames.empty() || bytes_written < frame.size(); }

        Server& server;
        net::Stream stream;
        std::deque<std::vector<SendKey>> queued;         // calls of which no byte is written
        std::vector<SendKey> writing;                    // the call whose frame is being written
        std::map<std::string, SendKey> awaiting_answer;  // by the part's name on the wire
        // Hashes of the names of cancelled parts, for which a result may still arrive.
        std::deque<std::uint64_t> cancelled_names;
        std::string cancel_frames;  // cancel frames to be written
        std::string frame;          // frame that is being written
        std::size_t bytes_written = 0;
        // Time at which the first byte of the frame was written, until its last one is written.
        Time frame_started = net::kNever;
        std::size_t open_sends = 0;  // in all three stages
        bool connected = false;
        bool closing = false;
        // Suspected to be dead: a send or an answer has been overdue for the connect timeout, and nothing has
        // been read since.
        bool suspected = false;
        // Not usable any more, although its server is alive.
        bool unusable = false;
        bool retired = false;  // the server is listed at another address now
        Count close_reason = Count::kClosedByServer;
        Time opened_at = 0;
        Time last_used = 0;  // last time that bytes were read or written
        Time idle_since = net::kNever;
        Time last_frame_at = 0;                  // when a valid frame was last read
        Time partial_frame_since = net::kNever;  // when the first byte of the partly received frame was read
        // Since when an answer has been due, be it to a send that was cancelled meanwhile.
        Time unanswered_since = net::kNever;
        std::string last_answered;  // name of the part whose answer was read last
        MemoryCharge memory;
        net::Task task;  // last member: destroyed first
    };
    struct Server {
        ServerId id;
        net::Endpoint endpoint;
        ServerState state = ServerState::kGone;
        Time started = 0;
        std::list<std::unique_ptr<Connection>> connections;
        std::vector<PartSend> turn_sends;  // sends of this turn
    };
    struct ActiveSend {
        PartSend send;
        std::string wire_name;  // name on the wire
        Connection* connection = nullptr;
        Stage stage = Stage::kQueued;
        Time written_at = 0;
        Time check_at = 0;  // time of its next check
    };

    // Checks sends whenever their check time comes.
    net::Task run_checks();
    // Reads and writes one connection until it is closed.
    net::Task run_connection(Connection& connection);
    // Handles a send whose check time has come.
    void check_send(const SendKey& key, Time now);
    // Assigns one call to a connection, or reports its sends' outcome if there is none.
    void assign(Server& server, std::vector<PartSend> calls);
    struct Choice {
        Connection* connection;  // null: none
        // Outcome of the sends where there is no connection: kNoConnection if the server refused one,
        // kNeverSent if this node could not open one (no free descriptor, or not permitted by connection
        // pacing).
        Outcome outcome_if_none;
    };
    Choice choose_connection(Server& server, std::size_t parts);
    Choice open_connection(Server& server);
    // Whether a queued send may still be written.
    bool may_write(const ActiveSend& sent, const Server& server) const;
    void drop_queued(Server& server);
    bool can_write_next_call(const Connection& connection) const;
    // Time at which a partly written frame counts as stalled.
    Time stall_time(const Connection& connection) const;
    net::Stream::Got read_frames(Connection& connection);
    bool handle_result(Connection& connection, std::string_view rest);
    // The outcome of a send whose result arrived. A value that cannot be kept counts as an error.
    Outcome outcome_of(const SendKey& key, const parse::Result& result);
    // Handles a malformed frame: closes the connection.
    void handle_bad_frame(Connection& connection, std::string_view rest);
    void make_unusable(Connection& connection, std::string_view rest);
    // Returns the report's values in the order of the configured fields, or nothing unless every field is
    // present with a valid number: a missing value must not pass for an idle server.
    std::vector<double> parse_report(std::string_view report) const;
    void write_frames(Connection& connection);
    void prepare_frame(Connection& connection);
    void on_frame_written(Connection& connection);
    void remove_queued(Connection& connection, const SendKey& key);
    void cancel_written(ActiveSend& sent);
    // By value: the key may be an element of a container that is changed here.
    void finish_send(SendKey key, Outcome outcome, std::vector<double> load = {}, std::string value = {});
    // Removes a send from the active ones and returns it; the caller reports its outcome.
    std::optional<PartSend> remove_send(const SendKey& key);
    void set_check_time(const SendKey& key, ActiveSend& sent, Time check_at);
    // Updates whether a connection counts as idle.
    void update_idle(Connection& connection);
    void update_memory(Connection& connection);
    // Closes connections, those first that hold most, until the others leave `wanted` bytes.
    void free_memory(std::size_t wanted);
    void close_longest_idle();
    void close(Connection& connection, Count reason);
    void finish_connection(Connection& connection);
    void forget_if_removed(ServerId id);

    net::Scheduler& scheduler_;
    Dispatcher& dispatcher_;
    Counters& counters_;
    Log& log_;
    MemoryBudget& memory_;
    const std::vector<std::string> report_fields_;
    const std::size_t parts_per_call_;
    const std::size_t streams_;
    const Time connect_timeout_;
    const Time idle_timeout_;
    const std::size_t max_connections_;
    const std::size_t max_idle_;
    std::function<bool(net::Endpoint)> may_connect_;  // empty: always permitted
    std::size_t connection_count_ = 0;
    std::size_t closing_count_ = 0;  // connections that are being closed
    std::size_t peak_connections_ = 0;
    std::map<ServerId, Server> servers_;
    std::set<std::pair<Time, Connection*>> idle_connections_;  // longest idle first
    std::vector<ServerId> servers_with_sends_;                 // servers with sends of this turn
    std::map<SendKey, ActiveSend> active_sends_;
    std::set<std::pair<Time, SendKey>> check_times_;
    net::Waiter waiter_;
    net::Task task_;
};

}  // namespace pinedoor::service
