#include "net/worker.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace pinedoor::net {
namespace {

Fd event_fd() {
    Fd fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (!fd) throw std::system_error(errno, std::generic_category(), "eventfd");
    return fd;
}

}  // namespace

Worker::Worker(Scheduler& scheduler, std::size_t most)
    : most_(most), told_(event_fd()), waiter_(scheduler, told_.get()) {
    // The scheduler's thread handles signals, so the worker thread starts with all of them blocked.
    sigset_t all, before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    thread_ = std::thread([this] { run(); });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    task_ = heed();
    task_.start({});
}

Worker::~Worker() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    has_work_.notify_one();
    thread_.join();
}

bool Worker::submit(std::function<void()> job, std::function<void()> ended) {
    {
        const std::lock_guard lock(mutex_);
        if (queued_.size() >= most_) return false;
        queued_.push_back({std::move(job), std::move(ended)});
    }
    has_work_.notify_one();
    return true;
}

void Worker::run() {
    for (std::unique_lock lock(mutex_);;) {
        has_work_.wait(lock, [this] { return stopping_ || !queued_.empty(); });
        if (stopping_) return;
        auto work = std::move(queued_.front());
        queued_.pop_front();
        lock.unlock();
        work.job();
        lock.lock();
        ended_.push_back(std::move(work.ended));
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = write(told_.get(), &one, sizeof one);
    }
}

Task Worker::heed() {
    for (;;) {
        co_await waiter_.wait(kRead);
        std::uint64_t count = 0;
        [[maybe_unused]] const auto taken = read(told_.get(), &count, sizeof count);
        waiter_.used_up(kRead);
        std::deque<std::function<void()>> ended;
        {
            const std::lock_guard lock(mutex_);
            ended.swap(ended_);
        }
        for (const auto& each : ended) each();
    }
}

}  // namespace pinedoor::net
