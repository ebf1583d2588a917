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

std::vector<Action> Mover::start(Time now, bool abort_requested) {
    now_ = now;
    // A saved step is durable. Answers received before a restart are lost, so its requests are sent again.
    step_saved_ = move_.step != MoveStep::kPrepare;
    if (abort_requested && can_undo()) {
        enter_step(MoveStep::kUndo);
        return std::exchange(actions_, {});
    }
    if (abort_requested) on(AbortRequested{});
    if (!step_saved_) actions_.emplace_back(Keep{move_});
    send_requests();
    return std::exchange(actions_, {});
}

std::vector<Action> Mover::take(Time now, const Event& event) {
    now_ = now;
    std::visit([this](const auto& what) { on(what); }, event);
    return std::exchange(actions_, {});
}

void Mover::enter_step(MoveStep step) {
    move_.step = step;
    step_saved_ = false;
    actions_.emplace_back(Keep{move_});
}

// Sends the requests of the current step once the step is durable, and schedules their repetition.
void Mover::send_requests() {
    if (!step_saved_ || ended()) return;
    if (paused_ && move_.step <= MoveStep::kCatchUp) return;
    switch (move_.step) {
        case MoveStep::kPrepare: actions_.emplace_back(RequestCopy{}); break;
        case MoveStep::kCatchUp: actions_.emplace_back(RequestLag{}); break;
        case MoveStep::kFence:
            if (fence_requested_at_ < 0) fence_requested_at_ = now_;
            if (fenced_)
                actions_.emplace_back(RequestCatchUp{fence_position_});
            else
                actions_.emplace_back(RequestFence{});
            break;
        case MoveStep::kSwitch:
            // `to` must not own the shard before the map is published: the map may still refuse the change.
            if (published_)
                actions_.emplace_back(RequestOwn{});
            else
                actions_.emplace_back(Publish{});
            break;
        case MoveStep::kDrain: actions_.emplace_back(RequestDrained{}); break;
        case MoveStep::kRetire: actions_.emplace_back(RequestDrop{move_.from}); break;
        case MoveStep::kUndo:
            if (!unfenced_) actions_.emplace_back(RequestUnfence{});
            if (!dropped_) actions_.emplace_back(RequestDrop{move_.to});
            break;
        case MoveStep::kDone:
        case MoveStep::kUndone: return;
    }
    last_request_at_ = now_;
    actions_.emplace_back(Wake{now_ + config_.request_retry_interval});
}

void Mover::on(const Kept& kept) {
    if (kept.step != move_.step) return;  // delayed confirmation of an earlier step
    step_saved_ = true;
    if (ended()) {
        actions_.emplace_back(Ended{move_.step == MoveStep::kDone});
        return;
    }
    send_requests();
}

void Mover::on(const Copied&) {
    if (move_.step == MoveStep::kPrepare && step_saved_) enter_step(MoveStep::kCatchUp);
}

void Mover::on(const CopyLag& missing) {
    if (move_.step != MoveStep::kCatchUp || !step_saved_ || paused_) return;
    if (missing.much <= config_.max_lag_at_fence) enter_step(MoveStep::kFence);
}

void Mover::on(const Fenced& fenced) {
    if (move_.step != MoveStep::kFence || !step_saved_ || fenced_) return;
    fenced_ = true;
    fence_position_ = fenced.upto;
    send_requests();
}

void Mover::on(const CaughtUp& reached) {
    if (move_.step != MoveStep::kFence || !step_saved_ || !fenced_) return;
    if (reached.upto < fence_position_) return;  // answers an earlier request
    enter_step(MoveStep::kSwitch);
}

void Mover::on(const Published&) {
    if (move_.step != MoveStep::kSwitch || !step_saved_ || published_) return;
    published_ = true;
    send_requests();
}

// No request to own was sent yet, so the old owner may resume.
void Mover::on(const PublishRefused&) {
    if (move_.step == MoveStep::kSwitch && step_saved_ && !published_) enter_step(MoveStep::kUndo);
}

void Mover::on(const Owns&) {
    if (move_.step == MoveStep::kSwitch && step_saved_ && published_) enter_step(MoveStep::kDrain);
}

void Mover::on(const Drained&) {
    if (move_.step == MoveStep::kDrain && step_saved_) enter_step(MoveStep::kRetire);
}

void Mover::on(const Dropped& dropped) {
    if (move_.step == MoveStep::kRetire && step_saved_ && dropped.box == move_.from)
        return enter_step(MoveStep::kDone);
    if (move_.step != MoveStep::kUndo || !step_saved_ || dropped.box != move_.to) return;
    dropped_ = true;
    if (unfenced_) enter_step(MoveStep::kUndone);
}

void Mover::on(const Unfenced&) {
    if (move_.step != MoveStep::kUndo || !step_saved_) return;
    unfenced_ = true;
    if (dropped_) enter_step(MoveStep::kUndone);
}

void Mover::on(const AbortRequested&) {
    if (move_.step == MoveStep::kUndo || ended()) return;
    if (!can_undo()) {
        actions_.emplace_back(CannotAbort{});
        return;
    }
    enter_step(MoveStep::kUndo);
}

void Mover::on(const Pause&) { paused_ = true; }

void Mover::on(const Resume&) {
    if (std::exchange(paused_, false)) send_requests();
}

void Mover::on(const Tick&) {
    if (move_.step == MoveStep::kFence && fence_requested_at_ >= 0 &&
        now_ - fence_requested_at_ >= config_.max_fence_duration)
        return enter_step(MoveStep::kUndo);  // no server runs a fenced shard, so its old owner must resume
    if (step_saved_ && !ended() && now_ - last_request_at_ >= config_.request_retry_interval)
        return send_requests();
    // Repeats the save too, since it may have failed without a report.
    if (!step_saved_ && now_ - last_request_at_ >= config_.request_retry_interval) {
        actions_.emplace_back(Keep{move_});
        last_request_at_ = now_;
        actions_.emplace_back(Wake{now_ + config_.request_retry_interval});
    }
}

std::string Mover::state() const {
    std::string text(name_of(move_.step));
    for (const bool flag : {step_saved_, paused_, fenced_, published_, unfenced_, dropped_})
        text += flag ? '1' : '0';
    return text + std::to_string(fence_position_);
}

}  // namespace pinedoor::placement
