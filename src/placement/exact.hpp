// The best placement there is, for small fleets, by GLPK's branch and bound (libglpk, GLPK reference manual
// 4.45 on). Minimizes the load of the fullest box first, and what is moved second, under what the planner
// must keep (planner.hpp). It grows with shards times boxes in whole numbers: some hundred of those are what
// it can do in seconds.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "placement/planner.hpp"

namespace pinedoor::placement {

struct Exact {
    std::vector<std::vector<Replica>> target;
    double fullest = 0;
    bool proven = false;  // else the time ran out on the way, and this is the best that was found
};

// None, with why told, if there is no such placement or libglpk cannot be loaded.
std::optional<Exact> exact_target(const Fleet& fleet, int most_seconds, std::string& why);

}  // namespace pinedoor::placement
