// Chooses the source that this node gets the server list from: discovery or another member. ListSource is a
// pure state machine: events and the current time go in, the source to call comes out.
//
// Members are ranked by a rendezvous hash of their names, rank 0 first. The first few (the roots) call
// discovery; each of the others follows a member of a lower rank, with a limited number of followers per
// member, which gives a shallow tree.
//
//   state    | event                    | next
//   ---------+--------------------------+-----------------------------------------------------------
//   settling | membership is stable     | a root calls discovery, another member its parent
//            | a member advertises the  | call it, if this node has just started
//            | list                     |
//   calling  | the call ends            | with backoff and jitter: a root calls discovery again, a
//            |                          | follower a member that advertises the list, else one up to
//            |                          | its parent's rank, and discovery after repeated failures
//            | membership settled again | change the source if this node became a root or ceased to
//            |                          | be one, or if its source is no longer a member
//
// While calling, a source whose list lags behind another member's for a while is replaced by that member, and
// a member that does not respond in time counts as an ended call. The source that was lost last is not called
// next if there is another.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "peers/decide.hpp"

namespace pinedoor::peers {

// Times are in units of 0.1 ms.
struct ListSourceSettings {
    int roots = 2;                  // members that call discovery
    int fan_out = 16;               // followers per member
    Time settle_time = 6'000;       // without notable membership changes before ranks are assigned
    Time max_settle_time = 60'000;  // since the start, whatever changes
    Time level_delay = 4'000;       // start delay per level of the tree, for the level above to get the list
    Time retry_delay = 3'000;       // after a call ended, doubling with each failure, with jitter
    Time max_retry_delay = 40'000;
    Time max_root_retry_delay = 15'000;   // lower for roots, because all other members wait for them
    Time discovery_call_time = 1'000;     // assumed cost of one call, to spread calls of many members
    int max_member_failures = 3;          // consecutive failed calls to members before discovery is called
    Time max_time_without_list = 60'000;  // time without the list before discovery is called
    Time max_lag_time = 20'000;           // how long the source may lag behind another member
    Time switch_interval = 40'000;        // min interval between switches to a newer revision
    Time response_timeout = 15'000;       // for the first response of a member
};

// Chooses the source that this node gets the server list from.
class ListSource {
public:
    ListSource(std::string name, std::uint64_t seed, ListSourceSettings settings);

    struct Source {  // discovery or a member
        bool discovery = false;
        std::string name;  // of the member, unless discovery
        At at;
        bool operator==(const Source&) const = default;
    };
    using Members = std::vector<std::pair<std::string, At>>;  // all, including this node

    void set_members(Time now, Members members);
    void heard(Time now);  // the source sent the list or confirmed it
    // Whether the called member has not responded in time, for example because it is suspended. The caller
    // then calls lost().
    bool is_silent(Time now) const { return response_due_at_ > 0 && now >= response_due_at_; }
    void lost(Time now);  // the call to the source ended
    struct ListHolder {   // advertisement of a member that holds a current list
        Source source;
        std::uint64_t revision = 0;
    };
    // Compares this node's `revision` with those that other members advertise. Only members of a lower rank
    // and roots are considered, so that members never get the list from each other in a cycle. A node without
    // a source calls one of them soon after the first advertisement. Returns true if this node's source has
    // lagged behind for too long (discovery may serve an old copy); then the holder of the newest revision is
    // called next, also by a root.
    bool compare(Time now, std::uint64_t revision, const std::vector<ListHolder>& others);
    // The source to call now in place of the current one, or none to keep it.
    std::optional<Source> tick(Time now);
    Time due() const { return due_; }

    // Whether a list that passed through the members `via` has come in a cycle or over too many hops.
    bool is_cycle(const std::vector<std::string>& via) const;
    bool says() const {  // whether to advertise the revision: roots and the level below them
        return rank_ >= 0 && rank_ < settings_.roots + settings_.fan_out;
    }
    // Whether this node calls discovery.
    bool is_root() const { return rank_ >= 0 && rank_ < settings_.roots; }
    int place() const { return rank_; }  // rank among all members; -1: not settled

private:
    void settle(Time now);
    Source next_source(Time now);
    bool should_call_discovery(Time now) const;
    std::size_t parent_rank() const {
        return static_cast<std::size_t>((rank_ - settings_.roots) / settings_.fan_out);
    }

    const std::string name_;
    const ListSourceSettings settings_;
    std::mt19937_64 rng_;
    Members members_;
    Members ranking_;  // by rendezvous hash, when last settled
    std::map<std::string, int> ranks_;
    int rank_ = -1;
    Time started_at_ = 0, changed_at_ = 0;
    std::size_t members_at_change_ = 0;  // number of members at changed_at_
    Time without_list_since_ = 0;        // 0: the source serves the list
    bool is_unsettled_ = true;
    std::optional<Source> current_;         // source in use
    std::vector<ListHolder> list_holders_;  // advertisements considered as sources
    std::optional<Source> newer_holder_;    // holder of a newer list, to be called next
    Time behind_since_ = 0, next_switch_at_ = 0;
    int consecutive_failures_ = 0;
    Time call_at_ = 0;          // 0: none
    Time response_due_at_ = 0;  // response deadline of the called member; 0: it responded, or none is called
    std::string last_lost_;     // name of the last source lost
    Time due_ = 0;
};

}  // namespace pinedoor::peers
