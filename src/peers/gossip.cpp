#include "peers/gossip.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace pinedoor::peers {
namespace {

constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr Time kExpiryCheckInterval = 10'000;  // interval of the removal of expired records
constexpr std::size_t kRecordOverhead = 64;    // max encoded size in bytes besides the strings

std::size_t wire_size(const PublishedRecord& record) {
    return kRecordOverhead + record.origin.size() + record.topic.size() + record.value.size();
}

std::uint64_t hash_of(const PublishedRecord& record, bool with_version) {
    const auto name = record.origin + ' ' + record.topic;
    const auto seed = XXH64(name.data(), name.size(), 0);
    if (!with_version) return seed;
    const std::uint64_t version[] = {record.epoch, record.instance_id, record.version};
    return XXH64(version, sizeof version, seed);
}

std::size_t bucket_of(const PublishedRecord& record) { return hash_of(record, false) % kDigestBuckets; }

}  // namespace

Gossip::Gossip(std::string name, At at, std::uint64_t epoch, std::uint64_t instance_id, std::uint64_t seed,
               GossipSettings settings)
    : name_(std::move(name)), address_(at), epoch_(epoch), instance_id_(instance_id), settings_(settings),
      rng_(seed), budget_bytes_(settings.burst_bytes) {}

void Gossip::set_members(Members others) {
    if (members_.empty() && !others.empty()) sync_at_ = 0;  // a new node syncs at once
    members_ = std::move(others);
    update_due();
}

void Gossip::publish(Time now, const std::string& topic, std::string value, Time lifetime) {
    value.resize(std::min(value.size(), kLongestValue));
    auto& held = records_[{name_, topic}];
    if (held.record.version == 0) ++topics_per_origin_[name_];
    if (!held.spreading) ++spreading_;
    held = {{name_, topic, epoch_, instance_id_, ++version_, std::move(value), lifetime, 0}, now, 0, true};
    ++changes_;
    rumours_at_ = std::min(rumours_at_, now);
    update_due();
}

std::vector<SendGossip> Gossip::tick(Time now) {
    std::vector<SendGossip> out;
    if (now >= expiry_check_at_) {
        expiry_check_at_ = now + kExpiryCheckInterval;
        for (auto it = records_.begin(); it != records_.end();) {
            if (!it->second.expired(now)) {
                ++it;
                continue;
            }
            ++counts_.expired;
            spreading_ -= it->second.spreading ? 1U : 0U;
            if (--topics_per_origin_[it->first.first] == 0) topics_per_origin_.erase(it->first.first);
            it = records_.erase(it);
        }
    }
    if (now >= sync_at_) send_digest(now, out);
    if (now >= rumours_at_ && spreading_ > 0) send_rumours(now, out);
    update_due();
    return out;
}

void Gossip::update_due() {
    due_ = records_.empty() ? kNever : expiry_check_at_;
    if (members_.empty()) return;
    due_ = std::min(due_, sync_at_);
    if (spreading_ > 0) due_ = std::min(due_, rumours_at_);
}

bool Gossip::take_budget(Time now, std::size_t bytes) {
    const auto since = static_cast<double>(now - std::exchange(budget_updated_at_, now)) / 10'000;
    budget_bytes_ = std::min(settings_.burst_bytes, budget_bytes_ + since * settings_.bytes_per_second);
    const bool granted = budget_bytes_ >= static_cast<double>(bytes);
    if (granted) budget_bytes_ -= static_cast<double>(bytes);
    counts_.throttled += granted ? 0U : 1U;
    return granted;
}

int Gossip::max_transmissions() const {
    return 1 + static_cast<int>(std::ceil(settings_.retransmit_multiplier *
                                          std::log10(static_cast<double>(members_.size() + 1))));
}

std::vector<std::pair<std::string, At>> Gossip::random_members(std::size_t count) {
    Members chosen;
    std::sample(members_.begin(), members_.end(), std::back_inserter(chosen),
                static_cast<std::ptrdiff_t>(count), rng_);
    return chosen;
}

