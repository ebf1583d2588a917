// Optimal placement for small fleets by GLPK's branch and bound (libglpk, GLPK reference manual 4.45 and
// later). Minimizes the highest load of a server first and the moved data second, under the planner's
// constraints (planner.hpp). The number of integer variables grows with shards times servers; a few hundred
// of them can be solved within seconds.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "placement/planner.hpp"

namespace pinedoor::placement {

struct ExactTarget {
    std::vector<std::vector<Replica>> target;
    double fullest = 0;
    bool proven = false;  // false: the time limit was reached, and this is the best solution found
};

// Returns nothing and sets `why` if there is no such placement or libglpk cannot be loaded.
std::optional<ExactTarget> exact_target(const Fleet& fleet, int time_limit_s, std::string& why);

}  // namespace pinedoor::placement
