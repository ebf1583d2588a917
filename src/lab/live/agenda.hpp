// Timers of a socket-based run: callbacks that run at their time, in order, on the scheduler's thread.
#pragma once

#include <algorithm>
#include <exception>
#include <functional>
#include <map>

#include "net/scheduler.hpp"

namespace pinedoor::lab {

class TimerQueue {
public:
    explicit TimerQueue(net::Scheduler& scheduler) : scheduler_(scheduler), waiter_(scheduler) {
        task_ = run();
        task_.start([this](std::exception_ptr failure) {
            if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
        });
    }
    net::Moment now() const { return scheduler_.clock(); }
    void run_at(net::Moment when, std::function<void()> callback) {
        const bool first = queue_.empty() || when < queue_.begin()->first;
        queue_.emplace(when, std::move(callback));
        if (first) waiter_.signal();
    }
    // The total time, in ticks, during which a callback was overdue because the event loop or its thread was
    // busy.
    net::Moment late() const { return late_time_; }

private:
    net::Task run() {
        constexpr int kMaxPerTurn = 256;  // then the sockets are served
        constexpr net::Moment kLateAfter = 200;
        for (;;) {
            for (int done = 0; done < kMaxPerTurn && !queue_.empty() && queue_.begin()->first <= now();
                 ++done) {
                const auto due = queue_.begin()->first;
                const auto callback = std::move(queue_.begin()->second);
                queue_.erase(queue_.begin());
                if (now() - due > kLateAfter) late_time_ += now() - std::max(due, counted_until_);
                counted_until_ = now();
                callback();
            }
            co_await waiter_.wait(0, queue_.empty() ? net::kNever : queue_.begin()->first);
        }
    }

    net::Scheduler& scheduler_;
    std::multimap<net::Moment, std::function<void()>> queue_;
    net::Moment late_time_ = 0, counted_until_ = 0;
    net::Waiter waiter_;
    net::Task task_;  // declared last, so destroyed first
};

}  // namespace pinedoor::lab
