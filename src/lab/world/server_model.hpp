// The queueing model of an index server: cores that process one part each, and a bounded FIFO queue. It has
// no clock: the caller reports arrivals and completions and learns which part starts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace pinedoor::lab {

using Job = std::uint32_t;

class ServerModel {
public:
    ServerModel(int cores, int queue) : cores_(cores), queue_capacity_(static_cast<std::size_t>(queue)) {}

    // Accepts a part for processing: it starts on a free core, is queued, or is rejected because the queue is
    // full.
    enum class Taken { kBegun, kQueued, kFull };
    Taken offer(Job job) {
        if (busy_ < cores_) return ++busy_, Taken::kBegun;
        if (queue_.size() >= queue_capacity_) return Taken::kFull;
        queue_.push_back(job);
        return Taken::kQueued;
    }
    // A core has finished a part; returns the queued part that starts on it, if there is one.
    std::optional<Job> ended() {
        if (queue_.empty()) return --busy_, std::nullopt;
        const auto next = queue_.front();
        queue_.pop_front();
        return next;
    }
    // Removes a queued part; returns false for a part that has started or is unknown.
    bool call_off(Job job) {
        for (auto it = queue_.begin(); it != queue_.end(); ++it) {
            if (*it == job) return queue_.erase(it), true;
        }
        return false;
    }
    // Empties the server after a crash; returns the parts that were queued.
    std::deque<Job> clear() {
        busy_ = 0;
        return std::exchange(queue_, {});
    }
    // The number of parts queued or being processed.
    std::size_t held() const { return queue_.size() + static_cast<std::size_t>(busy_); }
    int busy() const { return busy_; }

private:
    const int cores_;
    const std::size_t queue_capacity_;
    int busy_ = 0;
    std::deque<Job> queue_;
};

}  // namespace pinedoor::lab
