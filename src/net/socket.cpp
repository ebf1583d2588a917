#include "net/socket.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <system_error>

#include "net/system_calls.hpp"

namespace pinedoor::net {
namespace {

sockaddr_in to_sockaddr(Endpoint endpoint) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.address);
    return address;
}

void set_option(const Fd& fd, int level, int name) {
    const int on = 1;
    setsockopt(fd.get(), level, name, &on, sizeof on);
}

// The kernel picks a free local port for an outgoing connection. If the destination is a port of this host on
// which no socket listens, it may pick that very port, and TCP then connects the socket to itself.
bool is_self_connection(const Fd& fd, const sockaddr_in& destination) {
    sockaddr_in local{};
    socklen_t size = sizeof local;
    return getsockname(fd.get(), reinterpret_cast<sockaddr*>(&local), &size) == 0 &&
           local.sin_port == destination.sin_port && local.sin_addr.s_addr == destination.sin_addr.s_addr;
}

Fd open_socket() { return Fd(system_calls::open_socket(AF_INET, SOCK_STREAM)); }

}  // namespace

Fd::~Fd() {
    if (fd_ >= 0) close(fd_);
}

std::optional<Endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    const std::string host(text.substr(0, colon));
    const auto port_text = text.substr(colon + 1);
    in_addr address{};
    Endpoint endpoint;
    const auto [end, error] = std::from_chars(port_text.begin(), port_text.end(), endpoint.port);
    if (error != std::errc{} || end != port_text.end() || endpoint.port == 0) return std::nullopt;
    if (inet_pton(AF_INET, host.c_str(), &address) != 1) return std::nullopt;
    endpoint.address = ntohl(address.s_addr);
    return endpoint;
}

std::string to_text(Endpoint endpoint) {
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string((endpoint.address >> shift) & 0xffU) + (shift > 0 ? "." : ":");
    }
    return text + std::to_string(endpoint.port);
}

Fd listen_on(Endpoint endpoint) {
    Fd fd = open_socket();
    const auto fail = [&] {
        return std::system_error(errno, std::generic_category(), "listen on " + to_text(endpoint));
    };
    if (!fd) throw fail();
    set_option(fd, SOL_SOCKET, SO_REUSEADDR);  // allows a restart while old connections are in TIME_WAIT
    const auto address = to_sockaddr(endpoint);
    if (bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) throw fail();
    if (listen(fd.get(), SOMAXCONN) != 0) throw fail();
    return fd;
}

std::pair<Fd, int> connect_to(Endpoint endpoint) {
    Fd fd = open_socket();
    if (!fd) return {Fd{}, errno};
    set_option(fd, IPPROTO_TCP, TCP_NODELAY);
    const auto address = to_sockaddr(endpoint);
    const int done =
        system_calls::connect_socket(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
    // A connect that a signal interrupts continues asynchronously (POSIX, connect).
    if (done != 0 && errno != EINPROGRESS && errno != EINTR) return {Fd{}, errno};
    if (is_self_connection(fd, address)) return {Fd{}, ECONNREFUSED};
    return {std::move(fd), 0};
}

bool is_local_failure(int error) {
    switch (error) {
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case ENOSPC:
        case EADDRINUSE:
        case EADDRNOTAVAIL:
        case EAGAIN:
        case EPERM:
        case ENETDOWN:
        case ENETUNREACH: return true;
        default: return false;
    }
}

int socket_error(const Fd& fd) {
    int error = 0;
    if (system_calls::pending_error(fd.get(), &error) != 0) return errno;
    return error;
}

std::pair<Fd, int> accept_from(const Fd& listener) {
    for (;;) {
        Fd fd(system_calls::accept_socket(listener.get()));
        if (!fd && (errno == EINTR || errno == ECONNABORTED)) continue;
        const int error = fd ? 0 : errno;
        if (fd) set_option(fd, IPPROTO_TCP, TCP_NODELAY);
        return {std::move(fd), error};
    }
}

bool is_readable(int fd) {
    pollfd ready{fd, POLLIN, 0};
    return poll(&ready, 1, 0) == 1 && (ready.revents & POLLIN) != 0;
}

void shutdown_write(const Fd& fd) { shutdown(fd.get(), SHUT_WR); }

}  // namespace pinedoor::net
