// The fault injection of the laboratory's relays, and the call queue of its emulated discovery.
#include "lab/fleet/relay.hpp"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "lab/live/call_desk.hpp"

namespace {

using namespace pinedoor;
using namespace pinedoor::lab;

// The two ends of a stream with a relay between them, and helpers that run the scheduler until a condition
// holds.
struct RelayedStream {
    net::Scheduler scheduler;
    TimerQueue timers{scheduler};
    RelayContext context{scheduler, timers, 1};
    HeldPort port;
    net::Fd listener = net::listen_on(port.at());
    StreamRelay relay{context, port.at()};
    net::Fd near_end = net::connect_to(relay.at()).first;
    net::Fd far_end;

    bool until(const std::function<bool()>& condition, net::Moment timeout = 20'000) {
        const auto end = timers.now() + timeout;
        timers.run_at(end, [] {});
        bool reached = false;
        scheduler.run([&] {
            timers.run_at(timers.now() + 10, [] {});
            return (reached = condition()) || timers.now() >= end;
        });
        return reached;
    }
    bool connect_ends() {
        return until([this] {
            if (!far_end) far_end = net::accept_from(listener).first;
            return static_cast<bool>(far_end);
        });
    }
    static std::string read(const net::Fd& fd) {
        std::string bytes(1'000, '\0');
        const auto got = recv(fd.get(), bytes.data(), bytes.size(), MSG_DONTWAIT);
        return got == 0  ? "end"
               : got < 0 ? (errno == EAGAIN ? "" : "broken")
                         : bytes.substr(0, static_cast<std::size_t>(got));
    }
    bool receives(const net::Fd& fd, const std::string& what, net::Moment timeout = 20'000) {
        std::string all;
        return until([&] { return (all += read(fd)) == what; }, timeout);
    }
    void write(const net::Fd& fd, const std::string& what) {
        CHECK(send(fd.get(), what.data(), what.size(), 0) == static_cast<ssize_t>(what.size()));
    }
};

TEST_CASE("a relayed stream: delayed, cut and restored in one direction only, closed in order, reset") {
    RelayedStream link;
    REQUIRE(link.connect_ends());
    link.write(link.near_end, "one");
    CHECK(link.receives(link.far_end, "one"));
    link.relay.there().delay_ms.a = 100;
    const auto before = link.timers.now();
    link.write(link.near_end, "two");
    CHECK(link.receives(link.far_end, "two"));
    CHECK(link.timers.now() - before >= 1'000);
    link.relay.there() = {};
    link.relay.there().cut = true;
    link.write(link.near_end, "three");
    link.write(link.far_end, "back");
    CHECK(link.receives(link.near_end, "back"));  // the other direction still works
    CHECK(!link.receives(link.far_end, "three", 1'000));
    link.relay.there().cut = false;
    link.relay.changed();
    CHECK(link.receives(link.far_end, "three"));  // a stream loses no bytes by a temporary cut
    net::shutdown_write(link.near_end);
    CHECK(link.receives(link.far_end, "end"));
    link.write(link.far_end, "after");
    CHECK(link.receives(link.near_end, "after"));
    link.relay.reset();
    CHECK(link.receives(link.near_end, "broken"));
    CHECK(link.relay.opened() == 1);
}

TEST_CASE("a relay that refuses connections, and one whose target does") {
    RelayedStream link;
    REQUIRE(link.connect_ends());
    link.relay.refuse(true);
    CHECK(link.receives(link.near_end, "broken"));
    const auto again = net::connect_to(link.relay.at()).first;
    CHECK((!again || link.until([&] { return net::socket_error(again) == ECONNREFUSED; })));
    link.relay.refuse(false);
    link.listener = net::Fd{};
    const auto third = net::connect_to(link.relay.at()).first;
    CHECK(link.receives(third, "broken"));
}

TEST_CASE("relayed datagrams are lost, duplicated, reordered and corrupted, by sender") {
    RelayedStream link;
    const auto bound = [](net::Endpoint& at) {
        net::Fd fd(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), size);
        getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &size);
        at = {INADDR_LOOPBACK, ntohs(address.sin_port)};
        return fd;
    };
    net::Endpoint target_at, a_at, b_at;
    const auto target = bound(target_at), a = bound(a_at), b = bound(b_at);
    DatagramRelay relay(link.context, target_at);
    const auto send_datagram = [&relay](const net::Fd& fd, const std::string& what) {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(relay.at().port);
        to.sin_addr.s_addr = htonl(relay.at().address);
        sendto(fd.get(), what.data(), what.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    };
    relay.from(a_at).cut = true;
    send_datagram(a, "lost");
    send_datagram(b, "kept");
    CHECK(link.receives(target, "kept"));
    relay.from(a_at) = {};
    relay.from(a_at).twice = 1;
    send_datagram(a, "two");
    CHECK(link.receives(target, "twotwo"));
    relay.from(a_at) = {};
    relay.from(b_at).swap = 1;
    send_datagram(b, "late");
    send_datagram(a, "soon");
    CHECK(link.receives(target, "soonlate"));
    relay.from(a_at).flip = 1;
    send_datagram(a, "word");
    std::string received;
    CHECK(link.until([&] { return !(received = RelayedStream::read(target)).empty(); }));
    CHECK(received.size() == 4);
    CHECK(received != "word");
    CHECK(relay.passed() == 6);
}

TEST_CASE(
    "discovery's call queue: FIFO, bounded, refuses when full; a cancelled call still takes its service "
    "time") {
    net::Scheduler scheduler;
    TimerQueue timers(scheduler);
    CallQueue queue(timers, {100, 2, 250});
    std::string log;
    const auto ask = [&](int node) {
        return queue.ask(node,
                         [&log, node](bool served) { log += std::to_string(node) + (served ? "+" : "-"); });
    };
    for (int i = 0; i < 3; ++i) ask(i);
    const auto fourth = ask(3);
    CHECK(log == "3-");
    CHECK(queue.calls()[fourth].end == CallQueue::End::kRefused);
    queue.leave(1);
    const auto begin = timers.now();
    scheduler.run([&] {
        timers.run_at(timers.now() + 10, [] {});
        return timers.now() > begin + 1'000;
    });
    CHECK(log == "3-0+2+");
    CHECK(queue.count(CallQueue::End::kGone) == 1);
    CHECK(queue.most_at_once() == 3);
    CHECK(queue.max_calls_within(10'000) == 4);
    queue.refuse_all(true);
    ask(4);
    CHECK(log == "3-0+2+4-");
    // The second call exceeds the queue timeout.
    CallQueue slow(timers, {2, 5, 500});
    slow.ask(0, [&log](bool served) { log += served ? "!" : "?"; });
    slow.ask(1, [&log](bool served) { log += served ? "!" : "?"; });
    const auto now = timers.now();
    scheduler.run([&] {
        timers.run_at(timers.now() + 100, [] {});
        return timers.now() > now + 6'000;
    });
    CHECK(log == "3-0+2+4-?!");
}

}  // namespace
