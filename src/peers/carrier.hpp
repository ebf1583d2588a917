// Runs Membership and Gossip over the network: datagrams, streams for full state syncs, timers, and a local
// control socket that shows their state to an operator. It makes no protocol decisions itself.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "net/scheduler.hpp"
#include "net/stream.hpp"
#include "peers/connection_table.hpp"
#include "peers/decide.hpp"
#include "peers/gossip.hpp"
#include "peers/terms.hpp"
#include "peers/wire.hpp"

namespace pinedoor::peers {

// Peer layer of one node: its membership, its gossip and their transport.
class PeerTransport {
public:
    // Logs an event by its name and text.
    using EventLog = std::function<void(std::string_view event, const std::string& text)>;
    static constexpr std::size_t kMaxBufferedBytes = std::size_t{8} << 20U;
    // `max_buffered_bytes`: as ConnectionTable has it.
    PeerTransport(net::Scheduler& scheduler, PeerConfig settings, std::string name, int zone,
                  std::uint64_t seed, EventLog log_event, std::size_t max_buffered_bytes = kMaxBufferedBytes);

    void start();  // throws std::system_error if it cannot listen
    void leave();  // notifies other members; from then on only listens
    const Membership& membership() const { return membership_; }
    const Gossip& gossip() const { return gossip_; }
    // Publishes a record to all members; see Gossip::publish.
    void publish(const std::string& topic, std::string value, Time lifetime);
    // Sends one datagram to a member, without acknowledgement or retry; dropped if `to` is not a member.
    void send_direct_message(const std::string& to, const std::string& topic, std::string bytes);
    using DirectMessageHandler = std::function<void(const std::string& from, const std::string& bytes)>;
    void set_direct_message_handler(const std::string& topic, DirectMessageHandler handler) {
        direct_handlers_[topic] = std::move(handler);
    }
    // Adds a command to the control socket. The command is passed the rest of the line and returns the reply.
    using ControlCommand = std::function<std::string(std::string_view rest)>;
    void answer_to(const std::string& name, ControlCommand command) { commands_[name] = std::move(command); }
    // Adds a listener that is called for every membership change.
    void watch(std::function<void(const MembershipChange&)> listener) {
        listeners_.push_back(std::move(listener));
    }
    // Hands HTTP connections on the peers' port over to `handler`, which must outlive this object.
    void set_http_handler(std::function<net::Task(net::Stream&)> handler) {
        http_handler_ = std::move(handler);
    }
    std::string print_counters() const;  // one line each: name, space, value

private:
    using Connection = PeerConnection;
    using Role = PeerConnection::Role;
    struct Counts {
        std::uint64_t datagrams_in = 0, datagrams_out = 0, bytes_in = 0, bytes_out = 0, send_failures = 0,
                      rejected = 0, syncs = 0, syncs_failed = 0, over_memory = 0;
    };

    net::Task receive_datagrams();
    net::Task run_timers();
    net::Task accept_connections(net::Waiter& waiter, const net::Fd& listener, Role role);
    // State sync as the requester and as the responder.
    net::Task request_state(Connection& connection);
    net::Task serve_state(Connection& connection);
    net::Task serve_control(Connection& connection);
    void start_connection(net::Fd fd, Role role);
    void end_connection(Connection& connection);
    // Whether the connection's task is to go on: neither late, broken nor evicted.
    bool may_continue(const Connection& connection, net::Moment deadline) const;
    // Reads once; connections are evicted if all hold more than they may.
    net::Stream::Got read(Connection& connection);
    void execute_all(std::vector<Action> actions);
    void execute_all(std::vector<SendGossip> messages);
    void deliver(const DirectMessage& message);
    void update_gossip_members();
    void send(At to, const std::string& bytes);
    void execute(SendMessage& action);
    void execute(StateSync& action);
    void execute(MembershipChange& change);
    void execute(NameConflict& conflict);
    void reject(RejectReason reason, const std::string& from);
    bool receive_state(std::string_view bytes, const std::string& from);
    void read_seeds();
    std::string run_command(std::string_view line);

    net::Scheduler& scheduler_;
    const PeerConfig settings_;
    const EventLog log_event_;
    const Wire codec_;
    Membership membership_;
    Gossip gossip_;
    std::vector<std::function<void(const MembershipChange&)>> listeners_;
    std::map<std::string, DirectMessageHandler> direct_handlers_;
    std::map<std::string, ControlCommand> commands_;
    std::function<net::Task(net::Stream&)> http_handler_;
    Counts counts_;
    std::map<RejectReason, std::uint64_t> rejected_;  // each reason is logged once
    net::Moment seeds_read_at_ = 0;
    net::Moment conflict_logged_at_ = 0;
    net::Fd datagram_socket_, stream_listener_, control_listener_;
    std::unique_ptr<net::Waiter> datagram_waiter_, stream_waiter_, control_waiter_;
    net::Waiter timer_;
    ConnectionTable connections_;
    // Declared last, so that the tasks are destroyed first.
    net::Task receive_task_, timer_task_, accept_task_, control_task_;
};

// Sends a command to the control socket of a running node and returns the reply. Throws std::runtime_error if
// no node answers.
std::string ask_node(const std::string& path, const std::string& command);

}  // namespace pinedoor::peers
