// Decides when this front node asks discovery for the list of index servers, and tells the other modules what
// the list says.
#pragma once

#include <map>
#include <vector>

#include "policy/list_lease.hpp"
#include "policy/messages.hpp"

namespace pinedoor::policy {

// What the list says, as last heard.
class KnownList {
public:
    // Returns the entries that are news; whom a full list does not name any more is gone.
    std::vector<ListEntry> apply(const ListNews& news);
    bool empty() const { return listed_.empty(); }
    int count_ready() const;

private:
    std::map<ServerId, ListEntry> listed_;
};

class ListFollower {
public:
    ListFollower(Inboxes& inboxes, ListTerms terms, int front_nodes);

    void take(const Tick&);
    void take(const ListNews& news);

private:
    void call_ended(const ListNews& news);
    void watch_ended();
    void call_refused();
    void call();
    void judge_lease();
    bool holds_list() const { return !listed_.empty(); }
    Time least_pause() const {
        return holds_list() ? lease_.least_pause(inboxes_.now) : terms_.must_ask_in / 16;
    }
    // To which pauses grow where there are few other front nodes to be spared.
    Time longest_pause() const { return terms_.must_ask_in / 8; }
    Time first_span() const;

    Inboxes& inboxes_;
    const ListTerms terms_;
    const Time fleet_span_;  // half of what it takes discovery to serve all front nodes
    KnownList listed_;
    ListLease lease_;
    bool watching_ = false;
    bool expired_ = false;  // as last logged
    Time span_ = 0;         // calls are spread at random over it
    Time ask_within_ = 0;
    Time known_age_ = 0;  // of a known list at the start
    Time ask_at_ = 0;
    Time called_at_ = 0;
    int refused_on_end_ = 0;
};

}  // namespace pinedoor::policy
