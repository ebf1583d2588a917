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
    Worker(Scheduler& scheduler, std::size_t max_queued);
    // Waits for the job that runs. Queued jobs are dropped, and no more completion callbacks are called.
    ~Worker();
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    // `job` runs on the worker thread and must not throw; `on_complete` then runs on the scheduler's thread,
    // from its loop. Returns false if the queue is full; then neither runs.
    bool submit(std::function<void()> job, std::function<void()> on_complete);

private:
    struct Job {
        std::function<void()> job;
        std::function<void()> on_complete;
    };

    void run();
    Task run_callbacks();

    const std::size_t max_queued_;
    const Fd event_fd_;  // signalled when a job has completed
    std::mutex mutex_;
    std::condition_variable work_available_;
    std::deque<Job> queue_;
    std::deque<std::function<void()>> completed_;
    bool stopping_ = false;
    Waiter waiter_;
    std::thread thread_;
    Task completion_task_;  // destroyed first, since it waits on waiter_
};

}  // namespace pinedoor::net
