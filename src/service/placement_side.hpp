// Executes the decisions of the gatherer and the map follower: sits between the client connections and the
// dispatcher, watches the placement map at discovery, and tells the decision module which servers hold a
// piece according to the current map. Each leg is a multiget of the dispatcher and passes through the module
// like any other.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "placement/gatherer.hpp"
#include "placement/heat.hpp"
#include "placement/map_follower.hpp"
#include "placement/terms.hpp"
#include "service/exchange.hpp"

namespace pinedoor::service {

// Request handler that divides multigets by the placement map and gathers their results.
class PlacementHandler : public RequestHandler, public PartRouting, public ReplicaMap {
public:
    PlacementHandler(net::Scheduler& scheduler, Log& log, placement::PlacementConfig terms,
                     placement::GathererConfig gather, net::Endpoint discovery, std::uint64_t seed);

    void attach(Dispatcher& dispatcher) { dispatcher_ = &dispatcher; }
    void start();
    // Discovery has moved; the map is requested at the new address.
    void move_to(net::Endpoint discovery);

    SubmitResult ask(MultigetRequest multiget, std::function<void(MultigetResult)> ended) override;
    store::PartOutcomes leave(Ticket multiget) override;
    // A name is in use until its multiget ends, whichever of its rounds are open: further rounds have names
    // of their own at the dispatcher.
    Acceptance check_acceptance(const std::string& name) const override;

    std::shared_ptr<const std::string> request_text(int route,
                                                    const std::shared_ptr<const std::string>& text) override;
    void route_refused(int route, std::uint64_t epoch) override;
    std::vector<ServerId> of(int shard) const override;

    std::string print_gauges() const;

private:
    struct OpenMultiget {
        MultigetRequest request;
        std::function<void(MultigetResult)> on_end;
        std::map<int, Ticket> legs;
    };
    net::Task run();
    void watch();
    bool handle_object(const std::string& line);
    void check_heat();
    void execute_all(placement::Gatherer::Actions actions);
    void execute(const placement::gathering::SendRound& leg);
    void execute(const placement::gathering::AbandonRound& leg);
    void execute(const placement::gathering::RequestMap& want);
    void execute(const placement::gathering::Wake& wake);
    void execute(const placement::gathering::End& end);
    void on_round_ended(placement::Number number, int leg, MultigetResult ending);
    placement::FragmentFates open_round_fates(placement::Number number, int leg) const;

    net::Scheduler& scheduler_;
    Log& log_;
    const placement::PlacementConfig terms_;
    net::Endpoint discovery_;
    Dispatcher* dispatcher_ = nullptr;
    placement::ServerNames box_names_;
    placement::MapFollower follower_;
    placement::Gatherer gatherer_;
    placement::LoadTracker heat_;
    using OpenMultigets = std::map<placement::Number, OpenMultiget>;
    OpenMultiget remove(OpenMultigets::iterator position);
    OpenMultigets open_;
    std::set<std::string> open_names_;
    placement::Number last_number_ = 0;
    std::deque<placement::gathering::Action> pending_actions_;
    bool executing_ = false;
    Time wake_at_ = net::kNever;
    std::uint64_t proposals_ = 0;
    net::Waiter waiter_;
    net::Task watch_task_;
    net::Task fetch_task_;
    net::Task task_;  // last member: destroyed first
};

}  // namespace pinedoor::service
