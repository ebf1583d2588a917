// One connection: its descriptor, its waiter and its buffer.
#pragma once

#include <string_view>

#include "net/buffer.hpp"
#include "net/scheduler.hpp"
#include "net/socket.hpp"

namespace pinedoor::net {

class Stream {
public:
    enum class Got { kBytes, kNothing, kEnd, kBroken };

    Stream(Scheduler& scheduler, Fd fd) : fd_(std::move(fd)), waiter_(scheduler, fd_.get()) {}

    Got read();  // once, into the buffer; kNothing: wait for kRead
    // What was taken of the bytes; less than all: wait for kWrite. broken() tells if the connection is.
    std::size_t write(std::string_view bytes);
    bool broken() const { return broken_; }

    Buffer& buffer() { return buffer_; }
    Waiter& waiter() { return waiter_; }
    const Fd& fd() const { return fd_; }

private:
    Fd fd_;
    Waiter waiter_;
    Buffer buffer_;
    bool broken_ = false;
};

}  // namespace pinedoor::net
