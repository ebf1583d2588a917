// Relays the server list among front nodes. This node gets the list from discovery or from another front
// node, as peers::ListSource decides, and serves it to front nodes that request it, in discovery's format and
// on the peers' port. Each message carries the list's age, counted from the last message of discovery. A list
// that is too old is neither relayed nor waited for, so a circle of front nodes cannot keep an old list
// alive.
#pragma once

#include <list>
#include <map>
#include <string>
#include <vector>

#include "net/stream.hpp"
#include "peers/carrier.hpp"
#include "peers/list_source.hpp"
#include "service/list_watch.hpp"
#include "service/log.hpp"

namespace pinedoor::service {

// Follows one source of the server list and serves followers.
class ServerListRelay : public ServerListListener {
public:
    ServerListRelay(net::Scheduler& scheduler, ServerListClient& list, peers::PeerTransport& carrier,
                    Log& log, std::string name, std::uint64_t seed);

    void start();
    void on_list(const std::string& revision, bool whole, const std::vector<ListedServer>& members,
                 const SourceInfo& source) override;
    void on_alive(const SourceInfo& source) override;
    void on_call_ended() override;
    void on_discovery_moved(net::Endpoint discovery) override;
    std::string print_gauges() const;

private:
    // A front node that watches the list here.
    struct Follower {
        net::Stream* stream;
        std::string pending;
        bool closing = false;
    };

    net::Task run();
    net::Task serve_follower(net::Stream& stream);
    // Passes the current members to the source selection.
    void update_members();
    void call_source(const peers::ListSource::Source& source);
    // Drops the current source.
    void drop_source(const char* reason);
    // Publishes this node's revision and compares it with those of other members.
    void compare_revisions();
    void broadcast(const std::string& text);
    std::string entry_text(const ListedServer& member) const;
    std::string digest() const;  // of the current list
    std::string via_text() const;
    std::string list_text(bool whole, const std::vector<ListedServer>& members) const;
    // Whether there is a list that is recent enough to be relayed.
    bool is_fresh() const;
    Time age() const { return scheduler_.now() - confirmed_at_; }

    net::Scheduler& scheduler_;
    ServerListClient& list_client_;
    peers::PeerTransport& carrier_;
    Log& log_;
    peers::ListSource source_selection_;
    std::optional<peers::ListSource::Source> current_source_;
    net::Moment called_at_ = 0;
    bool has_list_ = false;
    std::string revision_ = "0";
    std::map<std::string, ListedServer> members_;
    std::vector<std::string> via_;  // front nodes that the list passed through
    net::Moment confirmed_at_ = 0;  // when discovery last confirmed the list
    net::Moment next_heartbeat_at_ = 0;
    net::Moment published_at_ = 0;  // when `published_revision_` was last published
    std::string published_revision_;
    std::list<Follower> followers_;
    std::uint64_t followers_served_ = 0, followers_rejected_ = 0, sources_lost_ = 0, discovery_calls_ = 0,
                  digest_mismatches_ = 0, sources_behind_ = 0, cycles_detected_ = 0;
    net::Waiter waiter_;
    net::Task task_;
};

}  // namespace pinedoor::service
