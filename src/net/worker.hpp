// A thread for what blocks: jobs go there in order, and their ends come back to the scheduler's thread.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "net/scheduler.hpp"

namespace pinedoor::net {

class Worker {
public:
    // At most `most` jobs may be queued, the one that runs not counted.
    Worker(Scheduler& scheduler, std::size_t most);
    // Waits for the job that runs; those queued are dropped, and none of their ends is told.
    ~Worker();
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    // `job` runs on the thread and must not throw; `ended` runs on the scheduler's, from its loop. False: the
    // queue is full, and neither runs.
    bool submit(std::function<void()> job, std::function<void()> ended);

private:
    struct Work {
        std::function<void()> job;
        std::function<void()> ended;
    };

    void run();
    Task heed();

    const std::size_t most_;
    const Fd told_;  // an eventfd: something has ended
    std::mutex mutex_;
    std::condition_variable has_work_;
    std::deque<Work> queued_;
    std::deque<std::function<void()>> ended_;
    bool stopping_ = false;
    Waiter waiter_;
    std::thread thread_;
    Task task_;  // last: goes first
};

}  // namespace pinedoor::net
