#include "stated/stated.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pinedoor::stated {
namespace {

constexpr double kMaxMs = 1e9;
constexpr int kMaxCount = 1'000'000;

double to_number(const std::string& path, const std::string& text, double min_value, double max_value) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) {
        throw ConfigError("settings: " + path + " is not a number: '" + text + "'");
    }
    if (value < min_value || value > max_value)
        throw ConfigError("settings: " + path + " is out of range: " + text);
    return value;
}

}  // namespace

Settings Settings::from_text(std::string_view text) {
    Settings result;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty()) continue;
        const auto separator = line.find('=');
        if (separator == std::string_view::npos) {
            throw ConfigError("settings: line without '=': '" + std::string(line.substr(0, 80)) + "'");
        }
        result.values_.insert_or_assign(std::string(line.substr(0, separator)),
                                        std::string(line.substr(separator + 1)));
    }
    return result;
}

Settings Settings::from_json(const parse::Json& settings) {
    if (settings.members() == nullptr) throw ConfigError("settings: no object");
    Settings result;
    result.flatten("", settings);
    return result;
}

// Converts nested JSON to the form of the simulator's text: names are joined to paths, lists of plain values
// are joined by commas, and each list gets a count.
void Settings::flatten(const std::string& path, const parse::Json& value) {
    if (const auto* members = value.members()) {
        for (const auto& [name, member] : *members) flatten(path.empty() ? name : path + '.' + name, member);
    } else if (const auto* list = value.list()) {
        std::string joined;
        for (std::size_t i = 0; i < list->size(); ++i) {
            const auto& item = (*list)[i];
            const auto item_path = path + '.' + std::to_string(i);
            flatten(item_path, item);
            if (item.members() != nullptr || item.list() != nullptr) continue;
            auto text = values_[item_path];
            std::replace(text.begin(), text.end(), ',', '_');
            joined += (i > 0 ? "," : "") + text;
        }
        values_[path] = joined;
        values_[path + ".count"] = std::to_string(list->size());
    } else if (const auto* number = value.number()) {
        values_[path] = number->text;
    } else if (const auto* text = value.string()) {
        values_[path] = *text;
    } else if (const auto* truth = value.boolean()) {
        values_[path] = *truth ? "true" : "false";
    }
}

const std::string* Settings::find(const std::string& path) const {
    const auto it = values_.find(path);
    return it == values_.end() ? nullptr : &it->second;
}

const std::string& Settings::text(const std::string& path) const {
    const auto* value = find(path);
    if (value == nullptr) throw ConfigError("settings: " + path + " is missing");
    return *value;
}

double Settings::number(const std::string& path, double min_value, double max_value) const {
    return to_number(path, text(path), min_value, max_value);
}

double Settings::number_or(const std::string& path, double min_value, double max_value,
                           double default_value) const {
    return find(path) == nullptr ? default_value : number(path, min_value, max_value);
}

int Settings::whole(const std::string& path, int min_value, int max_value) const {
    const double value = number(path, min_value, max_value);
    if (value != std::floor(value)) throw ConfigError("settings: " + path + " is not a whole number");
    return static_cast<int>(value);
}

Time Settings::time(const std::string& path) const {
    return static_cast<Time>(std::llround(number(path, 0, kMaxMs) * 10));
}

bool Settings::flag(const std::string& path) const {
    const auto& value = text(path);
    if (value == "true") return true;
    if (value == "false") return false;
    throw ConfigError("settings: " + path + " is neither true nor false: '" + value + "'");
}

