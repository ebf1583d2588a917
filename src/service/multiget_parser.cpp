#include "service/multiget_parser.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <set>
#include <string_view>

#include "parse/json.hpp"
#include "store/asked_again.hpp"

namespace pinedoor::service {
namespace {

constexpr std::uint32_t kMaxRemainingMs = 86'400'000;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxParts = 4096;
constexpr std::size_t kMaxQueryBytes =
    16 * 1024;  // sent with each part: a whole call must stay small enough for a server to read
constexpr double kShareSumTolerance =
    0.01;  // clients usually write six decimals, so that sums are off by about 2e-6

// Whether the text can be used in a space-separated line, followed by a dot and a number.
bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= kMaxNameLength &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

std::optional<int> index_of(const std::vector<std::string>& names, std::string_view name) {
    const auto at = std::find(names.begin(), names.end(), name);
    if (at == names.end()) return std::nullopt;
    return static_cast<int>(at - names.begin());
}

// The first part of the path.
std::string_view op_type_of(const parse::HttpParser& request) {
    const std::string_view path = std::string_view(request.target()).substr(0, request.target().find('?'));
    return path.substr(path.starts_with('/') ? 1 : 0).substr(0, path.find('/', 1) - 1);
}

}  // namespace

std::variant<MultigetRequest, RequestFault> MultigetParser::parse(parse::HttpParser& request, Time arrived,
                                                                  Time answer_by) const {
    MultigetRequest multiget;
    auto fault = parse_head(request, arrived, answer_by, multiget);
    if (!fault.empty()) return RequestFault{std::move(fault)};
    const auto body = request.take_body();
    fault = parse_key(request, body, multiget);
    if (fault.empty()) fault = parse_body(body, multiget);
    if (!fault.empty()) return RequestFault{std::move(fault)};
    return multiget;
}

std::string MultigetParser::parse_head(const parse::HttpParser& request, Time arrived, Time answer_by,
                                       MultigetRequest& multiget) const {
    const auto op_type = op_type_of(request);
    const auto op_type_index = index_of(vocabulary_.op_types, op_type);
    if (!op_type_index) return "an unknown op type";
    multiget.op_type = *op_type_index;
    const auto* lane = request.header("x-lane");
    if (lane != nullptr && *lane != op_type) return "X-Lane and the path differ";
    const auto* name = request.header("x-txn");
    if (name == nullptr || !is_name(*name)) return "X-Txn is missing or malformed";
    multiget.name = *name;
    if (!vocabulary_.tenants.empty()) {
        const auto* tenant = request.header("x-org");
        if (tenant == nullptr) return "X-Org is missing";
        const auto tenant_index = index_of(vocabulary_.tenants, *tenant);
        if (!tenant_index) return "an unknown X-Org";
        multiget.tenant = *tenant_index;
    }
    const auto* remaining = request.header("x-remaining-ms");
    std::uint32_t ms = 0;
    if (remaining == nullptr) return "X-Remaining-Ms is missing";
    const auto [end, error] = std::from_chars(remaining->data(), remaining->data() + remaining->size(), ms);
    if (error != std::errc{} || end != remaining->data() + remaining->size() || ms == 0 ||
        ms > kMaxRemainingMs) {
        return "X-Remaining-Ms is malformed";
    }
    multiget.not_after = std::min(arrived + Time{ms} * 10, answer_by);
    const auto* repeat = request.header("x-resent");
    multiget.repeat = repeat != nullptr && *repeat == "1";
    return {};
}

std::string MultigetParser::parse_key(const parse::HttpParser& request, const std::string& body,
                                      MultigetRequest& multiget) const {
    const auto* header = request.header("idempotency-key");
    if (header == nullptr || !vocabulary_.accepts_keys) return {};
    const auto key = store::read_key(*header);
    if (!key) return "Idempotency-Key is no string in quotes of 1 to 255 characters";
    multiget.key = *key;
    multiget.fingerprint = store::fingerprint_of(op_type_of(request), body);
    return {};
}

std::string MultigetParser::parse_body(const std::string& body, MultigetRequest& multiget) const {
    parse::Json json;
    try {
        json = parse::parse_json(body);
    } catch (const parse::JsonError& error) {
        return error.what();
    }
    const auto* text = json.member("query");
    const auto* parts = json.member("targets");
    if (text == nullptr || text->string() == nullptr) return "query is no text";
    if (parts == nullptr || parts->list() == nullptr || parts->list()->empty())
        return "targets is no list of parts";
    if (parts->list()->size() > kMaxParts) return "too many targets";
    multiget.query = *text->string();
    if (multiget.query.size() > kMaxQueryBytes || !parse::is_utf8(multiget.query))
        return "query is no usable text";
    std::set<int> shards;
    double sum = 0;
    for (const auto& part : *parts->list()) {
        const auto number = [&](const char* name) {
            const auto* member = part.member(name);
            return member == nullptr ? nullptr : member->number();
        };
        const auto* shard = number("partition");
        const auto* weight = number("share");
        if (shard == nullptr || shard->value < 0 || shard->value >= vocabulary_.shards ||
            shard->value != std::floor(shard->value)) {
            return "a partition is out of range";
        }
        if (weight == nullptr || !(weight->value > 0) || weight->value > 1.001)
            return "a share is no positive share";
        PartArrival arrival;
        arrival.shard = static_cast<int>(shard->value);
        arrival.weight = weight->value;
        if (!shards.insert(arrival.shard).second) return "a partition stands twice";
        if (part.member("est_us") != nullptr) {
            const auto* hint = number("est_us");
            if (hint == nullptr || hint->value < 0 || hint->value > 1e12) return "est_us is no time";
            arrival.cost_hint = static_cast<Time>(hint->value / 100);
        }
        if (const auto* route = part.member("route")) {
            const auto* hex = route->string();
            if (hex == nullptr || hex->size() != 16) return "route is not 16 hex digits";
            const auto [end, error] =
                std::from_chars(hex->data(), hex->data() + hex->size(), arrival.key, 16);
            if (error != std::errc{} || end != hex->data() + hex->size()) return "route is not 16 hex digits";
        }
        sum += arrival.weight;
        multiget.parts.push_back(arrival);
    }
    if (std::abs(sum - 1) > kShareSumTolerance) return "the shares do not sum to 1";
    return {};
}

}  // namespace pinedoor::service
