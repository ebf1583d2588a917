// What a move changes in the shard map, and whether a map allows the change. Functions of a move and a map
// only; they do no I/O.
#pragma once

#include <string>
#include <vector>

#include "placement/mover.hpp"
#include "placement/shard_map.hpp"

namespace pinedoor::placement {

// Whether moves of this kind replace shards by others in place: a split or a merge.
bool is_cut(MoveKind kind);
// Whether the owner is fenced during a move of this kind.
bool is_fenced(MoveKind kind);

// Of a split or a merge: the ids of the shards that it replaces, and the shards before and after publication;
// null where the map does not have the shard.
std::vector<ShardId> parent_ids(const Move& move);
std::vector<const Shard*> parents(const Move& move, const ShardMap& map);
std::vector<const Shard*> children(const Move& move, const ShardMap& map);

// Returns the changes that are still to be published; empty if the map has them all.
std::vector<Step> unpublished_steps(const Move& move, const ShardMap& map);
// Why the map does not allow the rest of the change; empty: it does. A map allows no change of a shard whose
// owner the move has not fenced.
std::string publish_refusal(const Move& move, const ShardMap& map);
// The same for a move that has not begun, whose shard must still have the owner that it is planned for.
std::string begin_refusal(const Move& move, const ShardMap& map);
// Whether the map shows that the change was never published: what it would have replaced is still there.
bool shows_unpublished(const Move& move, const ShardMap& map);

}  // namespace pinedoor::placement
