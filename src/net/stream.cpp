#include "net/stream.hpp"

#include <cerrno>

#include "net/system_calls.hpp"

namespace pinedoor::net {

Stream::Got Stream::read() {
    const auto room = buffer_.room();
    for (;;) {
        const auto count = system_calls::receive(fd_.get(), room.data(), room.size());
        if (count > 0) {
            buffer_.filled(static_cast<std::size_t>(count));
            return Got::kBytes;
        }
        if (count == 0) return Got::kEnd;
        if (errno == EINTR) continue;
        if (errno == EAGAIN) {
            waiter_.used_up(kRead);
            return Got::kNothing;
        }
        broken_ = true;
        return Got::kBroken;
    }
}

std::size_t Stream::write(std::string_view bytes) {
    std::size_t written = 0;
    while (written < bytes.size()) {
        const auto count = system_calls::transmit(fd_.get(), bytes.data() + written, bytes.size() - written);
        if (count >= 0) {
            written += static_cast<std::size_t>(count);
        } else if (errno == EAGAIN) {
            waiter_.used_up(kWrite);
            break;
        } else if (errno != EINTR) {
            broken_ = true;
            break;
        }
    }
    return written;
}

}  // namespace pinedoor::net
