#include "service/front_door.hpp"

#include <algorithm>
#include <filesystem>
#include <iterator>

namespace pinedoor::service {
namespace {

FrontNode make_node(std::uint64_t seed, const stated::Stated& stated) {
    return FrontNode(seed, stated.node_place(), stated.op_types(), stated.shard_ring(), stated.send_terms(),
                     stated.further_send_terms(), stated.cold_terms(), stated.list_terms(),
                     stated.client_terms(), stated.tenants(), stated.hint_terms());
}

Time longest_timeout(const stated::Stated& stated) {
    Time longest = 0;
    for (const auto& type : stated.op_types()) {
        if (type.second_step_parts > 0) {
            throw stated::BadStated(
                "settings: family_info.follow_up asks for a second step, which this protocol lacks");
        }
        longest = std::max(longest, type.route_timeout);
    }
    return longest;
}

// Half of the memory is for clients' requests, each at its largest.
std::size_t most_clients(const stated::Launch& launch, const Descriptors& descriptors) {
    constexpr parse::HttpBounds kLargest;
    return std::min(descriptors.for_clients(), launch.memory() / 2 / (kLargest.head + kLargest.body));
}

}  // namespace

FrontDoor::FrontDoor(net::Scheduler& scheduler, const stated::Launch& launch, std::FILE* log)
    : scheduler_(scheduler), known_(launch.known()), log_(log, scheduler, counters_),
      descriptors_(launch.sockets()),
      exchange_(scheduler, make_node(launch.seed(), launch.settings()), launch.settings().node_place().turn,
                launch.settings().most_open(), launch.settings().send_terms().most_sends, counters_, log_),
      servers_(scheduler, exchange_, counters_, log_, launch.settings().report_fields(),
               launch.settings().shard_ring().parts_per_call, launch.settings().streams_per_connection(),
               launch.settings().send_terms().connect_timeout, launch.settings().connection_idle(),
               descriptors_.for_servers()),
      list_(scheduler, exchange_, counters_, log_, launch.discovery(), launch.settings().zone_names()),
      clients_(scheduler, exchange_, counters_, log_, launch.listen(), launch.settings().op_type_names(),
               launch.settings().tenant_names(), launch.settings().shards(),
               longest_timeout(launch.settings()), most_clients(launch, descriptors_),
               [this] { return print_counters(); }) {}

void FrontDoor::start() {
    exchange_.join(servers_, list_);
    servers_.start();
    list_.take_known(known_);
    exchange_.start();
    clients_.start();
}

void FrontDoor::stop() { clients_.stop(); }

std::string FrontDoor::print_counters() const {
    std::string out =
        counters_.print() + exchange_.print_gauges() + servers_.print_gauges() + clients_.print_gauges();
    const std::filesystem::directory_iterator held("/proc/self/fd"), end;
    append_line(out, "descriptors_open", static_cast<std::uint64_t>(std::distance(held, end)) - 1);
    append_line(out, "longest_turn_us", static_cast<std::uint64_t>(scheduler_.longest_round()) * 100);
    return out;
}

}  // namespace pinedoor::service
