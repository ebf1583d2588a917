// A world in simulated time: the very FrontNode, many of them, against emulated servers and clients, event by
// event in one thread. The same world gives the same log, byte for byte.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/policy.hpp"
#include "lab/server_model.hpp"
#include "lab/world.hpp"

namespace pinedoor::lab {

struct Totals {
    struct OfClients {
        std::string name;
        std::uint64_t asked = 0, whole = 0, in_part = 0, late = 0, pushed_back = 0, failed = 0, lost = 0;
        double earned = 0, possible = 0;  // by importance
        std::vector<float> ms;            // to each answer
    };
    std::vector<OfClients> clients;
    std::uint64_t sends = 0, events = 0, run = 0, run_twice = 0, node_kills = 0;
    double service() const;  // earned of possible, 0 to 1
};

class Simulation {
public:
    // `log` is given a line for each thing that happens, if it is there.
    explicit Simulation(const World& world, PolicyKind policy = PolicyKind::kPinedoor,
                        std::function<void(const std::string&)> log = {});
    using MakePolicy = std::function<std::unique_ptr<Policy>(const NodeTerms&)>;
    Simulation(const World& world, MakePolicy make, std::function<void(const std::string&)> log);
    ~Simulation();
    Totals run();

private:
    enum class Kind : std::uint8_t {
        kArrival,  // of a request; which: the client kind
        kTurn,     // of a front node
        kReach,    // a send comes to its server
        kWorked,   // a core ends a part
        kBack,     // an outcome comes to the front node
        kOver,     // a send's time is over
        kGiveUp,   // the client has waited enough; which: the node, what: the multiget
        kTrouble,  // which: the trouble, what: 1 for its end
        kHear      // the list reaches a node; which: the node, what: the server
    };
    struct Happening {
        Time at = 0;
        std::uint64_t order = 0;
        Kind kind = Kind::kArrival;
        std::uint32_t which = 0, what = 0, era = 0;
        bool operator<(const Happening& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct Node;
    struct SendOut {
        std::uint32_t node = 0, era = 0;
        Id part = 0;
        int number = 0;
        std::uint32_t server = 0, server_era = 0;
        std::uint32_t op_type = 0;
        std::uint64_t multiget = 0;  // over the whole world
        Time sent = 0, until = 0;
        Outcome outcome = Outcome::kReturned;  // on its way back
        bool told = false, reached = false, working = false;
        int references = 0;
    };
    struct Server {
        Server(int cores, int queue) : model(cores, queue) {}
        ServerModel model;
        Time started = -1'000'000'000;
        bool up = true, vanished = false, hung = false, full = false;
        double slow = 1, errors = 0;
        std::uint32_t era = 0;
        std::vector<std::uint32_t> held;  // sends that have come, and wait while it hangs
    };

    void at(Time when, Kind kind, std::uint32_t which, std::uint32_t what = 0, std::uint32_t era = 0);
    void happen(const Happening& what);
    void arrive(std::uint32_t kind);
    void turn(std::uint32_t node);
    void tell(std::uint32_t node, Event event);
    void carry_out(std::uint32_t node, const Action& action);
    void send(std::uint32_t node, const Send& send);
    void reach(std::uint32_t slot);
    void begin(std::uint32_t slot);
    void worked(std::uint32_t slot);
    void answer_back(std::uint32_t slot, Outcome outcome);
    void end_send(std::uint32_t slot, Outcome outcome);
    void end(std::uint32_t node, Id multiget, int how, bool whole);
    void trouble(const Trouble& trouble, bool begins, std::uint32_t index);
    void start_server(std::uint32_t server);
    void start_node(std::uint32_t node);
    std::vector<std::uint32_t> chosen(const Trouble& trouble, std::uint32_t index, std::size_t of) const;
    ListEntry entry(std::uint32_t server) const;
    void release(std::uint32_t slot);
    Time delay() { return std::max<Time>(1, static_cast<Time>(world_.delay_ms(chance_) * 10 + 0.5)); }
    void say(const std::string& line);

    const World world_;
    const MakePolicy make_;
    const std::function<void(const std::string&)> log_;
    Chance chance_;
    Time now_ = 0;
    std::uint64_t order_ = 0;
    std::priority_queue<Happening> queue_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::deque<SendOut> sends_;
    std::vector<std::uint32_t> free_;
    std::unordered_map<std::uint64_t, int> ran_;  // parts that must not run twice: multiget and shard
    std::uint64_t multigets_ = 0;
    Totals totals_;
};

}  // namespace pinedoor::lab
