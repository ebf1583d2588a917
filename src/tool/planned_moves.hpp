// The moves that a plan makes of a shard's replicas before and after it.
#pragma once

#include <vector>

#include "placement/shard_map.hpp"
#include "store/move_journal.hpp"

namespace pinedoor::tool {

// Returns the moves that change the replicas from `before` to `after`, one for each changed replica, in the
// order in which they must run.
std::vector<store::JournalMove> moves_between(placement::ShardId shard, placement::Epoch epoch,
                                              const std::vector<placement::Replica>& before,
                                              const std::vector<placement::Replica>& after);

}  // namespace pinedoor::tool
