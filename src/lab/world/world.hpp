// A world as configured in TOML: index servers, zones, discovery, front nodes, clients, and a timeline of
// faults. docs/lab.md lists every key. Times are in ticks of 0.1 ms unless the name has a unit.
#pragma once

#include <toml++/toml.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lab/world/draw.hpp"
#include "logic.hpp"

namespace pinedoor::lab {

// The parameters that all index servers share.
struct ServerKind {
    int count = 12;
    int cores = 2;
    Draw part_ms{Draw::Kind::kExponential, 5, 0};  // service time of one part on one core
    Draw call_ms{Draw::Kind::kFixed, 0, 0};        // added to the first part of a call
    int queue = 64;                                // capacity in parts; further parts are rejected as full
    Time warm_after = 0;  // duration of the warm-up from cold_factor times slower; 0: always warm
    double cold_factor = 4;
    int keys_held = 0;         // size of each server's key cache; 0: keys make no difference
    double unheld_factor = 1;  // factor on the service time of a part whose key is not cached
};

// One kind of client, with the op type of its requests.
struct ClientKind {
    double per_second = 100;  // requests over all front nodes; open loop
    std::string name = "read";
    OpType type;
    Draw parts{Draw::Kind::kFixed, 4, 0};
    bool even = true;            // all parts have the same weight; otherwise weights are drawn
    bool heavy_weights = false;  // with !even: heavy-tailed, so that few parts have most of the weight
    int keys = 0;                // number of keys, the k-th with popularity proportional to 1/k; 0: none
    // For the first burst_for of every burst_every the request rate is multiplied by burst_factor.
    Time burst_every = 0, burst_for = 0;
    double burst_factor = 1;
    int retries = 0;                                 // after a pushback, or a failure of a retriable request
    Draw retry_wait_ms{Draw::Kind::kFixed, 100, 0};  // minimum; a longer Retry-After takes precedence
    Draw leave_ms{Draw::Kind::kFixed, 0,
                  0};  // the client disconnects after this; 0: it waits for the route timeout
};

// A fault on the timeline of a world.
struct Trouble {
    enum class Kind {
        kCrash,
        kVanish,
        kHang,
        kSlow,
        kFull,
        kErrors,
        kSpoilt,
        kPauses,
        kFlapping,
        kRolling,
        kZoneLost,
        kCutOff,
        kSlowLinks,
        kLossy,
        kDiscoveryDown,
        kSurge,
        kShift,
        kNodeKilled,
        kNodeRestarted,
        kReload,
        kBadClients
    } kind = Kind::kCrash;
    Time from = 0;
    Time until = 0;
    // The fraction of the servers or front nodes affected; kShift: of the requests, which go to that zone.
    double share = 0.1;
    // kSlow, kSlowLinks, kSurge: a multiplier; kErrors, kSpoilt, kLossy: a probability; kBadClients:
    // connections per second.
    double factor = 5;
    Time every = 10'000;    // kPauses, kFlapping: period; kRolling: interval between servers
    Time for_time = 2'000;  // kPauses, kFlapping, kRolling: duration of each outage
    int zone = -1;          // the only zone affected; -1: any
};
std::string name_of(Trouble::Kind kind);
bool is_of_nodes(Trouble::Kind kind);  // whether it affects front nodes, not servers
const std::vector<std::string>& trouble_names();

// A tenant of the clients, with its quota.
struct Tenant {
    std::string name = "all";
    double share = 1;         // of the requests, relative to the other tenants' shares
    double per_second = 1e6;  // configured quota over all front nodes
};

// A complete world: everything that a run depends on besides the policy.
struct World {
    std::string name = "world";
    std::uint64_t seed = 1;
    Time length = 100'000;
    int shards = 12;
    int width = 3;  // replicas of each shard
    int nodes = 3;
    int zones = 1;  // replicas of a shard are spread over the zones as far as possible
    Draw delay_ms{Draw::Kind::kFixed, 0.2, 0};       // one way, within a zone
    Draw zone_delay_ms{Draw::Kind::kFixed, 1.0, 0};  // one way, between zones
    double loss = 0;                                 // probability that a message is lost and retransmitted
    Time retransmit = 2'000;                         // delay of each retransmission
    Time turn = 10;
    ServerKind servers;
    SendConfig sends;
    int parts_per_call = 8;
    FurtherSendConfig further;
    ColdStartConfig cold;
    Time refresh_within = 16'000;  // deadline for the first server list request, on sockets (platform rule)
    Draw list_lag_ms{Draw::Kind::kFixed, 100,
                     0};  // delay until a front node receives a change of a server's state
    std::vector<ClientKind> clients;
    std::vector<Tenant> tenants{Tenant{}};
    std::vector<Trouble> troubles;

    int places() const { return shards < servers.count ? shards : servers.count; }
    int zone_of_server(int server) const { return server / places() % zones; }
    int zone_of_node(int node) const { return node % zones; }

    // Overrides of the text, applied in order: a path such as "servers.count" and a TOML value such as "24".
    using Changes = std::vector<std::pair<std::string, std::string>>;
    // These throw stated::ConfigError with the file, line, key and a hint on how to fix it.
    static World read_file(const std::string& path, const Changes& changes = {});
    static World from_text(std::string_view text, const std::string& path, const Changes& changes = {});
    static World from_table(const toml::table& table, const std::string& path);
    // Parses the text and applies the changes without validating the keys.
    static toml::table parse(std::string_view text, const std::string& path, const Changes& changes);
    std::string to_toml() const;  // parses back to the same world
};

}  // namespace pinedoor::lab
