// Dispatches multigets to index servers. The dispatcher owns the decision module: it queues events, runs the
// module's turns and executes the actions that each turn returns. It is independent of HTTP and of the frame
// protocol: request handlers submit multigets with a completion callback, and a SendTransport carries the
// sends.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "logic.hpp"
#include "net/scheduler.hpp"
#include "service/counters.hpp"
#include "service/input_budgets.hpp"
#include "service/log.hpp"
#include "service/request_handler.hpp"
#include "service/request_log.hpp"

namespace pinedoor::service {

// One send of a part, to be carried out by the transport.
struct PartSend {
    Id part = 0;
    int send_number = 0;
    ServerId server;
    std::string multiget_name;
    int shard = 0;
    std::shared_ptr<const std::string> query;
    Time sent_at = 0;
    Time deadline = 0;
};

// Carries sends to index servers. Each send that is passed to send() gets exactly one outcome, which the
// transport reports with Dispatcher::finish_send() or finish_moved_send().
class SendTransport {
public:
    virtual ~SendTransport() = default;
    // Queues a send. The sends of one turn are followed by one flush().
    virtual void send(PartSend send) = 0;
    virtual void flush() = 0;
    // Cancels a send that has no outcome yet.
    virtual void cancel(Id part, int send) = 0;
    // Whether no byte of a send without an outcome has been written. The transport never writes such a send
    // once its multiget has ended.
    virtual bool is_unwritten(Id /*part*/, int /*send*/) const { return false; }
    // Sets the address, state and start time of a server from the server list.
    virtual void update_server(ServerId server, net::Endpoint endpoint, ServerState state, Time started) = 0;
};

// Requests the server list from its source, as the decision module asks for it.
class ServerListSource {
public:
    virtual ~ServerListSource() = default;
    virtual void watch(const WatchServerList& options) = 0;
    virtual void fetch() = 0;
};

// Maps parts to servers where a placement map is in use.
class PartRouting {
public:
    virtual ~PartRouting() = default;
    // Returns the query text of a part, right before the part is sent.
    virtual std::shared_ptr<const std::string> request_text(
        int shard, const std::shared_ptr<const std::string>& text) = 0;
    // A server answered that it does not own the part and that it has not run it; `epoch` is the epoch that
    // the server knows. Called at most once for a part, and only if the part has no value yet.
    virtual void route_refused(int shard, std::uint64_t epoch) = 0;
};

// A server list entry, as discovery describes it.
struct ListedServer {
    std::string name;
    net::Endpoint endpoint;
    ListEntry entry;        // without the server's id, which the dispatcher assigns
    Time wall_started = 0;  // start time by discovery's wall clock
};

// Connects request handlers, the transport and the server list to the decision module.
class Dispatcher : public RequestHandler {
public:
    Dispatcher(net::Scheduler& scheduler, FrontNode node, Time turn_interval, int max_open, int max_sends,
               Counters& counters, Log& log);

    // Values of open multigets are paid from this budget; without one they are not bounded together.
    void set_value_budget(MemoryBudget& budget) { value_budget_ = &budget; }
    void attach(SendTransport& transport, ServerListSource& list_source, PartRouting* routing = nullptr);
    // Called after attach() and after the known server list has been loaded.
    void start();

    SubmitResult ask(MultigetRequest multiget, std::function<void(MultigetResult)> ended) override;
    store::PartOutcomes leave(Ticket ticket) override;
    Acceptance check_acceptance(const std::string& name) const override;
    // As leave(), but the client is still there: the handler that divided its multiget gives this part of it
    // up.
    void abandon(Ticket ticket);
    // Fates of an open multiget's parts, as of now; empty if it is not open.
    store::PartOutcomes part_fates(Ticket ticket) const;

    // Reports the outcome of a send, exactly once for each send. The value is used with kReturned only.
    void finish_send(const PartSend& call, Outcome outcome, std::vector<double> load = {},
                     std::string value = {});
    // Reports the outcome of a send whose server answered that it does not own the part. The module counts it
    // as answered.
    void finish_moved_send(const PartSend& call, std::uint64_t epoch, std::vector<double> load);
    bool has_routing() const { return routing_ != nullptr; }
    // Whether the part's multiget is open and the part has no value yet.
    bool needs_value(Id part) const;
    // Whether a value of this size, in bytes, may be kept until its multiget is answered.
    bool has_room_for_value(Id part, std::size_t bytes) const;
    std::optional<ServerId> find_server(const std::string& name) const;

    // `age` is for kSaved: time since the list was known to be valid; -1: unknown.
    void apply_list(ListUpdateKind kind, std::vector<ListedServer> members, Time age = -1);
    // A call for the server list failed, a watch ended, or discovery moved to another address (kFailed or
    // kMoved). `since_contact` is the time since the last contact with discovery, if there was any.
    void report_list_loss(ListUpdateKind kind, std::optional<Time> since_contact, bool answered_in_part);
    // A watch reported that the list is unchanged.
    void note_list_contact(Time at) { last_list_contact_ = std::max(last_list_contact_, at); }
    // Reports of other front nodes on a server; ignored if the server is not listed.
    void notify(const std::string& server, ServerReport report);
    void notify(DeadlyKey key) { enqueue(key); }
    // This node's share of the limits that hold for the whole fleet.
    void notify(FleetQuota share) { enqueue(share); }
    double further_sends() const { return node_.further_sends(); }  // since the start of the process
    std::vector<DeadlyKey> deadly_keys() const { return node_.deadly_keys(); }
    // The decision module's view of each server, with its name on the server list.
    std::vector<std::pair<std::string, ServerView>> servers() const;
    // Called once the server is off the list and its last connection has closed.
    void forget_server(ServerId server);

