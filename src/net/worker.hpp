// A thread for blocking work. Jobs run on it in order; their completion callbacks run on the scheduler's
// thread.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "net/scheduler.hpp"

namespace pinedoor::net {

// One worker thread with a bounded job queue.
class Worker {
public:
    // At most `max_queued` jobs may be queued, not counting the one that runs.
    Worker(Scheduler& scheduler, std::size_t most);
    // Waits for the job that runs. Queued jobs are dropped, and no more completion callbacks are called.
    ~Worker();
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    // `job` runs on the worker thread and must not throw; `on_complete` then runs on the scheduler's thread,
    // from its loop. Returns false if the queue is full; then neither runs.
    bool submit(std::function<void()> job, std::function<void()> ended);

private:
    struct Work {
        std::function<void()> job;
        std::function<void()> ended;
    };

    void run();
    Task heed();

    const std::size_t most_;
    const Fd told_;  // signalled when a job has completed
    std::mutex mutex_;
    std::condition_variable has_work_;
    std::deque<Work> queued_;
    std::deque<std::function<void()>> ended_;
    bool stopping_ = false;
    Waiter waiter_;
    std::thread thread_;
    Task task_;  // destroyed first, since it waits on waiter_
};

}  // namespace pinedoor::net
