#include "placement/merge_values.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace pinedoor::placement {
namespace {

constexpr std::array<std::string_view, 4> kNames{"whole", "sum", "ranked", "concatenated"};

std::optional<std::int64_t> read_integer(std::string_view text) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

std::optional<std::string> sum(const std::vector<std::string>& values) {
    std::int64_t all = 0;
    for (const auto& each : values) {
        const auto value = read_integer(each);
        if (!value || __builtin_add_overflow(all, *value, &all)) return std::nullopt;
    }
    return std::to_string(all);
}

struct RankedLine {
    std::int64_t score = 0;
    std::string_view text;
};

std::optional<std::vector<RankedLine>> read_ranked(std::string_view text) {
    std::vector<RankedLine> lines;
    while (!text.empty()) {
        const auto line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        const auto score = read_integer(line.substr(0, line.find(' ')));
        if (!score || line.find(' ') == std::string_view::npos) return std::nullopt;
        if (!lines.empty() && lines.back().score < *score) return std::nullopt;
        lines.push_back({*score, line});
    }
    return lines;
}

std::optional<std::string> ranked(const std::vector<std::string>& values) {
    std::vector<RankedLine> all;
    std::size_t longest = 0;
    for (const auto& each : values) {
        const auto lines = read_ranked(each);
        if (!lines) return std::nullopt;
        longest = std::max(longest, lines->size());
        all.insert(all.end(), lines->begin(), lines->end());
    }
    // A stable sort keeps lines of equal score in key order.
    std::stable_sort(all.begin(), all.end(),
                     [](const RankedLine& a, const RankedLine& b) { return a.score > b.score; });
    // A value with fewer lines than the longest is complete, so no line is missing among the first `longest`.
    all.resize(std::min(all.size(), longest));
    std::string text;
    for (const auto& line : all) {
        if (!text.empty()) text += '\n';
        text += line.text;
    }
    return text;
}

}  // namespace

std::optional<MergeRule> merge_rule_named(std::string_view name) {
    const auto at = std::find(kNames.begin(), kNames.end(), name);
    if (at == kNames.end()) return std::nullopt;
    return static_cast<MergeRule>(at - kNames.begin());
}

std::string_view name_of(MergeRule rule) { return kNames.at(static_cast<std::size_t>(rule)); }

std::optional<std::string> merge_values(MergeRule rule, const std::vector<std::string>& values) {
    if (values.empty()) return std::nullopt;
    if (values.size() == 1) return values.front();
    switch (rule) {
        case MergeRule::kWhole: return std::nullopt;
        case MergeRule::kSum: return sum(values);
        case MergeRule::kRanked: return ranked(values);
        case MergeRule::kConcatenated: {
            std::string all;
            for (const auto& each : values) all += each;
            return all;
        }
    }
    return std::nullopt;
}

}  // namespace pinedoor::placement
