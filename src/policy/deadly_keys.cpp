#include "policy/deadly_keys.hpp"

#include <algorithm>

namespace pinedoor::policy {
namespace {

constexpr std::size_t kMaxKeys = 64;

}  // namespace

void DeadlyKeys::add(DeadlyKey key, bool own) {
    if (key.key == 0) return;
    const auto is_same = [&](const Entry& entry) { return entry.key.key == key.key; };
    const auto found = std::find_if(keys_.begin(), keys_.end(), is_same);
    if (found != keys_.end()) {
        found->key.until = std::max(found->key.until, key.until);
        found->own = found->own || own;
        return;
    }
    if (keys_.size() == kMaxKeys) keys_.pop_front();
    keys_.push_back({key, own});
}

bool DeadlyKeys::any_of(const std::vector<PartState>& parts, Time now) const {
    return std::any_of(keys_.begin(), keys_.end(), [&](const Entry& entry) {
        const auto has_key = [&](const PartState& part) { return part.arrival.key == entry.key.key; };
        return entry.key.until >= now && std::any_of(parts.begin(), parts.end(), has_key);
    });
}

std::vector<DeadlyKey> DeadlyKeys::own() const {
    std::vector<DeadlyKey> found;
    for (const auto& entry : keys_) {
        if (entry.own) found.push_back(entry.key);
    }
    return found;
}

}  // namespace pinedoor::policy
