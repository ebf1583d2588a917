#include "peers/decide.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace pinedoor::peers {
namespace {

constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr std::size_t kMaxRelayedProbes = 256;
constexpr std::size_t kRecordOverhead = 48;  // max encoded size in bytes besides the names
constexpr int kLeaveNotifications = 5;
constexpr Time kMaxIsolatedPeriods = 16;  // max probe periods between syncs of an isolated node

int rank(MemberState state) { return static_cast<int>(state); }

}  // namespace

const char* name_of(MemberState state) {
    switch (state) {
        case MemberState::kAlive: return "alive";
        case MemberState::kSuspect: return "suspect";
        case MemberState::kDead: return "dead";
        case MemberState::kLeft: break;
    }
    return "left";
}

bool MemberRecord::supersedes(const MemberRecord& other) const {
    return std::tuple(incarnation, rank(state), life, at, zone) >
           std::tuple(other.incarnation, rank(other.state), other.life, other.at, other.zone);
}

Membership::Membership(std::string name, At at, int zone, std::uint64_t incarnation, std::uint64_t seed,
                       MembershipConfig settings, std::vector<At> seeds)
    : settings_(settings), seeds_(std::move(seeds)), rng_(seed) {
    self_ = {std::move(name), incarnation, MemberState::kAlive, rng_(), at, zone, ""};
    queue_update(self_.name);
}

double Membership::log_members() const {
    return std::max(1.0, std::log10(static_cast<double>(member_count())));
}

const MemberRecord* Membership::find_record(const std::string& name) const {
    if (name == self_.name) return &self_;
    const auto found = known_.find(name);
    return found == known_.end() ? nullptr : &found->second.record;
}

std::vector<Action> Membership::tick(Time now) {
    // A process that was suspended or starved received nothing meanwhile, so the timeouts that passed prove
    // nothing about other members.
    if (last_event_at_ > 0 && due_ < kNever && now - due_ > settings_.timeout) handle_suspension(now - due_);
    last_event_at_ = now;
    if (probe_at_ == 0)
        probe_at_ = now + static_cast<Time>(random_below(static_cast<std::size_t>(settings_.period)));
    check_probe(now);
    for (auto it = relayed_probes_.begin(); it != relayed_probes_.end();) {
        auto& relayed = it->second;
        if (!relayed.nack_sent && now >= relayed.nack_at) {  // Lifeguard 4.1
            relayed.nack_sent = true;
            Message nack;
            nack.kind = Message::Kind::kNack;
            nack.sequence = relayed.sequence;
            send(relayed.requester, std::move(nack), "");
        }
        it = now >= relayed.ends_at ? relayed_probes_.erase(it) : std::next(it);
    }
    check_expired(now);
    if (now >= probe_at_ && !leaving_) probe_next(now);
    if (now >= sync_at_ && !leaving_) start_sync(now);
    if (now >= updates_at_ && !pending_updates_.empty()) send_updates(now);
    update_due();
    return std::exchange(actions_, {});
}

void Membership::update_due() {
    Time due = std::min(probe_at_, sync_at_);
    if (!pending_updates_.empty()) due = std::min(due, updates_at_);
    if (probe_) due = std::min(due, probe_->indirect_sent ? probe_->ends_at : probe_->indirect_at);
    for (const auto& [sequence, relayed] : relayed_probes_)
        due = std::min(due, relayed.nack_sent ? relayed.ends_at : relayed.nack_at);
    for (const auto& name : expiring_) due = std::min(due, known_.at(name).expires_at);
    due_ = std::max(due, last_event_at_);  // an update queued just now was not due earlier
}

void Membership::handle_suspension(Time duration) {
    ++counts_.suspensions;
    probe_.reset();
    relayed_probes_.clear();
    for (auto& [name, known] : known_) {
        if (known.expires_at > 0) known.expires_at += duration;
        known.state_since += duration;
    }
    adjust_health(1);
}

void Membership::adjust_health(int delta) {
    health_score_ = std::clamp(health_score_ + delta, 0, settings_.max_health_score);
}

