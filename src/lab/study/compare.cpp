#include "lab/study/compare.hpp"

#include <algorithm>
#include <stdexcept>

#include "lab/world/draw.hpp"

namespace pinedoor::lab {
namespace {

constexpr int kResamples = 4'000;

}  // namespace

Difference compare(const std::vector<double>& first, const std::vector<double>& second, double confidence,
                   std::uint64_t seed) {
    if (first.empty() || first.size() != second.size())
        throw std::invalid_argument("compare() needs two non-empty series of equal length");
    const auto count = first.size();
    std::vector<double> differences;
    double sum = 0;
    for (std::size_t i = 0; i < count; ++i) {
        differences.push_back(second[i] - first[i]);
        sum += differences.back();
    }
    Chance chance(seed);
    std::vector<double> means;
    for (int i = 0; i < kResamples; ++i) {
        double sum_of_resample = 0;
        for (std::size_t j = 0; j < count; ++j) sum_of_resample += differences[chance.below(count)];
        means.push_back(sum_of_resample / static_cast<double>(count));
    }
    std::sort(means.begin(), means.end());
    const auto quantile = [&](double q) { return means[static_cast<std::size_t>(q * (kResamples - 1))]; };
    return {sum / static_cast<double>(count), quantile((1 - confidence) / 2), quantile((1 + confidence) / 2)};
}

}  // namespace pinedoor::lab
