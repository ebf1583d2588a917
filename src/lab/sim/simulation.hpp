// Discrete-event simulation of a world: real FrontNode instances, or other policies, against emulated servers
// and clients in one thread. The same world produces the same log, byte for byte.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/sim/event_wheel.hpp"
#include "lab/sim/policy.hpp"
#include "lab/world/condition.hpp"
#include "lab/world/demand.hpp"
#include "lab/world/server_model.hpp"
#include "lab/world/totals.hpp"
#include "lab/world/world.hpp"

namespace pinedoor::lab {

// Runs one world to its end.
class Simulation : private Truth {
public:
    // `log`, if set, receives a line for each logged event; checker.hpp describes the format.
    explicit Simulation(const World& world, PolicyKind policy = PolicyKind::kPinedoor,
                        std::function<void(const std::string&)> log = {});
    using MakePolicy = std::function<std::unique_ptr<Policy>(const NodeTerms&)>;
    Simulation(const World& world, MakePolicy make, std::function<void(const std::string&)> log);
    ~Simulation() override;
    Totals run();

private:
    enum class Kind : std::uint8_t {
        kArrival,         // a new request; target: client kind
        kRetry,           // target: request
        kTurn,            // a front node's turn; target: node
        kSendArrives,     // a send arrives at its server; target: send
        kPartDone,        // a core finishes a part; target: send
        kOutcomeArrives,  // an outcome arrives at the front node; target: send
        kSendTimeout,     // a send times out; target: send
        kAnswerOverdue,   // no answer in time; target: node, argument: multiget
        kClientLeaves,    // the client disconnects early; target: node, argument: multiget
        kFault,           // target: fault, argument: 1 for its end
        kOutage,          // of a recurring fault; target: fault, argument: server, generation: 1 for its end
        kRestart,         // a draining front node may be done; target: node
        kListUpdate       // a server's state reaches a node; target: node, argument: server
    };
    struct QueuedEvent {
        Time time = 0;
        std::uint32_t target = 0, argument = 0, generation = 0;
        Kind kind = Kind::kArrival;
    };
    struct Node;
    struct InFlightSend {
        std::uint32_t node = 0, generation = 0;
        Id part = 0;
        int number = 0;
        std::uint32_t server = 0, server_generation = 0;
        std::uint32_t op_type = 0;
        std::uint64_t multiget = 0;  // number of the multiget << 20 | shard
        std::uint64_t effect = 0;    // the same for the request's first try
        std::uint64_t key = 0;
        Time sent = 0, until = 0;
        Outcome outcome = Outcome::kReturned;  // outcome on its way to the front node
        bool ended = false, reached = false, first_of_call = false;
        int references = 0;
    };
    struct Server : Condition {
        Server(int cores, int queue) : model(cores, queue) {}
        ServerModel model;
        std::uint32_t generation = 0;
        int in_flight = 0;                // sends on the way to it
        std::vector<std::uint32_t> held;  // sends that arrived while it hangs
    };

    void schedule(Time when, Kind kind, std::uint32_t target, std::uint32_t argument = 0,
                  std::uint32_t generation = 0);
    void dispatch(const QueuedEvent& event);
    void generate_arrival(std::uint32_t kind);
    void start_try(std::uint32_t request);
    void turn(std::uint32_t node);
    void deliver(std::uint32_t node, Event event);
    void carry_out(std::uint32_t node, const Action& action);
    void send(std::uint32_t node, const Send& send);
    void arrive_at_server(std::uint32_t slot);
    void begin_part(std::uint32_t slot);
    void finish_part(std::uint32_t slot);
    void answer_back(std::uint32_t slot, Outcome outcome);
    void end_send(std::uint32_t slot, Outcome outcome);
    void end(std::uint32_t node, Id multiget, How how, bool whole, Time wait = 0);
    void toggle_fault(const Trouble& trouble, bool begins, std::uint32_t index);
    void apply_fault(const Trouble& trouble, bool begins, std::uint32_t server);
    void toggle_outage(std::uint32_t index, std::uint32_t server, bool ends);
    void stop_server(std::uint32_t server, bool silently);
    void start_server(std::uint32_t server, bool silently);
    void announce_state(std::uint32_t server);
    void kill_node(std::uint32_t node);
    void restart_when_done(std::uint32_t node);
    void start_node(std::uint32_t node);
    ListEntry entry(std::uint32_t server) const;
    void release(std::uint32_t slot);
    bool is_partitioned(std::uint32_t node, std::uint32_t server) const;
    Time travel(std::uint32_t node, std::uint32_t server);
    Time expected_latency(int node, ServerId server) const override;
    void write_log(const std::string& line);

    const World world_;
    const MakePolicy make_;
    const std::function<void(const std::string&)> log_;
    Chance chance_;
    EventWheel<QueuedEvent> queue_;
    Time now_ = 0;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::deque<InFlightSend> sends_;
    std::vector<std::uint32_t> free_;
    std::deque<Request> requests_;
    std::vector<std::uint32_t> free_requests_;
    std::unordered_map<std::uint64_t, int> run_counts_;  // runs of non-retriable parts, by effect
    std::uint64_t multigets_ = 0, effects_ = 0;
    std::vector<int> partitions_;  // number of partitions that affect each zone
    double surge_ = 1;
    Shift shift_;
    int discovery_down_ = 0;
    std::set<std::uint32_t> unannounced_;  // servers whose state changed while discovery is down
    Totals totals_;
};

}  // namespace pinedoor::lab
