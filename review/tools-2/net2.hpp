// Blocking sockets and a record file for the stand-ins of the second review. Loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace review2 {

inline std::int64_t wall_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Appends whole lines to a file that several processes share: one write a line.
class Record {
public:
    explicit Record(const std::string& path)
        : fd_(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)) {}
    void line(const std::string& text) const {
        const auto all = std::to_string(wall_ms()) + ' ' + text + '\n';
        if (fd_ >= 0 && write(fd_, all.data(), all.size()) < 0) std::perror("record");
    }

private:
    int fd_;
};

// "--name value" pairs.
class Options {
public:
    Options(int argc, char** argv) {
        for (int i = 1; i + 1 < argc; i += 2) values_[std::string(argv[i]).substr(2)] = argv[i + 1];
    }
    std::string text(const std::string& name, const std::string& otherwise = "") const {
        const auto at = values_.find(name);
        return at == values_.end() ? otherwise : at->second;
    }
    int number(const std::string& name, int otherwise) const {
        const auto at = values_.find(name);
        return at == values_.end() ? otherwise : std::atoi(at->second.c_str());
    }

private:
    std::map<std::string, std::string> values_;
};

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int port_of(const std::string& endpoint) {
    return std::atoi(endpoint.substr(endpoint.find(':') + 1).c_str());
}

inline int listen_at(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback(port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, 256) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    return fd;
}

inline int accept_from(int listener) {
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    const int on = 1;
    if (fd >= 0) setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

// -1 if there is no connection.
inline int connect_to(int port, int timeout_ms) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto address = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
    close(fd);
    return -1;
}

inline bool say(int fd, const std::string& bytes) {
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Buffered input of one connection.
class Input {
public:
    explicit Input(int fd) : fd_(fd) {}
    bool more() {
        char bytes[8192];
        const auto count = recv(fd_, bytes, sizeof bytes, 0);
        if (count > 0) held_.append(bytes, static_cast<std::size_t>(count));
        return count > 0;
    }
    // False if the connection ends before.
    bool until(const std::string& mark, std::string& out) {
        std::size_t at = 0;
        while ((at = held_.find(mark)) == std::string::npos) {
            if (!more()) return false;
        }
        out = take(at + mark.size());
        return true;
    }
    bool bytes(std::size_t count, std::string& out) {
        while (held_.size() < count) {
            if (!more()) return false;
        }
        out = take(count);
        return true;
    }

private:
    std::string take(std::size_t count) {
        auto taken = held_.substr(0, count);
        held_.erase(0, count);
        return taken;
    }
    int fd_;
    std::string held_;
};

inline std::size_t content_length(const std::string& head) {
    for (const char* name : {"Content-Length: ", "content-length: "}) {
        const auto at = head.find(name);
        if (at != std::string::npos) return std::strtoul(head.c_str() + at + 16, nullptr, 10);
    }
    return 0;
}

inline std::string chunk(const std::string& text) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

}  // namespace review2
