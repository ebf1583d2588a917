// The fleet as discovery describes it: the shard map, and the index servers with their addresses and zones.
#pragma once

#include <map>
#include <string>

#include "net/socket.hpp"
#include "placement/map_text.hpp"
#include "placement/shard_map.hpp"

namespace pinedoor::tool {

struct FleetView {
    placement::ShardMap map;
    std::map<std::string, net::Endpoint> boxes;
    std::map<std::string, std::string> zones;  // by box name
};

// Fetches the map at `path` and the server list, each within `timeout_ms` milliseconds. Throws CommandError
// if either is missing or cannot be used.
FleetView fetch_fleet(net::Endpoint discovery, const std::string& path, placement::ServerNames& names,
                      int timeout_ms);

}  // namespace pinedoor::tool
