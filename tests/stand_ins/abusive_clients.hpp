// Clients that cost a front node more than they should: crowds of unfinished requests, and floods on one
// connection. Also an ordinary client beside them, which records how it was served.
#pragma once

#include <fcntl.h>
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins.hpp"

namespace pinedoor::test {

// The most memory that a process has held so far, in bytes (VmHWM of proc(5)).
inline std::size_t peak_memory_bytes(pid_t process) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) return std::stoull(line.substr(6)) * 1024;
    }
    return 0;
}

// A request head that ends before its last line: as many short fields of different names as fit into `bytes`.
inline std::string unfinished_head_of_short_fields(std::size_t bytes) {
    const std::string characters =
        "abcdefghijklmnopqrstuvwxyz0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ!#$%&'*+-.^_`|~";
    std::string head = "POST /again HTTP/1.1\r\n";
    for (const char first : characters) {
        for (const char second : characters) {
            if (head.size() + 5 > bytes) return head;
            head += {first, second, ':', '\r', '\n'};
        }
    }
    return head;
}

// A request whose body of `bytes` stops before its last byte.
inline std::string unfinished_body(std::size_t bytes) {
    auto request = post("again", "unfinished", std::string(bytes, ' '));
    request.pop_back();
    return request;
}

// Many connections at once, each of which has sent the same bytes and waits.
class Crowd {
public:
    Crowd(net::Endpoint node, std::size_t count, const std::string& bytes) {
        for (std::size_t i = 0; i < count; ++i) {
            peers_.emplace_back(node);
            fcntl(peers_.back().fd(), F_SETFL, O_NONBLOCK);
        }
        std::vector<std::size_t> sent(count);
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(2);
        for (bool busy = true; busy && std::chrono::steady_clock::now() < until;) {
            busy = false;
            for (std::size_t i = 0; i < count; ++i) {
                const auto count_now =
                    send(peers_[i].fd(), bytes.data() + sent[i], bytes.size() - sent[i], MSG_NOSIGNAL);
                if (count_now > 0) sent[i] += static_cast<std::size_t>(count_now);
                busy |= count_now >= 0 ? sent[i] < bytes.size() : errno == EAGAIN;
            }
            if (busy) usleep(1'000);
        }
    }

private:
    std::vector<Peer> peers_;
};

// A crowd whose clients connect again, and send the same bytes, as soon as their connections end.
class ReturningCrowd {
public:
    ReturningCrowd(net::Endpoint node, std::size_t count, std::string bytes)
        : node_(node), bytes_(std::move(bytes)), clients_(count), thread_([this] { run(); }) {}
    ~ReturningCrowd() {
        stop_ = true;
        thread_.join();
    }
    ReturningCrowd(const ReturningCrowd&) = delete;
    ReturningCrowd& operator=(const ReturningCrowd&) = delete;
    std::uint64_t connections() const { return connections_; }

private:
    struct Client {
        Peer peer;
        std::size_t sent = 0;
    };
    void run() {
        while (!stop_) {
            std::vector<pollfd> polled;
            for (auto& client : clients_) {
                if (client.peer.fd() < 0) connect(client);
                const auto count = send(client.peer.fd(), bytes_.data() + client.sent,
                                        bytes_.size() - client.sent, MSG_NOSIGNAL);
                if (count > 0) client.sent += static_cast<std::size_t>(count);
                polled.push_back({client.peer.fd(), POLLIN, 0});
            }
            poll(polled.data(), polled.size(), 10);
            for (std::size_t i = 0; i < polled.size(); ++i) {
                if (polled[i].revents != 0) clients_[i].peer = Peer{};
            }
        }
    }
    void connect(Client& client) {
        client.peer = Peer(node_);
        client.sent = 0;
        fcntl(client.peer.fd(), F_SETFL, O_NONBLOCK);
        ++connections_;
    }

    const net::Endpoint node_;
    const std::string bytes_;
    std::vector<Client> clients_;
    std::atomic<std::uint64_t> connections_ = 0;
    std::atomic<bool> stop_ = false;
    std::thread thread_;
};

// Sends requests on one connection as fast as the node takes them, reads and drops the answers, and connects
// again when the connection ends.
class Flooder {
public:
    // `next_request` returns the next request for its number, counted from 0.
    Flooder(net::Endpoint node, std::function<std::string(std::uint64_t)> next_request)
        : node_(node), next_request_(std::move(next_request)), thread_([this] { run(); }) {}
    ~Flooder() {
        stop_ = true;
        thread_.join();
    }
    Flooder(const Flooder&) = delete;
    Flooder& operator=(const Flooder&) = delete;
    std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    void run() {
        while (!stop_) {
            Peer peer(node_);
            fcntl(peer.fd(), F_SETFL, O_NONBLOCK);
            while (!stop_ && exchange(peer)) {
            }
        }
    }
    // Writes what the connection takes and drops what arrived; returns false if the connection has ended.
    bool exchange(Peer& peer) {
        while (pending_.size() < 64 * 1024) pending_ += next_request_(number_++);
        pollfd ready{peer.fd(), POLLIN | POLLOUT, 0};
        if (poll(&ready, 1, 100) < 0) return false;
        char dropped[16 * 1024];
        const auto got = recv(peer.fd(), dropped, sizeof dropped, 0);
        if (got == 0 || (got < 0 && errno != EAGAIN)) return false;
        const auto count = send(peer.fd(), pending_.data(), pending_.size(), MSG_NOSIGNAL);
        if (count < 0) return errno == EAGAIN;
        bytes_sent_ += static_cast<std::uint64_t>(count);
        pending_.erase(0, static_cast<std::size_t>(count));
        return true;
    }

    const net::Endpoint node_;
    const std::function<std::string(std::uint64_t)> next_request_;
    std::uint64_t number_ = 0;
    std::string pending_;
    std::atomic<std::uint64_t> bytes_sent_ = 0;
    std::atomic<bool> stop_ = false;
    std::thread thread_;
};

// How an ordinary client was served.
struct Service {
    int requests = 0;
    int served = 0;  // answered with 200
    int lost = 0;    // no final answer within half a second after the client's time
};

// Asks one multiget after another for `length`, each with 256 ms to go, on a connection that it keeps.
inline Service ask_as_ordinary_client(net::Endpoint node, std::chrono::milliseconds length,
                                      const std::string& prefix) {
    constexpr int kRemainingMs = 256;
    constexpr auto kLatest = std::chrono::milliseconds(kRemainingMs + 500);
    const auto end = std::chrono::steady_clock::now() + length;
    Service service;
    Peer peer(node);
    while (std::chrono::steady_clock::now() < end) {
        const auto began = std::chrono::steady_clock::now();
        peer.say(post("again", prefix + std::to_string(service.requests), asks({service.requests % 12}),
                      kRemainingMs));
        const auto answer = peer.answer();
        const bool late = std::chrono::steady_clock::now() - began > kLatest;
        ++service.requests;
        service.served += !late && answer.starts_with("200") ? 1 : 0;
        service.lost += late || answer == "nothing" ? 1 : 0;
        if (answer == "nothing" || answer.find("connection=close") != std::string::npos) peer = Peer(node);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return service;
}

}  // namespace pinedoor::test