// Probes the members in a random order that is reshuffled for each round, which bounds the time between two
// probes of a member to two rounds (SWIM 4.3).
void Membership::probe_next(Time now) {
    probe_at_ = now + scaled(settings_.period);
    while (true) {
        if (next_probe_ >= probe_order_.size()) {
            probe_order_.clear();
            for (const auto& [name, known] : known_) {
                if (is_member(known.record)) probe_order_.push_back(name);
            }
            std::shuffle(probe_order_.begin(), probe_order_.end(), rng_);
            next_probe_ = 0;
            if (probe_order_.empty()) return;
        }
        const auto* record = find_record(probe_order_[next_probe_++]);
        if (record == nullptr || !is_member(*record)) continue;
        probe_ = Probe{++last_sequence_, record->name, now + scaled(settings_.timeout),
                       now + scaled(settings_.period)};
        ++counts_.probes;
        Message ping;
        ping.sequence = probe_->sequence;
        ping.target = record->name;
        send(record->at, std::move(ping), record->name);
        return;
    }
}

void Membership::check_probe(Time now) {
    if (!probe_) return;
    if (probe_->acked) return probe_.reset();
    if (!probe_->indirect_sent && now >= probe_->indirect_at) {
        probe_->indirect_sent = true;
        const auto before = actions_.size();
        send_indirect_probes(probe_->target, probe_->sequence);
        probe_->indirect_requests = probe_->nacks_missing = static_cast<int>(actions_.size() - before);
    }
    if (now < probe_->ends_at) return;
    // Members asked for an indirect probe report a failure with a nack. CopyLag nacks suggest that this node
    // itself has trouble sending or receiving (Lifeguard 4.1).
    const auto target = probe_->target;
    adjust_health(probe_->indirect_requests > 0 ? probe_->nacks_missing : 1);
    probe_.reset();
    ++counts_.probes_failed;
    suspect(now, target);
}

void Membership::send_indirect_probes(const std::string& target, std::uint32_t sequence) {
    const auto* record = find_record(target);
    if (record == nullptr) return;
    for (const auto& name : random_members(static_cast<std::size_t>(settings_.indirect_probes), target)) {
        Message request;
        request.kind = Message::Kind::kPingRequest;
        request.sequence = sequence;
        request.target = target;
        request.target_address = record->at;
        send(find_record(name)->at, std::move(request), name);
    }
}

// Handles expired timeouts. A suspect's refutation may have been lost on the way to this node alone (at 30 %
// message loss about one member in seventy misses it), so the suspect gets a final probe, direct and
// indirect, before it is declared dead. This is an extension to SWIM.
void Membership::check_expired(Time now) {
    std::vector<std::string> expired;
    for (const auto& name : expiring_) {
        if (now >= known_.at(name).expires_at) expired.push_back(name);
    }
    for (const auto& name : expired) {
        auto& known = known_.at(name);
        if (known.record.state > MemberState::kSuspect) {
            expiring_.erase(name);
            known_.erase(name);
            continue;
        }
        if (known.final_probe == 0 && settings_.dynamic_suspicion) {
            known.final_probe = ++last_sequence_;
            known.expires_at = now + scaled(settings_.period);
            Message ping;
            ping.sequence = known.final_probe;
            ping.target = name;
            send(known.record.at, std::move(ping), name);
            send_indirect_probes(name, known.final_probe);
            continue;
        }
        auto record = known.record;
        record.state = MemberState::kDead;
        record.reported_by = self_.name;
        ++counts_.declared_dead;
        store_record(now, record);
    }
}

// The suspect answered, so it is alive: grants it the full timeout again to refute the suspicion everywhere.
void Membership::restart_suspicion(Time now, const std::string& name) {
    const auto found = known_.find(name);
    if (found == known_.end() || found->second.record.state != MemberState::kSuspect) return;
    found->second.state_since = now;
    found->second.final_probe = 0;
    set_suspicion_timeout(now, found->second);
}

