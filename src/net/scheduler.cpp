#include "net/scheduler.hpp"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <system_error>

#include "net/system_calls.hpp"

namespace pinedoor::net {
namespace {

constexpr std::int64_t kNanosecondsPerTick = 100'000;
// Time in each round for coroutines that yielded, 1 ms; the first of them is resumed in any case.
constexpr Moment kYieldedShare = 10;
constexpr std::size_t kEventsPerPoll = 256;
constexpr int kMaxPolls = 4;  // at the beginning of a round; on a busy machine each may be held up

std::int64_t steady_clock_nanos() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

Moment wall_clock_ticks() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count() /
           100;
}

}  // namespace

Waiter::Waiter(Scheduler& scheduler, int fd) : scheduler_(scheduler), fd_(fd) {
    auto& slots = scheduler_.slots_;
    if (scheduler_.free_slots_.empty()) {
        slots.emplace_back();
        scheduler_.free_slots_.reserve(slots.capacity());  // so that the destructor's push_back cannot throw
        slot_ = static_cast<std::uint32_t>(slots.size() - 1);
    } else {
        slot_ = scheduler_.free_slots_.back();
        scheduler_.free_slots_.pop_back();
    }
    slots[slot_].waiter = this;
    if (fd_ < 0) return;
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.u64 = (std::uint64_t{slots[slot_].generation} << 32U) | slot_;
    if (system_calls::add_to_epoll(scheduler_.epoll_.get(), fd_, &event) != 0) {
        const int error = errno;
        slots[slot_].waiter = nullptr;
        scheduler_.free_slots_.push_back(slot_);
        throw std::system_error(error, std::generic_category(), "epoll_ctl");
    }
}

Waiter::~Waiter() {
    if (waiting_ != nullptr) {
        scheduler_.timers_.erase({waiting_->until_, this});
        waiting_->waiter_ = nullptr;
    }
    auto& slot = scheduler_.slots_[slot_];
    slot.waiter = nullptr;
    ++slot.generation;
    scheduler_.free_slots_.push_back(slot_);
    if (fd_ >= 0) epoll_ctl(scheduler_.epoll_.get(), EPOLL_CTL_DEL, fd_, nullptr);
}

void Waiter::signal() {
    signalled_ = true;
    check();
}

void Waiter::check(bool goes_first) {
    if (waiting_ == nullptr || queued_ || !due(waiting_->interest_)) return;
    queued_ = true;
    const std::pair entry{slot_, scheduler_.slots_[slot_].generation};
    if (goes_first)
        scheduler_.ready_.push_front(entry);
    else
        scheduler_.ready_.push_back(entry);
}

void Waiter::Wait::await_suspend(std::coroutine_handle<> handle) {
    handle_ = handle;
    waiter_->waiting_ = this;
    if (interest_ == Waiter::kYield) {
        waiter_->queued_ = true;
        auto& scheduler = waiter_->scheduler_;
        scheduler.yielded_.emplace_back(waiter_->slot_, scheduler.slots_[waiter_->slot_].generation);
        return;
    }
    if (until_ != kNever) waiter_->scheduler_.timers_.emplace(until_, waiter_);
    waiter_->check();
}

Waiter::Wait::~Wait() {
    if (waiter_ == nullptr || waiter_->waiting_ != this) return;
    waiter_->waiting_ = nullptr;
    waiter_->scheduler_.timers_.erase({until_, waiter_});
}

