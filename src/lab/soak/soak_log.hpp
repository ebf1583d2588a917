// The observations of a soak run: lines as the checker reads them, written by several threads.
#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

#include "lab/soak/soak_plan.hpp"
#include "net/scheduler.hpp"

namespace pinedoor::lab {

class SoakLog {
public:
    SoakLog(const net::Scheduler& scheduler, std::function<void(const std::string&)> sink)
        : scheduler_(scheduler), start_(scheduler.clock()), sink_(std::move(sink)) {}

    SoakMs now() const { return (scheduler_.clock() - start_) / 10; }
    net::Moment moment_of(SoakMs time) const { return start_ + time * 10; }
    void write(const std::string& entry) {
        const std::lock_guard lock(mutex_);
        sink_(std::to_string(now()) + ' ' + entry);
    }

private:
    const net::Scheduler& scheduler_;
    const net::Moment start_;
    const std::function<void(const std::string&)> sink_;
    std::mutex mutex_;
};

}  // namespace pinedoor::lab
