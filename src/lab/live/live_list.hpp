// Emulated discovery for one front node: it serves the full server list on request, and sends changes and a
// heartbeat line each second to watches. Several instances share a call queue if discovery's capacity is
// limited.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "lab/live/agenda.hpp"
#include "lab/live/call_desk.hpp"
#include "lab/live/held_port.hpp"
#include "net/stream.hpp"
#include "parse/http.hpp"

namespace pinedoor::lab {

// An index server as discovery lists it.
struct LiveMember {
    std::string name, zone, phase;  // phase: Ready, Terminating or Gone
    net::Endpoint at;
    int place = 0;
    std::int64_t up_since_ms = 0;
    std::string text() const;  // as JSON
};
// Returns the server list as JSON; a complete list omits servers that are gone.
std::string list_text(int revision, bool complete, const std::vector<LiveMember>& members);

class EmulatedDiscovery {
public:
    // `call_queue`: the queue in which calls wait, as calls of front node `node`; null: all are served at
    // once.
    EmulatedDiscovery(net::Scheduler& scheduler, TimerQueue& timers, CallQueue* call_queue = nullptr,
                      int node = 0);

    net::Endpoint at() const { return port_.at(); }
    void set(std::vector<LiveMember> members) { members_ = std::move(members); }
    void change(const LiveMember& member);  // sent to the watches
    void go_down();                         // closes all connections and refuses new ones
    void come_up();
    void set_revision(int revision) { revision_ = revision; }  // revision of the current list
    int revision() const { return revision_; }
    bool is_watched() const;  // a watch has the full list and receives changes
    // Sets a callback for each full list sent.
    void when_answered(std::function<void()> then) { on_full_list_ = std::move(then); }
    void suspend_watches(bool on);  // watches stay open but receive nothing
    void end_watches();             // closes all watches; clients may reconnect
    // Makes full lists name every second server only; watches receive a full list when this is switched.
    void serve_half_list(bool on);
    bool serves_stale_list() const { return stale_; }
    const std::vector<LiveMember>& pending_changes() const { return pending_changes_; }
    void serve_stale_list(bool on);  // freezes the served list until it is switched off

private:
    struct Link {
        Link(net::Scheduler& scheduler, net::Fd fd) : stream(scheduler, std::move(fd)) {}
        net::Stream stream;
        std::string out;
        enum class CallState { kNone, kWaiting, kServed, kRefused } call_state = CallState::kNone;
        std::size_t call = 0;
        bool watching = false;
        bool answered = false;  // with the full list, or refused
        bool closed = false;
        net::Task task;
    };
    void open();
    net::Task accept();
    net::Task serve(Link& link);
    void send_heartbeat();
    void send_chunk(Link& link, const std::string& text);
    void enqueue_call(Link& link, bool watching);
    void answer(Link& link);
    std::string whole_text() const;

    net::Scheduler& scheduler_;
    TimerQueue& timers_;
    CallQueue* const call_queue_;
    const int node_;
    HeldPort port_;
    bool suspended_ = false;
    bool half_list_ = false;
    bool stale_ = false;
    std::vector<LiveMember> pending_changes_;  // changes held back while the list is frozen
    int revision_ = 1;
    std::function<void()> on_full_list_;
    std::vector<LiveMember> members_;
    net::Fd listener_;
    std::unique_ptr<net::Waiter> waiter_;
    net::Task task_;
    std::list<std::unique_ptr<Link>> links_;
};

}  // namespace pinedoor::lab
