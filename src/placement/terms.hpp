// What an installation states of placement ([placement] in deploy/pinedoor.toml). Off unless it is on.
#pragma once

#include <map>
#include <string>

#include "placement/gatherer.hpp"
#include "placement/heat.hpp"
#include "placement/map_follower.hpp"

namespace pinedoor::placement {

struct PlacementTerms {
    bool on = false;
    std::string path = "/discovery/shards";  // at discovery, where the map is told
    std::map<std::string, MergeRule> merge;  // by op type; whole for others
    double further_share = 0.25;             // of the budget for further sends, for what is asked for again
    int most_legs = 4;
    Time ask_again = 200;
    HeatTerms heat;
    FollowTerms follow;
};

}  // namespace pinedoor::placement
