#include "lab/sim/policy.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>

namespace pinedoor::lab {
namespace {

constexpr std::array<std::string_view, 7> kPolicyNames{
    "pinedoor", "random", "round-robin", "fewest-out", "two-choices", "smoothed-time", "sees-all"};
constexpr Time kRescueInterval = 50;  // ticks between the omniscient policy's checks of its sends in flight
constexpr Time kOverdueFactor = 4;    // a send is overdue after this multiple of its expected latency
constexpr double kSmoothing = 0.25;   // weight of the newest latency in the moving average

// pinedoor's decision module.
class PinedoorPolicy : public Policy {
public:
    explicit PinedoorPolicy(const NodeTerms& t)
        : node_(t.seed, t.place, t.op_types, t.ring, t.sends, t.further, t.cold, ServerListConfig{},
                t.clients, t.tenants, HintConfig{}) {}
    std::vector<Action> turn(Time now, const std::vector<Event>& events) override {
        return node_.turn(now, events);
    }

private:
    FrontNode node_;
};

// The baselines: each sends every part to the replica that its rule picks, tries another replica if the send
// fails and the op type allows it, and answers when all parts have ended. They use no credit, threshold or
// health state.
class BaselinePolicy : public Policy {
public:
    BaselinePolicy(PolicyKind kind, const NodeTerms& terms)
        : kind_(kind), terms_(terms), chance_(static_cast<std::mt19937::result_type>(terms.seed)) {}

    std::vector<Action> turn(Time now, const std::vector<Event>& events) override {
        actions_.clear();
        queued_this_turn_.clear();
        now_ = now;
        for (const auto& event : events) {
            if (const auto* news = std::get_if<ListUpdate>(&event)) apply_list_news(*news);
            if (const auto* arrival = std::get_if<MultigetArrival>(&event)) handle(*arrival);
            if (const auto* ended = std::get_if<SendEnded>(&event)) handle(*ended);
            if (const auto* left = std::get_if<ClientDisconnected>(&event)) forget(left->multiget);
        }
        if (kind_ == PolicyKind::kSeesAll) resend_overdue();
        return std::move(actions_);
    }

private:
    struct Replica {
        int place = 0;
        bool ready = false;
        int in_flight = 0;
        double smoothed = 0;
    };
    struct Part {
        Id multiget = 0;
        int shard = 0;
        double weight = 0;
        int sends = 0;
        int in_flight = 0;
        ServerId last_server;
        Time sent = 0, expected = 0;  // the last send's time, and its expected latency
        std::set<ServerId> tried;
    };
    struct OpenMultiget {
        int op_type = 0;
        Time not_after = 0;
        std::size_t pending_parts = 0;
        double returned_weight = 0;
        std::size_t parts_returned = 0;
        bool may_have_run = false;
        std::vector<Id> parts;
    };

