// An index server stand-in that counts the executions of each query.
#pragma once

#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins.hpp"

namespace pinedoor::test {

// Counts how often each query's text was run. The last letter of the text selects the behaviour: 'f'
// runs the query and reports a failure, 'u' reports full without running it, 's' runs it and never answers,
// and any other letter (usually 'a') runs it and answers.
class CountingServer {
public:
    CountingServer() {
        thread_ = std::thread([this] { run(); });
    }
    ~CountingServer() {
        stop_ = true;
        thread_.join();
    }
    pinedoor::net::Endpoint at() const { return listener_.at(); }
    std::map<std::string, int> runs() {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    void run() {
        std::vector<Peer> peers;
        while (!stop_) {
            std::vector<pollfd> polled{{listener_.fd(), POLLIN, 0}};
            for (const auto& peer : peers) polled.push_back({peer.fd(), POLLIN, 0});
            poll(polled.data(), polled.size(), 5);
            for (std::size_t i = peers.size(); i-- > 0;) {
                bool open = true;
                if (polled[i + 1].revents != 0) open = serve(peers[i]);
                while (open && peers[i].has_buffered_data()) open = serve(peers[i]);
                if (!open) peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
            }
            if (polled[0].revents != 0) peers.push_back(listener_.accept());
        }
    }
    bool serve(Peer& peer) {
        const auto frame = peer.frame();
        if (frame == "nothing") return false;
        if (frame[0] != 'S') return true;
        std::istringstream parts(frame.substr(1));
        std::string id, shard;
        for (std::size_t size = 0; parts >> id >> shard >> size;) {
            parts.ignore(1);
            std::string text(size, '\0');
            parts.read(text.data(), static_cast<std::streamsize>(size));
            const char behaviour = text.empty() ? 'a' : text.back();
            if (behaviour == 'u') {
                peer.reply(id, "full");
                continue;
            }
            const std::lock_guard lock(mutex_);
            ++runs_[text];
            if (behaviour != 's') peer.reply(id, behaviour == 'f' ? "failed" : "done", "of " + text);
        }
        return true;
    }

    Listener listener_;
    std::atomic<bool> stop_ = false;
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::thread thread_;
};

}  // namespace pinedoor::test