void Membership::suspect(Time now, const std::string& name) {
    const auto found = known_.find(name);
    if (found == known_.end() || !is_member(found->second.record)) return;
    ++counts_.suspected;
    auto record = found->second.record;
    record.state = MemberState::kSuspect;
    record.reported_by = self_.name;
    apply_record(now, record);
}

// The timeout, within which the suspect can refute the suspicion, shrinks with each independent confirmation
// (Lifeguard 4.2).
void Membership::set_suspicion_timeout(Time now, KnownMember& known) const {
    const double min_timeout = settings_.suspicion * log_members() * static_cast<double>(settings_.period);
    const double max_timeout = min_timeout * settings_.max_suspicion_multiplier;
    const auto others = static_cast<int>(member_count()) - 2;
    const int expected = std::min(settings_.confirmations, std::max(0, others - 1));
    double timeout = max_timeout;
    if (!settings_.dynamic_suspicion || expected == 0)
        timeout = min_timeout;
    else {
        const auto confirmed = static_cast<double>(known.suspected_by.size() - 1);
        timeout = std::max(min_timeout, max_timeout - (max_timeout - min_timeout) * std::log(confirmed + 1) /
                                                          std::log(expected + 1.0));
    }
    known.expires_at = std::max(now, known.state_since + static_cast<Time>(timeout));
}

void Membership::apply_record(Time now, const MemberRecord& record) {
    if (record.name == self_.name) return apply_own_record(record);
    const auto found = known_.find(record.name);
    if (found == known_.end()) {
        if (!is_member(record)) return;  // a dead or departed member that is not known here
        if (known_.size() + 1 >= settings_.most_members) {
            ++counts_.rejected_full;
            return;
        }
        return store_record(now, record);
    }
    auto& known = found->second;
    const bool same_suspicion =
        record.state == MemberState::kSuspect && known.record.state == MemberState::kSuspect &&
        record.incarnation == known.record.incarnation && record.life == known.record.life &&
        record.at == known.record.at && record.zone == known.record.zone;
    if (same_suspicion) {
        const bool needed = known.suspected_by.size() <= static_cast<std::size_t>(settings_.confirmations);
        if (!needed || !known.suspected_by.insert(record.reported_by).second) return;
        set_suspicion_timeout(now, known);
        known.record.reported_by = record.reported_by;
        return queue_update(record.name);
    }
    if (record.supersedes(known.record)) store_record(now, record);
}

void Membership::store_record(Time now, const MemberRecord& record) {
    auto& known = known_[record.name];
    const bool was_member = !known.record.name.empty() && is_member(known.record);
    const bool now_member = is_member(record);
    const bool replaced = was_member && (known.record.life != record.life || known.record.at != record.at);
    if (was_member != now_member) other_members_ += now_member ? 1U : std::size_t(0) - 1U;
    update_alive_names(record.name, known,
                       !known.record.name.empty() && known.record.state == MemberState::kAlive,
                       record.state == MemberState::kAlive);
    known.record = record;
    known.suspected_by.clear();
    known.final_probe = 0;
    known.state_since = now;
    known.expires_at = 0;
    if (record.state == MemberState::kSuspect) {
        known.suspected_by.insert(record.reported_by);
        set_suspicion_timeout(now, known);
    }
    if (!now_member) known.expires_at = now + settings_.forget;
    if (known.expires_at > 0)
        expiring_.insert(record.name);
    else
        expiring_.erase(record.name);
    if (!was_member && now_member && !probe_order_.empty()) {
        // A new member is inserted at a random position of the current round (SWIM 4.3).
        const auto remaining = probe_order_.size() - std::min(next_probe_, probe_order_.size());
        probe_order_.insert(probe_order_.end() - static_cast<std::ptrdiff_t>(random_below(remaining + 1)),
                            record.name);
    }
    queue_update(record.name);
    if (was_member != now_member || replaced) actions_.emplace_back(MembershipChange{record, now_member});
}

