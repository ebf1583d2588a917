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

void Waiter::check() {
    if (waiting_ == nullptr || queued_ || !due(waiting_->interest_)) return;
    queued_ = true;
    scheduler_.ready_.emplace_back(slot_, scheduler_.slots_[slot_].generation);
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

Moment Scheduler::now() const {
    return wall_at_start_ + (steady_clock_nanos() - steady_at_start_) / kNanosecondsPerTick;
}

void Scheduler::run(const std::function<bool()>& until) {
    while (!until()) {
        Moment next = timers_.empty() ? kNever : timers_.begin()->first;
        if (!ready_.empty() || !yielded_.empty() || !deferred_.empty()) next = 0;
        poll(next);
        const Moment round_start = now();
        // The process may have been suspended since: what arrived meanwhile goes before the timers.
        if (!timers_.empty() && timers_.begin()->first <= round_start) poll(0);
        while (!timers_.empty() && timers_.begin()->first <= round_start) {
            auto* waiter = timers_.begin()->second;
            timers_.erase(timers_.begin());
            waiter->signal();
        }
        resume_ready();
        resume_yielded();
        run_deferred();
        longest_round_ = std::max(longest_round_, now() - round_start);
    }
}

void Scheduler::poll(Moment until) {
    std::array<epoll_event, 256> events{};
    timespec timeout{};
    timespec* limit = nullptr;
    if (until != kNever) {
        const auto nanos = std::max<std::int64_t>(0, until - now()) * kNanosecondsPerTick;
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
        if ((event.events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) slot.waiter->state_ |= kRead;
        if ((event.events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) != 0) slot.waiter->state_ |= kWrite;
        if ((event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) slot.waiter->state_ |= kClosed;
        slot.waiter->check();
    }
}

void Scheduler::resume_ready() {
    // Handles only the waiters that are queued now: a coroutine that signals itself must not delay the poll.
    for (auto remaining = ready_.size(); remaining > 0; --remaining) resume_first(ready_);
}

void Scheduler::resume_yielded() {
    if (yielded_.empty()) return;
    const Moment share_ends = now() + kYieldedShare;
    for (auto remaining = yielded_.size(); remaining > 0; --remaining) {
        resume_first(yielded_);
        if (now() >= share_ends) return;
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
