// Paired comparison of two variants on the same worlds and seeds, with a bootstrap confidence interval.
#pragma once

#include <cstdint>
#include <vector>

namespace pinedoor::lab {

// Mean difference of a paired comparison and its confidence interval.
struct Difference {
    double mean = 0;   // mean over the pairs of second - first
    double lower = 0;  // lower and upper bound of the bootstrap interval
    double upper = 0;
    bool shown() const { return lower > 0 || upper < 0; }  // whether the interval excludes zero
};

// Percentile bootstrap over the pairs; `confidence` is the level, such as 0.95, and `seed` makes the
// resampling reproducible. Throws std::invalid_argument if the series are empty or differ in length.
Difference compare(const std::vector<double>& first, const std::vector<double>& second, double confidence,
                   std::uint64_t seed);

}  // namespace pinedoor::lab
