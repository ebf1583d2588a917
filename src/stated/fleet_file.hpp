// Reads the TOML description of a fleet for `pinedoor shards check` and `plan` (example in
// docs/placement.md):
//
//   [limits]   fill, balance_tolerance, max_balancing_copies, at_once, at_once_box, sound
//   [[boxes]]  name, zone, capacity, space, draining
//   [[shards]] id, replicas = ["s-1", "s-2"] (the first is the owner), reads, writes, size, wanted, pinned,
//              never_on
#pragma once

#include <string>

#include "placement/map_text.hpp"
#include "placement/planner.hpp"
#include "stated/stated.hpp"

namespace pinedoor::stated {

// The parsed fleet, with the names of its boxes and zones; a zone's number is its index in `zones`.
struct FleetFile {
    placement::Fleet fleet;
    placement::ServerNames names;
    std::vector<std::string> zones;
};

// Both throw ConfigError; the message names the file, the line, the key and how to correct it.
FleetFile read_fleet_file(const std::string& path);
FleetFile parse_fleet(std::string_view text, const std::string& path);

}  // namespace pinedoor::stated
