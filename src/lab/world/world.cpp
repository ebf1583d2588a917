#include "lab/world/world.hpp"

#include <cmath>
#include <fstream>
#include <sstream>

#include "lab/world/condition.hpp"
#include "stated/toml_table.hpp"

namespace pinedoor::lab {
namespace {

using stated::TomlTable;

Time time(TomlTable& table, const std::string& key, double otherwise_ms, double least, double most) {
    return static_cast<Time>(std::llround(table.number(key, otherwise_ms, least, most) * 10));
}

Time seconds(TomlTable& table, const std::string& key, double otherwise) {
    return static_cast<Time>(std::llround(table.number(key, otherwise, 0, 1e6) * 10'000));
}

// Reads a distribution: `key = 3`, `key = [2, 4]` (a range), `key = { exponential = 3 }` or
// `key = { heavy = 3 }`.
Draw draw(TomlTable& table, const std::string& key, Draw otherwise, double least, double most) {
    if (!table.has(key)) return table.forget(key), otherwise;
    if (const auto range = table.numbers(key); !range.empty()) {
        if (range.size() != 2 || range[0] > range[1] || range[0] < least || range[1] > most)
            table.reject(key, "is no range; write [least, most]");
        return {Draw::Kind::kRange, range[0], range[1]};
    }
    if (!table.holds_table(key)) return {Draw::Kind::kFixed, table.number(key, 0, least, most), 0};
    auto about = table.table(key);
    const bool heavy = about.has("heavy");
    const Draw read{heavy ? Draw::Kind::kHeavy : Draw::Kind::kExponential,
                    about.number(heavy ? "heavy" : "exponential", otherwise.a, least, most), 0};
    about.finish();
    return read;
}

void read_servers(TomlTable table, ServerKind& servers) {
    servers.count = static_cast<int>(table.whole("count", servers.count, 1, 10'000));
    servers.cores = static_cast<int>(table.whole("cores", servers.cores, 1, 256));
    servers.part_ms = draw(table, "part_ms", servers.part_ms, 0.01, 60'000);
    servers.call_ms = draw(table, "call_ms", servers.call_ms, 0, 60'000);
    servers.queue = static_cast<int>(table.whole("queue", servers.queue, 0, 1'000'000));
    servers.warm_after = time(table, "warm_after_ms", 0, 0, 600'000);
    servers.cold_factor = table.number("cold_factor", servers.cold_factor, 1, 100);
    servers.keys_held = static_cast<int>(table.whole("keys_held", 0, 0, 1'000'000));
    servers.unheld_factor = table.number("unheld_factor", 1, 1, 100);
    table.finish();
}

ClientKind read_clients(TomlTable table) {
    ClientKind clients;
    clients.name = table.text("name", clients.name);
    clients.per_second = table.number("per_second", clients.per_second, 0.001, 1e6);
    clients.parts = draw(table, "parts", clients.parts, 1, 4'096);
    clients.even = table.flag("even", true);
    clients.heavy_weights = table.flag("heavy_weights", false);
    clients.keys = static_cast<int>(table.whole("keys", 0, 0, 1'000'000'000));
    clients.burst_every = seconds(table, "burst_every_s", 0);
    clients.burst_for = seconds(table, "burst_for_s", 0);
    clients.burst_factor = table.number("burst_factor", 1, 0, 1'000);
    if (clients.burst_for > clients.burst_every) table.reject("burst_for_s", "is longer than burst_every_s");
    clients.retries = static_cast<int>(table.whole("retries", 0, 0, 100));
    clients.retry_wait_ms = draw(table, "retry_wait_ms", clients.retry_wait_ms, 0, 600'000);
    clients.leave_ms = draw(table, "leave_ms", clients.leave_ms, 0, 600'000);
    auto& type = clients.type;
    type.latency_budget = time(table, "latency_budget_ms", 100, 1, 600'000);
    type.route_timeout = time(table, "route_timeout_ms", 400, 1, 600'000);
    const auto repeat = table.word("repeat", {"retriable", "deduped", "non-retriable"});
    type.repeat = repeat == "retriable" ? RetrySafety::kRetriable
                  : repeat == "deduped" ? RetrySafety::kDeduped
                                        : RetrySafety::kNonRetriable;
    type.dedup_window = time(table, "dedup_window_ms", 0, 0, 600'000);
    type.importance = table.number("importance", 1, 0, 1'000);
    type.late_importance = table.number("late_importance", 0, 0, 1);
    type.min_share = table.number("least_share", 1, 0, 1);
    type.whole_share = 1;
    type.partial_importance = table.number("short_importance", 0.8, 0, 1);
    table.finish();
    return clients;
}

Trouble read_trouble(TomlTable table, const World& world) {
    using Kind = Trouble::Kind;
    Trouble trouble;
    const auto& kinds = trouble_names();
    const auto kind = table.word("kind", kinds);
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        if (kinds[i] == kind) trouble.kind = static_cast<Kind>(i);
    }
    trouble.from = seconds(table, "from_s", 0);
    trouble.until = seconds(table, "until_s", static_cast<double>(world.length) / 10'000);
    trouble.share = table.number("share", 0.1, 0, 1);
    const bool likely =
        trouble.kind == Kind::kErrors || trouble.kind == Kind::kSpoilt || trouble.kind == Kind::kLossy;
    trouble.factor = likely ? table.number("factor", 1, 0, 1) : table.number("factor", 5, 0, 1'000);
    if (trouble.kind == Kind::kLossy && trouble.factor > 0.95) table.reject("factor", "must be 0.95 at most");
    trouble.every = time(table, "every_ms", 1'000, 1, 600'000);
    trouble.for_time = time(table, "for_ms", 200, 1, 600'000);
    if (trouble.kind != Kind::kRolling && trouble.for_time > trouble.every)
        table.reject("for_ms", "is longer than every_ms");
    trouble.zone = static_cast<int>(table.whole("zone", -1, -1, world.zones - 1));
    if (trouble.until < trouble.from) table.reject("until_s", "is before from_s");
    if ((trouble.kind == Kind::kZoneLost || trouble.kind == Kind::kCutOff || trouble.kind == Kind::kShift) &&
        trouble.zone < 0)
        table.reject("zone", "is missing; write which zone, from 0");
    table.finish();
    return trouble;
}

// Sets the value at a dotted path, creating missing tables on the way. A number is an array index:
// "clients.0" is the first client kind.
void change(toml::table& root, const std::string& path, const std::string& value, const std::string& file) {
    const auto reject = [&](const std::string& why) {
        throw stated::ConfigError(file + ": change " + path + '=' + value + ": " + why);
    };
    toml::table parsed;
    try {
        parsed = toml::parse("value = " + value);
    } catch (const toml::parse_error&) {
        reject("the value is not valid TOML; put strings in quotes");
    }
    toml::node* node = &root;
    std::string key = path;
    for (auto dot = key.find('.'); dot != std::string::npos; dot = key.find('.')) {
        const auto step = key.substr(0, dot);
        key.erase(0, dot + 1);
        if (auto* list = node->as_array()) {
            char* end = nullptr;
            const auto index = std::strtoul(step.c_str(), &end, 10);
            if (*end != '\0' || index >= list->size()) reject("there is no " + step);
            node = list->get(index);
            continue;
        }
        auto* table = node->as_table();
        if (table == nullptr) reject(step + " is not inside a table");
        if (!table->contains(step)) table->insert(step, toml::table{});
        node = table->get(step);
    }
    auto* table = node->as_table();
    if (table == nullptr) reject(key + " is not inside a table");
    table->insert_or_assign(key, *parsed.get("value"));
}

std::string print(double value) {
    std::ostringstream out;
    out.precision(15);
    out << value;
    return out.str();
}
std::string print(const Draw& draw) {
    switch (draw.kind) {
        case Draw::Kind::kRange: return '[' + print(draw.a) + ", " + print(draw.b) + ']';
        case Draw::Kind::kExponential: return "{ exponential = " + print(draw.a) + " }";
        case Draw::Kind::kHeavy: return "{ heavy = " + print(draw.a) + " }";
        case Draw::Kind::kFixed: break;
    }
    return print(draw.a);
}
std::string print_ms(Time time) { return print(static_cast<double>(time) / 10); }
std::string print_s(Time time) { return print(static_cast<double>(time) / 10'000); }
std::string quoted(const std::string& text) {
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') out += '\\';
        out += c;
    }
    return out + '"';
}

}  // namespace

const std::vector<std::string>& trouble_names() {
    static const std::vector<std::string> kNames{
        "crash",          "vanish", "hang",           "slow",    "full",      "errors",
        "spoilt",         "pauses", "flapping",       "rolling", "zone-lost", "cut-off",
        "slow-links",     "lossy",  "discovery-down", "surge",   "shift",     "node-killed",
        "node-restarted", "reload", "bad-clients"};
    return kNames;
}

bool is_of_nodes(Trouble::Kind kind) {
    return kind == Trouble::Kind::kNodeKilled || kind == Trouble::Kind::kNodeRestarted ||
           kind == Trouble::Kind::kReload;
}

std::string name_of(Trouble::Kind kind) { return trouble_names().at(static_cast<std::size_t>(kind)); }

toml::table World::parse(std::string_view text, const std::string& path, const Changes& changes) {
    auto parsed = stated::parse_toml(text, path);
    for (const auto& [key, value] : changes) change(parsed, key, value, path);
    return parsed;
}

World World::from_text(std::string_view text, const std::string& path, const Changes& changes) {
    return from_table(parse(text, path, changes), path);
}

World World::from_table(const toml::table& parsed, const std::string& path) {
    TomlTable table(parsed, "", path);
    World world;
    world.name = table.text("name", path);
    world.seed = static_cast<std::uint64_t>(table.whole("seed", 1, 0, INT64_MAX));
    world.length = static_cast<Time>(table.number("seconds", 10, 0.1, 1e5) * 10'000);
    world.shards = static_cast<int>(table.whole("shards", world.shards, 1, 1'000'000));
    world.width = static_cast<int>(table.whole("replicas", world.width, 1, 100));
    world.nodes = static_cast<int>(table.whole("nodes", world.nodes, 1, 10'000));
    world.zones = static_cast<int>(table.whole("zones", world.zones, 1, 100));
    world.delay_ms = draw(table, "delay_ms", world.delay_ms, 0, 10'000);
    world.zone_delay_ms = draw(table, "zone_delay_ms", world.zone_delay_ms, 0, 10'000);
    world.loss = table.number("loss", 0, 0, 0.95);
    world.retransmit = time(table, "retransmit_ms", 200, 0.1, 60'000);
    world.turn = time(table, "turn_ms", 1, 0.1, 1'000);
    world.refresh_within = time(table, "must_ask_in_ms", 1'600, 1, 600'000);
    world.list_lag_ms = draw(table, "list_lag_ms", world.list_lag_ms, 0, 60'000);
    read_servers(table.table("servers"), world.servers);
    auto sends = table.table("sends");
    world.sends.most_sends = static_cast<int>(sends.whole("most", 3, 1, 100));
    world.sends.second_copies = sends.flag("second_copies", true);
    world.sends.cancel = sends.flag("cancel", true);
    world.sends.connect_timeout = time(sends, "connect_timeout_ms", 100, 1, 60'000);
    world.parts_per_call = static_cast<int>(sends.whole("parts_per_call", 8, 1, 4'096));
    world.further.floor = sends.number("budget_floor", 10, 0, 1e9);
    world.further.ratio = sends.number("budget_ratio", 0.2, 0, 100);
    world.further.look_back = time(sends, "budget_look_back_ms", 10'000, 0, 600'000);
    sends.finish();
    world.cold.warm_after = world.servers.warm_after;
    world.cold.from = 1 / world.servers.cold_factor;
    world.cold.overload_multiple = 3;
    world.cold.overload_after = 10'000;
    for (auto& each : table.tables("clients")) world.clients.push_back(read_clients(std::move(each)));
    if (world.clients.empty()) table.reject("clients", "are missing; write at least one [[clients]]");
    if (auto tenants = table.tables("tenants"); !tenants.empty()) {
        world.tenants.clear();
        for (auto& each : tenants) {
            Tenant tenant;
            tenant.name = each.text("name", "tenant");
            tenant.share = each.number("share", 1, 0, 1e6);
            tenant.per_second = each.number("per_second", tenant.per_second, 0, 1e9);
            each.finish();
            world.tenants.push_back(tenant);
        }
    }
    for (auto& each : table.tables("troubles"))
        world.troubles.push_back(read_trouble(std::move(each), world));
    if (world.width > world.servers.count) table.reject("replicas", "are more than there are servers");
    table.finish();
    return world;
}

World World::read_file(const std::string& path, const Changes& changes) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        throw stated::ConfigError(path + ": cannot be read; name a file that exists");
    return from_text(text.str(), path, changes);
}

std::string World::to_toml() const {
    std::ostringstream out;
    const auto line = [&out](const char* key, const std::string& value) {
        out << key << " = " << value << '\n';
    };
    const auto flag = [](bool value) { return std::string(value ? "true" : "false"); };
    line("name", quoted(name));
    line("seed", std::to_string(seed));
    line("seconds", print_s(length));
    line("shards", std::to_string(shards));
    line("replicas", std::to_string(width));
    line("nodes", std::to_string(nodes));
    line("zones", std::to_string(zones));
    line("delay_ms", print(delay_ms));
    line("zone_delay_ms", print(zone_delay_ms));
    line("loss", print(loss));
    line("retransmit_ms", print_ms(retransmit));
    line("turn_ms", print_ms(turn));
    line("must_ask_in_ms", print_ms(refresh_within));
    line("list_lag_ms", print(list_lag_ms));
    out << "\n[servers]\n";
    line("count", std::to_string(servers.count));
    line("cores", std::to_string(servers.cores));
    line("part_ms", print(servers.part_ms));
    line("call_ms", print(servers.call_ms));
    line("queue", std::to_string(servers.queue));
    line("warm_after_ms", print_ms(servers.warm_after));
    line("cold_factor", print(servers.cold_factor));
    line("keys_held", std::to_string(servers.keys_held));
    line("unheld_factor", print(servers.unheld_factor));
    out << "\n[sends]\n";
    line("most", std::to_string(sends.most_sends));
    line("second_copies", flag(sends.second_copies));
    line("cancel", flag(sends.cancel));
    line("connect_timeout_ms", print_ms(sends.connect_timeout));
    line("parts_per_call", std::to_string(parts_per_call));
    line("budget_floor", print(further.floor));
    line("budget_ratio", print(further.ratio));
    line("budget_look_back_ms", print_ms(further.look_back));
    for (const auto& each : clients) {
        const auto& type = each.type;
        out << "\n[[clients]]\n";
        line("name", quoted(each.name));
        line("per_second", print(each.per_second));
        line("parts", print(each.parts));
        line("even", flag(each.even));
        line("heavy_weights", flag(each.heavy_weights));
        line("keys", std::to_string(each.keys));
        line("burst_every_s", print_s(each.burst_every));
        line("burst_for_s", print_s(each.burst_for));
        line("burst_factor", print(each.burst_factor));
        line("retries", std::to_string(each.retries));
        line("retry_wait_ms", print(each.retry_wait_ms));
        line("leave_ms", print(each.leave_ms));
        line("latency_budget_ms", print_ms(type.latency_budget));
        line("route_timeout_ms", print_ms(type.route_timeout));
        line("repeat", type.repeat == RetrySafety::kRetriable ? "\"retriable\""
                       : type.repeat == RetrySafety::kDeduped ? "\"deduped\""
                                                              : "\"non-retriable\"");
        line("dedup_window_ms", print_ms(type.dedup_window));
        line("importance", print(type.importance));
        line("late_importance", print(type.late_importance));
        line("least_share", print(type.min_share));
        line("short_importance", print(type.partial_importance));
    }
    for (const auto& each : tenants) {
        out << "\n[[tenants]]\n";
        line("name", quoted(each.name));
        line("share", print(each.share));
        line("per_second", print(each.per_second));
    }
    for (const auto& each : troubles) {
        out << "\n[[troubles]]\n";
        line("kind", quoted(name_of(each.kind)));
        line("from_s", print_s(each.from));
        line("until_s", print_s(each.until));
        line("share", print(each.share));
        line("factor", print(each.factor));
        line("every_ms", print_ms(each.every));
        line("for_ms", print_ms(each.for_time));
        line("zone", std::to_string(each.zone));
    }
    return out.str();
}

std::vector<std::uint32_t> affected_by(const World& world, std::uint32_t index) {
    const auto& trouble = world.troubles[index];
    const bool of_nodes = is_of_nodes(trouble.kind);
    const auto total = static_cast<std::uint32_t>(of_nodes ? world.nodes : world.servers.count);
    std::vector<std::uint32_t> candidates;
    for (std::uint32_t i = 0; i < total; ++i) {
        const int zone =
            of_nodes ? world.zone_of_node(static_cast<int>(i)) : world.zone_of_server(static_cast<int>(i));
        if (trouble.zone < 0 || trouble.zone == zone) candidates.push_back(i);
    }
    if (trouble.kind == Trouble::Kind::kZoneLost) return candidates;
    const auto count =
        static_cast<std::size_t>(std::lround(trouble.share * static_cast<double>(candidates.size())));
    Chance chance(world.seed * 1'000'003 + index);
    for (std::size_t i = 0; i + 1 < candidates.size(); ++i)
        std::swap(candidates[i], candidates[i + chance.below(candidates.size() - i)]);
    candidates.resize(count);
    return candidates;
}

}  // namespace pinedoor::lab
