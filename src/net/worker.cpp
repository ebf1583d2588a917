#include "net/worker.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace pinedoor::net {
namespace {

Fd make_event_fd() {
    Fd fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (!fd) throw std::system_error(errno, std::generic_category(), "eventfd");
    return fd;
}

}  // namespace

Worker::Worker(Scheduler& scheduler, std::size_t max_queued)
    : max_queued_(max_queued), event_fd_(make_event_fd()), waiter_(scheduler, event_fd_.get()) {
    // The scheduler's thread handles signals, so the worker thread starts with all of them blocked.
    sigset_t all, previous;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &previous);
    thread_ = std::thread([this] { run(); });
    pthread_sigmask(SIG_SETMASK, &previous, nullptr);
    completion_task_ = run_callbacks();
    completion_task_.start({});
}

Worker::~Worker() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    work_available_.notify_one();
    thread_.join();
}

bool Worker::submit(std::function<void()> job, std::function<void()> on_complete) {
    {
        const std::lock_guard lock(mutex_);
        if (queue_.size() >= max_queued_) return false;
        queue_.push_back({std::move(job), std::move(on_complete)});
    }
    work_available_.notify_one();
    return true;
}

void Worker::run() {
    for (std::unique_lock lock(mutex_);;) {
        work_available_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
        if (stopping_) return;
        auto work = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        work.job();
        lock.lock();
        completed_.push_back(std::move(work.on_complete));
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = write(event_fd_.get(), &one, sizeof one);
    }
}

Task Worker::run_callbacks() {
    for (;;) {
        co_await waiter_.wait(kRead);
        std::uint64_t count = 0;
        [[maybe_unused]] const auto taken = read(event_fd_.get(), &count, sizeof count);
        waiter_.used_up(kRead);
        std::deque<std::function<void()>> completed;
        {
            const std::lock_guard lock(mutex_);
            completed.swap(completed_);
        }
        for (const auto& callback : completed) callback();
    }
}

}  // namespace pinedoor::net
