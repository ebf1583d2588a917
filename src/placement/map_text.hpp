// The JSON form of the shard map and its changes, as discovery sends them, one object per line. Index servers
// are given by their names in the list (docs/placement.md, "Over discovery"):
//
//   {"version":12,"shards":[{"id":1,"first":"0","last":"ffffffffffffffff","epoch":3,
//    "replicas":[{"box":"s-1","role":"owner"},{"box":"s-2","role":"reader"}]}]}
//   {"version":13,"after":12,"steps":[{"step":"split","shard":1,"at":"8000","lower":2,"upper":3}]}
//   steps: split; merge lower upper merged; add shard box; remove shard box; pass shard box
//
// Keys are strings of hexadecimal digits, since not every JSON reader keeps 64-bit numbers exactly.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "placement/shard_map.hpp"

namespace pinedoor::placement {

// Assigns a number to each index server name, from 1 on, for the lifetime of the process. The number of names
// is limited; number() returns nothing beyond the limit.
class ServerNames {
public:
    explicit ServerNames(std::size_t most = 100'000) : max_names_(most) {}
    std::optional<ServerNumber> number(const std::string& name);
    std::optional<ServerNumber> find(const std::string& name) const;
    const std::string& name(ServerNumber box) const;  // empty if the number is unknown

private:
    std::size_t max_names_;
    std::map<std::string, ServerNumber> numbers_;
    std::vector<std::string> names_{""};  // number 0 is not assigned
};

// A complete map, not validated.
struct WholeMap {
    Version version = 0;
    std::vector<Shard> shards;
};
// The steps from one version to a later one.
struct MapChanges {
    Version version = 0;  // version after the last step
    Version after = 0;    // version before the first step
    std::vector<Step> steps;
};
// A line that could not be parsed.
struct Unreadable {
    std::string why;
};
using MapUpdate = std::variant<WholeMap, MapChanges, Unreadable>;

MapUpdate read_map_update(std::string_view line, ServerNames& names);
std::string print_map(const ShardMap& map, const ServerNames& names);
std::string print_changes(Version after, const std::vector<Step>& steps, const ServerNames& names);

std::string print_key(Key key);                      // hexadecimal, without leading zeros
std::optional<Key> read_key(std::string_view text);  // up to 16 hexadecimal digits

}  // namespace pinedoor::placement
