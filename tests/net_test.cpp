#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "net/stream.hpp"

namespace {

using namespace pinedoor::net;

struct SocketPair {
    Fd near, far;
    SocketPair() {
        int fds[2];
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds) == 0);
        near = Fd(fds[0]);
        far = Fd(fds[1]);
    }
};

// Writes a character when the coroutine's frame is destroyed.
struct DestructionMark {
    std::string& out;
    ~DestructionMark() { out += '~'; }
};

// Writes 'a' before and 'b' after one wait.
Task wait_once(Waiter& waiter, unsigned interest, Moment until, std::string& out) {
    const DestructionMark mark{out};
    out += 'a';
    co_await waiter.wait(interest, until);
    out += 'b';
}

Task throw_after(Waiter& waiter) {
    co_await waiter.wait(0);
    throw std::runtime_error("thrown");
}

// Runs `count` rounds of the scheduler; the deferred function keeps each from blocking.
void run_rounds(Scheduler& scheduler, int count) {
    scheduler.run([&] {
        scheduler.defer([] {});
        return count-- == 0;
    });
}

TEST_CASE("a signal before the wait is not lost, and none is kept for the wait after") {
    Scheduler scheduler;
    Waiter waiter(scheduler);
    std::string out;
    waiter.signal();
    waiter.signal();
    auto first = wait_once(waiter, 0, kNever, out);
    first.start({});
    run_rounds(scheduler, 2);
    CHECK(out == "ab~");
    auto second = wait_once(waiter, 0, kNever, out);
    second.start({});
    run_rounds(scheduler, 3);
    CHECK(out == "ab~a");
}

Task yield_often(Waiter& waiter, int& turns) {
    for (;;) {
        ++turns;
        co_await waiter.yield();
    }
}

TEST_CASE("a coroutine that yields lets those that are ready go first, and goes on in the next round") {
    Scheduler scheduler;
    Waiter yielding(scheduler), ready(scheduler);
    int turns = 0;
    auto first = yield_often(yielding, turns);
    first.start({});
    std::string out;
    auto second = wait_once(ready, 0, kNever, out);
    second.start({});
    ready.signal();
    scheduler.run([&] { return out == "ab~"; });
    CHECK(turns <= 2);
    scheduler.run([&] { return turns >= 10; });
    CHECK(turns == 10);
}

TEST_CASE("a coroutine that yielded is not resumed after its task was destroyed") {
    Scheduler scheduler;
    Waiter waiter(scheduler);
    int turns = 0;
    {
        auto task = yield_often(waiter, turns);
        task.start({});
    }
    run_rounds(scheduler, 3);
    CHECK(turns == 1);
}

TEST_CASE("a wait ends at its timeout") {
    Scheduler scheduler;
    Waiter waiter(scheduler);
    std::string out;
    auto task = wait_once(waiter, 0, scheduler.now() + 20, out);
    task.start({});
    scheduler.run([&] { return task.done(); });
    CHECK(out == "ab~");
}

// Suspends the thread within a round, as SIGSTOP does, and writes how far the scheduler's time went
// meanwhile.
Task suspend_within_round(Scheduler& scheduler, Waiter& waiter, std::function<void()> meanwhile,
                          Moment& passed) {
    co_await waiter.wait(0);
    const auto before = scheduler.now();
    meanwhile();
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    passed = scheduler.now() - before;
}

TEST_CASE("no deadline passes during a round, and what came meanwhile goes before timers and signals") {
    Scheduler scheduler;
    SocketPair pair, closed_pair;
    Stream stream(scheduler, std::move(pair.near));
    Stream closed(scheduler, std::move(closed_pair.near));
    Waiter suspended(scheduler), signalled(scheduler), timer(scheduler);
    run_rounds(scheduler, 2);
    std::string order;
    Moment passed = -1;
    auto record = [&](Waiter& waiter, unsigned interest, Moment until, char name) -> Task {
        co_await waiter.wait(interest, until);
        order += name;
    };
    std::vector<Task> tasks;
    tasks.push_back(suspend_within_round(
        scheduler, suspended,
        [&] {
            signalled.signal();
            CHECK(write(pair.far.get(), "x", 1) == 1);
            closed_pair.far = Fd{};
        },
        passed));
    tasks.push_back(record(timer, 0, scheduler.now() + 100, 't'));
    tasks.push_back(record(signalled, 0, kNever, 's'));
    tasks.push_back(record(stream.waiter(), kRead, kNever, 'r'));
    tasks.push_back(record(closed.waiter(), kClosed, kNever, 'c'));
    for (auto& task : tasks) task.start({});
    suspended.signal();
    scheduler.run([&] { return order.size() == 4; });
    CHECK(passed == 0);
    CHECK(order == "crst");
    CHECK_FALSE(scheduler.is_held_up());
}

