#include "tool/fleet_view.hpp"

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "tool/caller.hpp"
#include "tool/command_line.hpp"

namespace pinedoor::tool {

using namespace placement;

FleetView fetch_fleet(net::Endpoint discovery, const std::string& path, ServerNames& names, int timeout_ms) {
    const auto map = send_http_request(discovery, "GET", path, "", timeout_ms);
    if (!map || map->status != 200)
        throw CommandError("no map of shards at " + net::to_text(discovery) + path +
                           "; name discovery by --discovery");
    auto news = read_map_update(map->body, names);
    const auto* whole = std::get_if<WholeMap>(&news);
    if (whole == nullptr) {
        const auto* unreadable = std::get_if<Unreadable>(&news);
        throw CommandError("the map at " + net::to_text(discovery) + path + " cannot be used: " +
                           (unreadable == nullptr ? "it is not a complete map" : unreadable->why));
    }
    if (const auto fault = ShardMap::fault_of(whole->shards); !fault.empty())
        throw CommandError("the map at " + net::to_text(discovery) + path + " cannot be used: " + fault);
    FleetView view{ShardMap::of(whole->shards, whole->version), {}, {}};
    const auto list = send_http_request(discovery, "GET", "/discovery/hosts", "", timeout_ms);
    if (!list || list->status != 200) throw CommandError("no list of servers at " + net::to_text(discovery));
    const auto json = nlohmann::json::parse(list->body, nullptr, false);
    if (!json.is_object() || !json.contains("members"))
        throw CommandError("cannot parse the list of servers");
    for (const auto& member : json["members"]) {
        if (!member.is_object() || !member.value("id", "").size()) continue;
        if (const auto endpoint = net::parse_endpoint(member.value("host_port", "")))
            view.boxes[member["id"]] = *endpoint;
        view.zones[member["id"]] = member.value("locality", "");
    }
    return view;
}

}  // namespace pinedoor::tool
