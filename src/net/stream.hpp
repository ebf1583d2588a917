// A connection: its descriptor, its waiter and its receive buffer.
#pragma once

#include <string_view>

#include "net/buffer.hpp"
#include "net/scheduler.hpp"
#include "net/socket.hpp"

namespace pinedoor::net {

// Non-blocking byte stream over a connected socket.
class Stream {
public:
    // The result of a read: bytes were received, none are available, the peer has finished sending, or an
    // error.
    enum class Got { kBytes, kNothing, kEnd, kBroken };

    Stream(Scheduler& scheduler, Fd fd) : fd_(std::move(fd)), waiter_(scheduler, fd_.get()) {}

    // Reads once into the buffer. After kNothing the caller waits for kRead.
    Got read();
    // Returns how many bytes the kernel accepted. If fewer than all, the caller waits for kWrite, unless the
    // connection is broken().
    std::size_t write(std::string_view bytes);
    // A read or write has failed with an error other than EAGAIN.
    bool broken() const { return broken_; }

    Buffer& buffer() { return buffer_; }
    const Buffer& buffer() const { return buffer_; }
    Waiter& waiter() { return waiter_; }
    const Fd& fd() const { return fd_; }

private:
    Fd fd_;
    Waiter waiter_;
    Buffer buffer_;
    bool broken_ = false;
};

}  // namespace pinedoor::net
