// The policies that a simulated front node can use: pinedoor's decision module and the baselines it is
// compared with. The baselines are not meant for production.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "logic.hpp"

namespace pinedoor::lab {

enum class PolicyKind { kPinedoor, kRandom, kRoundRobin, kFewestOut, kTwoChoices, kSmoothedTime, kSeesAll };
std::optional<PolicyKind> policy_named(std::string_view name);
std::string_view name_of(PolicyKind kind);
const std::vector<std::string>& policy_names();

// The actual state of the simulated world, as seen by the omniscient policy.
class Truth {
public:
    virtual ~Truth() = default;
    static constexpr Time kNever = INT64_MAX;
    // The expected time, in ticks, until the answer to a part sent to the server now; kNever if it would
    // fail.
    virtual Time expected_latency(int node, ServerId server) const = 0;
};

// The configuration of a front node at its start.
struct NodeTerms {
    std::uint64_t seed = 0;
    NodeConfig place;
    std::vector<OpType> op_types;
    ShardRing ring;
    SendConfig sends;
    FurtherSendConfig further;
    ColdStartConfig cold;
    ClientConfig clients;
    std::vector<TenantQuota> tenants;
    const Truth* truth = nullptr;
};

// Decides what a front node does.
class Policy {
public:
    virtual ~Policy() = default;
    virtual std::vector<Action> turn(Time now, const std::vector<Event>& events) = 0;  // like FrontNode::turn
};

std::unique_ptr<Policy> make_policy(PolicyKind kind, const NodeTerms& terms);

}  // namespace pinedoor::lab
