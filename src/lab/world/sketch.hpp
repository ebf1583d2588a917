// A quantile sketch (DDSketch: Masson, Rim and Lee, VLDB 2019). It counts values in logarithmic buckets, so
// every quantile is within a given relative error of a true sample. Sketches with the same error are merged
// by adding their counts. docs/lab.md compares it with sorted samples and boost::histogram.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <vector>

namespace pinedoor::lab {

class QuantileSketch {
public:
    // `error`: relative error, in (0, 1). `max_buckets`: maximum number of buckets. Beyond it the lowest
    // buckets are merged, which breaks the error bound for the lowest quantiles only.
    explicit QuantileSketch(double error = 0.01, std::size_t max_buckets = 2'048)
        : max_buckets_(max_buckets), base_((1 + error) / (1 - error)),
          inverse_log_base_(1 / std::log(base_)) {
        if (!(error > 0 && error < 1) || max_buckets < 1)
            throw std::invalid_argument(
                "a quantile sketch needs a relative error between 0 and 1 and at least one bucket");
    }

    // Counts a value; one that is not positive counts as 0.
    void add(double value) {
        ++count_;
        if (!(value > kMinValue)) {
            ++zeros_;
            return;
        }
        ++bucket(static_cast<int>(std::ceil(std::log(value) * inverse_log_base_)));
    }
    // Adds the values of another sketch; throws std::invalid_argument if its relative error differs.
    void merge(const QuantileSketch& other) {
        if (other.base_ != base_)
            throw std::invalid_argument("cannot merge quantile sketches with different relative errors");
        count_ += other.count_;
        zeros_ += other.zeros_;
        for (std::size_t i = 0; i < other.counts_.size(); ++i) {
            if (other.counts_[i] > 0) bucket(other.first_ + static_cast<int>(i)) += other.counts_[i];
        }
    }
    // Returns the estimated quantile; 0 for an empty sketch.
    double quantile(double q) const {
        if (count_ == 0) return 0;
        const auto rank =
            static_cast<std::uint64_t>(std::clamp(q, 0.0, 1.0) * static_cast<double>(count_ - 1));
        std::uint64_t seen = zeros_;
        if (rank < seen) return 0;
        for (std::size_t i = 0; i < counts_.size(); ++i) {
            seen += counts_[i];
            if (rank < seen) return 2 * std::pow(base_, first_ + static_cast<int>(i)) / (base_ + 1);
        }
        return 0;
    }
    std::uint64_t count() const { return count_; }
    std::size_t buckets() const { return counts_.size(); }

private:
    static constexpr double kMinValue = 1e-9;

    // Returns the counter of a bucket, adding buckets or merging the lowest ones as needed.
    std::uint64_t& bucket(int key) {
        if (counts_.empty()) {
            first_ = key;
            counts_.resize(1);
        }
        if (key < first_) {
            const int last = first_ + static_cast<int>(counts_.size()) - 1;
            key = std::max(key, last - static_cast<int>(max_buckets_) + 1);
            if (key < first_) {
                counts_.insert(counts_.begin(), static_cast<std::size_t>(first_ - key), 0);
                first_ = key;
            }
        }
        const auto place = static_cast<std::size_t>(key - first_);
        if (place >= counts_.size()) {
            counts_.resize(place + 1);
            if (counts_.size() > max_buckets_) {
                const auto excess = counts_.size() - max_buckets_;
                std::uint64_t low = 0;
                for (std::size_t i = 0; i < excess; ++i) low += counts_[i];
                counts_.erase(counts_.begin(), counts_.begin() + static_cast<std::ptrdiff_t>(excess));
                counts_.front() += low;
                first_ += static_cast<int>(excess);
            }
        }
        return counts_[static_cast<std::size_t>(key - first_)];
    }

    std::size_t max_buckets_;
    double base_, inverse_log_base_;
    int first_ = 0;  // the key of the first bucket
    std::vector<std::uint64_t> counts_;
    std::uint64_t count_ = 0, zeros_ = 0;
};

}  // namespace pinedoor::lab
