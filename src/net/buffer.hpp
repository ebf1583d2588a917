// Receive buffer of one connection: bytes that were received and not consumed yet.
#pragma once

#include <cstddef>
#include <cstring>
#include <span>
#include <string_view>
#include <vector>

namespace pinedoor::net {

// A growing byte buffer. Bytes are appended through room() and filled(), and removed from the front by
// drop(). Spans and views are valid until the next call of a non-const function.
class Buffer {
public:
    // The bytes that were received and not consumed.
    std::string_view held() const { return {bytes_.data() + begin_, end_ - begin_}; }
    bool empty() const { return begin_ == end_; }
    // Memory that it takes, in bytes.
    std::size_t capacity() const { return bytes_.capacity(); }

    // Bytes by which the next call of room() makes it larger.
    std::size_t growth() const {
        if (bytes_.size() - end_ + begin_ >= kMinFreeBytes) return 0;
        return bytes_.empty() ? kInitialBytes : bytes_.size();
    }

    // Consumes `count` bytes from the front.
    void drop(std::size_t count) {
        begin_ += count;
        if (begin_ != end_) return;
        begin_ = end_ = 0;
        if (bytes_.size() > kInitialBytes) std::vector<char>().swap(bytes_);  // idle connections stay small
    }

    // Returns at least kMinFreeBytes of writable space behind the held bytes; compacts or grows the buffer.
    std::span<char> room() {
        if (begin_ > 0 && bytes_.size() - end_ < kMinFreeBytes) {
            std::memmove(bytes_.data(), bytes_.data() + begin_, end_ - begin_);
            end_ -= begin_;
            begin_ = 0;
        }
        if (bytes_.size() - end_ < kMinFreeBytes)
            bytes_.resize(bytes_.empty() ? kInitialBytes : bytes_.size() * 2);
        return {bytes_.data() + end_, bytes_.size() - end_};
    }
    // Appends the first `count` bytes of the space returned by room().
    void filled(std::size_t count) { end_ += count; }

private:
    static constexpr std::size_t kInitialBytes = 4096;
    static constexpr std::size_t kMinFreeBytes = 1024;

    std::vector<char> bytes_;
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
};

}  // namespace pinedoor::net
