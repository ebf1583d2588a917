// The ordinary clients of a soak run: they keep their connections, and use open ones until the front node's
// process ends.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "lab/soak/soak_log.hpp"
#include "lab/world/draw.hpp"
#include "net/stream.hpp"

namespace pinedoor::lab {

// What the rig knows of the front node's process.
struct SoakNodeState {
    bool takes_new_clients = true;  // a planned restart has not begun, or only just
    bool killed = false;            // SIGKILL was sent, and it was not started again yet
};

// An HTTP request for a multiget of these shards.
std::string soak_request(const std::string& op_type, const std::string& id, SoakMs wait, int first_shard,
                         int shards, const std::string& query);

class SoakClients {
public:
    static constexpr int kShards = 12;

    SoakClients(net::Scheduler& scheduler, SoakLog& log, const SoakNodeState& node, net::Endpoint at,
                std::uint64_t seed)
        : scheduler_(scheduler), log_(log), node_(node), at_(at), chance_(seed) {}

    // Until `until`, in milliseconds since the start of the run.
    void start(int count, SoakMs until);
    // All requests have ended.
    bool done() const { return running_ == 0; }

private:
    struct Client {
        explicit Client(net::Scheduler& scheduler) : pause(scheduler) {}
        net::Waiter pause;
        std::optional<net::Stream> stream;
        bool was_answered = false;  // on the current connection
        net::Task task;
    };
    net::Task run(Client& client, int number, SoakMs until);

    net::Scheduler& scheduler_;
    SoakLog& log_;
    const SoakNodeState& node_;
    const net::Endpoint at_;
    Chance chance_;
    int running_ = 0;
    std::list<std::unique_ptr<Client>> clients_;
};

}  // namespace pinedoor::lab
