// Index servers that answer after a delay, fail some parts at random (seeded), and record every part that
// they receive, so that a test can check the sending rules for all senders together.
#pragma once

#include <poll.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins.hpp"

namespace pinedoor::test {

inline double seconds_now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// A received part.
struct ReceivedPart {
    double at = 0;  // time of receipt, in seconds of the steady clock
    std::size_t server = 0;
    std::string id;
    bool ran = false;
};

// The recording index servers, served by one thread.
class RecordingServers {
public:
    RecordingServers(int servers, int work_ms)
        : listeners_(static_cast<std::size_t>(servers)), reply_delay_(work_ms / 1e3) {
        thread_ = std::thread([this] { run(); });
    }
    ~RecordingServers() {
        stop_ = true;
        thread_.join();
    }
    net::Endpoint at(std::size_t server) const { return listeners_[server].at(); }
    std::vector<ReceivedPart> seen() const {
        const std::lock_guard lock(mutex_);
        return seen_;
    }

private:
    struct Connection {
        std::size_t server = 0;
        Peer peer;
        std::multimap<double, std::pair<std::string, const char*>> pending_replies;
    };

    void run() {
        while (!stop_) {
            std::vector<pollfd> polled;
            for (const auto& listener : listeners_) polled.push_back({listener.fd(), POLLIN, 0});
            for (const auto& connection : connections_) polled.push_back({connection.peer.fd(), POLLIN, 0});
            poll(polled.data(), polled.size(), 2);
            for (std::size_t i = connections_.size(); i-- > 0;) {
                auto& connection = connections_[i];
                bool open = polled[listeners_.size() + i].revents == 0 || serve(connection);
                while (open && connection.peer.has_buffered_data()) open = serve(connection);
                for (; !connection.pending_replies.empty() &&
                       connection.pending_replies.begin()->first <= seconds_now();
                     connection.pending_replies.erase(connection.pending_replies.begin())) {
                    const auto& [id, end] = connection.pending_replies.begin()->second;
                    connection.peer.reply(id, end, end == std::string("done") ? "of " + id : "");
                }
                if (!open) connections_.erase(connections_.begin() + static_cast<std::ptrdiff_t>(i));
            }
            for (std::size_t i = 0; i < listeners_.size(); ++i) {
                if (polled[i].revents != 0) connections_.push_back({i, listeners_[i].accept(), {}});
            }
        }
    }
    bool serve(Connection& connection) {
        const auto frame = connection.peer.frame();
        if (frame == "nothing") return false;
        if (frame[0] != 'S') return true;
        const std::lock_guard lock(mutex_);
        std::istringstream parts(frame.substr(1));
        std::string id, shard;
        for (std::size_t size = 0; parts >> id >> shard >> size;) {
            parts.ignore(static_cast<std::streamsize>(size) + 1);
            const auto outcome = random_() % 100;
            seen_.push_back({seconds_now(), connection.server, id, outcome >= 4});
            if (outcome < 4) connection.peer.reply(id, "full");
            if (outcome >= 4 && outcome < 18) connection.peer.reply(id, "failed");
            // Outcomes 18 and 19 get no reply.
            if (outcome >= 20)
                connection.pending_replies.emplace(seconds_now() + reply_delay_, std::pair(id, "done"));
        }
        return true;
    }

    std::vector<Listener> listeners_;
    const double reply_delay_;  // delay of a reply in seconds
    std::vector<Connection> connections_;
    std::vector<ReceivedPart> seen_;
    mutable std::mutex mutex_;
    std::mt19937 random_{11};
    std::atomic<bool> stop_ = false;
    std::thread thread_;
};

}  // namespace pinedoor::test
