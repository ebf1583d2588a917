#include "placement/mover.hpp"

#include <array>
#include <utility>

namespace pinedoor::placement {

using namespace moving;

std::string_view name_of(MoveStep step) {
    static constexpr std::array<std::string_view, 9> kNames{"prepare", "catch-up", "fence", "switch", "drain",
                                                            "retire",  "done",     "undo",  "undone"};
    return kNames.at(static_cast<std::size_t>(step));
}

std::string_view name_of(MoveKind kind) {
    static constexpr std::array<std::string_view, 7> kNames{"owner",  "pass",  "reader", "copy",
                                                            "remove", "split", "merge"};
    return kNames.at(static_cast<std::size_t>(kind));
}

std::optional<MoveKind> move_kind_named(std::string_view name) {
    for (int kind = 0; kind <= static_cast<int>(MoveKind::kMerge); ++kind) {
        if (name_of(static_cast<MoveKind>(kind)) == name) return static_cast<MoveKind>(kind);
    }
    return std::nullopt;
}

std::optional<MoveStep> move_step_named(std::string_view name) {
    for (int step = 0; step <= static_cast<int>(MoveStep::kUndone); ++step) {
        if (name_of(static_cast<MoveStep>(step)) == name) return static_cast<MoveStep>(step);
    }
    return std::nullopt;
}

std::vector<Action> Mover::start(Time now) {
    now_ = now;
    // A saved step is durable. Answers received before a restart are lost, so its requests are sent again.
    kept_ = move_.step != MoveStep::kPrepare;
    if (!kept_) actions_.emplace_back(Keep{move_});
    ask();
    return std::exchange(actions_, {});
}

std::vector<Action> Mover::take(Time now, const Event& event) {
    now_ = now;
    std::visit([this](const auto& what) { on(what); }, event);
    return std::exchange(actions_, {});
}

void Mover::go(MoveStep step) {
    move_.step = step;
    kept_ = false;
    actions_.emplace_back(Keep{move_});
}

// Sends the requests of the current step once the step is durable, and schedules their repetition.
void Mover::ask() {
    if (!kept_ || ended()) return;
    if (paused_ && move_.step <= MoveStep::kCatchUp) return;
    switch (move_.step) {
        case MoveStep::kPrepare: actions_.emplace_back(AskCopy{}); break;
        case MoveStep::kCatchUp: actions_.emplace_back(AskMissing{}); break;
        case MoveStep::kFence:
            if (fence_since_ < 0) fence_since_ = now_;
            if (fenced_)
                actions_.emplace_back(AskReach{fence_at_});
            else
                actions_.emplace_back(AskFence{});
            break;
        case MoveStep::kSwitch:
            // Both are requested at once: activating `to` before publishing the map would lengthen the time
            // during which front nodes are refused. Either order is safe, since only `to` runs parts of the
            // new epoch.
            if (!published_) actions_.emplace_back(Publish{});
            actions_.emplace_back(AskOwn{});
            break;
        case MoveStep::kDrain: actions_.emplace_back(AskDrained{}); break;
        case MoveStep::kRetire: actions_.emplace_back(AskDrop{move_.from}); break;
        case MoveStep::kUndo:
            if (!unfenced_) actions_.emplace_back(AskUnfence{});
            if (!dropped_) actions_.emplace_back(AskDrop{move_.to});
            break;
        case MoveStep::kDone:
        case MoveStep::kUndone: return;
    }
    asked_at_ = now_;
    actions_.emplace_back(Wake{now_ + terms_.ask_again});
}

void Mover::on(const Kept& kept) {
    if (kept.step != move_.step) return;  // delayed confirmation of an earlier step
    kept_ = true;
    if (ended()) {
        actions_.emplace_back(Ended{move_.step == MoveStep::kDone});
        return;
    }
    ask();
}

void Mover::on(const Copied&) {
    if (move_.step == MoveStep::kPrepare && kept_) go(MoveStep::kCatchUp);
}

void Mover::on(const Missing& missing) {
    if (move_.step != MoveStep::kCatchUp || !kept_ || paused_) return;
    if (missing.much <= terms_.close_enough) go(MoveStep::kFence);
}

void Mover::on(const Fenced& fenced) {
    if (move_.step != MoveStep::kFence || !kept_ || fenced_) return;
    fenced_ = true;
    fence_at_ = fenced.upto;
    ask();
}

void Mover::on(const Reached& reached) {
    if (move_.step != MoveStep::kFence || !kept_ || !fenced_) return;
    if (reached.upto < fence_at_) return;  // answers an earlier request
    go(MoveStep::kSwitch);
}

void Mover::on(const Published&) {
    if (move_.step == MoveStep::kSwitch) published_ = true;
}

void Mover::on(const Owns&) {
    if (move_.step == MoveStep::kSwitch && kept_ && published_) go(MoveStep::kDrain);
}

void Mover::on(const Drained&) {
    if (move_.step == MoveStep::kDrain && kept_) go(MoveStep::kRetire);
}

void Mover::on(const Dropped& dropped) {
    if (move_.step == MoveStep::kRetire && kept_ && dropped.box == move_.from) return go(MoveStep::kDone);
    if (move_.step != MoveStep::kUndo || !kept_ || dropped.box != move_.to) return;
    dropped_ = true;
    if (unfenced_) go(MoveStep::kUndone);
}

void Mover::on(const Unfenced&) {
    if (move_.step != MoveStep::kUndo || !kept_) return;
    unfenced_ = true;
    if (dropped_) go(MoveStep::kUndone);
}

void Mover::on(const AbortAsked&) {
    if (move_.step == MoveStep::kUndo || ended()) return;
    if (!may_undo()) {
        actions_.emplace_back(CannotAbort{});
        return;
    }
    go(MoveStep::kUndo);
}

void Mover::on(const Pause&) { paused_ = true; }

void Mover::on(const Resume&) {
    if (std::exchange(paused_, false)) ask();
}

void Mover::on(const Tick&) {
    if (move_.step == MoveStep::kFence && fence_since_ >= 0 && now_ - fence_since_ >= terms_.longest_fence)
        return go(MoveStep::kUndo);  // no server runs a fenced shard, so its old owner must resume
    if (kept_ && !ended() && now_ - asked_at_ >= terms_.ask_again) return ask();
    // Repeats the save too, since it may have failed without a report.
    if (!kept_ && now_ - asked_at_ >= terms_.ask_again) {
        actions_.emplace_back(Keep{move_});
        asked_at_ = now_;
        actions_.emplace_back(Wake{now_ + terms_.ask_again});
    }
}

std::string Mover::state() const {
    std::string text(name_of(move_.step));
    for (const bool flag : {kept_, paused_, fenced_, published_, unfenced_, dropped_})
        text += flag ? '1' : '0';
    return text + std::to_string(fence_at_);
}

}  // namespace pinedoor::placement
