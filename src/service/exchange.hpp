// Where the client side, the server side and the list meet. It owns the decision module: it gathers what
// happens, gives the module its turns and hands out what it decides. It knows neither HTTP nor frames:
// whoever takes multigets in gives ask() a way to be told the ending, and whoever carries calls is a Caller.
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

struct PartCall {  // one send, to be carried out
    Id part = 0;
    int send = 0;
    ServerId server;
    std::string name;  // of its multiget
    int shard = 0;
    std::shared_ptr<const std::string> text;
    Time sent = 0;
    Time until = 0;
};

class Caller {
public:
    virtual ~Caller() = default;
    virtual void call(PartCall call) = 0;  // those of one turn are followed by flush()
    virtual void flush() = 0;
    virtual void call_off(Id part, int send) = 0;  // of one that is out
    virtual void learn(ServerId server, net::Endpoint at, ServerState state, Time started) = 0;
};

class Lister {
public:
    virtual ~Lister() = default;
    virtual void watch(const WatchList& terms) = 0;
    virtual void fetch() = 0;
};

class Routes {  // where a map says which part is asked of whom
public:
    virtual ~Routes() = default;
    // What a part carries, just before it is sent.
    virtual std::shared_ptr<const std::string> text(int shard,
                                                    const std::shared_ptr<const std::string>& text) = 0;
    // A server does not own it, knows of this epoch, and has not run it. Told once for a part, if nothing
    // else came of it before.
    virtual void refused(int shard, std::uint64_t epoch) = 0;
};

struct Member {  // of the list, as discovery names it
    std::string name;
    net::Endpoint at;
    ListEntry entry;        // without the server's id, which is given here
    Time told_started = 0;  // as discovery dates its start, by the wall clock
};

class Exchange : public RequestHandler {
public:
    Exchange(net::Scheduler& scheduler, FrontNode node, Time turn, int most_open, int most_sends,
             Counters& counters, Log& log);

    void join(Caller& caller, Lister& lister, Routes* routes = nullptr);
    void start();  // once both are there and the known list is in

    TakenRequest ask(MultigetAsked asked, std::function<void(Ending)> ended) override;
    store::PartFates leave(Ticket ticket) override;
    Acceptance could_take(const std::string& name) const override;

    // Exactly one outcome for each call; the value counts with kReturned only.
    void over(const PartCall& call, Outcome outcome, std::vector<double> load = {}, std::string value = {});
    // Likewise: the server said that it does not own the part. To the module the server has answered.
    void moved(const PartCall& call, std::uint64_t epoch, std::vector<double> load);
    bool has_routes() const { return routes_ != nullptr; }
    bool wants(Id part) const;  // its multiget is open, and its value is not there yet
    std::optional<ServerId> server_named(const std::string& name) const;

    void list_news(ListKind kind, std::vector<Member> members, Time age = -1);  // of kSaved; -1: not told
    // A call for the list failed, a watch ended, or discovery is at another address: kFailed or kMoved.
    void list_lost(ListKind kind, std::optional<Time> unheard, bool answered_in_part);
    void list_alive(Time at) { list_heard_ = std::max(list_heard_, at); }  // a watch said that nothing is new
    // What other front nodes say of a server together; of one that is not listed it is passed over.
    void hear(const std::string& server, ServerWord word);
    void hear(DeadlyKey key) { happened(key); }
    // What this node may use of limits that hold for all.
    void hear(FleetShare share) { happened(share); }
    double further_sends() const { return node_.further_sends(); }  // since its start
    std::vector<DeadlyKey> deadly_keys() const { return node_.deadly_keys(); }
    // As the decisions go by them, by the list's names.
    std::vector<std::pair<std::string, ServerView>> servers() const;
    void forget(ServerId server);  // gone from the list, and nothing of it is left

    std::string print_list_age() const;  // "heard 1.234 s ago", for the log

    bool idle() const { return multigets_.empty(); }
    bool knows_servers() const { return !servers_.empty(); }  // a list named some
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
        int doubtful = 0;  // sends that are out, or ended without proof that they never ran
        bool ran = false;
        bool in = false;
        bool moved = false;  // in, as an answer without a value
        std::string value;
    };

    net::Task run();
    void turn(Time now);
    void happened(Event event);
    std::optional<std::map<Id, OpenPart>::iterator> take_out(const PartCall& call, Outcome outcome);
    Id new_id();
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
    Routes* routes_ = nullptr;  // null: parts are as the client asked for them

    std::vector<Event> events_;
    std::multimap<Time, std::uint32_t> bells_;
    Time last_turn_ = 0;
    Time next_turn_ = 0;  // none before
    std::map<Id, Open> multigets_;
    std::map<Id, OpenPart> parts_;
    std::map<std::pair<Id, int>, std::string> out_;  // sends without an outcome, by their multiget's name
    std::map<std::string, int> names_;               // held by an open multiget, or by sends of it still out
    struct Known {
        ServerId id;
        net::Endpoint at;
    };
    std::map<std::string, Known> servers_;  // by the list's name, until forgotten
    std::uint32_t last_server_ = 0;
    std::size_t parts_open_ = 0;  // of open multigets, without a value
    std::size_t most_at_once_ = 0;
    Time list_heard_ = 0;
    Id last_id_ = 0;
    std::uint32_t last_number_ = 0;
    net::Waiter waiter_;
    net::Task task_;
};

}  // namespace pinedoor::service
