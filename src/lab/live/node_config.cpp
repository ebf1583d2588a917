// Builds the platform configuration of a front node under test.
#include <cstdio>
#include <nlohmann/json.hpp>

#include "lab/live/live.hpp"

namespace pinedoor::lab {

std::string node_config(const World& world, int node, const std::string& listen, const std::string& discovery,
                        const std::string& known, std::uint64_t seed) {
    using Json = nlohmann::ordered_json;
    const auto ms = [](Time time) { return static_cast<double>(time) / 10; };
    Json classes = Json::array(), least = Json::array(), need = Json::array(), follow = Json::array(),
         shorter = Json::array(), zones = Json::array();
    for (const auto& each : world.clients) {
        const auto& type = each.type;
        classes.push_back({{"name", each.name},
                           {"aim_ms", ms(type.latency_budget)},
                           {"deadline_ms", ms(type.route_timeout)},
                           {"effect", type.repeat == RetrySafety::kRetriable ? "free"
                                      : type.repeat == RetrySafety::kDeduped ? "guarded"
                                                                             : "single_shot"},
                           {"memory_span_ms", ms(type.dedup_window)},
                           {"worth", type.importance},
                           {"late_worth", type.late_importance}});
        least.push_back(type.min_share);
        need.push_back(type.whole_share);
        follow.push_back(0);
        shorter.push_back(type.partial_importance);
    }
    for (int zone = 0; zone < world.zones; ++zone) zones.push_back("z" + std::to_string(zone));
    Json tenants = Json::array();
    double shares = 0;
    for (const auto& each : world.tenants) shares += each.share;
    for (const auto& each : world.tenants)
        tenants.push_back({{"name", each.name},
                           {"fraction", shares > 0 ? each.share / shares : 0},
                           {"quota_per_s", each.per_second}});
    char seed_text[24];
    std::snprintf(seed_text, sizeof seed_text, "%016llx", static_cast<unsigned long long>(seed));
    const Json settings{{"classes", classes},
                        {"clients", {{"marks_retry", false}}},
                        {"discovery", "on_request"},
                        {"failure_domains", zones},
                        {"family_info",
                         {{"places", world.places()},
                          {"shards", world.places()},
                          {"width", std::min(world.width, world.places())},
                          {"per_call", world.parts_per_call},
                          {"overhead_ms", world.servers.call_ms.mean()},
                          {"min_share", least},
                          {"need_by_class", need},
                          {"follow_up", follow},
                          {"short_worth", shorter},
                          {"warm_keys", false}}},
                        {"limits",
                         {{"cancel", world.sends.cancel},
                          {"conn_idle_ms", 30'000.0},
                          {"connect_timeout_ms", ms(world.sends.connect_timeout)},
                          {"max_attempts", world.sends.most_sends},
                          {"max_open", 20'000},
                          {"max_retry_after_ms", 1'000.0},
                          {"peers", false},
                          {"probes", false},
                          {"retry_after", true},
                          {"second_copies", world.sends.second_copies},
                          {"streams_per_conn", 64}}},
                        {"me", node},
                        {"siblings", world.nodes},
                        {"zone", world.zone_of_node(node)},
                        {"tick_ms", ms(world.turn)},
                        {"parties", tenants},
                        {"rules",
                         {{"cold_from", world.cold.from},
                          {"warm_after_ms", ms(world.cold.warm_after)},
                          {"fall_multiple", world.cold.overload_multiple},
                          {"tip_after_ms", ms(world.cold.overload_after)},
                          {"extra_floor", world.further.floor},
                          {"repeat_ratio", world.further.ratio},
                          {"look_back_ms", ms(world.further.look_back)},
                          {"grace_to_answer_ms", 20.0},
                          {"must_ask_in_ms", ms(world.refresh_within)},
                          {"stop_sending_within_ms", 250.0}}}};
    const Json config{{"name", "lab-" + std::to_string(node)},
                      {"listen", listen},
                      {"discovery", discovery},
                      {"seed", seed_text},
                      {"limits", {{"cores", 1.0}, {"memory_mb", 512}, {"sockets", 8'192}}},
                      {"known", Json::parse(known)},
                      {"settings", settings}};
    return config.dump(1);
}

}  // namespace pinedoor::lab
