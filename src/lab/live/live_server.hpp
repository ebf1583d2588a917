// One emulated index server on real sockets: frames in, answers out, its work and its troubles as in
// simulated time. It listens at one port for each zone, so it knows how far away its callers are.
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

// What all parts of a run on sockets share.
struct LiveBook {
    LiveBook(const World& told, std::function<void(const std::string&)> lines)
        : world(told), log(std::move(lines)), chance(told.seed), cut(static_cast<std::size_t>(told.zones)) {}

    void say(net::Moment now, const std::string& line) const {
        if (log) log(std::to_string(now - start) + ' ' + line);
    }
    bool is_cut(int a, int b) const {
        return a != b && (cut[static_cast<std::size_t>(a)] > 0 || cut[static_cast<std::size_t>(b)] > 0);
    }

    const World world;
    const std::function<void(const std::string&)> log;
    Chance chance;
    net::Moment start = 0;  // of the run; the log counts from then
    Totals totals;
    std::vector<int> cut;                        // zones, by so many troubles
    std::unordered_map<std::string, int> sends;  // of each part
    std::unordered_map<std::uint64_t, std::uint64_t>
        effects;                               // of what must not run twice: multiget to its first try
    std::unordered_map<std::string, int> ran;  // likewise, by first try and shard
    std::unordered_map<std::uint64_t, int>
        kinds;  // of multigets: whose, where there are several kinds of clients
};

// "17n3.5": multiget 17, asked at front node 3, its shard 5.
std::string multiget_name(std::uint64_t multiget, int node);

class LiveServer {
public:
    LiveServer(net::Scheduler& scheduler, Agenda& agenda, LiveBook& book, int index);

    net::Endpoint at(int zone) const { return ports_[static_cast<std::size_t>(zone)].at(); }
    const Condition& condition() const { return condition_; }
    void apply_fault(const Trouble& trouble, bool begins);  // of those that do not take it down
    void take_down(bool silently);  // it dies, or vanishes: then it says nothing, and resets nothing
    void bring_up(bool silently);   // it is started, cold
    void drain() { condition_.draining = true; }
    void begin_cold();                    // it starts now, as after a loss of power
    void be_deaf_to(int zone, bool on);   // what front nodes of it send is lost; -1: of any
    void fail_kind(int kind, bool on);    // each part of these clients
    void die_by_kind(int kind, bool on);  // as it begins one; whoever listens takes it down
    void when_killed(std::function<void()> what) { killed_ = std::move(what); }

    std::uint64_t connections() const { return last_link_; }  // taken so far
    std::uint64_t most_connections_in_a_second() const { return most_in_a_second_; }

private:
    struct Door {
        explicit Door(net::Scheduler& scheduler, net::Endpoint where);
        net::Fd fd;
        net::Waiter waiter;
        net::Task task;
    };
    struct Link {
        Link(net::Scheduler& scheduler, net::Fd fd, int from)
            : stream(scheduler, std::move(fd)), zone(from) {}
        net::Stream stream;
        int zone;  // of the front node
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

    void open_doors();
    net::Task accept(Door& door, int zone);
    net::Task serve(std::uint64_t id, Link& link);
    void take_frames(std::uint64_t id, Link& link);
    void take_call(std::uint64_t link, std::string_view rest);
    void call_off(std::string_view id);
    void arrive(Job job);
    void begin(Job job);
    void worked(Job job, std::uint32_t era);
    void reply(Job job, const char* end, const std::string& value);
    Time travel(int zone);
    void note_in_hand(int more);
    bool is_of(const std::multiset<int>& kinds, Job job) const;

    net::Scheduler& scheduler_;
    Agenda& agenda_;
    LiveBook& book_;
    const int index_;
    const int zone_;
    Condition condition_;
    std::vector<int> deaf_to_;            // zones, by so many faults
    std::multiset<int> failing_, dying_;  // clients
    std::function<void()> killed_;
    ServerModel model_;
    std::uint32_t era_ = 0;
    int in_hand_ = 0, most_in_hand_ = 0;  // parts that front nodes wait for here; the most of a second
    Time most_in_hand_at_ = 0;
    std::unordered_map<Job, Part> parts_;
    std::unordered_map<std::string, Job> by_id_;
    std::vector<Job> held_;
    Job last_job_ = 0;
    std::map<Time, std::uint64_t> opened_;  // by second, the latest two
    std::uint64_t most_in_a_second_ = 0;
    std::uint64_t last_link_ = 0;
    std::vector<HeldPort> ports_;               // by zone; kept over a crash
    std::vector<std::unique_ptr<Door>> doors_;  // by zone; null while it is down
    std::unordered_map<std::uint64_t, std::unique_ptr<Link>> links_;
};

}  // namespace pinedoor::lab
