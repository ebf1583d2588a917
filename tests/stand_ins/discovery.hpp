// A discovery stand-in that sends the server list to all watchers when they connect and after each change,
// and an empty line as a heartbeat every 0.5 s.
#pragma once

#include <poll.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins.hpp"

namespace pinedoor::test {

class Discovery {
public:
    explicit Discovery(std::vector<Listed> members) : members_(std::move(members)) {
        thread_ = std::thread([this] { run(); });
    }
    ~Discovery() {
        stop_ = true;
        thread_.join();
    }
    net::Endpoint at() const { return listener_.at(); }
    // Replaces the list; all watchers receive it as a complete list.
    void tell(std::vector<Listed> members) {
        const std::lock_guard lock(mutex_);
        members_ = std::move(members);
        ++revision_;
    }

private:
    std::pair<int, std::string> current_list() {
        const std::lock_guard lock(mutex_);
        return {revision_, list_object(revision_, true, members_) + '\n'};
    }
    void run() {
        std::vector<Peer> watchers;
        int sent_revision = 1;
        for (int round = 0; !stop_; ++round) {
            const auto [revision, list] = current_list();
            if (std::exchange(sent_revision, revision) != revision)
                for (auto& peer : watchers) peer.say(chunk(list));
            pollfd ready{listener_.fd(), POLLIN, 0};
            if (poll(&ready, 1, 10) == 1) {
                auto peer = listener_.accept();
                if (peer.read_to("\r\n\r\n").find("stream=1") != std::string::npos) {
                    peer.say(kStream + chunk(list));
                    watchers.push_back(std::move(peer));
                }
            }
            if (round % 50 != 0) continue;
            for (auto& peer : watchers) peer.say(chunk("\n"));
        }
    }

    std::mutex mutex_;
    std::vector<Listed> members_;
    int revision_ = 1;
    Listener listener_;
    std::atomic<bool> stop_ = false;
    std::thread thread_;
};

}  // namespace pinedoor::test