void Membership::update_alive_names(const std::string& name, KnownMember& known, bool was_alive,
                                    bool is_alive) {
    if (was_alive == is_alive) return;
    if (is_alive) {
        known.alive_index = alive_names_.size();
        alive_names_.push_back(&known_.find(name)->first);
        return;
    }
    alive_names_[known.alive_index] = alive_names_.back();
    known_.find(*alive_names_.back())->second.alive_index = known.alive_index;
    alive_names_.pop_back();
}

// Only this node decides on its own state. A suspicion or death reported of it, and a newer record of an
// earlier instance or of another process with its name, are refuted with a higher incarnation. If that other
// instance is reported as a member, it is also reported as a name conflict.
void Membership::apply_own_record(const MemberRecord& record) {
    if (record.life == self_.life) {
        if (record.state == MemberState::kAlive || record.incarnation < self_.incarnation || leaving_) return;
        ++counts_.refuted;
        adjust_health(1);
    } else {
        if (!record.supersedes(self_)) return;
        if (is_member(record)) {
            ++counts_.conflicts;
            actions_.emplace_back(NameConflict{record.at});
        }
    }
    self_.incarnation = std::max(self_.incarnation, record.incarnation) + 1;
    queue_update(self_.name);
}

std::vector<Action> Membership::receive(Time now, const Message& message) {
    last_event_at_ = std::max(last_event_at_, now);
    for (const auto& record : message.records) apply_record(now, record);
    switch (message.kind) {
        case Message::Kind::kPing: {
            if (message.target != self_.name) break;  // addressed to an earlier member at this address
            Message ack;
            ack.kind = Message::Kind::kAck;
            ack.sequence = message.sequence;
            send(message.from_address, std::move(ack), message.from);
            break;
        }
        case Message::Kind::kPingRequest: {
            if (relayed_probes_.size() >= kMaxRelayedProbes) break;
            Message ping;
            ping.sequence = ++last_sequence_;
            ping.target = message.target;
            relayed_probes_[ping.sequence] = {message.from_address,
                                              message.sequence,
                                              message.target,
                                              now + settings_.timeout * 8 / 10,
                                              now + settings_.period * 2,
                                              false};
            send(message.target_address, std::move(ping), message.target);
            break;
        }
        case Message::Kind::kAck: {
            const auto relayed = relayed_probes_.find(message.sequence);
            if (relayed != relayed_probes_.end()) {
                Message ack;
                ack.kind = Message::Kind::kAck;
                ack.sequence = relayed->second.sequence;
                send(relayed->second.requester, std::move(ack), "");
                relayed_probes_.erase(relayed);
            } else if (probe_ && probe_->sequence == message.sequence) {
                if (!std::exchange(probe_->acked, true)) adjust_health(-1);
                restart_suspicion(now, probe_->target);
            } else {
                for (auto& [name, known] : known_) {
                    if (message.sequence != 0 && known.final_probe == message.sequence) {
                        restart_suspicion(now, name);
                        break;
                    }
                }
            }
            break;
        }
        case Message::Kind::kUpdates: break;
        case Message::Kind::kNack:
            if (probe_ && probe_->sequence == message.sequence)
                probe_->nacks_missing = std::max(0, probe_->nacks_missing - 1);
            break;
    }
    update_due();
    return std::exchange(actions_, {});
}

std::vector<Action> Membership::receive_state(Time now, const std::vector<MemberRecord>& records) {
    last_event_at_ = std::max(last_event_at_, now);
    for (auto record : records) {
        // The sender's information on a death may be outdated: treat it as a suspicion, which the member can
        // refute.
        if (record.state == MemberState::kDead && record.name != self_.name)
            record.state = MemberState::kSuspect;
        const auto* known = find_record(record.name);
        if (known == nullptr && record.state == MemberState::kSuspect) continue;
        apply_record(now, record);
    }
    update_due();
    return std::exchange(actions_, {});
}

