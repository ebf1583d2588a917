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
#include "service/log.hpp"
#include "service/request_handler.hpp"
#include "service/request_log.hpp"

namespace pinedoor::service {

// One send of a part, to be carried out by the transport.
struct PartCall {
    Id part = 0;
    int send = 0;
    ServerId server;
    std::string name;  // of the multiget
    int shard = 0;
    std::shared_ptr<const std::string> text;
    Time sent = 0;
    Time until = 0;
};

// Carries sends to index servers. Each send that is passed to send() gets exactly one outcome, which the
// transport reports with Dispatcher::finish_send() or finish_moved_send().
class Caller {
public:
    virtual ~Caller() = default;
    // Queues a send. The sends of one turn are followed by one flush().
    virtual void call(PartCall call) = 0;
    virtual void flush() = 0;
    // Cancels a send that has no outcome yet.
    virtual void call_off(Id part, int send) = 0;
    // Sets the address, state and start time of a server from the server list.
    virtual void learn(ServerId server, net::Endpoint at, ServerState state, Time started) = 0;
};

// Requests the server list from its source, as the decision module asks for it.
class Lister {
public:
    virtual ~Lister() = default;
    virtual void watch(const WatchList& terms) = 0;
    virtual void fetch() = 0;
};

// Maps parts to servers where a placement map is in use.
class Routes {
public:
    virtual ~Routes() = default;
    // Returns the query text of a part, right before the part is sent.
    virtual std::shared_ptr<const std::string> text(int shard,
                                                    const std::shared_ptr<const std::string>& text) = 0;
    // A server answered that it does not own the part and that it has not run it; `epoch` is the epoch that
    // the server knows. Called at most once for a part, and only if the part has no value yet.
    virtual void refused(int shard, std::uint64_t epoch) = 0;
};

// A server list entry, as discovery describes it.
struct Member {
    std::string name;
    net::Endpoint at;
    ListEntry entry;        // without the server's id, which the dispatcher assigns
    Time told_started = 0;  // start time by discovery's wall clock
};

// Connects request handlers, the transport and the server list to the decision module.
class Exchange : public RequestHandler {
public:
    Exchange(net::Scheduler& scheduler, FrontNode node, Time turn, int most_open, int most_sends,
             Counters& counters, Log& log);

    void join(Caller& caller, Lister& lister, Routes* routes = nullptr);
    // Called after attach() and after the known server list has been loaded.
    void start();

    TakenRequest ask(MultigetAsked asked, std::function<void(Ending)> ended) override;
    store::PartFates leave(Ticket ticket) override;
    Acceptance could_take(const std::string& name) const override;

    // Reports the outcome of a send, exactly once for each send. The value is used with kReturned only.
    void over(const PartCall& call, Outcome outcome, std::vector<double> load = {}, std::string value = {});
    // Reports the outcome of a send whose server answered that it does not own the part. The module counts it
    // as answered.
    void moved(const PartCall& call, std::uint64_t epoch, std::vector<double> load);
    bool has_routes() const { return routes_ != nullptr; }
    // Whether the part's multiget is open and the part has no value yet.
    bool wants(Id part) const;
    std::optional<ServerId> server_named(const std::string& name) const;

    // `age` is for kSaved: time since the list was known to be valid; -1: unknown.
    void list_news(ListKind kind, std::vector<Member> members, Time age = -1);
    // A call for the server list failed, a watch ended, or discovery moved to another address (kFailed or
    // kMoved). `unheard` is the time since the last contact with discovery, if there was any.
    void list_lost(ListKind kind, std::optional<Time> unheard, bool answered_in_part);
    // A watch reported that the list is unchanged.
    void list_alive(Time at) { list_heard_ = std::max(list_heard_, at); }
    // Reports of other front nodes on a server; ignored if the server is not listed.
    void hear(const std::string& server, ServerWord word);
    void hear(DeadlyKey key) { happened(key); }
    // This node's share of the limits that hold for the whole fleet.
    void hear(FleetShare share) { happened(share); }
    double further_sends() const { return node_.further_sends(); }  // since the start of the process
    std::vector<DeadlyKey> deadly_keys() const { return node_.deadly_keys(); }
    // The decision module's view of each server, with its name on the server list.
    std::vector<std::pair<std::string, ServerView>> servers() const;
    // Called once the server is off the list and its last connection has closed.
    void forget(ServerId server);

