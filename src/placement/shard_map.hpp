// Which shard holds a key, and where each shard's replicas are: one immutable version of the map, and the
// steps that make the next one of it. Versions share what did not change: the shards stand in order of their
// keys in chunks of some hundred, and a step copies the chunks that it touches and the list of chunks.
// Looking a key up is two binary searches over flat arrays; measured against std::map and one sorted vector
// in docs/placement.md.
//
// Keys are 64 bits. The shards' ranges cover all of them, once: a map with a hole, an overlap, a shard
// without an owner or with two is no map and is never made.
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
using BoxId = std::uint32_t;
using Epoch = std::uint64_t;    // of a shard: one more with each step that changes it
using Version = std::uint64_t;  // of the whole map: one more with each step

enum class Role : std::uint8_t { kOwner, kReader };  // who runs what may not run twice; who only reads
struct Replica {
    BoxId box = 0;
    Role role = Role::kReader;
    auto operator<=>(const Replica&) const = default;
};
bool is_on(const std::vector<Replica>& replicas, BoxId box);
BoxId owner_of(const std::vector<Replica>& replicas);  // 0: there is none

struct Shard {
    ShardId id = 0;
    Key first = 0, last = 0;  // both its own
    Epoch epoch = 1;
    std::vector<Replica> replicas;  // one of them the owner

    BoxId owner() const { return owner_of(replicas); }
    bool holds(Key key) const { return first <= key && key <= last; }
    bool operator==(const Shard&) const = default;
};

// The steps. Each is refused, with words, unless it leads from this map to a map.
struct Split {  // at a key, which is the first of the upper one
    ShardId shard = 0;
    Key at = 0;
    ShardId lower = 0, upper = 0;  // new ids
};
struct Merge {  // of two that lie side by side on the same boxes
    ShardId lower = 0, upper = 0;
    ShardId merged = 0;  // a new id
};
struct AddReader {
    ShardId shard = 0;
    BoxId box = 0;
};
struct RemoveReader {
    ShardId shard = 0;
    BoxId box = 0;
};
struct PassOwnership {  // the old owner stays as a reader until it is removed
    ShardId shard = 0;
    BoxId to = 0;
};
using Step = std::variant<Split, Merge, AddReader, RemoveReader, PassOwnership>;
std::string print(const Step& step);

class ShardMap {
public:
    // What is wrong with such shards, in any order; empty: nothing.
    static std::string fault_of(std::vector<Shard> shards);
    // Throws std::invalid_argument with fault_of()'s words.
    static ShardMap of(std::vector<Shard> shards, Version version = 1);
    static ShardMap even(std::size_t shards, const std::vector<BoxId>& boxes, std::size_t replicas);

    const Shard& at(Key key) const;
    const Shard* find(ShardId id) const;  // null: there is none; linear in the chunks, not on the hot path
    Version version() const { return version_; }
    std::size_t size() const { return size_; }
    std::vector<Shard> shards() const;  // by key

    struct Refused {
        std::string why;
    };
    std::variant<ShardMap, Refused> after(const Step& step) const;

    // Bytes of this version that no other shares, and in all.
    std::size_t own_bytes() const;
    std::size_t bytes() const;
    bool operator==(const ShardMap& other) const {
        return version_ == other.version_ && shards() == other.shards();
    }

private:
    static constexpr std::size_t kChunk = 128;  // shards; twice that splits a chunk
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
    std::vector<Key> firsts_;  // of the chunks
    std::vector<std::shared_ptr<const Chunk>> chunks_;
};

}  // namespace pinedoor::placement
