// Settings of placement ([placement] in deploy/pinedoor.toml).
#pragma once

#include <map>
#include <string>

#include "placement/gatherer.hpp"
#include "placement/heat.hpp"
#include "placement/map_follower.hpp"

namespace pinedoor::placement {

struct PlacementConfig {
    bool on = false;
    std::string path = "/discovery/shards";  // URL path of the map at discovery
    std::map<std::string, MergeRule> merge;  // by op type; kWhole for those not listed
    double further_share = 0.25;  // share of the further-send budget reserved for repeated fragments
    int max_rounds = 4;           // limit on rounds per multiget
    Time ask_again = 200;         // GathererConfig::ask_again
    LoadTrackerConfig heat;
    MapFollowerConfig follow;
};

}  // namespace pinedoor::placement