// A node that starts at the same time as its seeds may be refused by them. It retries sooner than after a
// timeout: of ten nodes started within 100 ms, some would otherwise stay isolated for a second, and the
// others would wait for them.
std::vector<Action> Membership::sync_refused(Time now) {
    constexpr Time kRefusedSpeedup = 16;  // divides the retry delay, which still doubles with each try
    last_event_at_ = std::max(last_event_at_, now);
    if (alive_names_.empty() && !leaving_) {
        const Time tries =
            std::min(kMaxIsolatedPeriods * kRefusedSpeedup, Time{1} << std::min(isolated_syncs_ - 1, 8));
        const Time delay = std::max<Time>(2, settings_.period / kRefusedSpeedup * tries);
        const auto jitter = static_cast<Time>(random_below(static_cast<std::size_t>(delay / 2) + 1));
        sync_at_ = std::min(sync_at_, now + delay / 2 + jitter);
    }
    update_due();
    return std::exchange(actions_, {});
}

std::vector<MemberRecord> Membership::all_records() const {
    std::vector<MemberRecord> all{self_};
    for (const auto& [name, known] : known_) all.push_back(known.record);
    return all;
}

std::optional<At> Membership::address_of(const std::string& name) const {
    const auto* record = find_record(name);
    return record == nullptr || !is_member(*record) ? std::nullopt : std::optional(record->at);
}

std::vector<MemberRecord> Membership::members() const {
    std::vector<MemberRecord> all;
    for (const auto& record : all_records()) {
        if (is_member(record)) all.push_back(record);
    }
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
    return all;
}

std::vector<Action> Membership::leave(Time now) {
    leaving_ = true;
    last_event_at_ = now;
    ++self_.incarnation;
    self_.state = MemberState::kLeft;
    queue_update(self_.name);
    probe_.reset();
    for (const auto& name : random_members(kLeaveNotifications, "")) {
        Message update;
        update.kind = Message::Kind::kUpdates;
        send(find_record(name)->at, std::move(update), name);
    }
    update_due();
    return std::exchange(actions_, {});
}

std::vector<std::string> Membership::random_members(std::size_t count, const std::string& except) {
    std::vector<std::string> chosen;
    std::set<std::size_t> drawn;
    while (chosen.size() < count && drawn.size() < alive_names_.size()) {
        const auto index = random_below(alive_names_.size());
        if (drawn.insert(index).second && *alive_names_[index] != except)
            chosen.push_back(*alive_names_[index]);
    }
    return chosen;
}

void Membership::queue_update(const std::string& name) {
    constexpr std::size_t kMaxStaleFactor = 4;  // queue length limit as a multiple of the pending updates
    pending_updates_[name] = {0, ++last_version_};
    if (update_queues_.empty()) update_queues_.resize(1);
    auto& unsent = update_queues_.front();
    unsent.push_back({name, last_version_});
    if (unsent.size() <= kMaxStaleFactor * (pending_updates_.size() + 4)) return;
    std::erase_if(unsent, [this](const auto& each) {
        const auto update = pending_updates_.find(each.name);
        return update == pending_updates_.end() || update->second.version != each.version;
    });
}

