// Settings of fleet-wide limits and verdicts ([fleet]). Limits are off unless [fleet] sets `on`
// (deploy/fleet.toml).
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "fleet/about.hpp"
#include "fleet/leases.hpp"
#include "fleet/server_words.hpp"

namespace pinedoor::fleet {

// One limit on what all front nodes use together ([[fleet.limits]]).
struct LimitConfig {
    std::string name;
    // What is limited: admitted multigets, further sends, new connections to each index server, or parts out
    // at each index server.
    enum class Of { kMultigets, kFurtherSends, kConnections, kPartsOut } of = Of::kMultigets;
    std::string tenant, op_type;  // of the multigets that count; empty: any
    // Never exceeded (fleet/leases), held approximately (fleet/about), or divided evenly without
    // communication.
    enum class Kind { kStrict, kAbout, kAlone } kind = Kind::kStrict;
    double per_second = 0;  // for parts out: the number out at the same time
    double burst = 0;       // allowed at once beyond the rate, by all nodes together
};

// The name in settings and on the operators' page.
constexpr const char* name_of(LimitConfig::Of of) {
    using Of = LimitConfig::Of;
    return of == Of::kMultigets      ? "multigets"
           : of == Of::kFurtherSends ? "further-sends"
           : of == Of::kConnections  ? "connections"
                                     : "parts-out";
}

// All of [fleet]; times in tenths of a millisecond. The members are described where they are used:
// LeaseConfig, ApproximateLimitConfig.
struct FleetTerms {
    bool on = false;  // limits are enforced
    std::vector<std::string> voters;
    double floors = 0.1;
    Time vote = 60'000, lease = 30'000, renew = 5'000;
    double drift = 0.01;
    Time late = 20'000;  // propagation delay of approximate limits
    std::vector<LimitConfig> limits;
    bool needs_peers() const {
        return std::any_of(limits.begin(), limits.end(),
                           [](const auto& each) { return each.kind != LimitConfig::Kind::kAlone; });
    }
    bool verdicts = true;  // reports on servers are published and used, wherever there are peers
    ReportConfig words;

    LeaseConfig leases(const LimitConfig& limit, int nodes) const {
        return {limit.per_second, floors, nodes, voters, vote, lease, renew, drift};
    }
    ApproximateLimitConfig about(const LimitConfig& limit, int nodes) const {
        ApproximateLimitConfig terms;
        terms.limit = limit.per_second;
        terms.floor_share = floors;
        terms.node_count = nodes;
        terms.propagation_delay = late;
        return terms;
    }
};

}  // namespace pinedoor::fleet
