// A world as its TOML describes it: index servers, front nodes, clients, and troubles on a timeline.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "lab/draw.hpp"
#include "logic.hpp"

namespace pinedoor::lab {

struct ServerKind {
    int count = 12;
    int cores = 2;
    Draw part_ms{Draw::Kind::kExponential, 5, 0};  // work of one part on one core
    int queue = 64;                                // parts that wait; further ones are turned away as full
    Time warm_after = 0;  // from cold_factor times slower to full speed; 0: always warm
    double cold_factor = 4;
};

struct ClientKind {
    double per_second = 100;  // over all front nodes; open loop
    std::string name = "read";
    OpType type;
    double share = 1;  // of the requests
    Draw parts{Draw::Kind::kFixed, 4, 0};
    bool even = true;  // weights; else each is drawn
};

struct Trouble {
    enum class Kind { kCrash, kVanish, kHang, kSlow, kFull, kErrors, kNodeKilled } kind = Kind::kCrash;
    Time from = 0;
    Time until = 0;
    double share = 0;   // of the servers, or of the front nodes
    double factor = 5;  // kSlow
};

struct World {
    std::string name = "world";
    std::uint64_t seed = 1;
    Time length = 100'000;
    int shards = 12;
    int width = 3;  // replicas of each shard
    int nodes = 3;
    Draw delay_ms{Draw::Kind::kFixed, 0.2, 0};  // one way
    Time turn = 10;
    ServerKind servers;
    SendTerms sends;
    FurtherSendTerms further;
    ColdTerms cold;
    Time list_lag = 1'000;  // until a front node hears of what became of a server
    std::vector<ClientKind> clients;
    std::vector<Trouble> troubles;

    static World read_file(const std::string& path);  // throw stated::BadStated: file, line, key and the mend
    static World from_text(std::string_view text, const std::string& path);
};

}  // namespace pinedoor::lab
