#include "policy/list_follower.hpp"

#include <algorithm>
#include <utility>

namespace pinedoor::policy {
namespace {

constexpr int kCallsServed = 200;      // calls that discovery is assumed to serve in twice `refresh_within`
constexpr int kMaxOtherCalls = 5;      // unanswered calls beside which another one may be made
constexpr int kMaxRefusalCount = 100;  // the pause has reached its maximum long before

}  // namespace

std::vector<ListEntry> KnownList::apply(const ListUpdate& update) {
    std::vector<ListEntry> changed;
    if (update.kind != ListUpdateKind::kChanges) {
        for (auto& [id, entry] : listed_) {
            entry.state = ServerState::kGone;
            changed.push_back(entry);
        }
        listed_.clear();
    }
    for (const auto& entry : update.entries) {
        listed_[entry.server] = entry;
        if (entry.state == ServerState::kGone) listed_.erase(entry.server);
        changed.push_back(entry);
    }
    return changed;
}

int KnownList::count_ready() const {
    const auto is_ready = [](const auto& listed) { return listed.second.state == ServerState::kReady; };
    return static_cast<int>(std::count_if(listed_.begin(), listed_.end(), is_ready));
}

ListFollower::ListFollower(Inboxes& inboxes, ServerListConfig config, int front_nodes)
    : inboxes_(inboxes), config_(config),
      fleet_span_(config.dedicated_agent ? max_pause() : config.refresh_within * front_nodes / kCallsServed),
      lease_(config) {}

void ListFollower::handle(const Tick&) {
    if (!config_.ask) return;
    check_lease();
    if (watching_) return;
    if (call_at_ == 0) {
        span_ = first_span();
        call_at_ = inboxes_.now + inboxes_.random_up_to(span_);
    }
    if (inboxes_.now >= call_at_) call();
}

// Discovery is called well before it has to be, and again while no answer has arrived: a lost call must not
// leave this node sending by an outdated list. While a list is held, calls may overlap, and follow each other
// faster as the lease runs out.
void ListFollower::call() {
    const bool may_overlap = holds_list() && !config_.dedicated_agent;
    called_at_ = inboxes_.now;
    inboxes_.actions.emplace_back(WatchServerList{lease_.max_silence(), may_overlap ? kMaxOtherCalls : 0});
    const Time retry_after = config_.refresh_within / 4 + inboxes_.random_up_to(config_.refresh_within / 8);
    call_at_ = inboxes_.now + (may_overlap ? lease_.overdue_timeout(inboxes_.now) : retry_after);
}

void ListFollower::handle(const ListUpdate& update) {
    if (update.kind == ListUpdateKind::kFailed || update.kind == ListUpdateKind::kMoved)
        return on_call_ended(update);
    watching_ |= update.kind != ListUpdateKind::kSaved;
    lease_.on_contact(inboxes_.now);
    saved_age_ = watching_ ? 0 : update.age;
    call_within_ = std::max(config_.refresh_within / 4, watching_ ? 0 : config_.refresh_within - update.age);
    for (const auto& entry : listed_.apply(update)) inboxes_.post(entry);
    inboxes_.overload.push_back(ReadyServers{listed_.count_ready()});
}

void ListFollower::on_call_ended(const ListUpdate& update) {
    const bool was_watching = std::exchange(watching_, false);
    if (update.unheard)
        lease_.on_contact(inboxes_.now - *update.unheard);
    else if (was_watching)
        lease_.on_contact(inboxes_.now);
    if (update.answered_in_part)
        lease_.on_incomplete_answer(inboxes_.now);
    else
        lease_.on_refusal();
    if (update.kind == ListUpdateKind::kMoved)
        call_at_ = inboxes_.now + lease_.overdue_timeout(inboxes_.now);
    else if (was_watching)
        on_watch_ended();
    else
        on_call_refused();
    check_lease();
}

// An open watch keeps the lease: a silent watch is closed before the lease expires.
void ListFollower::check_lease() {
    const bool expired = config_.ask && !watching_ && lease_.is_expired(inboxes_.now);
    const bool forbidden = expired && lease_.forbids_sends(inboxes_.now);
    if (std::exchange(inboxes_.lease_forbids_sends, forbidden) != forbidden)
        inboxes_.actions.emplace_back(
            LogLine{forbidden ? "list_lease: expired, discovery answers and not whole: requests are shed"
                              : "list_lease: requests are served again"});
    if (std::exchange(expired_, expired) != expired)
        inboxes_.actions.emplace_back(LogLine{expired ? "list_lease: expired" : "list_lease: granted anew"});
}

// Discovery may end a watch instead of sending a change, for example a drain. The list may therefore be out
// of date from now on, and discovery is called again as soon as the calls of the other front nodes allow.
void ListFollower::on_watch_ended() {
    refusals_in_a_row_ = 0;
    span_ = std::min({first_span(), max_pause(), lease_.max_pause(inboxes_.now)});
    call_at_ = std::max(inboxes_.now + inboxes_.random_up_to(span_), called_at_ + min_pause());
}

// A discovery that refuses may be serving other front nodes, and will serve this one soon; after several
// refusals in a row it is assumed to be down or overloaded. While a list is held, its lease limits the pause.
// Once the widest span has been used, most other front nodes have been served, and half of it is enough. The
// minimum pause prevents a call storm, however quickly the calls end.
void ListFollower::on_call_refused() {
    const Time max_span =
        listed_.empty() ? 3 * fleet_span_ : std::min(3 * fleet_span_, 2 * config_.refresh_within);
    span_ = span_ < max_span / 2 ? std::min(3 * span_, max_span) : max_span / 2;
    refusals_in_a_row_ = std::min(refusals_in_a_row_ + 1, kMaxRefusalCount);
    const Time pause = std::min(max_pause(), refusals_in_a_row_ * fleet_span_);
    const Time spread = span_ > max_pause() ? span_ : pause;
    const Time limit = holds_list() ? lease_.max_pause(inboxes_.now) : spread;
    call_at_ = inboxes_.now + min_pause() + inboxes_.random_up_to(std::min(spread, limit));
}

// Protects discovery: all front nodes start together after a power loss, and all watches end together when
// discovery stops. Discovery is assumed to serve 100 calls within the time in which each front node must call
// it. The calls of all front nodes are spread at random over half of the time that this takes, and over more
// once some are refused. A held list must not become outdated: the older it was at the start, the sooner
// discovery is called.
Time ListFollower::first_span() const {
    return holds_list() ? std::min({fleet_span_, call_within_, lease_.first_span(saved_age_)}) : fleet_span_;
}

}  // namespace pinedoor::policy
