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
#include "service/counters.hpp"
#include "service/exchange.hpp"
#include "service/log.hpp"

namespace pinedoor::service {

// Pools connections for each index server and tracks every send until its outcome.
class ServerSide : public Caller {
public:
    ServerSide(net::Scheduler& scheduler, Exchange& exchange, Counters& counters, Log& log,
               std::vector<std::string> report_fields, int parts_per_call, int streams, Time connect_timeout,
               Time connection_idle, std::size_t most_connections, std::size_t most_idle);

    // To be called before start(). `may_connect` is called before each new connection and may refuse it.
    void pace_connections(std::function<bool(net::Endpoint)> may_open) { may_open_ = std::move(may_open); }
    void start();
    void call(PartCall call) override;
    void flush() override;
    void call_off(Id part, int send) override;
    void learn(ServerId id, net::Endpoint at, ServerState state, Time started) override;
    std::string print_gauges() const;

private:
    using SendKey = std::pair<Id, int>;
    enum class Stage { kWaiting, kWriting, kOut };  // no byte of its frame is written; some are; all are

    struct Server;
    struct Connection {
        Connection(net::Scheduler& scheduler, net::Fd fd, Server& to)
            : server(to), stream(scheduler, std::move(fd)), opened(scheduler.now()), used(opened) {}

        std::size_t load() const { return sends; }
        bool busy() const { return sends > 0 || !commands.empty() || written < frame.size(); }

        Server& server;
        net::Stream stream;
        std::deque<std::vector<SendKey>> waiting;  // calls of which no byte is written
        std::vector<SendKey> writing;              // the call whose frame is being written
        std::map<std::string, SendKey> out;        // by the part's name on the wire
        std::deque<std::string> ended;  // names of cancelled parts, for which a result may still arrive
        std::string commands;           // cancel frames to be written
        std::string frame;              // frame that is being written
        std::size_t written = 0;
        Time frame_begun =
            net::kNever;        // time of the frame's first written byte, until its last one is written
        std::size_t sends = 0;  // in all three stages
        bool up = false;
        bool ending = false;
        // Suspected to be dead: a send or an answer has been overdue for the connect timeout, and nothing has
        // been read since.
        bool doubted = false;
        // Not usable any more, although its server is alive.
        bool lost = false;
        bool retired = false;  // the server is listed at another address now
        Count cause = Count::kClosedByServer;
        Time opened = 0;
        Time used = 0;  // last time that bytes were read or written
        Time idle_since = net::kNever;
        Time read = 0;             // when a valid frame was last read
        Time begun = net::kNever;  // when the first byte of the partly received frame was read
        // Since when an answer has been due, be it to a send that was cancelled meanwhile.
        Time asked = net::kNever;
        std::string answered;  // name of the part whose answer was read last
        net::Task task;        // last member: destroyed first
    };
    struct Server {
        ServerId id;
        net::Endpoint at;
        ServerState state = ServerState::kGone;
        Time started = 0;
        std::list<std::unique_ptr<Connection>> connections;
        std::vector<PartCall> gathered;  // sends of this turn
    };
    struct Sent {
        PartCall call;
        std::string name;  // name on the wire
        Connection* on = nullptr;
        Stage stage = Stage::kWaiting;
        Time written = 0;
        Time due = 0;  // time of its next check
    };

    // Checks sends whenever their check time comes.
    net::Task expire();
    // Reads and writes one connection until it is closed.
    net::Task serve(Connection& connection);
    // Handles a send whose check time has come.
    void look_at(const SendKey& key, Time now);
    void assign(Server& server, std::vector<PartCall> calls);
    struct Choice {
        Connection* connection;  // null: none
        // Outcome of the sends where there is no connection: kNoConnection if the server refused one,
        // kNeverSent if this node could not open one (no free descriptor, or not permitted by connection
        // pacing).
        Outcome otherwise;
    };
    Choice choose(Server& server, std::size_t parts);
    Choice open(Server& server);
    // Whether a queued send may still be written.
    bool may_be_written(const Sent& sent, const Server& server) const;
    void drop_unwritten(Server& server);
    bool has_room_for_next(const Connection& connection) const;
    // Time at which a partly written frame counts as stalled.
    Time stalls_at(const Connection& connection) const;
    net::Stream::Got read_frames(Connection& connection);
    bool take_result(Connection& connection, std::string_view rest);
    // Handles a malformed frame: closes the connection.
    void take_spoilt(Connection& connection, std::string_view rest);
    void lose(Connection& connection, std::string_view rest);
    // Returns the report's values in the order of the configured fields, or nothing unless every field is
    // present with a valid number: a missing value must not pass for an idle server.
    std::vector<double> read_report(std::string_view report) const;
    void write_frames(Connection& connection);
    void fill_frame(Connection& connection);
    void frame_written(Connection& connection);
    void drop_waiting(Connection& connection, const SendKey& key);
    void give_up(Sent& sent);
    // By value: the key may be an element of a container that is changed here.
    void end_send(SendKey key, Outcome outcome, std::vector<double> load = {}, std::string value = {});
    // Removes a send from the active ones and returns it; the caller reports its outcome.
    std::optional<PartCall> take_sent(const SendKey& key);
    void set_due(const SendKey& key, Sent& sent, Time due);
    void note_idle(Connection& connection);
    void close_longest_idle();
    void close(Connection& connection, Count cause);
    void finish(Connection& connection);
    void forget_if_gone(ServerId id);

    net::Scheduler& scheduler_;
    Exchange& exchange_;
    Counters& counters_;
    Log& log_;
    const std::vector<std::string> report_fields_;
    const std::size_t parts_per_call_;
    const std::size_t streams_;
    const Time connect_timeout_;
    const Time idle_;
    const std::size_t most_connections_;
    const std::size_t most_idle_;
    std::function<bool(net::Endpoint)> may_open_;  // empty: always permitted
    std::size_t connections_ = 0;
    std::size_t ending_ = 0;  // connections that are being closed
    std::size_t most_at_once_ = 0;
    std::map<ServerId, Server> servers_;
    std::set<std::pair<Time, Connection*>> idle_connections_;  // longest idle first
    std::vector<ServerId> gathered_;                           // servers with sends of this turn
    std::map<SendKey, Sent> sent_;
    std::multimap<Time, SendKey> due_;
    net::Waiter waiter_;
    net::Task task_;
};

}  // namespace pinedoor::service
