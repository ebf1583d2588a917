// A discovery that tells one list to all who watch it, and an empty line every half second.
#pragma once

#include <poll.h>

#include <atomic>
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

private:
    void run() {
        std::vector<Peer> watching;
        for (int turn = 0; !stop_; ++turn) {
            pollfd ready{listener_.fd(), POLLIN, 0};
            if (poll(&ready, 1, 10) == 1) {
                auto peer = listener_.accept();
                if (peer.read_to("\r\n\r\n").find("stream=1") != std::string::npos) {
                    peer.say(kStream + chunk(list_object(1, true, members_) + '\n'));
                    watching.push_back(std::move(peer));
                }
            }
            if (turn % 50 != 0) continue;
            for (auto& peer : watching) peer.say(chunk("\n"));
        }
    }

    const std::vector<Listed> members_;
    Listener listener_;
    std::atomic<bool> stop_ = false;
    std::thread thread_;
};

}  // namespace pinedoor::test