GossipMessage Gossip::make_message(GossipMessage::Kind kind) const {
    GossipMessage message;
    message.kind = kind;
    message.from = name_;
    message.from_address = address_;
    return message;
}

// The age sent with a record is a lower bound, because the transit time is unknown.
PublishedRecord Gossip::copy_with_age(const Held& held, Time now) const {
    auto record = held.record;
    record.age = std::max<Time>(0, now - held.published_at);
    return record;
}

// Sends one message per round to a few random members, filled with the records that were transmitted least.
// This bounds the traffic however many records are spreading.
void Gossip::send_rumours(Time now, std::vector<SendGossip>& out) {
    rumours_at_ = now + settings_.rumour_interval;
    if (members_.empty()) return;
    std::vector<Held*> spreading;
    for (auto& [key, held] : records_) {
        if (held.spreading) spreading.push_back(&held);
    }
    std::shuffle(spreading.begin(), spreading.end(), rng_);
    std::stable_sort(spreading.begin(), spreading.end(),
                     [](const auto* a, const auto* b) { return a->transmissions < b->transmissions; });
    auto message = make_message(GossipMessage::Kind::kRumours);
    const auto recipients = random_members(static_cast<std::size_t>(settings_.rumour_fan_out));
    std::size_t bytes = 0;
    std::vector<Held*> chosen;
    for (auto* held : spreading) {
        const auto size = wire_size(held->record);
        if (held->expired(now) || bytes + size > settings_.max_record_bytes) continue;
        bytes += size;
        chosen.push_back(held);
    }
    if (chosen.empty() || !take_budget(now, recipients.size() * bytes)) return;
    for (auto* held : chosen) {
        message.records.push_back(copy_with_age(*held, now));
        held->transmissions += static_cast<int>(recipients.size());
        if (held->transmissions < max_transmissions()) continue;
        held->spreading = false;
        --spreading_;
    }
    for (const auto& [name, at] : recipients) out.push_back({at, message});
}

// XOR of the record hashes per bucket: equal digests mean that two members hold the same records
// (Demers 1.3).
Digest Gossip::digest(Time now) const {
    Digest sums{};
    for (const auto& [key, held] : records_) {
        if (!held.expired(now))
            sums[bucket_of(held.record)] ^= static_cast<std::uint32_t>(hash_of(held.record, true));
    }
    return sums;
}

void Gossip::send_digest(Time now, std::vector<SendGossip>& out) {
    const Time span = behind_ ? settings_.rumour_interval : settings_.sync_interval;
    sync_at_ = now + span / 2 + static_cast<Time>(rng_() % static_cast<std::uint64_t>(span));
    if (members_.empty() || !take_budget(now, sizeof(Digest))) return;
    ++counts_.digests_sent;
    auto message = make_message(GossipMessage::Kind::kDigestRequest);
    message.digest = digest(now);
    out.push_back({random_members(1).front().second, std::move(message)});
}

void Gossip::apply_record(Time now, const PublishedRecord& record, bool is_rumour) {
    if (record.age >= record.lives) {
        ++counts_.rejected_expired;
        return;
    }
    if (record.origin == name_) {
        // Published by an earlier instance of this node, or by another process with its name: this node's own
        // records have to be newer.
        const auto other = std::tuple(record.epoch, record.instance_id),
                   own = std::tuple(epoch_, instance_id_);
        if (other > own) republish_own(now, record.epoch);
        if (other != own && !records_.contains({name_, record.topic}))
            publish(now, record.topic, "", record.lives);
        return;
    }
    const auto key = Key{record.origin, record.topic};
    const auto found = records_.find(key);
    if (found != records_.end() && record.order() < found->second.record.order()) {
        ++counts_.older;
        return;
    }
    if (found != records_.end() && record.order() == found->second.record.order()) {
        found->second.published_at = std::min(found->second.published_at, now - record.age);
        return;
    }
    if (found == records_.end()) {
        const auto topics = topics_per_origin_.find(record.origin);
        const bool is_full =
            records_.size() >= settings_.max_records ||
            (topics != topics_per_origin_.end() && topics->second >= settings_.max_topics_per_origin);
        if (is_full) {
            ++counts_.rejected_full;
            return;
        }
        ++topics_per_origin_[record.origin];
    }
    auto& held = records_[key];
    spreading_ += (is_rumour ? 1U : 0U) - (held.spreading ? 1U : 0U);
    held = {record, now - record.age, 0, is_rumour};
    ++counts_.newer;
    ++changes_;
}

