#include "placement/map_text.hpp"

#include <charconv>
#include <cmath>

#include "parse/json.hpp"

namespace pinedoor::placement {
namespace {

constexpr std::size_t kMaxMapBytes = std::size_t{64} << 20U;  // bytes
constexpr double kMaxExactInteger = 9e15;  // doubles represent all integers up to this value exactly

// Thrown for JSON that is not a valid map or change.
struct InvalidMap {
    std::string why;
};

const parse::Json& require_member(const parse::Json& json, const char* name) {
    const auto* found = json.member(name);
    if (found == nullptr) throw InvalidMap{std::string(name) + " is missing"};
    return *found;
}
std::uint64_t require_integer(const parse::Json& json, const char* name) {
    const auto* number = require_member(json, name).number();
    if (number == nullptr || number->value < 0 || number->value > kMaxExactInteger ||
        number->value != std::floor(number->value))
        throw InvalidMap{std::string(name) + " is no whole number"};
    return static_cast<std::uint64_t>(number->value);
}
const std::string& require_string(const parse::Json& json, const char* name) {
    const auto* found = require_member(json, name).string();
    if (found == nullptr) throw InvalidMap{std::string(name) + " is no text"};
    return *found;
}
Key require_key(const parse::Json& json, const char* name) {
    const auto found = read_key(require_string(json, name));
    if (!found) throw InvalidMap{std::string(name) + " is no key"};
    return *found;
}
ServerNumber require_server(const parse::Json& json, ServerNames& names) {
    const auto& name = require_string(json, "box");
    const auto number = name.empty() ? std::nullopt : names.number(name);
    if (!number) throw InvalidMap{"a box without a name, or one too many"};
    return *number;
}
const parse::Json::List& require_list(const parse::Json& json, const char* name) {
    const auto* found = require_member(json, name).list();
    if (found == nullptr) throw InvalidMap{std::string(name) + " is no list"};
    return *found;
}

Shard read_shard(const parse::Json& json, ServerNames& names) {
    Shard shard;
    shard.id = require_integer(json, "id");
    shard.first = require_key(json, "first");
    shard.last = require_key(json, "last");
    shard.epoch = require_integer(json, "epoch");
    for (const auto& each : require_list(json, "replicas")) {
        const auto& role = require_string(each, "role");
        if (role != "owner" && role != "reader") throw InvalidMap{"a role is neither owner nor reader"};
        shard.replicas.push_back(
            {require_server(each, names), role == "owner" ? Role::kOwner : Role::kReader});
    }
    return shard;
}

Step read_step(const parse::Json& json, ServerNames& names) {
    const auto& kind = require_string(json, "step");
    if (kind == "split")
        return Split{require_integer(json, "shard"), require_key(json, "at"), require_integer(json, "lower"),
                     require_integer(json, "upper")};
    if (kind == "merge")
        return Merge{require_integer(json, "lower"), require_integer(json, "upper"),
                     require_integer(json, "merged")};
    if (kind == "add") return AddReader{require_integer(json, "shard"), require_server(json, names)};
    if (kind == "remove") return RemoveReader{require_integer(json, "shard"), require_server(json, names)};
    if (kind == "pass") return PassOwnership{require_integer(json, "shard"), require_server(json, names)};
    throw InvalidMap{"step " + kind.substr(0, 40) + " is unknown"};
}

std::string quoted(const std::string& text) {
    std::string out;
    parse::append_json_string(out, text);
    return out;
}

std::string print_step(const Step& step, const ServerNames& names) {
    struct Print {
        const ServerNames& names;
        std::string of_box(const char* kind, ShardId shard, ServerNumber box) const {
            return std::string("{\"step\":\"") + kind + "\",\"shard\":" + std::to_string(shard) +
                   ",\"box\":" + quoted(names.name(box)) + '}';
        }
        std::string operator()(const Split& s) const {
            return "{\"step\":\"split\",\"shard\":" + std::to_string(s.shard) + ",\"at\":\"" +
                   print_key(s.at) + "\",\"lower\":" + std::to_string(s.lower) +
                   ",\"upper\":" + std::to_string(s.upper) + '}';
        }
        std::string operator()(const Merge& m) const {
            return "{\"step\":\"merge\",\"lower\":" + std::to_string(m.lower) +
                   ",\"upper\":" + std::to_string(m.upper) + ",\"merged\":" + std::to_string(m.merged) + '}';
        }
        std::string operator()(const AddReader& a) const { return of_box("add", a.shard, a.box); }
        std::string operator()(const RemoveReader& r) const { return of_box("remove", r.shard, r.box); }
        std::string operator()(const PassOwnership& p) const { return of_box("pass", p.shard, p.to); }
    };
    return std::visit(Print{names}, step);
}

}  // namespace

std::optional<ServerNumber> ServerNames::number(const std::string& name) {
    if (const auto known = find(name)) return known;
    if (names_.size() > max_names_) return std::nullopt;
    const auto number = static_cast<ServerNumber>(names_.size());
    names_.push_back(name);
    numbers_.emplace(name, number);
    return number;
}

std::optional<ServerNumber> ServerNames::find(const std::string& name) const {
    const auto at = numbers_.find(name);
    return at == numbers_.end() ? std::nullopt : std::optional(at->second);
}

const std::string& ServerNames::name(ServerNumber box) const { return names_[box < names_.size() ? box : 0]; }

std::string print_key(Key key) {
    char digits[20];
    const auto end = std::to_chars(digits, digits + sizeof digits, key, 16).ptr;
    return {digits, end};
}

std::optional<Key> read_key(std::string_view text) {
    Key key = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return key;
}

MapUpdate read_map_update(std::string_view line, ServerNames& names) {
    try {
        const auto json = parse::parse_json(line, {kMaxMapBytes, 8});
        const auto version = require_integer(json, "version");
        if (json.member("shards") != nullptr) {
            WholeMap map{version, {}};
            for (const auto& each : require_list(json, "shards"))
                map.shards.push_back(read_shard(each, names));
            return map;
        }
        MapChanges changes{version, require_integer(json, "after"), {}};
        for (const auto& each : require_list(json, "steps")) changes.steps.push_back(read_step(each, names));
        return changes;
    } catch (const parse::JsonError& error) {
        return Unreadable{error.what()};
    } catch (const InvalidMap& bad) {
        return Unreadable{bad.why};
    }
}

std::string print_map(const ShardMap& map, const ServerNames& names) {
    std::string out = "{\"version\":" + std::to_string(map.version()) + ",\"shards\":[";
    for (const auto& shard : map.shards()) {
        if (out.back() != '[') out += ',';
        out += "{\"id\":" + std::to_string(shard.id) + ",\"first\":\"" + print_key(shard.first) +
               "\",\"last\":\"" + print_key(shard.last) + "\",\"epoch\":" + std::to_string(shard.epoch) +
               ",\"replicas\":[";
        for (const auto& each : shard.replicas) {
            if (out.back() != '[') out += ',';
            out += "{\"box\":" + quoted(names.name(each.box)) + ",\"role\":\"" +
                   (each.role == Role::kOwner ? "owner" : "reader") + "\"}";
        }
        out += "]}";
    }
    return out + "]}";
}

std::string print_changes(Version after, const std::vector<Step>& steps, const ServerNames& names) {
    std::string out = "{\"version\":" + std::to_string(after + steps.size()) +
                      ",\"after\":" + std::to_string(after) + ",\"steps\":[";
    for (const auto& step : steps) {
        if (out.back() != '[') out += ',';
        out += print_step(step, names);
    }
    return out + "]}";
}

}  // namespace pinedoor::placement