// Updates with the fewest transmissions go first. If the recipient itself is not alive in this node's view,
// its own record goes before all others, so that it can refute it (Lifeguard 4.3).
std::vector<MemberRecord> Membership::select_updates(const std::string& recipient) {
    std::vector<MemberRecord> chosen;
    std::size_t bytes = 0;
    const auto fits = [&](const MemberRecord& record) {
        const auto size = kRecordOverhead + record.name.size() + record.reported_by.size();
        if (bytes + size > settings_.max_record_bytes) return false;
        bytes += size;
        return true;
    };
    const auto* recipient_record = find_record(recipient);
    if (recipient_record != nullptr && recipient_record->state != MemberState::kAlive &&
        fits(*recipient_record))
        chosen.push_back(*recipient_record);
    const int max_transmissions =
        static_cast<int>(std::ceil(settings_.retransmit_multiplier * log_members()));
    std::vector<std::pair<std::size_t, QueuedUpdate>> requeued;
    bool has_room = true;
    for (std::size_t transmissions = 0; transmissions < update_queues_.size() && has_room; ++transmissions) {
        auto& queue = update_queues_[transmissions];
        while (!queue.empty() && has_room) {
            std::swap(queue[random_below(queue.size())], queue.back());
            auto next = std::move(queue.back());
            queue.pop_back();
            const auto update = pending_updates_.find(next.name);
            if (update == pending_updates_.end() || update->second.version != next.version)
                continue;  // stale
            const auto* record = find_record(next.name);
            if (record == nullptr) {
                pending_updates_.erase(update);
                continue;
            }
            const bool already_chosen =
                record == recipient_record && !chosen.empty() && chosen.front().name == next.name;
            if (!already_chosen) has_room = fits(*record);
            if (already_chosen || !has_room) {
                requeued.emplace_back(transmissions, std::move(next));
                continue;
            }
            chosen.push_back(*record);
            if (++update->second.transmissions >= max_transmissions)
                pending_updates_.erase(update);
            else
                requeued.emplace_back(transmissions + 1, std::move(next));
        }
    }
    for (auto& [transmissions, next] : requeued) {
        if (update_queues_.size() <= transmissions) update_queues_.resize(transmissions + 1);
        update_queues_[transmissions].push_back(std::move(next));
    }
    return chosen;
}

void Membership::send(At to, Message message, const std::string& recipient) {
    message.from = self_.name;
    message.from_address = self_.at;
    message.records = select_updates(recipient);
    actions_.emplace_back(SendMessage{to, std::move(message)});
}

// Sends updates between probes too, because a refutation has to reach all members before the suspicion
// timeout.
void Membership::send_updates(Time now) {
    updates_at_ = now + settings_.update_interval;
    for (const auto& name : random_members(static_cast<std::size_t>(settings_.update_fan_out), "")) {
        if (pending_updates_.empty()) return;
        Message update;
        update.kind = Message::Kind::kUpdates;
        send(find_record(name)->at, std::move(update), name);
    }
}

// Starts an exchange of full states, which delivers records that updates missed: with a random member, or
// half of the time with a seed or dead member outside the membership, so that separate partitions merge. An
// isolated node contacts its seeds with exponential backoff.
void Membership::start_sync(Time now) {
    constexpr int kFrequentSyncs = 3;
    constexpr Time kMembersPerStep = 50;  // a state of 50 members costs as much as a few seconds of probes
    const auto jitter = [this](Time limit) {
        return static_cast<Time>(random_below(static_cast<std::size_t>(limit) + 1));
    };
    std::vector<At> non_members;
    for (const auto& seed : seeds_) {
        const bool is_known_member = std::any_of(known_.begin(), known_.end(), [&](const auto& each) {
            return each.second.record.at == seed && is_member(each.second.record);
        });
        if (!is_known_member && seed != self_.at) non_members.push_back(seed);
    }
    for (const auto& [name, known] : known_) {
        if (known.record.state == MemberState::kDead) non_members.push_back(known.record.at);
    }
    const auto member = random_members(1, "");
    if (member.empty()) {
        const Time delay =
            settings_.period * std::min(kMaxIsolatedPeriods, Time{1} << std::min(isolated_syncs_, 4));
        ++isolated_syncs_;
        sync_at_ = now + delay / 2 + jitter(delay / 2);
    } else {
        isolated_syncs_ = 0;
        // The state grows with the number of members, so syncs become rarer as the fleet grows, except for
        // the first few, which deliver what updates had missed.
        const Time factor =
            ++syncs_ <= kFrequentSyncs ? 1 : 1 + static_cast<Time>(member_count()) / kMembersPerStep;
        sync_at_ = now + factor * (settings_.exchange / 2 + jitter(settings_.exchange));
    }
    const bool use_non_member = !non_members.empty() && (member.empty() || random_below(2) == 0);
    if (use_non_member)
        actions_.emplace_back(StateSync{non_members[random_below(non_members.size())]});
    else if (!member.empty())
        actions_.emplace_back(StateSync{find_record(member.front())->at});
}

}  // namespace pinedoor::peers
