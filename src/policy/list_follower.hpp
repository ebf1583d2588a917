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
    std::vector<ListEntry> apply(const ListNews& update);
    bool empty() const { return listed_.empty(); }
    int count_ready() const;

private:
    std::map<ServerId, ListEntry> listed_;
};

class ListFollower {
public:
    ListFollower(Inboxes& inboxes, ListTerms config, int front_nodes);

    void handle(const Tick&);
    void handle(const ListNews& update);

private:
    void on_call_ended(const ListNews& update);
    void on_watch_ended();
    void on_call_refused();
    void call();
    void check_lease();
    bool holds_list() const { return !listed_.empty(); }
    Time min_pause() const {
        return holds_list() ? lease_.min_pause(inboxes_.now) : config_.must_ask_in / 16;
    }
    // To which pauses grow where there are few other front nodes to be spared.
    Time max_pause() const { return config_.must_ask_in / 8; }
    Time first_span() const;

    Inboxes& inboxes_;
    const ListTerms config_;
    const Time fleet_span_;  // half of what it takes discovery to serve all front nodes
    KnownList listed_;
    ListLease lease_;
    bool watching_ = false;
    bool expired_ = false;  // as last logged
    Time span_ = 0;         // calls are spread at random over it
    Time call_within_ = 0;
    Time saved_age_ = 0;  // of a known list at the start
    Time call_at_ = 0;
    Time called_at_ = 0;
    int refusals_in_a_row_ = 0;
};

}  // namespace pinedoor::policy