    // Time since the last contact with the list's source, as text for the log.
    std::string format_list_age() const;

    bool idle() const { return multigets_.empty(); }
    // Whether any server list with entries has been received.
    bool has_servers() const { return !servers_.empty(); }
    std::string print_gauges() const;

private:
    struct OpenMultiget {
        std::string name;
        std::shared_ptr<const std::string> query;
        Time not_after = 0;
        std::vector<Id> parts;
        bool wants_part_fates = false;
        std::function<void(MultigetResult)> on_end;
        std::size_t value_bytes = 0;
        std::optional<MemoryCharge> value_charge;
    };
    struct OpenPart {
        Id multiget = 0;
        int shard = 0;
        int possibly_run_sends = 0;  // sends that are outstanding, or ended without proof that they never ran
        bool has_run = false;
        bool answered = false;
        bool moved = false;  // answered by a server that does not own the part; there is no value
        std::string value;
    };

    // Runs a turn whenever an event or a timer is due, at most one per turn interval.
    net::Task run();
    void run_turn(Time now);
    void enqueue(Event event);
    // Removes the events of one turn from the queue: all of them, unless they bring very many parts.
    std::vector<Event> take_events();
    void keep_value(OpenPart& part, std::string value);
    // Removes an outstanding send and counts its outcome. Returns its part, or the end iterator if its
    // multiget is no longer open, or nothing if the send was not outstanding.
    std::optional<std::map<Id, OpenPart>::iterator> take_send(const PartSend& call, Outcome outcome);
    Id new_id();
    // Changes the number of uses of a multiget name.
    void adjust_name_uses(const std::string& name, int change);
    std::size_t open_count() const { return multigets_.size() + open_parts_; }
    store::PartOutcomes fates(const OpenMultiget& open) const;
    store::PartOutcome fate_of(Id id, const OpenPart& part) const;
    // Number of the part's outstanding sends of which the transport has written nothing.
    int unwritten_sends(Id part) const;
    // Removes a multiget and its parts from the open ones.
    OpenMultiget remove(std::map<Id, OpenMultiget>::iterator position);
    // Ends a multiget that nobody waits for any more; returns its parts' fates.
    store::PartOutcomes drop(Ticket ticket, std::string_view reason);
    // Calls the completion callback of a multiget with its result.
    void finish_multiget(Id multiget, MultigetResult ending, std::string_view reason);

    void execute(const Send& send);
    void execute(const CancelSend& call_off);
    void execute(const Answer& answer);
    void execute(const PushBack& push_back);
    void execute(const Fail& fail);
    void execute(const SetTimer& timer);
    void execute(const LogLine& line);
    void execute(const WatchServerList& watch) { list_source_->watch(watch); }
    void execute(const FetchServerList&) { list_source_->fetch(); }
    void execute(const Probe& probe);

    net::Scheduler& scheduler_;
    FrontNode node_;
    const Time turn_interval_;
    const std::size_t max_open_;
    const int max_sends_;
    Counters& counters_;
    Log& log_;
    RequestLog request_log_;
    SendTransport* transport_ = nullptr;
    ServerListSource* list_source_ = nullptr;
    MemoryBudget* value_budget_ = nullptr;
    PartRouting* routing_ = nullptr;  // null: parts are sent as the client asked for them

    // Events for the next turn.
    std::vector<Event> events_;
    std::multimap<Time, std::uint32_t> timers_;
    Time last_turn_at_ = 0;
    Time next_turn_at_ = 0;  // the next turn does not start earlier
    std::map<Id, OpenMultiget> multigets_;
    std::map<Id, OpenPart> parts_;
    // Sends without an outcome -> name of their multiget.
    std::map<std::pair<Id, int>, std::string> outstanding_sends_;
    // Names in use -> number of uses, by an open multiget and by its sends that have no outcome yet.
    std::map<std::string, int> name_uses_;
    struct KnownServer {
        ServerId id;
        net::Endpoint endpoint;
    };
    std::map<std::string, KnownServer> servers_;  // by name on the server list, until forget_server()
    std::map<ServerId, std::string> server_names_;
    std::uint32_t last_server_number_ = 0;
    std::size_t open_parts_ = 0;  // parts of open multigets that have no value yet
    std::size_t peak_open_ = 0;
    Time last_list_contact_ = 0;
    Id last_id_ = 0;
    std::uint32_t last_multiget_number_ = 0;
    net::Waiter waiter_;
    net::Task task_;
};

}  // namespace pinedoor::service
