#include "policy/list_follower.hpp"

#include <algorithm>
#include <utility>

namespace pinedoor::policy {
namespace {

constexpr int kServed = 200;       // calls, in twice the stated time
constexpr int kMostBeside = 5;     // calls that may be unanswered when another is made
constexpr int kMostCounted = 100;  // refusals: from then on a pause is at its longest anyway

}  // namespace

std::vector<ListEntry> KnownList::apply(const ListNews& news) {
    std::vector<ListEntry> told;
    if (news.kind != ListKind::kChanges) {
        for (auto& [id, entry] : listed_) {
            entry.state = ServerState::kGone;
            told.push_back(entry);
        }
        listed_.clear();
    }
    for (const auto& entry : news.entries) {
        listed_[entry.server] = entry;
        if (entry.state == ServerState::kGone) listed_.erase(entry.server);
        told.push_back(entry);
    }
    return told;
}

int KnownList::count_ready() const {
    const auto is_ready = [](const auto& each) { return each.second.state == ServerState::kReady; };
    return static_cast<int>(std::count_if(listed_.begin(), listed_.end(), is_ready));
}

ListFollower::ListFollower(Inboxes& inboxes, ListTerms terms, int front_nodes)
    : inboxes_(inboxes), terms_(terms),
      fleet_span_(terms.own_agent ? longest_pause() : terms.must_ask_in * front_nodes / kServed),
      lease_(terms) {}

void ListFollower::take(const Tick&) {
    if (!terms_.ask) return;
    judge_lease();
    if (watching_) return;
    if (ask_at_ == 0) {
        span_ = first_span();
        ask_at_ = inboxes_.now + inboxes_.random_part(span_);
    }
    if (inboxes_.now >= ask_at_) call();
}

// Asked well within the stated time, and again while no word has come: a lost call must not leave this node
// sending by an old list. While a list is held calls are made beside each other, sooner as its lease ends.
void ListFollower::call() {
    const bool may_overlap = holds_list() && !terms_.own_agent;
    called_at_ = inboxes_.now;
    inboxes_.actions.emplace_back(WatchList{lease_.longest_silence(), may_overlap ? kMostBeside : 0});
    const Time again = terms_.must_ask_in / 4 + inboxes_.random_part(terms_.must_ask_in / 8);
    ask_at_ = inboxes_.now + (may_overlap ? lease_.patience(inboxes_.now) : again);
}

void ListFollower::take(const ListNews& news) {
    if (news.kind == ListKind::kFailed || news.kind == ListKind::kMoved) return call_ended(news);
    watching_ |= news.kind != ListKind::kSaved;
    lease_.heard(inboxes_.now);
    known_age_ = watching_ ? 0 : news.age;
    ask_within_ = std::max(terms_.must_ask_in / 4, watching_ ? 0 : terms_.must_ask_in - news.age);
    for (const auto& entry : listed_.apply(news)) inboxes_.tell(entry);
    inboxes_.overload.push_back(ReadyServers{listed_.count_ready()});
}

void ListFollower::call_ended(const ListNews& news) {
    const bool was_watching = std::exchange(watching_, false);
    if (news.unheard)
        lease_.heard(inboxes_.now - *news.unheard);
    else if (was_watching)
        lease_.heard(inboxes_.now);
    if (news.answered_in_part)
        lease_.answered_in_part(inboxes_.now);
    else
        lease_.refused();
    if (news.kind == ListKind::kMoved)
        ask_at_ = inboxes_.now + lease_.patience(inboxes_.now);
    else if (was_watching)
        watch_ended();
    else
        call_refused();
    judge_lease();
}

// A watch that is open keeps the lease: one that falls silent is ended within it.
void ListFollower::judge_lease() {
    const bool expired = terms_.ask && !watching_ && lease_.is_expired(inboxes_.now);
    const bool forbidden = expired && lease_.forbids_sends(inboxes_.now);
    if (std::exchange(inboxes_.list_forbids_sends, forbidden) != forbidden)
        inboxes_.actions.emplace_back(
            LogLine{forbidden ? "list_lease: expired, discovery answers and not whole: requests are shed"
                              : "list_lease: requests are served again"});
    if (std::exchange(expired_, expired) != expired)
        inboxes_.actions.emplace_back(LogLine{expired ? "list_lease: expired" : "list_lease: granted anew"});
}

// A watch may end instead of telling what has changed. Guards drains: the list held may be out of date from
// now on, so that discovery is asked again as soon as the other front nodes' calls allow.
void ListFollower::watch_ended() {
    refused_on_end_ = 0;
    span_ = std::min({first_span(), longest_pause(), lease_.longest_pause(inboxes_.now)});
    ask_at_ = std::max(inboxes_.now + inboxes_.random_part(span_), called_at_ + least_pause());
}

// What refuses may be serving other front nodes, and will serve this one soon; after some refusals in a row
// it is taken to be down or crowded. While a list is held its lease bounds the pause. Once the widest span
// was used most others have been served: half of it will do from then on. The least pause keeps this node
// from calling in a storm, however quickly its calls end.
void ListFollower::call_refused() {
    const Time widest = listed_.empty() ? 3 * fleet_span_ : std::min(3 * fleet_span_, 2 * terms_.must_ask_in);
    span_ = span_ < widest / 2 ? std::min(3 * span_, widest) : widest / 2;
    refused_on_end_ = std::min(refused_on_end_ + 1, kMostCounted);
    const Time pause = std::min(longest_pause(), refused_on_end_ * fleet_span_);
    const Time spread = span_ > longest_pause() ? span_ : pause;
    const Time bound = holds_list() ? lease_.longest_pause(inboxes_.now) : spread;
    ask_at_ = inboxes_.now + least_pause() + inboxes_.random_part(std::min(spread, bound));
}

// Guards discovery: all front nodes start together after a loss of power, and all watches end together when
// it does. Who must be asked within a stated time is taken to serve a hundred calls in it: those of all nodes
// are spread at random over half of what that takes, and over more once some are refused. While a list is
// held, it must not grow old: the older it is at the start, the sooner discovery is asked.
Time ListFollower::first_span() const {
    return holds_list() ? std::min({fleet_span_, ask_within_, lease_.first_span(known_age_)}) : fleet_span_;
}

}  // namespace pinedoor::policy
