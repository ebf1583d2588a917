// Keys of requests whose parts made servers crash, each until it expires. The latest 64 are kept.
#pragma once

#include <deque>
#include <vector>

#include "logic.hpp"
#include "policy/request_state.hpp"

namespace pinedoor::policy {

class DeadlyKeys {
public:
    // `own`: found by this node, not received from another front node.
    void add(DeadlyKey key, bool own);
    // Whether any part has a key that is known and has not expired.
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