TEST_CASE("a waiter reports received bytes, space to write and a close according to its interest") {
    Scheduler scheduler;
    SocketPair pair;
    Stream stream(scheduler, std::move(pair.near));
    std::string out;
    auto reading = wait_once(stream.waiter(), kRead, kNever, out);
    reading.start({});
    run_rounds(scheduler, 3);
    CHECK(out == "a");
    REQUIRE(write(pair.far.get(), "x", 1) == 1);
    run_rounds(scheduler, 3);
    CHECK(out == "ab~");
    CHECK(stream.read() == Stream::Got::kBytes);
    CHECK(stream.read() == Stream::Got::kNothing);
    CHECK_FALSE(stream.waiter().may(kRead));
    CHECK(stream.waiter().may(kWrite));
    auto closing = wait_once(stream.waiter(), kClosed, kNever, out);
    closing.start({});
    pair.far = Fd{};
    run_rounds(scheduler, 3);
    CHECK(out == "ab~ab~");
    CHECK(stream.read() == Stream::Got::kEnd);
}

TEST_CASE("a coroutine whose task is destroyed is never resumed, wherever it waits") {
    Scheduler scheduler;
    SocketPair pair;
    Stream stream(scheduler, std::move(pair.near));
    std::string out;
    SUBCASE("for its descriptor") {
        {
            auto task = wait_once(stream.waiter(), kRead, kNever, out);
            task.start({});
        }
        REQUIRE(write(pair.far.get(), "x", 1) == 1);
    }
    SUBCASE("for its timeout") {
        auto task = wait_once(stream.waiter(), 0, scheduler.now() + 1, out);
        task.start({});
        task = Task{};
    }
    SUBCASE("queued to be resumed") {
        auto task = wait_once(stream.waiter(), 0, kNever, out);
        task.start({});
        stream.waiter().signal();
        task = Task{};
    }
    SUBCASE("before its start") { wait_once(stream.waiter(), 0, kNever, out); }
    run_rounds(scheduler, 3);
    CHECK((out == "a~" || out.empty()));
}

TEST_CASE("a coroutine whose waiter is destroyed first stays suspended until its task is destroyed") {
    Scheduler scheduler;
    std::string out;
    {
        auto waiter = std::make_unique<Waiter>(scheduler);
        auto task = wait_once(*waiter, 0, scheduler.now() + 1, out);
        task.start({});
        SUBCASE("while it waits") {}
        SUBCASE("while it is queued") { waiter->signal(); }
        waiter.reset();
        run_rounds(scheduler, 3);
        CHECK(out == "a");
    }
    CHECK(out == "a~");
}

TEST_CASE("a wake-up for a destroyed waiter does not reach the waiter that reuses its slot") {
    Scheduler scheduler;
    std::string out;
    auto old = std::make_unique<Waiter>(scheduler);
    auto old_task = wait_once(*old, 0, kNever, out);
    old_task.start({});
    old->signal();  // queued under the old generation of the slot
    old.reset();
    Waiter successor(scheduler);
    auto task = wait_once(successor, 0, kNever, out);
    task.start({});
    run_rounds(scheduler, 3);
    CHECK(out == "aa");
}

TEST_CASE("an exception ends its task, is reported, and does not affect other tasks") {
    Scheduler scheduler;
    Waiter waiter(scheduler);
    Waiter other(scheduler);
    std::string out;
    std::exception_ptr reported;
    auto task = throw_after(waiter);
    task.start([&](std::exception_ptr failure) { reported = failure; });
    auto bystander = wait_once(other, 0, kNever, out);
    bystander.start({});
    waiter.signal();
    run_rounds(scheduler, 2);
    CHECK(task.done());
    CHECK_THROWS_WITH(std::rethrow_exception(reported), "thrown");
    other.signal();
    run_rounds(scheduler, 2);
    CHECK(out == "ab~");
}

TEST_CASE("a buffer keeps unconsumed bytes while it grows and is compacted") {
    Buffer buffer;
    std::string sent, got;
    for (int i = 0; i < 400; ++i) {
        const auto room = buffer.room();
        const std::string piece(37, static_cast<char>('a' + i % 26));
        std::copy(piece.begin(), piece.end(), room.begin());
        buffer.filled(piece.size());
        sent += piece;
        const auto consumed = i % 3 == 0 ? std::min<std::size_t>(50, buffer.held().size()) : 0;
        got += buffer.held().substr(0, consumed);
        buffer.drop(consumed);
    }
    got += buffer.held();
    CHECK(got == sent);
}

TEST_CASE("endpoints are parsed and formatted") {
    CHECK(parse_endpoint("127.9.1.2:7070") == Endpoint{0x7f090102, 7070});
    CHECK(to_text({0x7f090102, 7070}) == "127.9.1.2:7070");
    for (const char* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:70707", "127.0.0:1",
                             "host:1", "127.0.0.1:1x"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_endpoint(text));
    }
}

}  // namespace
