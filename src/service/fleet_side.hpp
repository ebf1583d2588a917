// Exchanges reports on index servers, and on multigets that crash them, between the dispatcher and the gossip
// of the front nodes. What is reported and how reports are judged is decided in fleet/server_words and
// fleet/verdict.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet/server_words.hpp"
#include "peers/carrier.hpp"
#include "service/exchange.hpp"
#include "service/log.hpp"

namespace pinedoor::service {

// Publishes this node's reports and passes the combined reports of the others to the dispatcher.
class FleetReporter {
public:
    FleetReporter(net::Scheduler& scheduler, Dispatcher& dispatcher, peers::PeerTransport& carrier, Log& log,
                  fleet::ReportConfig terms);

    void start();
    std::string print_gauges() const;

private:
    net::Task run();
    // Reads new gossip entries and publishes this node's reports.
    void update();
    fleet::Said read_reports(fleet::ReportReader& reader) const;
    void publish_reports();
    void apply_reports();
    void publish_keys();
    void apply_keys();
    std::vector<fleet::ServerObservation> local_view() const;
    // For operators: all verdicts, or the reports on one server.
    std::string print_verdicts() const;
    std::string print_server(std::string_view server) const;

    net::Scheduler& scheduler_;
    Dispatcher& dispatcher_;
    peers::PeerTransport& carrier_;
    Log& log_;
    const fleet::ReportConfig terms_;
    fleet::ReportReader reader_;
    fleet::ReportPublisher outgoing_;
    fleet::ConsensusTracker incoming_;
    fleet::Said other_reports_;  // reports of other nodes, as last read
    std::uint64_t seen_changes_ = 0;
    Time read_at_ = 0;
    // Reports on servers that are not on the server list yet.
    std::map<std::string, fleet::ServerConsensus> pending_reports_;
    std::set<std::string> set_aside_;  // servers that are set aside by verdicts the module has received
    std::vector<std::uint64_t> published_keys_;
    std::map<std::uint64_t, Time> received_keys_;  // key -> end of its validity
    std::uint64_t reports_published_ = 0, reports_applied_ = 0, verdicts_aside_ = 0, verdicts_ended_ = 0;
    Time oldest_evidence_ = 0;  // age of the oldest evidence that a verdict was based on
    net::Waiter waiter_;
    net::Task task_;
};

}  // namespace pinedoor::service
