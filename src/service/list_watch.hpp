// Follows discovery's list, at the exchange's word, on connections of its own.
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

// Who decides whom to ask for the list, and passes it on, where that is not discovery alone.
class ListKeeper {
public:
    virtual ~ListKeeper() = default;
    struct Word {                      // what a member says beside the list itself; of discovery it is empty
        Time age = 0;                  // since discovery said so, at least
        std::string digest;            // of the whole list now
        std::vector<std::string> via;  // members that it came by, the one that asks discovery first
    };
    // What came from whoever is asked now.
    virtual void came(const std::string& revision, bool whole, const std::vector<Member>& members,
                      const Word& word) = 0;
    virtual void still(const Word& word) = 0;  // nothing new; the list held still holds
    virtual void ended() = 0;                  // the call
    virtual void moved(net::Endpoint discovery) = 0;
};

class ListWatch : public Lister {
public:
    ListWatch(net::Scheduler& scheduler, Exchange& exchange, Counters& counters, Log& log,
              net::Endpoint discovery, std::vector<std::string> zones);

    void take_known(const parse::Json& known);  // the list as this front node had it last
    void watch(const WatchList& terms) override;
    void fetch() override;
    // Discovery is at another address now. What is under way at the old one ends without word, and is asked
    // for at the new one at once; the list held stays in use.
    void move_to(net::Endpoint discovery);

    // From now on the keeper says when to call whom, by call().
    void keep_by(ListKeeper& keeper) { keeper_ = &keeper; }
    void call(net::Endpoint source);
    net::Endpoint discovery() const { return discovery_; }
    const std::vector<std::string>& zones() const { return zones_; }

private:
    struct Call {
        CallState state;
        net::Task task;  // behind what it writes to
    };

    net::Task follow(bool stream, Call& call);
    void start(bool stream, int beside);
    void ended(const CallState& state);
    void drop_calls();
    void keep_only(const Call& call);
    bool take_answer(Call& call, const std::string& text);
    std::optional<Time> unheard() const;
    // A member that is asked for the list says something each second.
    static constexpr Time kSilenceOfPeers = 30'000;

    void log_told(ListKind kind, std::size_t entries);
    bool take_object(const std::string& text);
    bool take_list(const parse::Json& list, bool saved);
    static Time age_in(const parse::Json& said);
    static ListKeeper::Word word_in(const parse::Json& said);
    std::optional<Member> read_member(const parse::Json& json);

    net::Scheduler& scheduler_;
    Exchange& exchange_;
    Counters& counters_;
    Log& log_;
    net::Endpoint discovery_;
    net::Endpoint source_;  // that is asked
    ListKeeper* keeper_ = nullptr;
    const std::vector<std::string> zones_;
    ServerStarts starts_;
    std::string revision_;  // the last one held, as discovery wrote it
    bool wanted_ = false;   // a watch, at some time
    Time longest_silence_ = kSilenceOfPeers;
    net::Moment heard_ = 0;  // when discovery last said something whole on a watch; 0: never
    std::list<Call> calls_;
};

}  // namespace pinedoor::service
