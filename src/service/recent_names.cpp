#include "service/recent_names.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pinedoor::service {

RecentNames::RecentNames(std::size_t capacity, std::uint64_t seed)
    : capacity_(std::max<std::size_t>(1, capacity)), seed_(seed) {}

std::uint64_t RecentNames::hash_of(std::string_view name) const {
    return XXH3_64bits_withSeed(name.data(), name.size(), seed_);
}

void RecentNames::add(net::Moment now, std::string_view name, ClientNumber client) {
    forget_expired(now);
    const auto hash = hash_of(name);
    if (const auto known = by_hash_.find(hash); known != by_hash_.end()) forget(known->second);
    if (entries_.size() >= capacity_) forget_one_of_most();
    const auto entry = entries_.insert(entries_.end(), {hash, client, now + kLifetime});
    by_hash_[hash] = entry;
    auto& of_client = by_client_[client];
    of_client.push_back(entry);
    change_count(client, of_client.size() - 1, of_client.size());
}

bool RecentNames::contains(net::Moment now, std::string_view name) {
    forget_expired(now);
    return by_hash_.contains(hash_of(name));
}

void RecentNames::forget_expired(net::Moment now) {
    while (!entries_.empty() && entries_.front().until <= now) forget(entries_.begin());
}

void RecentNames::forget_one_of_most() {
    const auto client = ~counts_.rbegin()->second;
    ++forgotten_early_;
    forget(by_client_.at(client).front());
}

void RecentNames::forget(Entries::iterator entry) {
    const auto client = by_client_.find(entry->client);
    auto& of_client = client->second;
    change_count(entry->client, of_client.size(), of_client.size() - 1);
    if (of_client.front() == entry)
        of_client.pop_front();
    else
        of_client.remove(entry);
    if (of_client.empty()) by_client_.erase(client);
    by_hash_.erase(entry->hash);
    entries_.erase(entry);
}

void RecentNames::change_count(ClientNumber client, std::size_t from, std::size_t to) {
    counts_.erase({from, ~client});
    if (to > 0) counts_.emplace(to, ~client);
}

}  // namespace pinedoor::service
