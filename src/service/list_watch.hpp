// Client for the server list: calls discovery, or another source, when the dispatcher asks for the list, on
// connections of its own.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/stream.hpp"
#include "parse/json.hpp"
#include "service/counters.hpp"
#include "service/exchange.hpp"
#include "service/line_watch.hpp"
#include "service/log.hpp"
#include "service/server_starts.hpp"

namespace pinedoor::service {

// Chooses the source of the server list and receives everything that the source sends, where discovery is not
// the only source.
class ServerListListener {
public:
    virtual ~ServerListListener() = default;
    // Data that a front node sends together with the list; empty for discovery.
    struct SourceInfo {
        Time age = 0;        // time since discovery confirmed the list, at least
        std::string digest;  // of the whole current list
        // Front nodes that the list passed through, starting with the one that calls discovery.
        std::vector<std::string> via;
    };
    // A list or a change from the current source.
    virtual void on_list(const std::string& revision, bool whole, const std::vector<ListedServer>& members,
                         const SourceInfo& source) = 0;
    // The list is unchanged and still valid.
    virtual void on_alive(const SourceInfo& source) = 0;
    virtual void on_call_ended() = 0;  // the current call
    virtual void on_discovery_moved(net::Endpoint discovery) = 0;
};

// Watches or fetches the server list and passes its entries to the dispatcher.
class ServerListClient : public ServerListSource {
public:
    ServerListClient(net::Scheduler& scheduler, Dispatcher& dispatcher, Counters& counters, Log& log,
                     net::Endpoint discovery, std::vector<std::string> zones);

    // Loads the list that this front node has stored.
    void load_known(const parse::Json& known);
    void watch(const WatchServerList& options) override;
    void fetch() override;
    // Discovery has moved to another address. Calls to the old address are dropped without a notification and
    // the list is requested from the new one at once; the current list stays in use.
    void move_to(net::Endpoint discovery);

    // From now on the listener decides which source is called and when, with call_source().
    void set_listener(ServerListListener& listener) { listener_ = &listener; }
    void call_source(net::Endpoint source);
    net::Endpoint discovery() const { return discovery_; }
    const std::vector<std::string>& zones() const { return zones_; }

private:
    struct Call {
        CallState state;
        net::Task task;  // declared after the state that it writes
    };

    net::Task make_call(bool stream, Call& call);
    void start_call(bool stream, int beside);
    void on_call_ended(const CallState& state);
    void drop_calls();
    void keep_only(const Call& call);
    bool handle_object(Call& call, const std::string& text);
    std::optional<Time> since_last_contact() const;
    // Other front nodes that serve the list send something each second.
    static constexpr Time kPeerSilenceTimeout = 30'000;

    void log_list(ListUpdateKind kind, std::size_t entries);
    bool apply_object(const std::string& text);
    bool apply_list(const parse::Json& list, bool saved);
    static Time parse_age(const parse::Json& message);
    static ServerListListener::SourceInfo parse_source_info(const parse::Json& message);
    std::optional<ListedServer> parse_entry(const parse::Json& json);

    net::Scheduler& scheduler_;
    Dispatcher& dispatcher_;
    Counters& counters_;
    Log& log_;
    net::Endpoint discovery_;
    net::Endpoint source_;  // the current source
    ServerListListener* listener_ = nullptr;
    const std::vector<std::string> zones_;
    ServerStarts starts_;
    std::string revision_;          // revision of the current list, as discovery wrote it
    bool watch_requested_ = false;  // whether a watch has been requested
    Time silence_timeout_ = kPeerSilenceTimeout;
    net::Moment last_contact_ = 0;  // last complete message on a watch; 0: none
    std::list<Call> calls_;
};

}  // namespace pinedoor::service
