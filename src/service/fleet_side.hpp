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
class FleetSide {
public:
    FleetSide(net::Scheduler& scheduler, Exchange& exchange, peers::Carrier& carrier, Log& log,
              fleet::WordTerms terms);

    void start();
    std::string print_gauges() const;

private:
    net::Task run();
    // Reads new gossip entries and publishes this node's reports.
    void look();
    fleet::Said read(fleet::WordReader& reader) const;
    void tell();
    void hear();
    void tell_keys();
    void hear_keys();
    std::vector<fleet::ServerSeen> seen() const;
    // For operators: all verdicts, or the reports on one server.
    std::string print_verdicts() const;
    std::string why(std::string_view server) const;

    net::Scheduler& scheduler_;
    Exchange& exchange_;
    peers::Carrier& carrier_;
    Log& log_;
    const fleet::WordTerms terms_;
    fleet::WordReader reader_;
    fleet::ServerTeller teller_;
    fleet::ServerHearer hearer_;
    fleet::Said others_;  // reports of other nodes, as last read
    std::uint64_t seen_changes_ = 0;
    Time read_at_ = 0;
    std::map<std::string, fleet::ServerTold>
        unheard_;                   // reports on servers that are not on the server list yet
    std::set<std::string> asides_;  // servers that are set aside by verdicts the module has received
    std::vector<std::uint64_t> keys_told_;
    std::map<std::uint64_t, Time> keys_heard_;  // key -> end of its validity
    std::uint64_t told_ = 0, heard_ = 0, aside_ = 0, ended_ = 0;
    Time oldest_ = 0;  // age of the oldest evidence that a verdict was based on
    net::Waiter waiter_;
    net::Task task_;
};

}  // namespace pinedoor::service
