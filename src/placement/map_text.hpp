// The map as it travels over discovery, one JSON object a line, and boxes by their names in the list
// (docs/placement.md, "Over discovery"):
//
//   {"version":12,"shards":[{"id":1,"first":"0","last":"ffffffffffffffff","epoch":3,
//    "replicas":[{"box":"s-1","role":"owner"},{"box":"s-2","role":"reader"}]}]}
//   {"version":13,"after":12,"steps":[{"step":"split","shard":1,"at":"8000","lower":2,"upper":3}]}
//   steps: split; merge lower upper merged; add shard box; remove shard box; pass shard box
//
// Keys are hexadecimal digits in a text: JSON's numbers do not hold 64 bits everywhere.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "placement/shard_map.hpp"

namespace pinedoor::placement {

// Numbers for the names of boxes, from 1 on, for the life of the process. Bounded: no number for one more.
class BoxNames {
public:
    explicit BoxNames(std::size_t most = 100'000) : most_(most) {}
    std::optional<BoxId> number(const std::string& name);
    std::optional<BoxId> find(const std::string& name) const;
    const std::string& name(BoxId box) const;  // empty: there is none

private:
    std::size_t most_;
    std::map<std::string, BoxId> numbers_;
    std::vector<std::string> names_{""};  // 0 is no box
};

struct WholeMap {
    Version version = 0;
    std::vector<Shard> shards;
};
struct MapChanges {
    Version version = 0;  // that they lead to
    Version after = 0;    // that they start from
    std::vector<Step> steps;
};
struct Unreadable {
    std::string why;
};
using MapNews = std::variant<WholeMap, MapChanges, Unreadable>;

MapNews read_map_news(std::string_view line, BoxNames& names);
std::string print_map(const ShardMap& map, const BoxNames& names);
std::string print_changes(Version after, const std::vector<Step>& steps, const BoxNames& names);

std::string print_key(Key key);                      // hexadecimal, without leading zeros
std::optional<Key> read_key(std::string_view text);  // up to sixteen digits

}  // namespace pinedoor::placement
