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
// returned and before the program handles its events.
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
            std::istringstream words(text);
            words >> read.call >> read.first >> read.error;
            if (long count = 0; words >> count) read.count = count;
        }
        return read;
    }();
    return kFault;
}

// Counts the calls of the kind that PINEDOOR_FAULT names; returns whether this call is to fail.
bool is_hit(const std::string& call) {
    if (fault().call != call) return false;
    static long calls = 0;
    ++calls;
    return calls >= fault().first && calls < fault().first + fault().count;
}

// Like is_faulty_call(), and sets errno to the fault's number.
bool fails(const std::string& call) {
    if (!is_hit(call)) return false;
    errno = std::atoi(fault().error.c_str());
    return true;
}

bool is_short() { return fault().error == "short"; }
bool is_self() { return fault().error == "self"; }
bool is_stall() { return fault().error == "stall"; }

bool is_there(const std::string& file) { return access(file.c_str(), F_OK) == 0; }

// Descriptors on which all writes return EAGAIN.
std::set<int>& stalled() {
    static std::set<int> fds;
    return fds;
}

// Clears the stalled mark of a new descriptor, whose number may have belonged to a stalled one.
int made_anew(int fd) {
    stalled().erase(fd);
    return fd;
}

void pause_if_asked() {
    static const char* const kFolder = std::getenv("PINEDOOR_PAUSE");
    if (kFolder == nullptr) return;
    const std::string folder = kFolder;
    if (!is_there(folder + "/pause")) return;
    close(open((folder + "/paused").c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600));
    while (!is_there(folder + "/go")) usleep(1'000);
    unlink((folder + "/pause").c_str());
}

}  // namespace

int open_socket(int domain, int type) {
    if (fails("socket")) return -1;
    return made_anew(::socket(domain, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

int connect_socket(int fd, const sockaddr* address, socklen_t size) {
    if (!is_hit("connect")) return ::connect(fd, address, size);
    if (is_self()) {
        const int yes = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        bind(fd, address, size);
        return ::connect(fd, address, size);
    }
    const int error = std::atoi(fault().error.c_str());
    if (error == EINTR) ::connect(fd, address, size);  // an interrupted connect continues
    errno = error;
    return -1;
}

int accept_socket(int listener) {
    if (fails("accept")) return -1;
    return made_anew(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
}

int pending_error(int fd, int* error) {
    if (is_hit("pending")) {
        *error = std::atoi(fault().error.c_str());
        return 0;
    }
    socklen_t size = sizeof *error;
    return ::getsockopt(fd, SOL_SOCKET, SO_ERROR, error, &size);
}

ssize_t receive(int fd, void* into, std::size_t size) {
    if (is_hit("receive")) {
        if (!is_short()) {
            errno = std::atoi(fault().error.c_str());
            return -1;
        }
        size = 1;
    }
    return ::recv(fd, into, size, 0);
}

ssize_t transmit(int fd, const void* from, std::size_t size) {
    if (stalled().contains(fd)) {
        errno = EAGAIN;
        return -1;
    }
    if (is_hit("transmit")) {
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
    if (fails("add")) return -1;
    return ::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, event);
}

int wait_on_epoll(int epoll, epoll_event* events, int most, const timespec* timeout) {
    if (fails("wait")) return -1;
    const int count = ::epoll_pwait2(epoll, events, most, timeout, nullptr);
    if (count > 0) pause_if_asked();
    return count;
}

}  // namespace pinedoor::net::system_calls
