// Single-threaded coroutine scheduler on epoll.
//
// Ownership: a Task owns its coroutine's frame, and the object that holds the Task (such as a connection)
// controls its lifetime. A Waiter belongs to one descriptor, or to none, and at most one coroutine waits on
// it. start() runs a coroutine up to its first wait, on the caller's stack; after that only Scheduler::run()
// resumes it, never another coroutine. signal() puts a waiter into the ready queue, so resumption does not
// recurse and no wake-up is lost.
//
// Destruction: a suspended coroutine whose Task is destroyed is removed from its waiter first and is never
// resumed. A destroyed waiter is removed from epoll, the timers and the ready queue; events for it that were
// already fetched carry an older generation of its slot and are ignored, even if the descriptor number has
// been reused. A coroutine that waits on a destroyed waiter stays suspended until its Task is destroyed. A
// scheduler must outlive its waiters. An object that has to be destroyed while its own code is on the stack
// is destroyed through defer(), at the end of the round.
//
// Time: now() stands still during a round, so that no deadline passes before the input that came until then
// has been read, even if the process is suspended (SIGSTOP, a busy machine) at any place. A round polls
// first; closes go before other input, input before signals, and timers come last.
#pragma once

#include <coroutine>
#include <cstdint>
#include <deque>
#include <exception>
#include <functional>
#include <set>
#include <utility>
#include <vector>

#include "net/socket.hpp"

namespace pinedoor::net {

// Time in units of 0.1 ms since the Unix epoch, by a monotonic clock that is set to the wall clock at start.
using Moment = std::int64_t;
constexpr Moment kNever = INT64_MAX;

// The wall clock in the same unit. It may be stepped, so it serves only to compute the age of timestamps that
// other processes wrote.
Moment wall_clock();

// Owns a coroutine, which is suspended until start(). Destroying the Task destroys the coroutine.
class Task {
public:
    struct promise_type {
        std::exception_ptr failure;
        std::function<void(std::exception_ptr)> ended;

        Task get_return_object() { return Task(std::coroutine_handle<promise_type>::from_promise(*this)); }
        std::suspend_always initial_suspend() noexcept { return {}; }
        auto final_suspend() noexcept {
            struct Last {
                bool await_ready() noexcept { return false; }
                void await_suspend(std::coroutine_handle<promise_type> handle) noexcept {
                    auto& promise = handle.promise();
                    if (promise.ended) promise.ended(promise.failure);
                }
                void await_resume() noexcept {}
            };
            return Last{};
        }
        void return_void() {}
        void unhandled_exception() { failure = std::current_exception(); }
    };

    Task() = default;
    Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, nullptr)) {}
    Task& operator=(Task&& other) noexcept {
        std::swap(handle_, other.handle_);
        return *this;
    }
    ~Task() {
        if (handle_) handle_.destroy();
    }

    // Runs the coroutine up to its first wait. `ended` is called once when it finishes, with the exception
    // that it threw or null; `ended` must not destroy the Task.
    void start(std::function<void(std::exception_ptr)> ended) {
        handle_.promise().ended = std::move(ended);
        handle_.resume();
    }
    bool done() const { return !handle_ || handle_.done(); }

private:
    explicit Task(std::coroutine_handle<promise_type> handle) : handle_(handle) {}
    std::coroutine_handle<promise_type> handle_;
};

class Scheduler;

// Readiness events of a descriptor, combined as bits. kClosed: the peer closed its end, or an error occurred.
enum Interest : unsigned { kRead = 1, kWrite = 2, kClosed = 4 };

// Lets a coroutine wait for readiness of a descriptor, for signal() or for a timeout. Without a descriptor
// (-1) only the latter two apply.
class Waiter {
public:
    explicit Waiter(Scheduler& scheduler, int fd = -1);
    ~Waiter();
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;

    // Awaitable returned by wait().
    class Wait {
    public:
        Wait(Waiter& waiter, unsigned interest, Moment until)
            : waiter_(&waiter), interest_(interest), until_(until) {}
        Wait(const Wait&) = delete;
        Wait& operator=(const Wait&) = delete;
        ~Wait();
        // Always suspends, so that a coroutine whose event is already due cannot starve the others.
        bool await_ready() const { return false; }
        void await_suspend(std::coroutine_handle<> handle);
        void await_resume() { waiter_->signalled_ = false; }

