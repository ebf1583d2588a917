// Merges the values of a part's fragments into the value of the part when its keys lie in several shards. The
// fragments cover disjoint keys.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pinedoor::placement {

enum class MergeRule : std::uint8_t {
    kWhole,         // a single value; several values cannot be merged
    kSum,           // adds decimal integers; fails on other text and on 64-bit overflow
    kRanked,        // merges lines "score item" by descending score, as many as the longest value has
    kConcatenated,  // concatenates in key order
};
std::optional<MergeRule> merge_rule_named(std::string_view name);  // whole, sum, ranked, concatenated
std::string_view name_of(MergeRule rule);

// Merges one value per fragment, in key order. Returns nothing if the rule cannot merge them.
std::optional<std::string> merge_values(MergeRule rule, const std::vector<std::string>& values);

}  // namespace pinedoor::placement
