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
class ListShare : public ListKeeper {
public:
    ListShare(net::Scheduler& scheduler, ListWatch& list, peers::Carrier& carrier, Log& log, std::string name,
              std::uint64_t seed);

    void start();
    void came(const std::string& revision, bool whole, const std::vector<Member>& members,
              const Word& word) override;
    void still(const Word& word) override;
    void ended() override;
    void moved(net::Endpoint discovery) override;
    std::string print_gauges() const;

private:
    // A front node that watches the list here.
    struct Follower {
        net::Stream* stream;
        std::string out;
        bool over = false;
    };

    net::Task run();
    net::Task serve(net::Stream& stream);
    // Passes the current members to the source selection.
    void tell_members();
    void follow(const peers::ListSource::Source& source);
    // Drops the current source.
    void lose(const char* why);
    // Publishes this node's revision and compares it with those of other members.
    void compare();
    void pass_on(const std::string& text);
    std::string member_text(const Member& member) const;
    std::string digest() const;  // of the current list
    std::string via_text() const;
    std::string line(bool whole, const std::vector<Member>& members) const;
    // Whether there is a list that is recent enough to be relayed.
    bool fresh() const;
    Time age() const { return scheduler_.now() - said_at_; }

    net::Scheduler& scheduler_;
    ListWatch& list_;
    peers::Carrier& carrier_;
    Log& log_;
    peers::ListSource source_;
    std::optional<peers::ListSource::Source> called_;
    net::Moment called_at_ = 0;
    bool have_ = false;
    std::string revision_ = "0";
    std::map<std::string, Member> members_;
    std::vector<std::string> via_;  // front nodes that the list passed through
    net::Moment said_at_ = 0;       // when discovery last confirmed the list
    net::Moment beat_at_ = 0;
    net::Moment claimed_at_ = 0;  // when `claimed_` was last published
    std::string claimed_;
    std::list<Follower> followers_;
    std::uint64_t served_ = 0, turned_away_ = 0, sources_lost_ = 0, asked_discovery_ = 0,
                  digests_differed_ = 0, behind_ = 0, circles_ = 0;
    net::Waiter waiter_;
    net::Task task_;
};

}  // namespace pinedoor::service