    // Time since the last contact with the list's source, as text for the log.
    std::string print_list_age() const;

    bool idle() const { return multigets_.empty(); }
    // Whether any server list with entries has been received.
    bool knows_servers() const { return !servers_.empty(); }
    std::string print_gauges() const;

private:
    struct Open {
        std::string name;
        std::shared_ptr<const std::string> text;
        Time not_after = 0;
        std::vector<Id> parts;
        bool tells_parts = false;
        std::function<void(Ending)> ended;
    };
    struct OpenPart {
        store::PartFate fate() const {
            if (ran) return store::PartFate::kRan;
            return doubtful > 0 ? store::PartFate::kMayHaveRun : store::PartFate::kNeverSent;
        }

        Id multiget = 0;
        int shard = 0;
        int doubtful = 0;  // sends that are outstanding, or ended without proof that they never ran
        bool ran = false;
        bool in = false;
        bool moved = false;  // answered by a server that does not own the part; there is no value
        std::string value;
    };

    net::Task run();
    void turn(Time now);
    void happened(Event event);
    // Removes an outstanding send and counts its outcome. Returns its part, or the end iterator if its
    // multiget is no longer open, or nothing if the send was not outstanding.
    std::optional<std::map<Id, OpenPart>::iterator> take_out(const PartCall& call, Outcome outcome);
    Id new_id();
    // Changes the number of uses of a multiget name.
    void hold_name(const std::string& name, int by);
    std::size_t open_now() const { return multigets_.size() + parts_open_; }
    store::PartFates fates(const Open& open) const;
    Open forget(std::map<Id, Open>::iterator at);
    void end(Id multiget, Ending ending, std::string_view reason);

    void carry_out(const Send& send);
    void carry_out(const CallOff& call_off);
    void carry_out(const Answer& answer);
    void carry_out(const PushBack& push_back);
    void carry_out(const Fail& fail);
    void carry_out(const SetBell& bell);
    void carry_out(const LogLine& line);
    void carry_out(const WatchList& watch) { lister_->watch(watch); }
    void carry_out(const FetchList&) { lister_->fetch(); }
    void carry_out(const Probe& probe);

    net::Scheduler& scheduler_;
    FrontNode node_;
    const Time turn_;
    const std::size_t most_open_;
    const int most_sends_;
    Counters& counters_;
    Log& log_;
    RequestLog request_log_;
    Caller* caller_ = nullptr;
    Lister* lister_ = nullptr;
    Routes* routes_ = nullptr;  // null: parts are sent as the client asked for them

    // Events for the next turn.
    std::vector<Event> events_;
    std::multimap<Time, std::uint32_t> bells_;
    Time last_turn_ = 0;
    Time next_turn_ = 0;  // the next turn does not start earlier
    std::map<Id, Open> multigets_;
    std::map<Id, OpenPart> parts_;
    std::map<std::pair<Id, int>, std::string> out_;  // sends without an outcome -> name of their multiget
    // Names in use -> number of uses, by an open multiget and by its sends that have no outcome yet.
    std::map<std::string, int> names_;
    struct Known {
        ServerId id;
        net::Endpoint at;
    };
    std::map<std::string, Known> servers_;  // by name on the server list, until forget_server()
    std::uint32_t last_server_ = 0;
    std::size_t parts_open_ = 0;  // parts of open multigets that have no value yet
    std::size_t most_at_once_ = 0;
    Time list_heard_ = 0;
    Id last_id_ = 0;
    std::uint32_t last_number_ = 0;
    net::Waiter waiter_;
    net::Task task_;
};

}  // namespace pinedoor::service
