// The abusive clients of a soak run, each kind on a thread of its own, so that they do not delay the ordinary
// ones.
#pragma once

#include <atomic>
#include <list>
#include <thread>

#include "lab/soak/soak_log.hpp"
#include "net/socket.hpp"

namespace pinedoor::lab {

class SoakAbusers {
public:
    SoakAbusers(SoakLog& log, net::Endpoint node) : log_(log), node_(node) {}
    ~SoakAbusers();
    SoakAbusers(const SoakAbusers&) = delete;
    SoakAbusers& operator=(const SoakAbusers&) = delete;

    // Runs until the end of the spell or of the run. `number` tells spells apart.
    void start(const AbuseSpell& spell, int number);

private:
    SoakLog& log_;
    const net::Endpoint node_;
    std::atomic<bool> stop_ = false;
    std::list<std::thread> threads_;
};

}  // namespace pinedoor::lab
