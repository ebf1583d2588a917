// The index servers and the discovery of a soak run, emulated on sockets.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "lab/live/agenda.hpp"
#include "lab/live/held_port.hpp"
#include "lab/soak/soak_log.hpp"
#include "lab/world/draw.hpp"
#include "net/stream.hpp"

namespace pinedoor::lab {

// Accepts connections and runs a task for each.
class SoakListener {
public:
    struct Link {
        Link(net::Scheduler& scheduler, net::Fd fd) : stream(scheduler, std::move(fd)) {}
        net::Stream stream;
        std::string out;  // bytes to be written
        net::Task task;
    };

    explicit SoakListener(net::Scheduler& scheduler);
    virtual ~SoakListener() = default;
    net::Endpoint at() const { return port_.at(); }
    void start();

protected:
    // Handles the bytes that a link has received; returns false to close it.
    virtual bool receive(std::uint64_t id, Link& link) = 0;
    // Appends bytes to what a link has to write; ignored if it has ended.
    void send(std::uint64_t id, std::string_view bytes);

    net::Scheduler& scheduler_;

private:
    net::Task accept();
    net::Task serve(std::uint64_t id, Link& link);

    const HeldPort port_;
    net::Fd listener_;
    net::Waiter waiter_;
    std::uint64_t last_link_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Link>> links_;
    net::Task task_;
};

// Answers each part after a random time; some parts are turned away, fail or are never answered. A query
// "big" is answered with a large value.
class SoakServer : public SoakListener {
public:
    SoakServer(net::Scheduler& scheduler, TimerQueue& timers, SoakLog& log, std::uint64_t seed);

private:
    bool receive(std::uint64_t id, Link& link) override;
    void receive_call(std::uint64_t link, std::string_view parts);
    void run_part(std::uint64_t link, const std::string& part, bool big);

    TimerQueue& timers_;
    SoakLog& log_;
    Chance chance_;
};

// Serves one list that never changes.
class SoakDiscovery : public SoakListener {
public:
    SoakDiscovery(net::Scheduler& scheduler, TimerQueue& timers) : SoakListener(scheduler), timers_(timers) {}
    void set_list(std::string list) { list_ = std::move(list); }

private:
    bool receive(std::uint64_t id, Link& link) override;
    void send_heartbeats(std::uint64_t link, int count);

    TimerQueue& timers_;
    std::string list_;
};

}  // namespace pinedoor::lab