    private:
        friend class Waiter;
        friend class Scheduler;
        Waiter* waiter_;
        unsigned interest_;
        Moment until_;
        std::coroutine_handle<> handle_;
    };

    // Waits until an event in `interest` is ready, signal() has been called since the last wait, or the time
    // is `until`.
    Wait wait(unsigned interest, Moment until = kNever) { return {*this, interest, until}; }
    // Waits until all coroutines that are ready have had their turn, for one that could go on at once but has
    // done its share of work. Those that yield share what is left of each round.
    Wait yield() { return {*this, kYield, kNever}; }
    // Waits for the next round: what came until then goes first.
    Wait next_round() {
        signalled_ = true;
        return {*this, 0, kNever};
    }
    // Ends the current wait, or the next one if there is none. Repeated calls before that have the effect of
    // one.
    void signal();

    // Whether epoll has reported the event and no call has returned EAGAIN since (edge-triggered readiness).
    bool may(Interest what) const { return (state_ & what) != 0; }
    // Clears the event after a call that returned EAGAIN.
    void used_up(Interest what) { state_ &= ~static_cast<unsigned>(what); }

private:
    friend class Scheduler;
    static constexpr unsigned kYield = 8;  // as interest of a wait: none but its turn among those that yield

    bool due(unsigned interest) const { return signalled_ || (state_ & interest) != 0; }
    // Queues the coroutine that waits here if its wait has ended; `goes_first`: ahead of all that are queued.
    void check(bool goes_first = false);

    Scheduler& scheduler_;
    const int fd_;
    std::uint32_t slot_ = 0;
    unsigned state_ = 0;
    bool signalled_ = false;
    bool queued_ = false;
    Wait* waiting_ = nullptr;
};

// The event loop: polls epoll and resumes the coroutines whose waits have ended.
class Scheduler {
public:
    Scheduler();
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    // Within run() the time of the current round, else that of clock(). Whether a deadline has passed is
    // judged by it; a span that begins, or what was read or written last, is dated by clock(), so that the
    // span is not over early if the process was suspended since the round began.
    Moment now() const { return round_time_ != kNever ? round_time_ : clock(); }
    // The present time.
    Moment clock() const;
    // Whether the current round began too long ago to act on what was read in it: next_round() is due first.
    // Whoever waits for that goes on afterwards in any case, since on a busy machine each round may be long.
    bool is_held_up() const { return clock() - now() >= kHeldUp; }
    // Runs rounds until `until`, which is called before each, returns true.
    void run(const std::function<bool()>& until);
    // Runs `action` at the end of the current round, outside all coroutines.
    void defer(std::function<void()> action) { deferred_.push_back(std::move(action)); }
    // The longest round so far, without the wait in epoll.
    Moment longest_round() const { return longest_round_; }

private:
    friend class Waiter;
    struct Slot {
        Waiter* waiter = nullptr;
        std::uint32_t generation = 0;
    };

    using ReadyQueue = std::deque<std::pair<std::uint32_t, std::uint32_t>>;  // slot and generation

    static constexpr Moment kHeldUp = 200;  // 20 ms

    // Polls until what has come is fetched, and sets the time of the round.
    void begin_round();
    void fetch_events(Moment until);
    // Returns how many events it fetched.
    std::size_t poll(Moment until);
    void signal_due_timers();
    void resume_ready();
    // Resumes coroutines that yielded, until their share of the round is used up.
    void resume_yielded();
    void resume_first(ReadyQueue& queue);
    void run_deferred();

    const Fd epoll_;
    const Moment wall_at_start_;
    const std::int64_t steady_at_start_;
    std::vector<Slot> slots_;
    std::vector<std::uint32_t> free_slots_;
    ReadyQueue ready_;
    ReadyQueue signalled_;  // while a round begins: what was ready before it
    ReadyQueue yielded_;
    std::set<std::pair<Moment, Waiter*>> timers_;
    std::vector<std::function<void()>> deferred_;
    Moment round_time_ = kNever;  // kNever: outside run()
    Moment longest_round_ = 0;
};

}  // namespace pinedoor::net
