// What an installation states of limits for the whole fleet; off unless [fleet] says on (deploy/fleet.toml).
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "fleet/about.hpp"
#include "fleet/leases.hpp"
#include "fleet/server_words.hpp"

namespace pinedoor::fleet {

struct LimitTerms {  // of what all front nodes take together
    std::string name;
    // What is limited: multigets taken, further sends, new connections to each index server, or parts out at
    // each.
    enum class Of { kMultigets, kFurtherSends, kConnections, kPartsOut } of = Of::kMultigets;
    std::string tenant, op_type;  // of multigets; empty: any
    enum class Kind { kNeverOver, kAbout, kAlone } kind = Kind::kNeverOver;
    double per_second = 0;  // of parts out: at once
    double burst = 0;       // at most so many at once beyond it, all together
};

// As settings and the operators' page have it.
constexpr const char* name_of(LimitTerms::Of of) {
    using Of = LimitTerms::Of;
    return of == Of::kMultigets      ? "multigets"
           : of == Of::kFurtherSends ? "further-sends"
           : of == Of::kConnections  ? "connections"
                                     : "parts-out";
}

struct FleetTerms {
    bool on = false;
    std::vector<std::string> voters;
    double floors = 0.1;
    Time vote = 60'000, lease = 30'000, renew = 5'000;
    double drift = 0.01;
    Time late = 20'000;  // limits that hold about
    std::vector<LimitTerms> limits;
    bool needs_peers() const {
        return std::any_of(limits.begin(), limits.end(),
                           [](const auto& each) { return each.kind != LimitTerms::Kind::kAlone; });
    }
    bool verdicts = true;  // what members say of servers is said and heard, wherever there are peers
    WordTerms words;

    LeaseTerms leases(const LimitTerms& limit, int nodes) const {
        return {limit.per_second, floors, nodes, voters, vote, lease, renew, drift};
    }
    ApproximateLimitTerms about(const LimitTerms& limit, int nodes) const {
        ApproximateLimitTerms terms;
        terms.limit = limit.per_second;
        terms.floor_share = floors;
        terms.node_count = nodes;
        terms.propagation_delay = late;
        return terms;
    }
};

}  // namespace pinedoor::fleet