Scheduler::Scheduler()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)), wall_at_start_(wall_clock_ticks()),
      steady_at_start_(steady_clock_nanos()) {
    if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

Moment wall_clock() { return wall_clock_ticks(); }

Moment Scheduler::clock() const {
    return wall_at_start_ + (steady_clock_nanos() - steady_at_start_) / kNanosecondsPerTick;
}

void Scheduler::run(const std::function<bool()>& until) {
    while (!until()) {
        begin_round();
        signal_due_timers();
        resume_ready();
        resume_yielded();
        run_deferred();
        longest_round_ = std::max(longest_round_, clock() - round_time_);
    }
    round_time_ = kNever;
}

void Scheduler::begin_round() {
    Moment next = timers_.empty() ? kNever : timers_.begin()->first;
    if (!ready_.empty() || !yielded_.empty() || !deferred_.empty()) next = 0;
    signalled_.swap(ready_);
    Moment polled_at = 0;
    int polls = 0;
    do {
        polled_at = clock();
        fetch_events(next);
        round_time_ = clock();
        next = 0;
        // A long wait and a suspension after it look alike.
    } while (round_time_ - polled_at >= kHeldUp && ++polls < kMaxPolls);
    const bool is_timer_due = !timers_.empty() && timers_.begin()->first <= round_time_;
    if (is_timer_due && timers_.begin()->first > polled_at) fetch_events(0);
    ready_.insert(ready_.end(), signalled_.begin(), signalled_.end());
    signalled_.clear();
}

void Scheduler::fetch_events(Moment until) {
    for (auto polls = slots_.size() / kEventsPerPoll + 1; polls > 0; --polls) {
        if (poll(until) < kEventsPerPoll) return;
        until = 0;
    }
}

std::size_t Scheduler::poll(Moment until) {
    std::array<epoll_event, kEventsPerPoll> events{};
    timespec timeout{};
    timespec* limit = nullptr;
    if (until != kNever) {
        const auto nanos = std::max<std::int64_t>(0, until - clock()) * kNanosecondsPerTick;
        timeout = {nanos / 1'000'000'000, nanos % 1'000'000'000};
        limit = &timeout;
    }
    const int count =
        system_calls::wait_on_epoll(epoll_.get(), events.data(), static_cast<int>(events.size()), limit);
    if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_pwait2");
    for (int i = 0; i < count; ++i) {
        const auto& event = events[static_cast<std::size_t>(i)];
        const auto& slot = slots_[event.data.u64 & 0xffff'ffffU];
        // Ignores an event that was fetched for a waiter that has been destroyed since.
        if (slot.waiter == nullptr || slot.generation != event.data.u64 >> 32U) continue;
        const bool is_closed = (event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
        if (is_closed || (event.events & EPOLLIN) != 0) slot.waiter->state_ |= kRead;
        if ((event.events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) != 0) slot.waiter->state_ |= kWrite;
        if (is_closed) slot.waiter->state_ |= kClosed;
        slot.waiter->check(is_closed);
    }
    return static_cast<std::size_t>(std::max(0, count));
}

void Scheduler::signal_due_timers() {
    while (!timers_.empty() && timers_.begin()->first <= round_time_) {
        auto* waiter = timers_.begin()->second;
        timers_.erase(timers_.begin());
        waiter->signal();
    }
}

void Scheduler::resume_ready() {
    // Handles only the waiters that are queued now: a coroutine that signals itself must not delay the poll.
    for (auto remaining = ready_.size(); remaining > 0; --remaining) resume_first(ready_);
}

void Scheduler::resume_yielded() {
    if (yielded_.empty()) return;
    const Moment share_ends = clock() + kYieldedShare;
    for (auto remaining = yielded_.size(); remaining > 0; --remaining) {
        resume_first(yielded_);
        if (clock() >= share_ends) return;
    }
}

void Scheduler::resume_first(ReadyQueue& queue) {
    const auto [index, generation] = queue.front();
    queue.pop_front();
    auto* waiter = slots_[index].waiter;
    if (waiter == nullptr || slots_[index].generation != generation) return;
    waiter->queued_ = false;
    auto* wait = std::exchange(waiter->waiting_, nullptr);
    if (wait == nullptr) return;
    timers_.erase({wait->until_, waiter});
    wait->handle_.resume();
}

void Scheduler::run_deferred() {
    for (const auto& action : std::exchange(deferred_, {})) action();
}

}  // namespace pinedoor::net
