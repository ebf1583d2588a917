// Wrappers of the socket system calls whose failures are tested by fault injection.
//
// Each function makes one system call and nothing else. They have an object file of their own, so that a test
// program can be linked with replacements that fail at the n-th call with an errno that Linux documents.
#pragma once

#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <cstddef>
#include <ctime>

namespace pinedoor::net::system_calls {

int open_socket(int domain, int type);  // adds SOCK_NONBLOCK and SOCK_CLOEXEC
int connect_socket(int fd, const sockaddr* address, socklen_t size);
int accept_socket(int listener);        // sets SOCK_NONBLOCK and SOCK_CLOEXEC
int pending_error(int fd, int* error);  // reads SO_ERROR
ssize_t receive(int fd, void* buffer, std::size_t size);
ssize_t transmit(int fd, const void* from, std::size_t size);  // MSG_NOSIGNAL: no SIGPIPE
int add_to_epoll(int epoll, int fd, epoll_event* event);
int wait_on_epoll(int epoll, epoll_event* events, int max_events, const timespec* timeout);

}  // namespace pinedoor::net::system_calls
