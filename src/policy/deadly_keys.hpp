// Keys of requests under which servers died, each for a while: the latest 64.
#pragma once

#include <deque>
#include <vector>

#include "logic.hpp"
#include "policy/request_state.hpp"

namespace pinedoor::policy {

class DeadlyKeys {
public:
    // Own: seen here, not told by another front node.
    void add(DeadlyKey key, bool own);
    bool any_of(const std::vector<PartState>& parts, Time now) const;
    std::vector<DeadlyKey> own() const;

private:
    struct Entry {
        DeadlyKey key;
        bool own = false;
    };
    std::deque<Entry> keys_;
};

}  // namespace pinedoor::policy
