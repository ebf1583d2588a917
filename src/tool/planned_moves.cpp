#include "tool/planned_moves.hpp"

#include <utility>

namespace pinedoor::tool {

using namespace placement;

std::vector<store::JournalMove> moves_between(ShardId shard, Epoch epoch, const std::vector<Replica>& before,
                                              const std::vector<Replica>& after) {
    std::vector<store::JournalMove> moves;
    const auto add = [&](MoveKind kind, ServerNumber from, ServerNumber to) {
        store::JournalMove move;
        move.move = {0, shard, from, to, epoch, MoveStep::kPrepare, kind, {}};
        moves.push_back(std::move(move));
    };
    std::vector<ServerNumber> removed, added;
    for (const auto& each : before) {
        if (!is_on(after, each.box)) removed.push_back(each.box);
    }
    for (const auto& each : after) {
        if (!is_on(before, each.box)) added.push_back(each.box);
    }
    // Copies come first and removals last, so that a shard never has fewer replicas than before.
    const auto owner = owner_of(before), next = owner_of(after);
    const bool owner_removed = owner != next && std::erase(removed, owner) > 0;
    const bool owner_added = owner != next && std::erase(added, next) > 0;
    if (owner_removed && owner_added) add(MoveKind::kOwner, owner, next);
    if (owner_added && !owner_removed) add(MoveKind::kCopy, owner, next);
    while (!removed.empty() && !added.empty()) {
        add(MoveKind::kReader, removed.back(), added.back());
        removed.pop_back();
        added.pop_back();
    }
    const auto source = owner_removed && owner_added ? next : owner;
    for (const auto box : added) add(MoveKind::kCopy, source, box);
    if (owner != next && !(owner_removed && owner_added)) add(MoveKind::kPass, owner, next);
    for (const auto box : removed) add(MoveKind::kRemove, box, 0);
    if (owner_removed && !owner_added) add(MoveKind::kRemove, owner, 0);
    return moves;
}

}  // namespace pinedoor::tool
