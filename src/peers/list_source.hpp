// From whom this node has the list of servers: discovery, or a member that has it. A decider: events and a
// time in, what to call out. A few members, drawn by rendezvous hash of their names, ask discovery; the
// others stand behind them in the same order, so many behind each: a shallow tree.
//
//   state    | few enough before it | others before it | its call ended              | members changed, then
//   still
//   ---------+----------------------+------------------+-----------------------------+-----------------------------
//   settling | asks discovery       | asks its parent  | -                           | settles anew
//            | (meanwhile, at its start: one that says it has the list, if any does)
//   asks     | -                    | -                | again: one before its       | asks its new place, if
//   that
//            |                      |                  | parent, at last discovery,  | is another kind, or
//            its |                      |                  | ever later and at random    | source is gone
//
// In either of the last two states, a source that has lain behind another's for a while is left for that one,
// and a member that does not answer has ended its call. Whoever was just lost is not asked next, if there is
// another.
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

struct ListSourceSettings {
    int roots = 2;             // members that ask discovery
    int fan_out = 16;          // members that have the list from one
    Time settle_time = 6'000;  // hardly anybody came or went for so long
    Time max_settle_time = 60'000;
    Time level_delay = 4'000;  // a level of the tree is given to get the list before the next one asks it
    Time retry_delay = 3'000;  // after a call that ended, at least half of it, doubling with each on end
    Time max_retry_delay = 40'000;
    Time max_root_retry_delay =
        15'000;  // the few that ask discovery do so more often: all others wait for them
    Time discovery_call_time = 1'000;  // how long discovery is taken to need for a call
    int max_member_failures = 3;       // calls on end that members failed, and
    Time max_time_without_list =
        60'000;                  // so long without a word of the list, before discovery is asked instead
    Time max_lag_time = 20'000;  // another that has it from discovery may hold a later revision for so long
    Time switch_interval = 40'000;   // then that one is asked, and not left for this reason sooner than that
    Time response_timeout = 15'000;  // a member that is asked has answered by then
};

class ListSource {
public:
    ListSource(std::string name, std::uint64_t seed, ListSourceSettings settings);

    struct Source {
        bool discovery = false;
        std::string name;  // else this member's
        At at;
        bool operator==(const Source&) const = default;
    };
    using Members = std::vector<std::pair<std::string, At>>;  // all, this node too

    void set_members(Time now, Members members);
    void heard(Time now);  // the list, or a word that it still holds, came from the source that is called
    // Whether the member that is called has not answered in time: it may stand still. To be followed by
    // lost().
    bool is_silent(Time now) const { return response_due_at_ > 0 && now >= response_due_at_; }
    void lost(Time now);  // that call has ended
    struct Holding {      // of one that says which list it has, and that it is no old one
        Source source;
        std::uint64_t revision = 0;
    };
    // What others hold, and this node. Of them those count that stand before it or ask discovery, lest
    // members have the list from each other in a circle. Who has no source asks one of these, soon once there
    // are any. True: its source lies behind, as one does that discovery serves from an old copy; one that
    // holds the latest is called next, by a holder too.
    bool compare(Time now, std::uint64_t revision, const std::vector<Holding>& others);
    // Whom to call now instead of whoever is called; none: as it is.
    std::optional<Source> tick(Time now);
    Time due() const { return due_; }

    // Whether a list that came by these members goes in a circle, or by too many.
    bool is_circle(const std::vector<std::string>& via) const;
    bool says() const {  // which list it has: those that ask discovery, and the level behind them
        return rank_ >= 0 && rank_ < settings_.roots + settings_.fan_out;
    }
    bool is_root() const { return rank_ >= 0 && rank_ < settings_.roots; }
    int place() const { return rank_; }  // in the order of all; -1: not settled

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
    Members ranking_;  // by rendezvous hash, as last settled
    std::map<std::string, int> ranks_;
    int rank_ = -1;
    Time started_at_ = 0, changed_at_ = 0;
    std::size_t members_at_change_ = 0;  // members when it was taken for changed
    Time without_list_since_ = 0;
    bool is_unsettled_ = true;
    std::optional<Source> current_;       // that is called
    std::vector<Holding> list_holders_;   // that hold the list
    std::optional<Source> newer_holder_;  // holds a later list than this node's source
    Time behind_since_ = 0, next_switch_at_ = 0;
    int consecutive_failures_ = 0;  // on end
    Time call_at_ = 0;              // 0: no call is due
    Time response_due_at_ = 0;      // the member that is called answers by then; 0: it has, or none is called
    std::string last_lost_;         // the member that was lost last
    Time due_ = 0;
};

}  // namespace pinedoor::peers
