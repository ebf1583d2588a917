// Socket system calls with fault injection. Linked into `pinedoor_faulty`, which is the front node with
// these functions in place of src/net/system_calls.cpp.
//
// PINEDOOR_FAULT is "CALL N ERROR [COUNT]": COUNT calls (default 1) from the N-th CALL on fail with errno
// ERROR. CALL is socket, connect, accept, pending, receive, transmit, add or wait. ERROR may also be a word:
// "short" makes a read or write transfer a single byte; "stall" makes a write transfer a few bytes and all
// later writes on that descriptor return EAGAIN; "self" binds the socket of a connect to the destination, so
// that it connects to itself.
//
// PINEDOOR_PAUSE names a folder. If it holds a file `pause`, the next wait that returns events creates
// `paused` there and continues once a file `go` exists: what a test does in between happens after the wait
// returned and before the program handles its events. With `pause-call` the next write of a call to an index
// server pauses, before its first byte is written.
#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <set>
#include <sstream>
#include <string>

#include "net/system_calls.hpp"

namespace pinedoor::net::system_calls {
namespace {

struct Fault {
    std::string call;
    long first = 0;
    std::string error;
    long count = 1;
};

const Fault& fault() {
    static const Fault kFault = [] {
        Fault read;
        if (const char* text = std::getenv("PINEDOOR_FAULT")) {
            std::istringstream fields(text);
            fields >> read.call >> read.first >> read.error;
            if (long count = 0; fields >> count) read.count = count;
        }
        return read;
    }();
    return kFault;
}

// Counts the calls of the kind that PINEDOOR_FAULT names; returns whether this call is to fail.
bool is_faulty_call(const std::string& call) {
    if (fault().call != call) return false;
    static long calls = 0;
    ++calls;
    return calls >= fault().first && calls < fault().first + fault().count;
}

// Like is_faulty_call(), and sets errno to the fault's number.
bool inject_errno(const std::string& call) {
    if (!is_faulty_call(call)) return false;
    errno = std::atoi(fault().error.c_str());
    return true;
}

bool is_short() { return fault().error == "short"; }
bool is_self_connect() { return fault().error == "self"; }
bool is_stall() { return fault().error == "stall"; }

bool exists(const std::string& file) { return access(file.c_str(), F_OK) == 0; }

// Descriptors on which all writes return EAGAIN.
std::set<int>& stalled() {
    static std::set<int> fds;
    return fds;
}

// Clears the stalled mark of a new descriptor, whose number may have belonged to a stalled one.
int unmark_stalled(int fd) {
    stalled().erase(fd);
    return fd;
}

void pause_if_requested(const std::string& request) {
    static const char* const kFolder = std::getenv("PINEDOOR_PAUSE");
    if (kFolder == nullptr) return;
    const std::string folder = kFolder;
    if (!exists(folder + request)) return;
    close(open((folder + "/paused").c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600));
    while (!exists(folder + "/go")) usleep(1'000);
    unlink((folder + request).c_str());
}

// A call's frame has its letter behind the four bytes of its length.
bool is_call(const void* from, std::size_t size) {
    constexpr std::size_t kLetterAt = 4;
    return size > kLetterAt && static_cast<const char*>(from)[kLetterAt] == 'S';
}

}  // namespace

int open_socket(int domain, int type) {
    if (inject_errno("socket")) return -1;
    return unmark_stalled(::socket(domain, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

int connect_socket(int fd, const sockaddr* address, socklen_t size) {
    if (!is_faulty_call("connect")) return ::connect(fd, address, size);
    if (is_self_connect()) {
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        bind(fd, address, size);
        return ::connect(fd, address, size);
    }
    const int error = std::atoi(fault().error.c_str());
    if (error == EINTR) ::connect(fd, address, size);  // an interrupted connect continues
    errno = error;
    return -1;
}

int accept_socket(int listener) {
    if (inject_errno("accept")) return -1;
    return unmark_stalled(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
}

int pending_error(int fd, int* error) {
    if (is_faulty_call("pending")) {
        *error = std::atoi(fault().error.c_str());
        return 0;
    }
    socklen_t size = sizeof *error;
    return ::getsockopt(fd, SOL_SOCKET, SO_ERROR, error, &size);
}

ssize_t receive(int fd, void* buffer, std::size_t size) {
    if (is_faulty_call("receive")) {
        if (!is_short()) {
            errno = std::atoi(fault().error.c_str());
            return -1;
        }
        size = 1;
    }
    return ::recv(fd, buffer, size, 0);
}

ssize_t transmit(int fd, const void* from, std::size_t size) {
    if (stalled().contains(fd)) {
        errno = EAGAIN;
        return -1;
    }
    if (is_call(from, size)) pause_if_requested("/pause-call");
    if (is_faulty_call("transmit")) {
        if (is_stall()) {
            stalled().insert(fd);
            size = 5;
        } else if (is_short()) {
            size = 1;
        } else {
            errno = std::atoi(fault().error.c_str());
            return -1;
        }
    }
    return ::send(fd, from, size, MSG_NOSIGNAL);
}

int add_to_epoll(int epoll, int fd, epoll_event* event) {
    if (inject_errno("add")) return -1;
    return ::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, event);
}

int wait_on_epoll(int epoll, epoll_event* events, int max_events, const timespec* timeout) {
    if (inject_errno("wait")) return -1;
    const int count = ::epoll_pwait2(epoll, events, max_events, timeout, nullptr);
    if (count > 0) pause_if_requested("/pause");
    return count;
}

}  // namespace pinedoor::net::system_calls