void Gossip::republish_own(Time now, std::uint64_t other_epoch) {
    ++counts_.epoch_raised;
    epoch_ = other_epoch + 1;
    for (auto& [key, held] : records_) {
        if (key.first != name_) continue;
        held.record.epoch = epoch_;
        held.record.version = ++version_;
        held.transmissions = 0;
        if (!std::exchange(held.spreading, true)) ++spreading_;
    }
    rumours_at_ = std::min(rumours_at_, now);
}

std::vector<SendGossip> Gossip::take(Time now, const GossipMessage& message) {
    // Only records received as rumours spread further; those in a reply to a digest are known to others.
    for (const auto& record : message.records)
        apply_record(now, record, message.kind == GossipMessage::Kind::kRumours);
    auto out = message.has_digest() ? reply_to_digest(now, message) : std::vector<SendGossip>{};
    if (message.kind == GossipMessage::Kind::kDigestMatch) behind_ = false;
    if (message.kind == GossipMessage::Kind::kDigestMismatch) {
        behind_ = true;
        sync_at_ = std::min(sync_at_, now + settings_.rumour_interval);
    }
    update_due();
    return out;
}

// Sends the records in the buckets that differ, and in reply to a request this node's digest, which shows the
// requester what this node lacks. The number of messages is limited and the records are shuffled, so repeated
// syncs deliver all of them.
std::vector<SendGossip> Gossip::reply_to_digest(Time now, const GossipMessage& message) {
    if (!take_budget(now, settings_.max_record_bytes)) return {};
    const auto own = digest(now);
    const bool is_request = message.kind == GossipMessage::Kind::kDigestRequest;
    const bool same = own == message.digest;
    counts_.digests_differed += same ? 0U : 1U;
    std::vector<const Held*> differing;
    for (const auto& [key, held] : records_) {
        const auto bucket = bucket_of(held.record);
        if (!held.expired(now) && own[bucket] != message.digest[bucket]) differing.push_back(&held);
    }
    std::shuffle(differing.begin(), differing.end(), rng_);
    std::vector<SendGossip> out;
    auto reply = make_message(!is_request ? GossipMessage::Kind::kRecords
                              : same      ? GossipMessage::Kind::kDigestMatch
                                          : GossipMessage::Kind::kDigestMismatch);
    reply.digest = own;
    std::size_t bytes = reply.has_digest() ? sizeof(Digest) : 0;
    for (const auto* held : differing) {
        const auto size = wire_size(held->record);
        if (bytes + size > settings_.max_record_bytes && !reply.records.empty()) {
            out.push_back(
                {message.from_address, std::exchange(reply, make_message(GossipMessage::Kind::kRecords))});
            bytes = 0;
            if (static_cast<int>(out.size()) == settings_.max_reply_messages ||
                !take_budget(now, settings_.max_record_bytes))
                return out;
        }
        bytes += size;
        reply.records.push_back(copy_with_age(*held, now));
    }
    if (!reply.records.empty() || reply.kind != GossipMessage::Kind::kRecords)
        out.push_back({message.from_address, std::move(reply)});
    return out;
}

std::vector<PublishedRecord> Gossip::facts(Time now, const std::string& topic) const {
    std::vector<PublishedRecord> all;
    for (const auto& [key, held] : records_) {
        const bool matches = topic.empty() || key.second == topic;
        if (matches && !held.expired(now) && !held.record.value.empty())
            all.push_back(copy_with_age(held, now));
    }
    return all;
}

}  // namespace pinedoor::peers
