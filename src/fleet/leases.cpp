#include "fleet/leases.hpp"

#include <xxhash.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace pinedoor::fleet {
namespace {

constexpr std::size_t kMaxHolders = 4'096;
// After this many unanswered requests the voters are asked in turn for the owner.
constexpr int kMaxUnansweredRequests = 3;

// Rendezvous hash: orders names differently for each limit.
std::uint64_t rank(const std::string& limit, const std::string& name) {
    return XXH64(name.data(), name.size(), XXH64(limit.data(), limit.size(), 0));
}

}  // namespace

// Serves the smallest needs first: each gets at most an even part of what remains.
std::vector<double> max_min(double capacity, const std::vector<double>& needs) {
    std::vector<std::size_t> order(needs.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    std::sort(order.begin(), order.end(), [&](auto a, auto b) { return needs[a] < needs[b]; });
    std::vector<double> shares(needs.size());
    double remaining = std::max(0.0, capacity);
    for (std::size_t i = 0; i < order.size(); ++i) {
        const double even = remaining / static_cast<double>(order.size() - i);
        shares[order[i]] = std::clamp(needs[order[i]], 0.0, even);
        remaining -= shares[order[i]];
    }
    return shares;
}

// The votes of an earlier incarnation of this node are not stored. It grants no vote until each of them must
// have expired.
LeaseParticipant::LeaseParticipant(std::string limit, std::string self, std::uint64_t incarnation,
                                   LeaseConfig terms, Time started)
    : limit_(std::move(limit)), self_(std::move(self)), incarnation_(incarnation), terms_(std::move(terms)),
      may_vote_from_(started + terms_.grantor_duration(terms_.vote_duration)),
      // Request numbers differ between incarnations. Otherwise a delayed reply to an earlier incarnation
      // could be taken for a reply to a request of this one: its share or vote would be counted from the
      // later request and expire after the grantor has granted it to another node.
      last_request_number_((incarnation & 0x7fffffffU) << 32U) {}

bool LeaseParticipant::is_voter(const std::string& name) const {
    return std::find(terms_.voters.begin(), terms_.voters.end(), name) != terms_.voters.end();
}

void LeaseParticipant::set_members(const std::vector<std::string>& names) {
    candidate_.clear();
    for (const auto& name : names) {
        if (!is_voter(name)) continue;
        const auto ranked = std::pair(rank(limit_, name), name);
        if (candidate_.empty() || ranked > std::pair(rank(limit_, candidate_), candidate_)) candidate_ = name;
    }
}

LeaseMessage LeaseParticipant::make_message(LeaseMessage::Kind kind, std::uint64_t number) const {
    LeaseMessage message;
    message.kind = kind;
    message.limit = limit_;
    message.from = self_;
    message.incarnation = incarnation_;
    message.request_number = number;
    return message;
}

// The owner goes on. Otherwise a voter whose own vote is free becomes a candidate: the first by rendezvous
// hash at once, and each further one two renewals later. A dead owner is thus replaced when its votes expire,
// without waiting for membership to find it dead.
bool LeaseParticipant::seeks_ownership(Time now) const {
    if (!is_voter(self_) || now < may_vote_from_) return false;
    if (owns(now)) return true;
    if (now < vote_ends_at_) return voted_for_ == self_ && voted_incarnation_ == incarnation_;
    Time delay = 0;
    for (const auto& other : terms_.voters) {
        if (std::pair(rank(limit_, other), other) > std::pair(rank(limit_, self_), self_))
            delay += 2 * terms_.renew_interval;
    }
    return now >= std::max(vote_ends_at_, may_vote_from_) + delay;
}

// Messages to this node itself are handled at once.
void LeaseParticipant::send(const std::string& to, LeaseMessage message,
                            std::vector<OutgoingLeaseMessage>& out, Time now) {
    if (to != self_) {
        out.push_back({to, std::move(message)});
        return;
    }
    for (auto& each : take(now, message)) out.push_back(std::move(each));
}

std::vector<OutgoingLeaseMessage> LeaseParticipant::tick(Time now) {
    std::vector<OutgoingLeaseMessage> out;
    if (was_owner_ && !owns(now)) {
        was_owner_ = false;
        ++counts_.ownership_lost;
        holders_.clear();  // all granted shares have expired by now
    }
    if (held_until_ != 0 && now >= held_until_) {
        ++counts_.expired;
        held_until_ = 0;
        held_amount_ = 0;
    }
    if (!released_ && now >= request_votes_at_) {
        request_votes_at_ = now + terms_.renew_interval;
        if (seeks_ownership(now)) request_votes(now, out);
    }
    if (!released_ && now >= request_share_at_) {
        request_share_at_ = now + terms_.renew_interval;
        request_share(now, out);
    }
    next_tick_at_ = std::min(request_votes_at_, request_share_at_);
    return out;
}

// Returns a new request number. Several requests are kept, since a reply may arrive after the next request
// was sent.
std::uint64_t LeaseParticipant::record_request(std::map<std::uint64_t, Time>& requests, Time now) {
    constexpr std::size_t kMaxOutstanding = 32;
    if (requests.size() == kMaxOutstanding) requests.erase(requests.begin());
    requests[++last_request_number_] = now;
    return last_request_number_;
}

void LeaseParticipant::request_votes(Time now, std::vector<OutgoingLeaseMessage>& out) {
    const bool holds_votes =
        std::any_of(votes_.begin(), votes_.end(), [now](const auto& each) { return now < each.second; });
    if (owns(now) || !holds_votes)
        seeking_since_ = 0;
    else if (seeking_since_ == 0)
        seeking_since_ = now;
    // Two candidates that each hold and renew some of the votes would block each other for ever. A candidate
    // without a majority for as long as a vote lasts lets its votes expire, and waits for a number of further
    // renewals that differs by name and by attempt.
    if (seeking_since_ != 0 && now - seeking_since_ > terms_.vote_duration) {
        seeking_since_ = 0;
        const auto renewals = static_cast<Time>(1 + rank(limit_, self_ + std::to_string(++backoffs_)) % 8);
        request_votes_at_ =
            now + terms_.grantor_duration(terms_.vote_duration) + renewals * terms_.renew_interval;
        return;
    }
    const auto number = record_request(vote_requests_, now);
    for (const auto& voter : terms_.voters)
        send(voter, make_message(LeaseMessage::Kind::kVoteRequest, number), out, now);
}

void LeaseParticipant::request_share(Time now, std::vector<OutgoingLeaseMessage>& out) {
    if (++unanswered_requests_ > kMaxUnansweredRequests) owner_.clear();
    auto recipient = owner_.empty() ? candidate_ : owner_;
    if (unanswered_requests_ > kMaxUnansweredRequests && !terms_.voters.empty())
        recipient = terms_.voters[static_cast<std::size_t>(unanswered_requests_) % terms_.voters.size()];
    if (recipient.empty()) return;
    auto ask = make_message(LeaseMessage::Kind::kShareRequest, record_request(share_requests_, now));
    ask.amount = std::max(0.0, need_ - terms_.floor());
    ask.held_lease = held_lease_;
    send(recipient, std::move(ask), out, now);
}

std::vector<OutgoingLeaseMessage> LeaseParticipant::take(Time now, const LeaseMessage& message) {
    std::vector<OutgoingLeaseMessage> out;
    if (message.limit != limit_) return out;
    switch (message.kind) {
        case LeaseMessage::Kind::kVoteRequest:
            send(message.from, answer_vote_request(now, message), out, now);
            break;
        case LeaseMessage::Kind::kVoteReply: receive_vote(now, message); break;
        case LeaseMessage::Kind::kShareRequest:
            if (owns(now)) {
                send(message.from, grant_share(now, message), out, now);
            } else {
                ++counts_.not_owner_replies;
                auto refusal = make_message(LeaseMessage::Kind::kNotOwner, message.request_number);
                const auto& owner = now < vote_ends_at_ ? voted_for_ : candidate_;
                refusal.owner = owner == self_ ? "" : owner;
                send(message.from, std::move(refusal), out, now);
            }
            break;
        case LeaseMessage::Kind::kShareGrant:
            // Moves to later leases only: the owner counts the lease that this node last reported as in use,
            // and all later ones.
            if (released_) break;  // the owner has been told that this node holds nothing
            if (message.request_number <= held_lease_ || !share_requests_.contains(message.request_number))
                break;
            unanswered_requests_ = 0;
            owner_ = message.from;
            held_lease_ = message.request_number;
            held_amount_ = message.amount;
            held_until_ = share_requests_.at(message.request_number) + message.duration;
            break;
        case LeaseMessage::Kind::kNotOwner:
            if (share_requests_.empty() || message.request_number != share_requests_.rbegin()->first) break;
            unanswered_requests_ = 0;
            owner_ = message.owner == self_ ? "" : message.owner;
            break;
        case LeaseMessage::Kind::kRelease: holders_.erase({message.from, message.incarnation}); break;
    }
    return out;
}

LeaseMessage LeaseParticipant::answer_vote_request(Time now, const LeaseMessage& ask) {
    auto vote = make_message(LeaseMessage::Kind::kVoteReply, ask.request_number);
    // A candidate's vote for itself is counted by no other node, so it can be withdrawn in favour of a
    // candidate that ranks higher. Otherwise several that become candidates at once would each keep their own
    // vote.
    const bool outranks_self = is_voter(ask.from) && std::pair(rank(limit_, ask.from), ask.from) >
                                                         std::pair(rank(limit_, self_), self_);
    if (outranks_self && voted_for_ == self_ && voted_incarnation_ == incarnation_ && !owns(now)) {
        votes_.erase(self_);
        vote_ends_at_ = now;
    }
    const bool same = voted_for_ == ask.from && voted_incarnation_ == ask.incarnation;
    const bool granted = is_voter(self_) && now >= may_vote_from_ && (same || now >= vote_ends_at_);
    ++(granted ? counts_.votes_granted : counts_.votes_refused);
    vote.amount = granted ? 1 : 0;
    vote.owner = granted ? ask.from : voted_for_;
    if (!granted) return vote;
    voted_for_ = ask.from;
    voted_incarnation_ = ask.incarnation;
    vote_ends_at_ = now + terms_.grantor_duration(terms_.vote_duration);
    return vote;
}

void LeaseParticipant::receive_vote(Time now, const LeaseMessage& message) {
    const auto request = vote_requests_.find(message.request_number);
    if (request == vote_requests_.end() || !is_voter(message.from)) return;
    if (message.amount < 1) {
        if (message.owner != self_) owner_ = message.owner;
        return;
    }
    auto& until = votes_[message.from];
    until = std::max(until, request->second + terms_.vote_duration);
    if (!owns(now) || std::exchange(was_owner_, true)) return;
    ++counts_.ownership_gained;
    holders_.clear();
}

// The time until which this node holds the votes of a majority.
Time LeaseParticipant::ownership_ends_at() const {
    const auto need = terms_.voters.size() / 2 + 1;
    if (votes_.size() < need) return 0;
    std::vector<Time> ends;
    for (const auto& [voter, until] : votes_) ends.push_back(until);
    std::sort(ends.begin(), ends.end(), std::greater<>());
    return ends[need - 1];
}

bool LeaseParticipant::owns(Time now) const { return now < ownership_ends_at(); }

double LeaseParticipant::Holder::max_amount(Time now) const {
    double amount = 0;
    for (const auto& [number, each] : leases)
        amount = now < each.ends_at ? std::max(amount, each.amount) : amount;
    return amount;
}

double LeaseParticipant::lent(Time now) const {
    double sum = 0;
    for (const auto& [key, holder] : holders_) sum += holder.max_amount(now);
    return sum;
}

// A holder uses one lease at a time, but the owner learns which of the latest ones only from the next
// request. Until then, or until they expire, the largest of them counts.
LeaseMessage LeaseParticipant::grant_share(Time now, const LeaseMessage& ask) {
    std::erase_if(holders_, [&](const auto& each) {
        return each.second.max_amount(now) <= 0 && now - each.second.requested_at > 2 * terms_.lease_duration;
    });
    auto share = make_message(LeaseMessage::Kind::kShareGrant, ask.request_number);
    const HolderKey key{ask.from, ask.incarnation};
    if (!holders_.contains(key) && holders_.size() >= kMaxHolders) return share;
    auto& holder = holders_[key];
    holder.need = ask.amount;
    holder.requested_at = now;
    std::erase_if(holder.leases, [&](const auto& each) {
        return now >= each.second.ends_at || each.first < ask.held_lease;
    });
    // A duplicated request gets the same reply again: of two different replies the holder might use either,
    // while the owner would count the later one.
    if (const auto again = holder.leases.find(ask.request_number); again != holder.leases.end()) {
        share.amount = again->second.amount;
        share.duration = again->second.duration;
        return share;
    }
    std::vector<double> needs;
    std::size_t which = 0;
    for (const auto& [each, other] : holders_) {
        if (each == key) which = needs.size();
        needs.push_back(now - other.requested_at <= terms_.lease_duration ? other.need : 0);
    }
    const double lendable = terms_.limit * (1 - terms_.floor_share);
    const double fair = max_min(lendable, needs)[which];
    const double free = lendable - (lent(now) - holder.max_amount(now));
    share.amount = std::clamp(fair, 0.0, std::max(0.0, free));
    // The share must expire, as counted by this node, before the votes do.
    const auto left = static_cast<double>(ownership_ends_at() - now) / (1 + 2 * terms_.max_drift) - 2;
    share.duration = std::max<Time>(0, std::min(terms_.lease_duration, static_cast<Time>(left)));
    holder.leases[ask.request_number] = {share.amount, share.duration,
                                         now + terms_.grantor_duration(share.duration)};
    ++counts_.lent;
    return share;
}

double LeaseParticipant::allowance(Time now) const {
    return terms_.floor() + (now < held_until_ ? held_amount_ : 0);
}

std::vector<OutgoingLeaseMessage> LeaseParticipant::leave(Time now) {
    std::vector<OutgoingLeaseMessage> out;
    released_ = true;
    if (now < held_until_ && !owner_.empty()) {
        held_until_ = 0;  // stops using the share before the release is sent
        send(owner_, make_message(LeaseMessage::Kind::kRelease, ++last_request_number_), out, now);
    }
    return out;
}

std::string LeaseParticipant::canonical_state(Time now, Time oldest, const LatestRequests& latest) const {
    // Replies that may still arrive and unexpired leases belong to more recent requests than this.
    constexpr std::uint64_t kMaxDistance = 64;
    std::ostringstream out;
    const auto until = [&](Time at) { out << ' ' << std::max<Time>(0, at - now); };
    const auto number = [&](const HolderKey& who, std::uint64_t which) {
        const auto found = latest.find(who);
        out << ' ' << (found == latest.end() ? kMaxDistance : std::min(kMaxDistance, found->second - which));
    };
    const auto print_requests = [&](char name, const std::map<std::uint64_t, Time>& requests) {
        out << ' ' << name;
        for (const auto& [which, at] : requests) {
            if (at >= oldest) out << ' ' << last_request_number_ - which << '@' << now - at;
        }
    };
    out << self_ << '/' << incarnation_ << ' ' << candidate_ << " vote " << voted_for_ << '/'
        << voted_incarnation_;
    until(may_vote_from_);
    until(vote_ends_at_);
    for (const auto& [voter, at] : votes_) {
        if (at <= now) continue;
        out << ' ' << voter;
        until(at);
    }
    out << " seeks " << (seeking_since_ == 0 ? -1 : now - seeking_since_) << ' ' << backoffs_ << " owned "
        << was_owner_;
    for (const auto& [key, holder] : holders_) {
        const bool counts = now - holder.requested_at <= terms_.lease_duration;
        if (!counts && holder.max_amount(now) <= 0) continue;
        out << " to " << key.first << '/' << key.second << ' ' << (counts ? holder.need : 0);
        out << ' ' << std::min(now - holder.requested_at, terms_.lease_duration + 1);
        for (const auto& [which, each] : holder.leases) {
            if (each.ends_at <= now) continue;
            number(key, which);
            out << ' ' << each.amount << ' ' << each.duration;
            until(each.ends_at);
        }
    }
    const auto voter_count = std::max<std::size_t>(1, terms_.voters.size());
    out << " holds " << owner_ << ' ' << need_ << ' ' << held_amount_;
    number({self_, incarnation_}, held_lease_);
    until(held_until_);
    out << " unanswered "
        << (unanswered_requests_ <= kMaxUnansweredRequests
                ? static_cast<std::size_t>(unanswered_requests_)
                : kMaxUnansweredRequests + 1 + static_cast<std::size_t>(unanswered_requests_) % voter_count);
    print_requests('v', vote_requests_);
    print_requests('s', share_requests_);
    until(request_votes_at_);
    until(request_share_at_);
    out << ' ' << released_;
    return out.str();
}

}  // namespace pinedoor::fleet
