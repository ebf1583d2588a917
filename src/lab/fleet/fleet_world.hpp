// A World for many front node processes, with how they start, discovery's capacity, and faults of processes
// and of the links between them. docs/lab.md lists every key.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "lab/fleet/relay.hpp"
#include "lab/live/call_desk.hpp"
#include "lab/world/world.hpp"

namespace pinedoor::lab {

// A fault of processes, links or discovery.
struct Fault {
    enum class Kind {
        kKill,             // SIGKILL; restarted at the end
        kKillDisk,         // SIGKILL and its folder removed; restarted at the end
        kStop,             // SIGSTOP; SIGCONT at the end
        kTerm,             // SIGTERM; restarted at the end, once it has exited
        kDiscoveryDown,    // connections are refused; watches end
        kDiscoveryBusy,    // every call is refused; watches end
        kDiscoveryStill,   // watches stay open without updates
        kDiscoveryAnew,    // watches end, and revisions restart at 1
        kLinks,            // links have the faults in `link_faults`
        kReset,            // connections are reset, once
        kDiscoveryMoves,   // to another address, announced by SIGHUP; the old one closes 1.5 s later
        kDiscoveryHalf,    // these front nodes get full lists with every second server only
        kDiscoveryBehind,  // these front nodes keep getting the list as of the fault's begin
        kKillForeign,      // SIGKILL; each is restarted at the end with the next one's folder
        kTwin,             // a second process under the same name, with ports of its own, until the end
        kClock,            // the wall clock jumps by `by_s`, and back at the end
        kFull,             // the folder's disk is full: no file grows beyond `quota_bytes`
        kDeaf,             // `servers` receive nothing from front nodes of `zone`, which see them hang
        kFailsKind,        // `servers` fail each part of the clients numbered `client_kind`
        kDeadlyKind        // `servers` crash when they start such a part; back, cold, after 0.5 s
    } kind = Kind::kKill;
    enum class Between { kDiscovery, kServers, kBoth, kPeers } between = Between::kBoth;
    enum class Way { kBoth, kThere, kBack } way = Way::kBoth;  // kThere: from the front node
    Time from = 0;
    Time until = 0;
    double share = 1;          // of the front nodes, if `nodes` is empty
    std::vector<int> nodes;    // front node numbers
    int zone = -1;             // only front nodes of this zone; -1: any
    std::vector<int> servers;  // kDeaf, kFailsKind, kDeadlyKind; empty: `share` of them
    int client_kind = 0;       // kFailsKind, kDeadlyKind
    double by_s = 0;           // kClock
    double quota_bytes = 0;    // kFull
    // The link faults. kPeers: `nodes` (or the share) form one group; kThere is traffic out of it, kBack into
    // it.
    LinkFaults link_faults;
};
std::string name_of(Fault::Kind kind);
const std::vector<std::string>& fault_names();

// How the fleet is set up.
struct FleetTerms {
    Time start_within = -1;       // front nodes start within this time; negative: up before the begin
    double known = 1;             // share of the front nodes that have a server list at their start
    Time known_age = -1;          // age of that list, passed with it; -1: not passed
    double known_gone = 0;        // share of the servers in that list since replaced, at other addresses
    bool store = false;           // each front node keeps a store of record in its folder
    bool cold = false;            // all servers start at the world's begin
    bool relayed = false;         // links pass through relays, which can inject faults
    CallTerms discovery;          // its capacity
    double limit_per_second = 0;  // multigets accepted by all front nodes together; 0: no limit
    double limit_burst = 0;
    std::string limit_of = "multigets";        // or another kind of deploy/fleet.toml
    bool limit_about = false;                  // the limit is approximate; otherwise never exceeded
    bool limit_alone = false;                  // each front node has a fixed equal share
    double late_ms = 2'000;                    // approximate limits: delay until a share takes effect
    double vote_ms = 6'000, lease_ms = 3'000;  // timing of the limit's shares
    int voters = 3;                            // number of voters: the first front nodes
    bool peers = false;                        // front nodes form a cluster; the first few are the seeds
    bool verdicts = true;                      // and share their reports on servers
    int liars = 0;                             // additional members that misreport server states
    int seeds = 3;
    double news_by_ms = 6'000;  // until list changes count as received through peers (docs/peers.md)
    double period_ms = 1'000;   // probe period
    double seeds_after = 0;     // seconds until the seeds file is written; 0: seeds are in the settings
};

// A world and its fleet.
struct FleetWorld {
    World world;
    FleetTerms fleet;
    std::vector<Fault> faults;

    // Read a World's text with [fleet], [fleet.discovery] and [[faults]]. They throw stated::ConfigError.
    static FleetWorld read_file(const std::string& path, const World::Changes& changes = {});
    static FleetWorld from_text(std::string_view text, const std::string& path,
                                const World::Changes& changes = {});
    std::string to_toml() const;  // parses back to the same world
};

// Returns the front nodes that a fault affects, the same at its begin and its end.
std::vector<int> affected_nodes(const FleetWorld& world, std::size_t fault);
std::vector<int> affected_servers(const FleetWorld& world, std::size_t fault);  // the servers

}  // namespace pinedoor::lab
