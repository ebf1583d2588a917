// Names of requests of which a part may have run, so that none is run again under its name.
//
// A name is remembered for a stated time, and at most a stated number of them is: beyond it the client with
// the most names loses its oldest one, so a client that invents names makes the others forget none. Only
// hashes are kept. A name that was forgotten counts as new.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "net/scheduler.hpp"

namespace pinedoor::service {

class RecentNames {
public:
    // Identifies the connection of a client.
    using ClientNumber = std::uint64_t;

    // The most memory that a name takes, as allocated, in bytes: it is the only one of its client.
    static constexpr std::size_t kBytesPerName = 288;
    static constexpr net::Moment kLifetime = 600'000;  // 60 s

    // `capacity`: the most names. `seed` keys the hash, so that nobody can choose names that collide.
    RecentNames(std::size_t capacity, std::uint64_t seed);

    void add(net::Moment now, std::string_view name, ClientNumber client);
    bool contains(net::Moment now, std::string_view name);
    std::size_t size() const { return by_hash_.size(); }
    // Names that were forgotten before their time, for want of room.
    std::uint64_t forgotten_early() const { return forgotten_early_; }

private:
    struct Entry {
        std::uint64_t hash = 0;
        ClientNumber client = 0;
        net::Moment until = 0;
    };
    using Entries = std::list<Entry>;

    std::uint64_t hash_of(std::string_view name) const;
    void forget_expired(net::Moment now);
    void forget_one_of_most();
    void forget(Entries::iterator entry);
    void change_count(ClientNumber client, std::size_t from, std::size_t to);

    const std::size_t capacity_;
    const std::uint64_t seed_;
    Entries entries_;  // oldest first
    std::unordered_map<std::uint64_t, Entries::iterator> by_hash_;
    std::map<ClientNumber, std::list<Entries::iterator>> by_client_;  // oldest first
    // Number of names and complement of the client's number: among equals the oldest client comes last.
    std::set<std::pair<std::size_t, ClientNumber>> counts_;
    std::uint64_t forgotten_early_ = 0;
};

}  // namespace pinedoor::service