std::vector<std::string> Settings::list(const std::string& path) const {
    std::vector<std::string> items;
    std::string_view rest = text(path);
    while (!rest.empty()) {
        const auto end = std::min(rest.find(','), rest.size());
        items.emplace_back(rest.substr(0, end));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return items;
}

double Settings::list_number(const std::string& path, std::size_t i, double min_value,
                             double max_value) const {
    const auto items = list(path);
    if (i >= items.size()) throw ConfigError("settings: " + path + " has too few values");
    return to_number(path, items[i], min_value, max_value);
}

NodeConfig Settings::node_place() const {
    NodeConfig place;
    place.me = whole("me", 0, kMaxCount);
    place.front_nodes = whole("siblings", 1, kMaxCount);
    place.zone = whole("zone", 0, kMaxCount);
    place.turn = time("tick_ms");
    return place;
}

std::vector<OpType> Settings::op_types() const {
    std::vector<OpType> types(static_cast<std::size_t>(whole("classes.count", 0, 10'000)));
    for (std::size_t i = 0; i < types.size(); ++i) {
        const std::string prefix = "classes." + std::to_string(i) + ".";
        auto& type = types[i];
        type.latency_budget = time(prefix + "aim_ms");
        type.route_timeout = time(prefix + "deadline_ms");
        const auto& effect = text(prefix + "effect");
        if (effect == "free") {
            type.repeat = RetrySafety::kRetriable;
        } else if (effect == "guarded") {
            type.repeat = RetrySafety::kDeduped;
            type.dedup_window = time(prefix + "memory_span_ms");
            // A further send may go to any replica of the shard, so all replicas have to detect the repeat.
            if (const auto* scope = find(prefix + "dedup_scope"); scope != nullptr && *scope != "all") {
                throw ConfigError("settings: " + prefix + "dedup_scope is not served: '" + *scope + "'");
            }
        } else if (effect != "single_shot") {
            throw ConfigError("settings: " + prefix + "effect is unknown: '" + effect + "'");
        }
        type.importance = number(prefix + "worth", 0, 1e9);
        type.late_importance = number(prefix + "late_worth", 0, 1);
        type.min_share = list_number("family_info.min_share", i, 0, 1);
        type.whole_share = list_number("family_info.need_by_class", i, 0, 1);
        type.partial_importance = list_number("family_info.short_worth", i, 0, 1);
        type.second_step_parts = static_cast<int>(list_number("family_info.follow_up", i, 0, kMaxCount));
    }
    return types;
}

ShardRing Settings::shard_ring() const {
    ShardRing ring;
    ring.places = whole("family_info.places", 1, kMaxCount);
    ring.width = whole("family_info.width", 1, ring.places);
    ring.parts_per_call = whole("family_info.per_call", 1, kMaxCount);
    ring.call_overhead = time("family_info.overhead_ms");
    return ring;
}

SendConfig Settings::send_config() const {
    SendConfig terms;
    terms.most_sends = whole("limits.max_attempts", 1, kMaxCount);
    terms.second_copies = flag("limits.second_copies");
    terms.cancel = flag("limits.cancel");
    terms.connect_timeout = time("limits.connect_timeout_ms");
    return terms;
}

FurtherSendConfig Settings::further_send_config() const {
    FurtherSendConfig terms;
    if (find("rules.look_back_ms") == nullptr) return terms;
    terms.look_back = time("rules.look_back_ms");
    terms.floor = number_or("rules.extra_floor", 0, 1e9, 0);
    terms.ratio = number_or("rules.repeat_ratio", 0, 1e9, 0);
    return terms;
}

ColdStartConfig Settings::cold_start_config() const {
    ColdStartConfig terms;
    terms.from = number("rules.cold_from", 0, 1);
    terms.warm_after = time("rules.warm_after_ms");
    terms.overload_multiple = number("rules.fall_multiple", 0, 1e9);
    terms.overload_after = time("rules.tip_after_ms");
    return terms;
}

ServerListConfig Settings::server_list_config() const {
    ServerListConfig terms;
    const auto& mode = text("discovery");
    if (mode != "on_request" && mode != "pushed") {
        throw ConfigError("settings: discovery is unknown: '" + mode + "'");
    }
    terms.ask = mode == "on_request";
    if (terms.ask) terms.refresh_within = time("rules.must_ask_in_ms");
    terms.stop_sending_within = time("rules.stop_sending_within_ms");
    return terms;
}

ClientConfig Settings::client_config() const {
    ClientConfig terms;
    terms.retry_after = flag("limits.retry_after");
    terms.longest_retry_after = time("limits.max_retry_after_ms");
    terms.marks_retries = flag("clients.marks_retry");
    terms.answer_grace = time("rules.grace_to_answer_ms");
    return terms;
}

std::vector<TenantQuota> Settings::tenants() const {
    std::vector<TenantQuota> tenants;
    if (find("parties.count") == nullptr) return tenants;
    tenants.resize(static_cast<std::size_t>(whole("parties.count", 0, 100'000)));
    for (std::size_t i = 0; i < tenants.size(); ++i) {
        tenants[i].per_second = number("parties." + std::to_string(i) + ".quota_per_s", 0, 1e9);
    }
    return tenants;
}

HintConfig Settings::hint_config() const {
    HintConfig terms;
    terms.probes = flag("limits.probes");
    terms.peers = flag("limits.peers");
    terms.warm_keys = find("family_info.warm_keys") != nullptr && flag("family_info.warm_keys");
    if (find("load_info.fields") == nullptr) return terms;
    const auto fields = list("load_info.fields");
    for (std::size_t i = 0; i < fields.size(); ++i) {
        if (fields[i] == "latency_ms") terms.latency_field = static_cast<int>(i);
        if (fields[i] == "util") terms.busy_field = static_cast<int>(i);
    }
    return terms;
}

std::vector<std::string> Settings::op_type_names() const {
    std::vector<std::string> names(static_cast<std::size_t>(whole("classes.count", 0, 10'000)));
    for (std::size_t i = 0; i < names.size(); ++i) names[i] = text("classes." + std::to_string(i) + ".name");
    return names;
}

std::vector<std::string> Settings::tenant_names() const {
    std::vector<std::string> names(tenants().size());
    for (std::size_t i = 0; i < names.size(); ++i) names[i] = text("parties." + std::to_string(i) + ".name");
    return names;
}

std::vector<std::string> Settings::zone_names() const { return list("failure_domains"); }

std::vector<std::string> Settings::report_fields() const {
    return find("load_info.fields") == nullptr ? std::vector<std::string>{} : list("load_info.fields");
}

int Settings::shards() const { return whole("family_info.shards", 1, kMaxCount); }
int Settings::most_open() const { return whole("limits.max_open", 1, kMaxCount); }
int Settings::streams_per_connection() const { return whole("limits.streams_per_conn", 1, kMaxCount); }
Time Settings::connection_idle() const { return time("limits.conn_idle_ms"); }

}  // namespace pinedoor::stated
