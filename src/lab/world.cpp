#include "lab/world.hpp"

#include <fstream>
#include <sstream>

#include "stated/toml_table.hpp"

namespace pinedoor::lab {
namespace {

using stated::TomlTable;

Time time(TomlTable& table, const std::string& key, Time otherwise_ms, double least, double most) {
    return static_cast<Time>(table.number(key, static_cast<double>(otherwise_ms), least, most) * 10);
}

// `key = 3`, `key = [2, 4]` (a range), `key = { exponential = 3 }` or `key = { heavy = 3 }`.
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
    servers.queue = static_cast<int>(table.whole("queue", servers.queue, 0, 1'000'000));
    servers.warm_after = time(table, "warm_after_ms", 0, 0, 600'000);
    servers.cold_factor = table.number("cold_factor", servers.cold_factor, 1, 100);
    table.finish();
}

ClientKind read_clients(TomlTable table) {
    ClientKind clients;
    clients.name = table.text("name", clients.name);
    clients.per_second = table.number("per_second", clients.per_second, 0.001, 1e6);
    clients.parts = draw(table, "parts", clients.parts, 1, 4'096);
    clients.even = table.flag("even", true);
    auto& type = clients.type;
    type.latency_budget = time(table, "latency_budget_ms", 100, 1, 600'000);
    type.route_timeout = time(table, "route_timeout_ms", 400, 1, 600'000);
    const auto repeat = table.word("repeat", {"retriable", "deduped", "non-retriable"});
    type.repeat = repeat == "retriable" ? Repeat::kRetriable
                  : repeat == "deduped" ? Repeat::kDeduped
                                        : Repeat::kNonRetriable;
    type.dedup_window = time(table, "dedup_window_ms", 0, 0, 600'000);
    type.importance = table.number("importance", 1, 0, 1'000);
    type.late_importance = table.number("late_importance", 0, 0, 1);
    type.least_share = table.number("least_share", 1, 0, 1);
    type.whole_share = 1;
    type.short_importance = table.number("short_importance", 0.8, 0, 1);
    table.finish();
    return clients;
}

Trouble read_trouble(TomlTable table, Time length) {
    using Kind = Trouble::Kind;
    Trouble trouble;
    const std::vector<std::string> kinds{"crash", "vanish", "hang", "slow", "full", "errors", "node-killed"};
    const auto kind = table.word("kind", kinds);
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        if (kinds[i] == kind) trouble.kind = static_cast<Kind>(i);
    }
    trouble.from = static_cast<Time>(table.number("from_s", 0, 0, 1e6) * 10'000);
    trouble.until =
        static_cast<Time>(table.number("until_s", static_cast<double>(length) / 10'000, 0, 1e6) * 10'000);
    trouble.share = table.number("share", 0.1, 0, 1);
    trouble.factor = table.number("factor", trouble.factor, 1, 1'000);
    if (trouble.until < trouble.from) table.reject("until_s", "is before from_s");
    table.finish();
    return trouble;
}

}  // namespace

World World::from_text(std::string_view text, const std::string& path) {
    const auto parsed = stated::parse_toml(text, path);
    TomlTable table(parsed, "", path);
    World world;
    world.name = table.text("name", path);
    world.seed = static_cast<std::uint64_t>(table.whole("seed", 1, 0, INT64_MAX));
    world.length = static_cast<Time>(table.number("seconds", 10, 0.1, 1e5) * 10'000);
    world.shards = static_cast<int>(table.whole("shards", world.shards, 1, 1'000'000));
    world.width = static_cast<int>(table.whole("replicas", world.width, 1, 100));
    world.nodes = static_cast<int>(table.whole("nodes", world.nodes, 1, 10'000));
    world.delay_ms = draw(table, "delay_ms", world.delay_ms, 0, 10'000);
    world.turn = time(table, "turn_ms", 1, 0.1, 1'000);
    world.list_lag = time(table, "list_lag_ms", 100, 0, 60'000);
    read_servers(table.table("servers"), world.servers);
    auto sends = table.table("sends");
    world.sends.most_sends = static_cast<int>(sends.whole("most", 3, 1, 100));
    world.sends.second_copies = sends.flag("second_copies", true);
    world.sends.cancel = sends.flag("cancel", true);
    world.sends.connect_timeout = time(sends, "connect_timeout_ms", 100, 1, 60'000);
    world.further.floor = sends.number("budget_floor", 10, 0, 1e9);
    world.further.ratio = sends.number("budget_ratio", 0.2, 0, 100);
    world.further.look_back = time(sends, "budget_look_back_ms", 10'000, 0, 600'000);
    sends.finish();
    world.cold.warm_after = world.servers.warm_after;
    world.cold.from = 1 / world.servers.cold_factor;
    world.cold.fall_multiple = 3;
    world.cold.tip_after = 10'000;
    for (auto& each : table.tables("clients")) world.clients.push_back(read_clients(std::move(each)));
    if (world.clients.empty()) table.reject("clients", "are missing; write at least one [[clients]]");
    for (auto& each : table.tables("troubles"))
        world.troubles.push_back(read_trouble(std::move(each), world.length));
    if (world.width > world.servers.count) table.reject("replicas", "are more than there are servers");
    table.finish();
    return world;
}

World World::read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        throw stated::BadStated(path + ": cannot be read; name a file that exists");
    return from_text(text.str(), path);
}

}  // namespace pinedoor::lab
