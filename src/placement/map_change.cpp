#include "placement/map_change.hpp"

#include <algorithm>
#include <variant>

namespace pinedoor::placement {
namespace {

const char* const kShardGone = "the shard is not in the map any more";
const char* const kOtherOwner = "the shard has another owner by now";

std::string refusal_of(const std::vector<Step>& steps, ShardMap map) {
    for (const auto& step : steps) {
        auto next = map.after(step);
        if (const auto* refused = std::get_if<ShardMap::Refused>(&next)) return refused->why;
        map = std::get<ShardMap>(std::move(next));
    }
    return {};
}

// Whether somebody else than the two servers of the move owns a shard that the move fences. That owner was
// not fenced, and what it ran is not at `to`.
bool has_other_owner(const Move& move, const ShardMap& map) {
    if (!is_fenced(move.kind)) return false;
    const auto before = parents(move, map);
    return std::any_of(before.begin(), before.end(), [&move](const Shard* shard) {
        return shard != nullptr && shard->owner() != move.from && shard->owner() != move.to;
    });
}

}  // namespace

bool is_cut(MoveKind kind) { return kind == MoveKind::kSplit || kind == MoveKind::kMerge; }

bool is_fenced(MoveKind kind) { return is_cut(kind) || kind == MoveKind::kOwner || kind == MoveKind::kPass; }

std::vector<ShardId> parent_ids(const Move& move) {
    std::vector<ShardId> ids{move.shard};
    if (move.kind == MoveKind::kMerge) ids.push_back(move.cut.other);
    return ids;
}

std::vector<const Shard*> parents(const Move& move, const ShardMap& map) {
    std::vector<const Shard*> found;
    for (const auto id : parent_ids(move)) found.push_back(map.find(id));
    return found;
}

std::vector<const Shard*> children(const Move& move, const ShardMap& map) {
    std::vector<const Shard*> found{map.find(move.cut.lower)};
    if (move.kind == MoveKind::kSplit) found.push_back(map.find(move.cut.upper));
    return found;
}

std::vector<Step> unpublished_steps(const Move& move, const ShardMap& map) {
    if (is_cut(move.kind) && children(move, map).front() != nullptr) return {};
    if (move.kind == MoveKind::kSplit)
        return {Split{move.shard, move.cut.at, move.cut.lower, move.cut.upper}};
    if (move.kind == MoveKind::kMerge) return {Merge{move.shard, move.cut.other, move.cut.lower}};
    const auto* shard = map.find(move.shard);
    if (shard == nullptr) return {};
    const bool adds =
        move.kind == MoveKind::kOwner || move.kind == MoveKind::kReader || move.kind == MoveKind::kCopy;
    const bool passes = move.kind == MoveKind::kOwner || move.kind == MoveKind::kPass;
    const bool removes =
        move.kind == MoveKind::kOwner || move.kind == MoveKind::kReader || move.kind == MoveKind::kRemove;
    std::vector<Step> steps;
    if (adds && !is_on(shard->replicas, move.to)) steps.push_back(AddReader{move.shard, move.to});
    if (passes && shard->owner() != move.to) steps.push_back(PassOwnership{move.shard, move.to});
    if (removes && is_on(shard->replicas, move.from)) steps.push_back(RemoveReader{move.shard, move.from});
    return steps;
}

std::string publish_refusal(const Move& move, const ShardMap& map) {
    if (!is_cut(move.kind) && map.find(move.shard) == nullptr) return kShardGone;
    const auto steps = unpublished_steps(move, map);
    if (!steps.empty() && has_other_owner(move, map)) return kOtherOwner;
    return refusal_of(steps, map);
}

std::string begin_refusal(const Move& move, const ShardMap& map) {
    const auto* shard = map.find(move.shard);
    if (shard == nullptr) return kShardGone;
    if (is_fenced(move.kind) && shard->owner() != move.from) return kOtherOwner;
    return publish_refusal(move, map);
}

bool shows_unpublished(const Move& move, const ShardMap& map) {
    if (is_cut(move.kind)) {
        const auto before = parents(move, map);
        return std::any_of(before.begin(), before.end(), [](const Shard* shard) { return shard != nullptr; });
    }
    const auto* shard = map.find(move.shard);
    return shard != nullptr && (!is_fenced(move.kind) || shard->owner() == move.from);
}

}  // namespace pinedoor::placement
