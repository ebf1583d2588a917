// Relays that inject faults into the links between processes, separately in each direction. They run in user
// space on loopback and need no privileges.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/live/agenda.hpp"
#include "lab/live/held_port.hpp"
#include "lab/world/draw.hpp"
#include "net/stream.hpp"

namespace pinedoor::lab {

// The faults of one direction of a link. Bytes of a stream are never lost or reordered, as with TCP: a lost
// piece and everything behind it are delayed by a retransmission.
struct LinkFaults {
    Draw delay_ms{Draw::Kind::kFixed, 0, 0};
    double lose = 0;              // probability that a datagram is lost or a piece of a stream is delayed
    double twice = 0;             // probability that a datagram is duplicated
    double swap = 0;              // probability that a datagram is delayed and so reordered
    double flip = 0;              // probability that one bit of a datagram or piece is flipped
    double bytes_per_second = 0;  // 0: unlimited
    bool cut = false;             // drops silently; a stream's bytes are delivered once it ends
};

struct RelayContext {  // the state shared by all relays of a rig
    RelayContext(net::Scheduler& on, TimerQueue& later, std::uint64_t seed)
        : scheduler(on), timers(later), chance(seed) {}
    net::Scheduler& scheduler;
    TimerQueue& timers;
    Chance chance;
};

// Relays connections to one target.
class StreamRelay {
public:
    StreamRelay(RelayContext& context, net::Endpoint target);

    net::Endpoint at() const { return port_.at(); }
    void aim(net::Endpoint target) { target_ = target; }  // for new connections
    LinkFaults& there() { return link_faults_[0]; }       // towards the target; call changed() after a change
    LinkFaults& back() { return link_faults_[1]; }
    void changed();
    void reset();          // resets every connection on both sides
    void refuse(bool on);  // refuses connections, like a machine without a listener
    std::uint64_t opened() const { return opened_; }
    std::size_t open() const { return pairs_.size(); }
    std::size_t most_open() const { return most_open_; }

private:
    struct Piece {
        net::Moment due = 0;
        std::string bytes;  // empty: end of the stream
    };
    struct Side {
        Side(net::Scheduler& scheduler, net::Fd fd) : stream(scheduler, std::move(fd)) {}
        net::Stream stream;
        std::deque<Piece> out;  // to be written to this side
        std::size_t held = 0;   // bytes in `out`
        net::Moment last_due = 0;
        bool read_ended = false;
        bool write_ended = false;
        net::Task task;
    };
    struct Pair {
        std::unique_ptr<Side> side[2];  // the client; the target
    };

    void listen();
    net::Task accept();
    net::Task run_side(Pair& pair, int which);
    void enqueue(Side& to, const LinkFaults& link_faults, std::string bytes);
    void end(Pair& pair);
    static void reset_on_close(Side& side);

    RelayContext& context_;
    HeldPort port_;
    net::Endpoint target_;
    LinkFaults link_faults_[2];
    net::Fd listener_;
    std::unique_ptr<net::Waiter> waiter_;
    std::list<std::unique_ptr<Pair>> pairs_;
    std::uint64_t opened_ = 0;
    std::size_t most_open_ = 0;
    net::Task task_;  // declared last, so destroyed first
};

// Relays datagrams to one target. Faults can be set per sender, by its source address; the target sees the
// relay's address as the source.
class DatagramRelay {
public:
    // `port`: the port of 127.0.0.1 to use; 0: any.
    DatagramRelay(RelayContext& context, net::Endpoint target, std::uint16_t port = 0);

    net::Endpoint at() const { return at_; }
    void aim(net::Endpoint target) { target_ = target; }
    LinkFaults& from(net::Endpoint sender) { return link_faults_[sender]; }
    LinkFaults& from_others() { return others_; }
    std::uint64_t passed() const { return passed_; }
    std::uint64_t bytes() const { return bytes_; }

private:
    net::Task run();
    void enqueue(net::Endpoint from, std::string bytes);
    void pass(const std::string& bytes);

    RelayContext& context_;
    net::Endpoint target_;
    net::Fd fd_;
    net::Endpoint at_;
    net::Waiter waiter_;
    std::map<net::Endpoint, LinkFaults> link_faults_;
    std::map<net::Endpoint, net::Moment> free_at_;  // when a rate-limited link is free again, by sender
    LinkFaults others_;
    std::uint64_t passed_ = 0, bytes_ = 0;
    net::Task task_;
};

}  // namespace pinedoor::lab
