// Decides when this front node calls discovery for the server list, and passes the entries of the list to the
// other modules.
#pragma once

#include <map>
#include <vector>

#include "policy/list_lease.hpp"
#include "policy/messages.hpp"

namespace pinedoor::policy {

// The server list, as last received.
class KnownList {
public:
    // Returns the entries that may have changed. Servers that a full list does not name are removed.
    std::vector<ListEntry> apply(const ListUpdate& update);
    bool empty() const { return listed_.empty(); }
    int count_ready() const;

private:
    std::map<ServerId, ListEntry> listed_;
};

class ListFollower {
public:
    ListFollower(Inboxes& inboxes, ServerListConfig config, int front_nodes);

    void handle(const Tick&);
    void handle(const ListUpdate& update);

private:
    void on_call_ended(const ListUpdate& update);
    void on_watch_ended();
    void on_call_refused();
    void call();
    // Logs when the lease expires or is granted again, and stops sends where it forbids them.
    void check_lease();
    bool holds_list() const { return !listed_.empty(); }
    Time min_pause() const {
        return holds_list() ? lease_.min_pause(inboxes_.now) : config_.refresh_within / 16;
    }
    // Maximum pause in a small fleet, where few other front nodes compete for discovery.
    Time max_pause() const { return config_.refresh_within / 8; }
    Time first_span() const;

    Inboxes& inboxes_;
    const ServerListConfig config_;
    const Time fleet_span_;  // half of the time that discovery takes to serve all front nodes
    KnownList listed_;
    ListLease lease_;
    bool watching_ = false;
    bool expired_ = false;  // state of the lease, as last logged
    Time span_ = 0;         // calls are spread at random over this time
    Time call_within_ = 0;
    Time saved_age_ = 0;  // age of a saved list at the start of this node; 0 while watching
    Time call_at_ = 0;
    Time called_at_ = 0;
    int refusals_in_a_row_ = 0;
};

}  // namespace pinedoor::policy
