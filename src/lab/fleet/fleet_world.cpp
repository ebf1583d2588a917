#include "lab/fleet/fleet_world.hpp"

#include <cmath>
#include <fstream>
#include <sstream>

#include "stated/toml_table.hpp"

namespace pinedoor::lab {
namespace {

using stated::TomlTable;

constexpr int kMostNodes = 300;

Time time(TomlTable& table, const std::string& key, double otherwise_ms, double least, double most) {
    return static_cast<Time>(std::llround(table.number(key, otherwise_ms, least, most) * 10));
}

Time seconds(TomlTable& table, const std::string& key, double otherwise) {
    return static_cast<Time>(std::llround(table.number(key, otherwise, 0, 1e6) * 10'000));
}

template <class Enum>
Enum one_of(TomlTable& table, const std::string& key, const std::vector<std::string>& names) {
    const auto word = table.word(key, names);
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == word) return static_cast<Enum>(i);
    }
    return Enum{};
}

FleetTerms read_fleet(TomlTable table) {
    FleetTerms terms;
    terms.start_within = time(table, "start_within_ms", -0.1, -0.1, 600'000);
    terms.known = table.number("known", 1, 0, 1);
    terms.known_age = time(table, "known_age_ms", -0.1, -0.1, 1e9);
    terms.known_gone = table.number("known_gone", 0, 0, 1);
    terms.store = table.flag("store", false);
    terms.cold = table.flag("cold", false);
    terms.relayed = table.flag("relayed", true);
    terms.peers = table.flag("peers", false);
    terms.verdicts = table.flag("verdicts", true);
    terms.liars = static_cast<int>(table.whole("liars", 0, 0, 100));
    terms.seeds = static_cast<int>(table.whole("seeds", 3, 1, 64));
    terms.news_by_ms = table.number("news_by_ms", 6'000, 0, 600'000);
    terms.seeds_after = table.number("seeds_after_s", 0, 0, 1e6);
    terms.period_ms = table.number("period_ms", 1'000, 100, 60'000);
    auto limit = table.table("limit");
    terms.limit_per_second = limit.number("per_second", 0, 0, 1e6);
    terms.limit_burst = limit.number("burst", 0, 0, 1e6);
    terms.limit_of = limit.word("of", {"multigets", "further-sends", "connections", "parts-out"});
    terms.limit_about = limit.flag("about", false);
    terms.limit_alone = limit.flag("alone", false);
    terms.late_ms = limit.number("late_ms", 2'000, 100, 600'000);
    terms.vote_ms = limit.number("vote_ms", 6'000, 100, 600'000);
    terms.lease_ms = limit.number("lease_ms", 3'000, 50, 600'000);
    terms.voters = static_cast<int>(limit.whole("voters", 3, 1, 7));
    limit.finish();
    auto discovery = table.table("discovery");
    terms.discovery.per_second = discovery.number("calls_per_second", 0, 0, 1e6);
    terms.discovery.waiting = static_cast<int>(discovery.whole("waiting", 10, 0, 100'000));
    terms.discovery.time_out = time(discovery, "time_out_ms", 0, 0, 600'000);
    discovery.finish();
    table.finish();
    return terms;
}

Fault read_fault(TomlTable table, const World& world) {
    Fault fault;
    fault.kind = one_of<Fault::Kind>(table, "kind", fault_names());
    fault.between = one_of<Fault::Between>(table, "between", {"discovery", "servers", "both", "peers"});
    fault.way = one_of<Fault::Way>(table, "way", {"both", "there", "back"});
    fault.from = seconds(table, "from_s", 0);
    fault.until = seconds(table, "until_s", static_cast<double>(world.length) / 10'000);
    if (fault.until < fault.from) table.reject("until_s", "is before from_s");
    fault.share = table.number("share", 1, 0, 1);
    const auto numbers = [&table](const char* key, int below, const char* what) {
        std::vector<int> read;
        for (const double each : table.numbers(key)) {
            if (each < 0 || each >= below || each != std::floor(each)) table.reject(key, what);
            read.push_back(static_cast<int>(each));
        }
        return read;
    };
    fault.nodes = numbers("nodes", world.nodes, "must be numbers of front nodes, from 0");
    fault.servers = numbers("servers", world.servers.count, "must be numbers of servers, from 0");
    fault.client_kind =
        static_cast<int>(table.whole("client_kind", 0, 0, static_cast<int>(world.clients.size()) - 1));
    fault.zone = static_cast<int>(table.whole("zone", -1, -1, world.zones - 1));
    fault.by_s = table.number("by_s", 0, -1e9, 1e9);
    fault.quota_bytes = table.number("quota_bytes", 0, 0, 1e12);
    auto& link_faults = fault.link_faults;
    link_faults.delay_ms.a = table.number("delay_ms", 0, 0, 60'000);
    link_faults.lose = table.number("lose", 0, 0, 1);
    link_faults.twice = table.number("twice", 0, 0, 1);
    link_faults.swap = table.number("swap", 0, 0, 1);
    link_faults.flip = table.number("flip", 0, 0, 1);
    link_faults.bytes_per_second = table.number("bytes_per_second", 0, 0, 1e12);
    link_faults.cut = table.flag("cut", false);
    table.finish();
    return fault;
}

std::string print(double value) {
    std::ostringstream out;
    out.precision(15);
    out << value;
    return out.str();
}

}  // namespace

const std::vector<std::string>& fault_names() {
    static const std::vector<std::string> kNames{"kill",
                                                 "kill-disk",
                                                 "stop",
                                                 "term",
                                                 "discovery-down",
                                                 "discovery-busy",
                                                 "discovery-still",
                                                 "discovery-anew",
                                                 "links",
                                                 "reset",
                                                 "discovery-moves",
                                                 "discovery-half",
                                                 "discovery-behind",
                                                 "kill-foreign",
                                                 "twin",
                                                 "clock",
                                                 "full",
                                                 "deaf",
                                                 "fails-kind",
                                                 "deadly-kind"};
    return kNames;
}

std::string name_of(Fault::Kind kind) { return fault_names().at(static_cast<std::size_t>(kind)); }

FleetWorld FleetWorld::from_text(std::string_view text, const std::string& path,
                                 const World::Changes& changes) {
    auto parsed = World::parse(text, path, changes);
    toml::table own;  // tables that World does not parse
    for (const char* key : {"fleet", "faults"}) {
        if (const auto* node = parsed.get(key)) own.insert(key, *node);
        parsed.erase(key);
    }
    FleetWorld made;
    made.world = World::from_table(parsed, path);
    if (made.world.nodes > kMostNodes) {
        TomlTable(parsed, "", path).reject("nodes", "must be " + std::to_string(kMostNodes) + " at most");
    }
    TomlTable table(own, "", path);
    made.fleet = read_fleet(table.table("fleet"));
    for (auto& each : table.tables("faults")) made.faults.push_back(read_fault(std::move(each), made.world));
    table.finish();
    return made;
}

FleetWorld FleetWorld::read_file(const std::string& path, const World::Changes& changes) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        throw stated::ConfigError(path + ": cannot be read; name a file that exists");
    return from_text(text.str(), path, changes);
}

std::string FleetWorld::to_toml() const {
    static const char* const kBetween[] = {"discovery", "servers", "both", "peers"};
    static const char* const kWays[] = {"both", "there", "back"};
    std::ostringstream out;
    out << world.to_toml()
        << "\n[fleet]\nstart_within_ms = " << print(static_cast<double>(fleet.start_within) / 10)
        << "\nknown = " << print(fleet.known)
        << "\nknown_age_ms = " << print(static_cast<double>(fleet.known_age) / 10)
        << "\nknown_gone = " << print(fleet.known_gone) << "\nstore = " << (fleet.store ? "true" : "false")
        << "\ncold = " << (fleet.cold ? "true" : "false") << "\npeers = " << (fleet.peers ? "true" : "false")
        << "\nverdicts = " << (fleet.verdicts ? "true" : "false") << "\nliars = " << fleet.liars
        << "\nseeds = " << fleet.seeds << "\nnews_by_ms = " << print(fleet.news_by_ms)
        << "\nseeds_after_s = " << print(fleet.seeds_after) << "\nperiod_ms = " << print(fleet.period_ms)
        << "\nrelayed = " << (fleet.relayed ? "true" : "false")
        << "\n\n[fleet.limit]\nper_second = " << print(fleet.limit_per_second)
        << "\nburst = " << print(fleet.limit_burst) << "\nof = \"" << fleet.limit_of
        << "\"\nabout = " << (fleet.limit_about ? "true" : "false")
        << "\nalone = " << (fleet.limit_alone ? "true" : "false") << "\nlate_ms = " << print(fleet.late_ms)
        << "\nvote_ms = " << print(fleet.vote_ms) << "\nlease_ms = " << print(fleet.lease_ms)
        << "\nvoters = " << fleet.voters
        << "\n\n[fleet.discovery]\ncalls_per_second = " << print(fleet.discovery.per_second)
        << "\nwaiting = " << fleet.discovery.waiting
        << "\ntime_out_ms = " << print(static_cast<double>(fleet.discovery.time_out) / 10) << '\n';
    for (const auto& each : faults) {
        out << "\n[[faults]]\nkind = \"" << name_of(each.kind) << "\"\nbetween = \""
            << kBetween[static_cast<int>(each.between)] << "\"\nway = \"" << kWays[static_cast<int>(each.way)]
            << "\"\nfrom_s = " << print(static_cast<double>(each.from) / 10'000)
            << "\nuntil_s = " << print(static_cast<double>(each.until) / 10'000)
            << "\nshare = " << print(each.share) << "\nzone = " << each.zone;
        const auto numbers = [&out](const char* key, const std::vector<int>& all) {
            if (all.empty()) return;
            out << '\n' << key << " = [";
            for (std::size_t i = 0; i < all.size(); ++i) out << (i > 0 ? ", " : "") << all[i];
            out << ']';
        };
        numbers("nodes", each.nodes);
        numbers("servers", each.servers);
        out << "\nclient_kind = " << each.client_kind << "\nby_s = " << print(each.by_s)
            << "\nquota_bytes = " << print(each.quota_bytes);
        out << "\ndelay_ms = " << print(each.link_faults.delay_ms.a)
            << "\nlose = " << print(each.link_faults.lose) << "\ntwice = " << print(each.link_faults.twice)
            << "\nswap = " << print(each.link_faults.swap) << "\nflip = " << print(each.link_faults.flip)
            << "\nbytes_per_second = " << print(each.link_faults.bytes_per_second)
            << "\ncut = " << (each.link_faults.cut ? "true" : "false") << '\n';
    }
    return out.str();
}

namespace {

std::vector<int> draw_share(const FleetWorld& world, std::size_t index, std::vector<int> all) {
    Chance drawn(world.world.seed * 1'000'033 + index);
    for (std::size_t i = 0; i + 1 < all.size(); ++i) std::swap(all[i], all[i + drawn.below(all.size() - i)]);
    all.resize(
        static_cast<std::size_t>(std::lround(world.faults[index].share * static_cast<double>(all.size()))));
    return all;
}

}  // namespace

std::vector<int> affected_nodes(const FleetWorld& world, std::size_t index) {
    const auto& fault = world.faults[index];
    if (!fault.nodes.empty()) return fault.nodes;
    std::vector<int> all;
    for (int i = 0; i < world.world.nodes; ++i) {
        if (fault.zone < 0 || world.world.zone_of_node(i) == fault.zone) all.push_back(i);
    }
    return draw_share(world, index, std::move(all));
}

std::vector<int> affected_servers(const FleetWorld& world, std::size_t index) {
    const auto& fault = world.faults[index];
    if (!fault.servers.empty()) return fault.servers;
    std::vector<int> all;
    for (int i = 0; i < world.world.servers.count; ++i) all.push_back(i);
    return draw_share(world, index, std::move(all));
}

}  // namespace pinedoor::lab
