// RAII descriptors and functions for non-blocking IPv4 TCP sockets.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace pinedoor::net {

// Owns a file descriptor and closes it on destruction.
class Fd {
public:
    Fd() = default;
    explicit Fd(int fd) : fd_(fd) {}
    Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Fd& operator=(Fd&& other) noexcept {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~Fd();
    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }

private:
    int fd_ = -1;
};

// An IPv4 address and a TCP port, both in host byte order.
struct Endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    auto operator<=>(const Endpoint&) const = default;
};

// Parses "127.0.0.1:7070". Host names and port 0 are rejected.
std::optional<Endpoint> parse_endpoint(std::string_view text);
std::string to_text(Endpoint endpoint);

// Opens a listening socket; throws std::system_error.
Fd listen_on(Endpoint endpoint);
// Starts a connect. Returns the socket, or an empty Fd and the errno if the connect failed at once. A
// connection to itself (TCP simultaneous open) is rejected with ECONNREFUSED.
std::pair<Fd, int> connect_to(Endpoint endpoint);
// Whether a connect failed because of this host (resource limits, no route), so that the error says nothing
// about the other end.
bool is_local_failure(int error);
// The result of a connect that was in progress; 0 means that it is established.
int socket_error(const Fd& fd);
// Accepts a connection, or returns an empty Fd and the errno.
std::pair<Fd, int> accept_from(const Fd& listener);
// Whether a read would return at once; for a listener, whether a connection waits to be accepted.
bool is_readable(int fd);
// Shuts down the sending side.
void shutdown_write(const Fd& fd);

}  // namespace pinedoor::net
