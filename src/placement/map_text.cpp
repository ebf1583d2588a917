#include "placement/map_text.hpp"

#include <charconv>
#include <cmath>

#include "parse/json.hpp"

namespace pinedoor::placement {
namespace {

constexpr std::size_t kLargestMap = std::size_t{64} << 20U;  // bytes
constexpr double kMostWhole = 9e15;  // doubles represent all integers up to this value exactly

// Thrown for JSON that is not a valid map or change.
struct Bad {
    std::string why;
};

const parse::Json& member(const parse::Json& json, const char* name) {
    const auto* found = json.member(name);
    if (found == nullptr) throw Bad{std::string(name) + " is missing"};
    return *found;
}
std::uint64_t whole(const parse::Json& json, const char* name) {
    const auto* number = member(json, name).number();
    if (number == nullptr || number->value < 0 || number->value > kMostWhole ||
        number->value != std::floor(number->value))
        throw Bad{std::string(name) + " is no whole number"};
    return static_cast<std::uint64_t>(number->value);
}
const std::string& text(const parse::Json& json, const char* name) {
    const auto* found = member(json, name).string();
    if (found == nullptr) throw Bad{std::string(name) + " is no text"};
    return *found;
}
Key key(const parse::Json& json, const char* name) {
    const auto found = read_key(text(json, name));
    if (!found) throw Bad{std::string(name) + " is no key"};
    return *found;
}
BoxId box(const parse::Json& json, BoxNames& names) {
    const auto& name = text(json, "box");
    const auto number = name.empty() ? std::nullopt : names.number(name);
    if (!number) throw Bad{"a box without a name, or one too many"};
    return *number;
}
const parse::Json::List& list(const parse::Json& json, const char* name) {
    const auto* found = member(json, name).list();
    if (found == nullptr) throw Bad{std::string(name) + " is no list"};
    return *found;
}

Shard read_shard(const parse::Json& json, BoxNames& names) {
    Shard shard;
    shard.id = whole(json, "id");
    shard.first = key(json, "first");
    shard.last = key(json, "last");
    shard.epoch = whole(json, "epoch");
    for (const auto& each : list(json, "replicas")) {
        const auto& role = text(each, "role");
        if (role != "owner" && role != "reader") throw Bad{"a role is neither owner nor reader"};
        shard.replicas.push_back({box(each, names), role == "owner" ? Role::kOwner : Role::kReader});
    }
    return shard;
}

Step read_step(const parse::Json& json, BoxNames& names) {
    const auto& kind = text(json, "step");
    if (kind == "split")
        return Split{whole(json, "shard"), key(json, "at"), whole(json, "lower"), whole(json, "upper")};
    if (kind == "merge") return Merge{whole(json, "lower"), whole(json, "upper"), whole(json, "merged")};
    if (kind == "add") return AddReader{whole(json, "shard"), box(json, names)};
    if (kind == "remove") return RemoveReader{whole(json, "shard"), box(json, names)};
    if (kind == "pass") return PassOwnership{whole(json, "shard"), box(json, names)};
    throw Bad{"step " + kind.substr(0, 40) + " is unknown"};
}

std::string quoted(const std::string& text) {
    std::string out;
    parse::append_json_string(out, text);
    return out;
}

std::string print_step(const Step& step, const BoxNames& names) {
    struct Print {
        const BoxNames& names;
        std::string of_box(const char* kind, ShardId shard, BoxId box) const {
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

std::optional<BoxId> BoxNames::number(const std::string& name) {
    if (const auto known = find(name)) return known;
    if (names_.size() > most_) return std::nullopt;
    const auto number = static_cast<BoxId>(names_.size());
    names_.push_back(name);
    numbers_.emplace(name, number);
    return number;
}

std::optional<BoxId> BoxNames::find(const std::string& name) const {
    const auto at = numbers_.find(name);
    return at == numbers_.end() ? std::nullopt : std::optional(at->second);
}

const std::string& BoxNames::name(BoxId box) const { return names_[box < names_.size() ? box : 0]; }

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

MapNews read_map_news(std::string_view line, BoxNames& names) {
    try {
        const auto json = parse::parse_json(line, {kLargestMap, 8});
        const auto version = whole(json, "version");
        if (json.member("shards") != nullptr) {
            WholeMap map{version, {}};
            for (const auto& each : list(json, "shards")) map.shards.push_back(read_shard(each, names));
            return map;
        }
        MapChanges changes{version, whole(json, "after"), {}};
        for (const auto& each : list(json, "steps")) changes.steps.push_back(read_step(each, names));
        return changes;
    } catch (const parse::BadJson& error) {
        return Unreadable{error.what()};
    } catch (const Bad& bad) {
        return Unreadable{bad.why};
    }
}

std::string print_map(const ShardMap& map, const BoxNames& names) {
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

std::string print_changes(Version after, const std::vector<Step>& steps, const BoxNames& names) {
    std::string out = "{\"version\":" + std::to_string(after + steps.size()) +
                      ",\"after\":" + std::to_string(after) + ",\"steps\":[";
    for (const auto& step : steps) {
        if (out.back() != '[') out += ',';
        out += print_step(step, names);
    }
    return out + "]}";
}

}  // namespace pinedoor::placement
