// An emulated index server on real sockets, with the service times and faults of the simulation. It listens
// on one port per zone to know the zone of its callers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/live/agenda.hpp"
#include "lab/live/held_port.hpp"
#include "lab/world/condition.hpp"
#include "lab/world/server_model.hpp"
#include "lab/world/totals.hpp"
#include "net/stream.hpp"

namespace pinedoor::lab {

// The state shared by all parts of a run on sockets.
struct LiveContext {
    LiveContext(const World& configured, std::function<void(const std::string&)> lines)
        : world(configured), log(std::move(lines)), chance(configured.seed),
          cut(static_cast<std::size_t>(configured.zones)) {}

    void write_log(net::Moment now, const std::string& line) const {
        if (log) log(std::to_string(now - start) + ' ' + line);
    }
    bool is_cut(int a, int b) const {
        return a != b && (cut[static_cast<std::size_t>(a)] > 0 || cut[static_cast<std::size_t>(b)] > 0);
    }

    const World world;
    const std::function<void(const std::string&)> log;
    Chance chance;
    net::Moment start = 0;  // of the run; log times are relative to it
    Totals totals;
    std::vector<int> cut;                        // number of partitions that affect each zone
    std::unordered_map<std::string, int> sends;  // number of sends of each part
    // For non-retriable requests: from a multiget to its first try.
    std::unordered_map<std::uint64_t, std::uint64_t> effects;
    std::unordered_map<std::string, int> run_counts;  // runs of non-retriable parts, by first try and shard
    // The client kind of each multiget, if there is more than one kind.
    std::unordered_map<std::uint64_t, int> kinds;
};

// The name of a multiget; part names add the shard: "17n3.5" is multiget 17, sent to front node 3, shard 5.
std::string multiget_name(std::uint64_t multiget, int node);

class LiveServer {
public:
    LiveServer(net::Scheduler& scheduler, TimerQueue& timers, LiveContext& context, int index);

    net::Endpoint at(int zone) const { return ports_[static_cast<std::size_t>(zone)].at(); }
    const Condition& condition() const { return condition_; }
    void apply_fault(const Trouble& trouble, bool begins);  // for faults that do not stop it
    void take_down(bool silently);  // crashes it; silently: connections are neither reset nor answered
    void bring_up(bool silently);   // restarts it, cold
    void drain() { condition_.draining = true; }
    void start_cold();                       // starts its warm-up now, as after a power loss
    void drop_from_zone(int zone, bool on);  // drops what front nodes of the zone send; -1: of any zone
    void fail_kind(int kind, bool on);       // fails each part of this client kind
    // Crashes when it starts a part of this client kind; the crash handler stops it.
    void crash_on_kind(int kind, bool on);
    void set_crash_handler(std::function<void()> what) { on_crash_ = std::move(what); }

    std::uint64_t connections() const { return last_link_; }  // accepted so far
    std::uint64_t most_connections_in_a_second() const { return max_connections_in_a_second_; }

private:
    struct Listener {
        explicit Listener(net::Scheduler& scheduler, net::Endpoint where);
        net::Fd fd;
        net::Waiter waiter;
        net::Task task;
    };
    struct Link {
        Link(net::Scheduler& scheduler, net::Fd fd, int from)
            : stream(scheduler, std::move(fd)), zone(from) {}
        net::Stream stream;
        int zone;  // zone of the front node
        std::string out;
        std::size_t written = 0;
        net::Task task;
    };
    struct Part {
        std::uint64_t link = 0;
        std::string id;
        std::uint64_t multiget = 0;
        int shard = 0;
        bool first_of_call = false;
        bool called_off = false;
    };

    void open_listeners();
    net::Task accept(Listener& listener, int zone);
    net::Task serve(std::uint64_t id, Link& link);
    void receive_frames(std::uint64_t id, Link& link);
    void receive_call(std::uint64_t link, std::string_view rest);
    void call_off(std::string_view id);
    void arrive(Job job);
    void begin_part(Job job);
    void finish_part(Job job, std::uint32_t generation);
    void reply(Job job, const char* end, const std::string& value);
    Time travel(int zone);
    void add_outstanding(int more);
    bool is_of_kind(const std::multiset<int>& kinds, Job job) const;

    net::Scheduler& scheduler_;
    TimerQueue& timers_;
    LiveContext& context_;
    const int index_;
    const int zone_;
    Condition condition_;
    std::vector<int> dropping_from_;                  // number of active faults by zone
    std::multiset<int> failing_kinds_, crash_kinds_;  // client kinds
    std::function<void()> on_crash_;
    ServerModel model_;
    std::uint32_t generation_ = 0;
    // Parts that front nodes wait for, and their maximum within the current second.
    int outstanding_ = 0, max_outstanding_ = 0;
    Time max_outstanding_second_ = 0;
    std::unordered_map<Job, Part> parts_;
    std::unordered_map<std::string, Job> by_id_;
    std::vector<Job> held_jobs_;
    Job last_job_ = 0;
    std::map<Time, std::uint64_t> opened_by_second_;  // connections by second, the latest two
    std::uint64_t max_connections_in_a_second_ = 0;
    std::uint64_t last_link_ = 0;
    std::vector<HeldPort> ports_;                       // by zone; kept during a crash
    std::vector<std::unique_ptr<Listener>> listeners_;  // by zone; null while the server is down
    std::unordered_map<std::uint64_t, std::unique_ptr<Link>> links_;
};

}  // namespace pinedoor::lab
