// Discovery as one front node sees it: the list whole on asking, changes to who watches, an empty line each
// second.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "lab/agenda.hpp"
#include "lab/held_port.hpp"
#include "net/stream.hpp"
#include "parse/http.hpp"

namespace pinedoor::lab {

struct LiveMember {
    std::string name, zone, phase;  // phase: Ready, Terminating or Gone
    net::Endpoint at;
    int place = 0;
    std::int64_t up_since_ms = 0;
    std::string text() const;  // as JSON
};
std::string list_text(int revision, bool complete, const std::vector<LiveMember>& members);

class LiveList {
public:
    LiveList(net::Scheduler& scheduler, Agenda& agenda);

    net::Endpoint at() const { return port_.at(); }
    void set(std::vector<LiveMember> members) { members_ = std::move(members); }
    void change(const LiveMember& member);  // told to who watches, if it is up
    void go_down();                         // connections end, new ones are refused
    void come_up();

private:
    struct Link {
        Link(net::Scheduler& scheduler, net::Fd fd) : stream(scheduler, std::move(fd)) {}
        net::Stream stream;
        std::string out;
        bool watches = false;
        bool over = false;
        net::Task task;
    };
    void open();
    net::Task accept();
    net::Task serve(Link& link);
    void beat();
    void say(Link& link, const std::string& text);

    net::Scheduler& scheduler_;
    Agenda& agenda_;
    HeldPort port_;
    int revision_ = 1;
    std::vector<LiveMember> members_;
    net::Fd listener_;
    std::unique_ptr<net::Waiter> waiter_;
    net::Task task_;
    std::list<std::unique_ptr<Link>> links_;
};

}  // namespace pinedoor::lab
