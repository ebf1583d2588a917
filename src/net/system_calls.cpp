#include "net/system_calls.hpp"

namespace pinedoor::net::system_calls {

int open_socket(int domain, int type) { return ::socket(domain, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

int connect_socket(int fd, const sockaddr* address, socklen_t size) { return ::connect(fd, address, size); }

int accept_socket(int listener) {
    return ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

int pending_error(int fd, int* error) {
    socklen_t size = sizeof *error;
    return ::getsockopt(fd, SOL_SOCKET, SO_ERROR, error, &size);
}

ssize_t receive(int fd, void* buffer, std::size_t size) { return ::recv(fd, buffer, size, 0); }

ssize_t transmit(int fd, const void* from, std::size_t size) { return ::send(fd, from, size, MSG_NOSIGNAL); }

int add_to_epoll(int epoll, int fd, epoll_event* event) {
    return ::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, event);
}

int wait_on_epoll(int epoll, epoll_event* events, int max_events, const timespec* timeout) {
    return ::epoll_pwait2(epoll, events, max_events, timeout, nullptr);
}

}  // namespace pinedoor::net::system_calls
