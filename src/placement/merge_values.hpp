// How the values of a part's pieces become the part's value, when its keys lie in several shards. The pieces
// cover its keys once, so each rule holds for disjoint data.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pinedoor::placement {

enum class MergeRule : std::uint8_t {
    kWhole,         // only one value may come: several are no answer
    kSum,           // decimal integers, added; any other text, or a sum beyond 64 bits, is no answer
    kRanked,        // lines "score item", highest first; as many of them as the longest piece has
    kConcatenated,  // one after the other, by key
};
std::optional<MergeRule> merge_rule_named(std::string_view name);  // whole, sum, ranked, concatenated
std::string_view name_of(MergeRule rule);

// The values by key, one for each piece. None: they cannot be merged honestly.
std::optional<std::string> merge_values(MergeRule rule, const std::vector<std::string>& values);

}  // namespace pinedoor::placement
