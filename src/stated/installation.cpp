#include "stated/installation.hpp"

#include <algorithm>

#include "stated/file_text.hpp"
#include "stated/toml_table.hpp"

namespace pinedoor::stated {
namespace {

constexpr std::size_t kMb = std::size_t{1} << 20U;
constexpr std::size_t kKb = std::size_t{1} << 10U;

// Reads a time in milliseconds; store::Time is in units of 0.1 ms.
store::Time read_time(TomlTable& table, const std::string& key, store::Time default_value, double min_ms,
                      double max_ms) {
    return static_cast<store::Time>(
        table.number(key, static_cast<double>(default_value) / 10, min_ms, max_ms) * 10);
}

// Reads a size that the file gives in multiples of `unit` bytes or items; the bounds are in that unit too.
std::size_t read_size(TomlTable& table, const std::string& key, std::size_t default_value, std::size_t unit,
                      std::int64_t min_value, std::int64_t max_value) {
    return static_cast<std::size_t>(
               table.whole(key, static_cast<std::int64_t>(default_value / unit), min_value, max_value)) *
           unit;
}

void read_write(TomlTable table, store::WriteConfig& terms) {
    terms.max_batch = read_size(table, "most_batch", terms.max_batch, 1, 1, 10'000);
    terms.max_pending = read_size(table, "most_waiting", terms.max_pending, 1, 1, 1'000'000);
    terms.gather = read_time(table, "gather_ms", terms.gather, 0, 1'000);
    terms.slow_after = read_time(table, "slow_after_ms", terms.slow_after, 1, 60'000);
    terms.intent_share = table.number("intent_share", terms.intent_share, 0, 1);
    terms.answer_share = table.number("answer_share", terms.answer_share, 0, 1);
    terms.min_reopen_delay = read_time(table, "reopen_from_ms", terms.min_reopen_delay, 1, 60'000);
    terms.max_reopen_delay = read_time(table, "reopen_to_ms", terms.max_reopen_delay, 1, 600'000);
    if (terms.max_reopen_delay < terms.min_reopen_delay)
        table.reject("reopen_to_ms", "is under reopen_from_ms");
    table.finish();
}

void read_spill(TomlTable table, store::StoreConfig& terms) {
    terms.write.spill_bytes = read_size(table, "most_mb", terms.write.spill_bytes, kMb, 1, 1'000'000);
    terms.spill_file_bytes = read_size(table, "file_mb", terms.spill_file_bytes, kMb, 1, 1'000);
    terms.write.outcome_reserve =
        read_size(table, "outcome_room", terms.write.outcome_reserve, 1, 256, 65'536);
    table.finish();
}

void read_postgres(TomlTable table, store::StoreConfig& terms) {
    terms.postgres.conninfo = table.text("conninfo", "");
    if (terms.kind == store::Kind::kPostgres && terms.postgres.conninfo.empty())
        table.reject("conninfo", "is missing; write where the database is, as libpq takes it");
    terms.postgres.connect_timeout =
        read_time(table, "connect_timeout_ms", terms.postgres.connect_timeout, 1, 600'000);
    terms.postgres.statement_timeout =
        read_time(table, "statement_timeout_ms", terms.postgres.statement_timeout, 1, 600'000);
    table.finish();
}

void read_keep(TomlTable table, store::RetentionConfig& terms) {
    terms.days = static_cast<int>(table.whole("days", terms.days, 0, 36'500));
    terms.step = read_size(table, "step", terms.step, 1, 1, 10'000);
    terms.every = read_time(table, "every_ms", terms.every, 10, 86'400'000);
    table.finish();
}

void read_store(TomlTable table, store::StoreConfig& terms) {
    const auto kind = table.word("kind", {"none", "sqlite", "postgres"});
    terms.kind = kind == "sqlite"     ? store::Kind::kSqlite
                 : kind == "postgres" ? store::Kind::kPostgres
                                      : store::Kind::kNone;
    terms.folder = table.text("folder", "");
    if (terms.kind != store::Kind::kNone && terms.folder.empty())
        table.reject("folder", "is missing; write a folder of this node alone, on a disk that lasts");
    terms.sqlite_file = table.text("sqlite_file", "");
    terms.op_types = table.texts("op_types");
    terms.largest_answer = read_size(table, "largest_answer_kb", terms.largest_answer, kKb, 0, 1'024);
    terms.lease = read_time(table, "lease_ms", terms.lease, 100, 3'600'000);
    read_write(table.table("write"), terms.write);
    read_spill(table.table("spill"), terms);
    read_postgres(table.table("postgres"), terms);
    read_keep(table.table("keep"), terms.keep);
    table.finish();
}

void read_placement(TomlTable table, placement::PlacementConfig& terms) {
    terms.on = table.flag("on", false);
    terms.path = table.text("path", terms.path);
    if (terms.path.empty() || terms.path.front() != '/') table.reject("path", "must begin with /");
    terms.further_share = table.number("further_share", terms.further_share, 0, 1);
    terms.max_rounds = static_cast<int>(table.whole("most_legs", terms.max_rounds, 1, 100));
    terms.ask_again = read_time(table, "ask_again_ms", terms.ask_again, 1, 60'000);
    auto merge = table.table("merge");
    for (const auto& name : merge.keys()) {
        const auto rule = merge.word(name, {"whole", "sum", "ranked", "concatenated"});
        terms.merge[name] = *placement::merge_rule_named(rule);
    }
    merge.finish();
    auto heat = table.table("heat");
    terms.heat.split_above = heat.number("split_above", terms.heat.split_above, 0.1, 1e9);
    terms.heat.merge_below = heat.number("merge_below", terms.heat.merge_below, 0, 1e9);
    if (terms.heat.merge_below > 0.6 * terms.heat.split_above)
        heat.reject("merge_below", "is more than 0.6 of split_above: split shards would be merged again");
    terms.heat.look = read_time(heat, "look_ms", terms.heat.look, 10, 3'600'000);
    terms.heat.looks = static_cast<int>(heat.whole("looks", terms.heat.looks, 1, 1'000));
    terms.heat.rest = read_time(heat, "rest_ms", terms.heat.rest, 0, 86'400'000);
    heat.finish();
    table.finish();
}

net::Endpoint read_endpoint(TomlTable& table, const std::string& key, const std::string& text) {
    const auto parsed = net::parse_endpoint(text);
    if (!parsed) table.reject(key, "is not an address and port; write for example 10.0.0.7:7946");
    return *parsed;
}

void read_peers(TomlTable table, peers::PeerConfig& terms) {
    terms.on = table.flag("on", false);
    terms.cluster = table.text("cluster", terms.cluster);
    if (terms.cluster.empty() || terms.cluster.size() > 64 || terms.cluster.find(' ') != std::string::npos)
        table.reject("cluster", "must be 1 to 64 characters without blanks");
    const auto listen = table.text("listen", ""), advertise = table.text("advertise", "");
    if (terms.on && listen.empty())
        table.reject("listen", "is missing; write an address and a port of this node");
    if (!listen.empty()) terms.listen = terms.advertise = read_endpoint(table, "listen", listen);
    if (!advertise.empty()) terms.advertise = read_endpoint(table, "advertise", advertise);
    if (terms.on && terms.advertise.address == 0)
        table.reject("advertise",
                     "is missing; listen is a wildcard address, which other nodes cannot connect to");
    for (const auto& seed : table.texts("seeds")) terms.seeds.push_back(read_endpoint(table, "seeds", seed));
    terms.seeds_file = table.text("seeds_file", "");
    terms.secret = table.text("secret", "");
    if (!terms.secret.empty() && terms.secret.size() < 16)
        table.reject("secret", "is shorter than 16 characters");
    terms.control = table.text("control", "");
    auto& membership = terms.membership;
    membership.period = read_time(table, "period_ms", membership.period, 100, 60'000);
    membership.timeout = read_time(table, "timeout_ms", membership.timeout, 10, 30'000);
    if (membership.timeout * 2 > membership.period)
        table.reject("timeout_ms", "is more than half of period_ms");
    membership.suspicion = table.number("suspicion", membership.suspicion, 1, 100);
    membership.exchange = read_time(table, "exchange_ms", membership.exchange, 1'000, 3'600'000);
    membership.forget = read_time(table, "forget_ms", membership.forget, 1'000, 86'400'000);
    membership.most_members = read_size(table, "most_members", membership.most_members, 1, 2, 10'000);
    table.finish();
}

void read_fleet(TomlTable table, bool peers, fleet::FleetTerms& terms) {
    terms.on = table.flag("on", false);
    terms.voters = table.texts("voters");
    terms.floors = table.number("floors", terms.floors, 0, 1);
    terms.vote = read_time(table, "vote_ms", terms.vote, 100, 600'000);
    terms.lease = read_time(table, "lease_ms", terms.lease, 50, 600'000);
    terms.renew = read_time(table, "renew_ms", terms.renew, 10, 60'000);
    terms.drift = table.number("drift", terms.drift, 0, 0.2);
    terms.verdicts = table.flag("verdicts", terms.verdicts);
    auto& verdict = terms.words.verdict;
    verdict.reporters = static_cast<int>(table.number("reporters", verdict.reporters, 1, 1'000));
    verdict.share = table.number("reporters_share", verdict.share, 0, 0.5);
    verdict.lives = read_time(table, "verdict_ms", verdict.lives, 1'000, 600'000);
    if (terms.renew * 3 > terms.lease)
        table.reject("renew_ms",
                     "is more than a third of lease_ms: one lost message would let the share expire");
    terms.late = read_time(table, "late_ms", terms.late, 100, 600'000);
    if (terms.lease > terms.vote)
        table.reject("lease_ms", "is more than vote_ms: shares must end before the votes do");
    for (auto& entry : table.tables("limits")) {
        fleet::LimitConfig limit;
        limit.name = entry.text("name", "");
        if (limit.name.empty() || limit.name.size() > 32 ||
            limit.name.find_first_of(" \"\n") != std::string::npos)
            entry.reject("name", "must be 1 to 32 characters without blanks");
        limit.tenant = entry.text("tenant", "");
        limit.op_type = entry.text("op_type", "");
        using Of = fleet::LimitConfig::Of;
        const auto resource_name =
            entry.word("of", {"multigets", "further-sends", "connections", "parts-out"});
        for (const auto resource : {Of::kFurtherSends, Of::kConnections, Of::kPartsOut}) {
            if (resource_name == fleet::name_of(resource)) limit.of = resource;
        }
        if (limit.of != Of::kMultigets && !(limit.tenant + limit.op_type).empty())
            entry.reject(limit.tenant.empty() ? "op_type" : "tenant",
                         "is allowed only for limits of multigets");
        const bool at_once = limit.of == Of::kPartsOut;
        limit.per_second = entry.number(at_once ? "at_once" : "per_second", 0, 0, 1e9);
        if (limit.per_second <= 0)
            entry.reject(at_once ? "at_once" : "per_second",
                         "is missing; write the limit of all front nodes together");
        if (!at_once) limit.burst = entry.number("burst", limit.per_second / 10, 0, 1e9);
        using Kind = fleet::LimitConfig::Kind;
        const auto kind = entry.word("kind", {"never-over", "about", "alone"});
        limit.kind = kind == "about" ? Kind::kAbout : kind == "alone" ? Kind::kAlone : Kind::kStrict;
        if (at_once && limit.kind == Kind::kStrict)
            entry.reject("kind",
                         "must be \"about\" or \"alone\" here: an outstanding part can outlive the share "
                         "under which it was sent");
        entry.finish();
        terms.limits.push_back(std::move(limit));
    }
    const auto count = [&terms](fleet::LimitConfig::Kind kind) {
        return static_cast<std::size_t>(
            std::count_if(terms.limits.begin(), terms.limits.end(),
                          [kind](const auto& entry) { return entry.kind == kind; }));
    };
    if (count(fleet::LimitConfig::Kind::kAbout) > fleet::kMaxApproximateLimits)
        table.reject("limits", "has more than twenty entries of kind \"about\"");
    if (terms.on && !peers && terms.needs_peers())
        table.reject("on",
                     "needs [peers] unless all limits are of kind \"alone\": peers divide the other limits "
                     "among themselves");
    const auto voters = terms.voters.size();
    if (terms.on && (count(fleet::LimitConfig::Kind::kStrict) > 0 || voters > 0) &&
        (voters % 2 == 0 || voters > 7))
        table.reject("voters", "must be 1, 3, 5 or 7 names of front nodes, the same on all of them");
    table.finish();
}

}  // namespace

NodeSettings NodeSettings::from_text(std::string_view text, const std::string& path) {
    const auto parsed = parse_toml(text, path);
    NodeSettings installation;
    TomlTable table(parsed, "", path);
    auto log = table.table("log");
    installation.log.format = log.word("format", {"pairs", "json"});
    installation.log.level = log.word("level", {"info", "debug", "warning", "error"});
    log.finish();
    read_store(table.table("store"), installation.store);
    read_placement(table.table("placement"), installation.placement);
    read_peers(table.table("peers"), installation.peers);
    read_fleet(table.table("fleet"), installation.peers.on, installation.fleet);
    table.finish();
    return installation;
}

NodeSettings NodeSettings::read_file(const std::string& path) {
    const auto text = read_config_text(path);
    if (!text) throw ConfigError(path + ": cannot be read; name a file that exists");
    return from_text(*text, path);
}

}  // namespace pinedoor::stated
