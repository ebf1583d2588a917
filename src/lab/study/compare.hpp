// Paired comparison: the same worlds and seeds under two variants, and what the difference is worth.
#pragma once

#include <cstdint>
#include <vector>

namespace pinedoor::lab {

struct Difference {
    double mean = 0;   // of second less first, over pairs
    double lower = 0;  // a bootstrap interval about it
    double upper = 0;
    bool shown() const { return lower > 0 || upper < 0; }  // else no difference is shown
};

// `confidence` such as 0.95; the percentile bootstrap over pairs, drawn from the seed. Empty or unlike
// lengths throw std::invalid_argument.
Difference compare(const std::vector<double>& first, const std::vector<double>& second, double confidence,
                   std::uint64_t seed);

}  // namespace pinedoor::lab
