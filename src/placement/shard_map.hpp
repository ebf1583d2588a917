// The shard map: which shard holds a key, and which index servers hold each shard's replicas. A ShardMap is
// one immutable version; a step creates the next. Versions share unchanged data: the shards are stored in key
// order in chunks of about a hundred, and a step copies only the chunks that it changes and the list of
// chunks. A lookup is two binary searches over flat arrays (docs/placement.md compares it with std::map and
// one sorted vector).
//
// Keys have 64 bits, and the ranges of the shards cover each key exactly once. A map with a gap, an overlap,
// or a shard without exactly one owner is invalid and is never created.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pinedoor::placement {

using Key = std::uint64_t;
using ShardId = std::uint64_t;
using ServerNumber = std::uint32_t;
using Epoch = std::uint64_t;    // of a shard; increases by one with each step that changes it
using Version = std::uint64_t;  // of the whole map; increases by one with each step

// The owner runs all parts; a reader runs only those that may run more than once.
enum class Role : std::uint8_t { kOwner, kReader };
struct Replica {
    ServerNumber box = 0;
    Role role = Role::kReader;
    auto operator<=>(const Replica&) const = default;
};
bool is_on(const std::vector<Replica>& replicas, ServerNumber box);
ServerNumber owner_of(const std::vector<Replica>& replicas);  // 0 if there is no owner

struct Shard {
    ShardId id = 0;
    Key first = 0, last = 0;  // both inclusive
    Epoch epoch = 1;
    std::vector<Replica> replicas;  // exactly one of them the owner

    ServerNumber owner() const { return owner_of(replicas); }
    bool holds(Key key) const { return first <= key && key <= last; }
    bool operator==(const Shard&) const = default;
};

// The steps. A step that does not lead to a valid map is refused with an error message.

// Splits a shard at a key, which becomes the first key of the upper child.
struct Split {
    ShardId shard = 0;
    Key at = 0;
    ShardId lower = 0, upper = 0;  // ids of the children
};
// Merges two adjacent shards that have the same replicas.
struct Merge {
    ShardId lower = 0, upper = 0;
    ShardId merged = 0;  // id of the merged shard
};
struct AddReader {
    ShardId shard = 0;
    ServerNumber box = 0;
};
struct RemoveReader {
    ShardId shard = 0;
    ServerNumber box = 0;
};
// Makes a reader the owner; the old owner becomes a reader.
struct PassOwnership {
    ShardId shard = 0;
    ServerNumber to = 0;
};
using Step = std::variant<Split, Merge, AddReader, RemoveReader, PassOwnership>;
std::string print(const Step& step);

class ShardMap {
public:
    // Validates shards, given in any order. Returns an error message, empty if they form a valid map.
    static std::string fault_of(std::vector<Shard> shards);
    // Throws std::invalid_argument with the message of fault_of().
    static ShardMap of(std::vector<Shard> shards, Version version = 1);
    static ShardMap even(std::size_t shards, const std::vector<ServerNumber>& boxes, std::size_t replicas);

    const Shard& at(Key key) const;
    const Shard* find(ShardId id) const;  // null if there is none; linear search, not for the hot path
    Version version() const { return version_; }
    std::size_t size() const { return size_; }
    std::vector<Shard> shards() const;  // in key order

    struct Refused {
        std::string why;
    };
    std::variant<ShardMap, Refused> after(const Step& step) const;

    std::size_t own_bytes() const;  // memory that no other version shares
    std::size_t bytes() const;      // all memory of this version, with shared chunks
    bool operator==(const ShardMap& other) const {
        return version_ == other.version_ && shards() == other.shards();
    }

private:
    static constexpr std::size_t kChunk = 128;  // shards per chunk; more than twice as many split the chunk
    struct Chunk {
        std::vector<Key> firsts;
        std::vector<Shard> shards;
    };
    ShardMap() = default;
    void put(std::size_t chunk, std::vector<Shard> shards);
    std::pair<std::size_t, std::size_t> place_of(const Shard& shard) const;
    std::variant<ShardMap, Refused> replaced(const Shard& was, const std::vector<Shard>& by) const;
    std::variant<ShardMap, Refused> merged(const Merge& merge) const;

    Version version_ = 1;
    std::size_t size_ = 0;
    std::vector<Key> firsts_;  // first key of each chunk
    std::vector<std::shared_ptr<const Chunk>> chunks_;
};

}  // namespace pinedoor::placement
