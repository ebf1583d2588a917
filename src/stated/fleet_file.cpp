#include "stated/fleet_file.hpp"

#include <algorithm>

#include "stated/file_text.hpp"
#include "stated/toml_table.hpp"

namespace pinedoor::stated {
namespace {

using namespace placement;
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr double kMaxValue = 1e15;

void read_limits(TomlTable table, PlanConfig& terms) {
    terms.fill = table.number("fill", terms.fill, 0.01, 1);
    terms.balance_tolerance = table.number("near_enough", terms.balance_tolerance, 0, 10);
    const auto count = [&table](const char* key, std::size_t default_value, std::int64_t min_value) {
        return static_cast<std::size_t>(
            table.whole(key, static_cast<std::int64_t>(default_value), min_value, kMaxCount));
    };
    terms.max_balancing_copies = count("most_copies", terms.max_balancing_copies, 0);
    terms.at_once = count("at_once", terms.at_once, 1);
    terms.at_once_box = count("at_once_box", terms.at_once_box, 1);
    terms.sound = count("sound", terms.sound, 1);
    table.finish();
}

Box read_box(TomlTable table, FleetFile& file) {
    Box box;
    const auto name = table.text("name", "");
    if (name.empty()) table.reject("name", "is missing; write the box's id in the server list");
    if (file.names.find(name)) table.reject("name", "is used by two boxes");
    box.id = *file.names.number(name);
    const auto zone = table.text("zone", "");
    const auto known_zone = std::find(file.zones.begin(), file.zones.end(), zone);
    box.zone = static_cast<int>(known_zone - file.zones.begin());
    if (known_zone == file.zones.end()) file.zones.push_back(zone);
    box.capacity = table.number("capacity", 1, 1e-9, kMaxValue);
    box.space = table.number("space", 1, 0, kMaxValue);
    box.draining = table.flag("draining", false);
    table.finish();
    return box;
}

Need read_need(TomlTable table, const ServerNames& names) {
    Need need;
    need.shard = static_cast<ShardId>(table.whole("id", 0, 1, INT64_MAX));
    const auto boxes = [&](const char* key) {
        std::vector<ServerNumber> found;
        for (const auto& name : table.texts(key)) {
            const auto box = names.find(name);
            if (!box) table.reject(key, "names '" + name + "', which is not a box of this file");
            found.push_back(*box);
        }
        return found;
    };
    for (const auto box : boxes("replicas"))
        need.now.push_back({box, need.now.empty() ? Role::kOwner : Role::kReader});
    need.reads = table.number("reads", 0, 0, kMaxValue);
    need.writes = table.number("writes", 0, 0, kMaxValue);
    need.size = table.number("size", 0, 0, kMaxValue);
    need.replicas = static_cast<std::size_t>(
        table.whole("wanted", std::max<std::int64_t>(1, static_cast<std::int64_t>(need.now.size())), 1, 100));
    need.pinned = boxes("pinned");
    need.never_on = boxes("never_on");
    table.finish();
    return need;
}

}  // namespace

FleetFile parse_fleet(std::string_view text, const std::string& path) {
    const auto parsed = parse_toml(text, path);
    TomlTable table(parsed, "", path);
    FleetFile file;
    read_limits(table.table("limits"), file.fleet.terms);
    for (auto& entry : table.tables("boxes")) file.fleet.boxes.push_back(read_box(std::move(entry), file));
    for (auto& entry : table.tables("shards"))
        file.fleet.shards.push_back(read_need(std::move(entry), file.names));
    table.finish();
    if (const auto error = fault_of(file.fleet); !error.empty()) throw ConfigError(path + ": " + error);
    return file;
}

FleetFile read_fleet_file(const std::string& path) {
    const auto text = read_config_text(path);
    if (!text) throw ConfigError(path + ": cannot be read; name a file that exists");
    return parse_fleet(*text, path);
}

}  // namespace pinedoor::stated
