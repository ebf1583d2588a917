// Executes shard moves: performs the actions that each Mover and the MoveQueue decide, one request at a time.
// It reads the map and the server list at discovery, sends requests to boxes, publishes map changes, and
// saves every step in the journal before it sends the requests of that step. If it is killed at any point,
// the next run continues from the journal.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "placement/move_desk.hpp"
#include "placement/mover.hpp"
#include "store/crash_point.hpp"
#include "store/move_journal.hpp"
#include "tool/caller.hpp"
#include "tool/fleet_view.hpp"

namespace pinedoor::tool {

struct MoveExecutorConfig {
    net::Endpoint discovery;
    std::string path = "/discovery/shards";
    // Nodes whose counters are used to detect overload of the fleet; empty: no detection.
    std::vector<net::Endpoint> nodes;
    std::string who;  // identifies this process in the lease
    std::int64_t lease = 100'000;
    int request_timeout_ms = 500;      // timeout of one request
    int pressure_interval_ms = 1'000;  // between two overload checks
    placement::MoverConfig move;
    placement::MoveQueueConfig desk;
};

class MoveExecutor {
public:
    MoveExecutor(store::SqlDb& db, MoveExecutorConfig config, std::function<void(const std::string&)> report);

    // Runs until every move of the journal has ended or no further one may start. Returns true if all
    // completed. Throws CommandError if another process holds the lease or discovery is unreachable.
    bool run();

private:
    struct ActiveMove {
        store::JournalMove journaled;
        std::unique_ptr<placement::Mover> mover;
        std::set<placement::Time> wake_times;
        bool aborted = false;
        // Whether discovery may have taken the change although the map does not show it: a request to publish
        // it has an unknown result, or was sent by an earlier process.
        bool may_be_published = false;
        // Since when discovery has refused the change, while the map allows it; -1: it has not.
        placement::Time refused_since = -1;
        bool is_stuck = false;  // refused, and possibly published: an operator has to look at it
    };
    using Actions = std::vector<placement::moving::Action>;

    placement::Time now() const;
    void start_move(placement::MoveId id);
    void run_actions(ActiveMove& active, const Actions& actions);
    void handle_event(ActiveMove& active, const placement::moving::Event& event);
    void apply_operator_requests();
    void check_pressure();
    bool request_box(const ActiveMove& active, const std::string& box, const char* verb, std::uint64_t& value,
                     std::uint64_t upto = 0, placement::Epoch epoch = 0);
    bool request_box(const ActiveMove& active, const std::string& box, const char* verb,
                     const placement::Shard& shard, std::uint64_t& value, std::uint64_t upto = 0);
    bool fence_parents(const ActiveMove& active, std::uint64_t& value);
    bool unfence_parents(const ActiveMove& active);
    bool drop_parents(const ActiveMove& active);
    void refresh_fleet();
    void refresh_fleet_after_failure();
    void post_changes(ActiveMove& active, const std::vector<placement::Step>& steps);
    void refuse(ActiveMove& active, const std::string& why);
    void report_refusal(const ActiveMove& active, const std::string& why);
    void report_stuck(ActiveMove& active, const std::string& why);

    void execute(ActiveMove& active, const placement::moving::Keep& keep);
    void execute(ActiveMove& active, const placement::moving::RequestCopy&);
    void execute(ActiveMove& active, const placement::moving::RequestLag&);
    void execute(ActiveMove& active, const placement::moving::RequestFence&);
    void execute(ActiveMove& active, const placement::moving::RequestCatchUp& reach);
    void execute(ActiveMove& active, const placement::moving::Publish&);
    void execute(ActiveMove& active, const placement::moving::RequestOwn&);
    void execute(ActiveMove& active, const placement::moving::RequestDrained&);
    void execute(ActiveMove& active, const placement::moving::RequestDrop& drop);
    void execute(ActiveMove& active, const placement::moving::RequestUnfence&);
    void execute(ActiveMove& active, const placement::moving::Wake& wake);
    void execute(ActiveMove& active, const placement::moving::Ended& ended);
    void execute(ActiveMove& active, const placement::moving::CannotAbort&);

    store::MoveJournal journal_;
    const MoveExecutorConfig config_;
    const std::function<void(const std::string&)> report_;
    placement::MoveQueue scheduler_;
    placement::ServerNames names_;
    FleetView fleet_;
    std::map<std::string, BoxConnection> connections_;
    std::map<placement::MoveId, ActiveMove> active_moves_;
    std::vector<placement::MoveId> finished_;  // removed after the current iteration
    placement::Time next_pressure_check_ = 0;
    placement::Time next_request_check_ = 0;
    placement::Time next_fleet_refresh_ = 0;
    bool request_failed_ = false;  // since the last refresh, a box was not listed or did not answer
    std::uint64_t last_taken_ = 0, last_refused_ = 0;
    bool has_baseline_ = false;
    bool all_done_ = true;
    store::CrashPoints crash_points_;
};

}  // namespace pinedoor::tool