    void apply_list_news(const ListUpdate& news) {
        for (const auto& entry : news.entries) {
            auto& replica = replicas_[entry.server];
            replica.place = entry.place;
            replica.ready = entry.state == ServerState::kReady;
        }
    }
    void handle(const MultigetArrival& arrival) {
        auto& open = multigets_[arrival.id];
        open.op_type = arrival.op_type;
        open.not_after = arrival.not_after;
        open.pending_parts = arrival.parts.size();
        for (const auto& part : arrival.parts) {
            open.parts.push_back(part.id);
            parts_[part.id] = {arrival.id, part.shard, part.weight, 0, 0, {}, 0, 0, {}};
        }
        for (const auto& part : arrival.parts) send(part.id);
    }
    void handle(const SendEnded& ended) {
        if (const auto at = replicas_.find(ended.server); at != replicas_.end() && at->second.in_flight > 0) {
            --at->second.in_flight;
            const auto latency =
                static_cast<double>(ended.took) * (ended.outcome == Outcome::kReturned ? 1 : 4);
            at->second.smoothed += kSmoothing * (latency - at->second.smoothed);
        }
        const auto at = parts_.find(ended.part);
        if (at == parts_.end()) return;
        auto& part = at->second;
        --part.in_flight;
        auto& open = multigets_.at(part.multiget);
        const auto& type = terms_.op_types[static_cast<std::size_t>(open.op_type)];
        if (ended.outcome == Outcome::kReturned) {
            open.returned_weight += part.weight;
            ++open.parts_returned;
            return finish_part(part.multiget);
        }
        const bool never_ran = ended.outcome == Outcome::kFull || ended.outcome == Outcome::kNoConnection ||
                               ended.outcome == Outcome::kNeverSent;
        open.may_have_run |= !never_ran;
        if (part.in_flight > 0) return;  // another send of the part is in flight
        const bool again = ended.outcome != Outcome::kTimedOut && part.sends < terms_.sends.most_sends &&
                           (never_ran || type.repeat == RetrySafety::kRetriable);
        if (!again || !send(ended.part)) finish_part(part.multiget);
    }
    void finish_part(Id multiget) {
        auto& open = multigets_.at(multiget);
        if (--open.pending_parts > 0) return;
        const auto& type = terms_.op_types[static_cast<std::size_t>(open.op_type)];
        if (open.parts_returned == open.parts.size()) {
            actions_.emplace_back(Answer{multiget, true});
        } else if (open.parts_returned > 0 && open.returned_weight >= type.min_share) {
            actions_.emplace_back(Answer{multiget, false});
        } else if (open.may_have_run && type.repeat == RetrySafety::kNonRetriable) {
            actions_.emplace_back(Fail{multiget});
        } else {
            actions_.emplace_back(PushBack{multiget, 0});
        }
        forget(multiget);
    }
    void forget(Id multiget) {
        const auto at = multigets_.find(multiget);
        if (at == multigets_.end()) return;
        for (const Id part : at->second.parts) parts_.erase(part);
        multigets_.erase(at);
    }
    bool send(Id id) {
        auto& part = parts_.at(id);
        std::vector<ServerId> candidates;
        for (const auto& [server, replica] : replicas_) {
            if (replica.ready && terms_.ring.holds(replica.place, part.shard) && !part.tried.contains(server))
                candidates.push_back(server);
        }
        if (candidates.empty()) {
            if (part.sends == 0) finish_part(part.multiget);
            return false;
        }
        const auto server = kind_ == PolicyKind::kSeesAll
                                ? best(candidates, multigets_.at(part.multiget).not_after)
                                : pick(candidates, part.shard);
        if (server == ServerId{}) {  // every candidate would fail or miss the deadline
            if (part.sends == 0) finish_part(part.multiget);
            return false;
        }
        part.tried.insert(server);
        ++part.sends;
        ++part.in_flight;
        part.last_server = server;
        part.sent = now_;
        part.expected = expected_;
        ++replicas_.at(server).in_flight;
        actions_.emplace_back(Send{id, server, 0});
        return true;
    }
    // Sends a retriable part to another replica if its server will not answer or the send is overdue.
    void resend_overdue() {
        bool any = false;
        for (auto& [id, part] : parts_) {
            any |= part.in_flight > 0;
            if (part.in_flight != 1 || part.sends >= terms_.sends.most_sends) continue;
            if (terms_.op_types[static_cast<std::size_t>(multigets_.at(part.multiget).op_type)].repeat !=
                RetrySafety::kRetriable)
                continue;
            const bool overdue = now_ - part.sent > kOverdueFactor * part.expected;
            if (overdue || terms_.truth->expected_latency(terms_.place.me, part.last_server) == Truth::kNever)
                send(id);
        }
        if (any) actions_.emplace_back(SetTimer{kRescueInterval, 1});
    }
    // Returns the replica with the lowest expected latency, counting the sends of this turn; an empty id if
    // no replica would answer before the deadline.
    ServerId best(const std::vector<ServerId>& candidates, Time not_after) {
        ServerId best;
        Time least = not_after - now_;
        for (const auto& server : candidates) {
            const auto latency = terms_.truth->expected_latency(terms_.place.me, server);
            if (latency == Truth::kNever || latency + queued_this_turn_[server] >= least) continue;
            least = latency + queued_this_turn_[server];
            best = server;
        }
        expected_ = least;
        if (best != ServerId{}) queued_this_turn_[best] += std::max<Time>(1, least / 8);
        return best;
    }
    ServerId pick(const std::vector<ServerId>& candidates, int shard) {
        const auto any = [&] { return candidates[chance_() % candidates.size()]; };
        const auto fewer = [this](ServerId a, ServerId b) {
            return replicas_.at(a).in_flight < replicas_.at(b).in_flight;
        };
        switch (kind_) {
            case PolicyKind::kRoundRobin: return candidates[round_robin_next_[shard]++ % candidates.size()];
            case PolicyKind::kFewestOut:
                return *std::min_element(candidates.begin(), candidates.end(), fewer);
            case PolicyKind::kTwoChoices: {
                const auto a = any(), b = any();
                return fewer(b, a) ? b : a;
            }
            case PolicyKind::kSmoothedTime:
                return *std::min_element(
                    candidates.begin(), candidates.end(), [this](ServerId a, ServerId b) {
                        const auto& one = replicas_.at(a);
                        const auto& two = replicas_.at(b);
                        return one.smoothed * (one.in_flight + 1) < two.smoothed * (two.in_flight + 1);
                    });
            case PolicyKind::kPinedoor:
            case PolicyKind::kSeesAll:
            case PolicyKind::kRandom: break;
        }
        return any();
    }

    const PolicyKind kind_;
    const NodeTerms terms_;
    std::mt19937 chance_;
    std::map<ServerId, Replica> replicas_;
    std::map<Id, Part> parts_;
    std::map<Id, OpenMultiget> multigets_;
    std::map<int, std::size_t> round_robin_next_;
    // Extra latency, in ticks, that this turn's sends add at each server.
    std::map<ServerId, Time> queued_this_turn_;
    Time now_ = 0;
    Time expected_ = 0;  // expected latency of the last choice by best()
    std::vector<Action> actions_;
};

}  // namespace

std::optional<PolicyKind> policy_named(std::string_view name) {
    for (std::size_t i = 0; i < kPolicyNames.size(); ++i) {
        if (kPolicyNames[i] == name) return static_cast<PolicyKind>(i);
    }
    return std::nullopt;
}

std::string_view name_of(PolicyKind kind) { return kPolicyNames.at(static_cast<std::size_t>(kind)); }

const std::vector<std::string>& policy_names() {
    static const std::vector<std::string> names(kPolicyNames.begin(), kPolicyNames.end());
    return names;
}

std::unique_ptr<Policy> make_policy(PolicyKind kind, const NodeTerms& terms) {
    if (kind == PolicyKind::kPinedoor) return std::make_unique<PinedoorPolicy>(terms);
    return std::make_unique<BaselinePolicy>(kind, terms);
}

}  // namespace pinedoor::lab
