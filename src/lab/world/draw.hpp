// Random numbers that are the same on every platform: a seeded mt19937_64 and inverse transform sampling,
// since the standard library's distributions differ between implementations.
#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace pinedoor::lab {

// A seeded random number generator.
class Chance {
public:
    explicit Chance(std::uint64_t seed) : source_(seed) {}
    double one() { return static_cast<double>(source_() >> 11U) * 0x1.0p-53; }  // in [0, 1)
    std::uint64_t below(std::uint64_t count) { return source_() % count; }
    std::uint64_t bits() { return source_(); }

private:
    std::mt19937_64 source_;
};

// The distribution of a world parameter: a fixed value, uniform over a range, exponential with a mean, or
// heavy-tailed (Pareto with shape 2 and a mean).
struct Draw {
    enum class Kind { kFixed, kRange, kExponential, kHeavy } kind = Kind::kFixed;
    double a = 0;  // the value, the minimum of the range, or the mean
    double b = 0;  // the maximum of the range

    double mean() const { return kind == Kind::kRange ? (a + b) / 2 : a; }
    double operator()(Chance& chance) const {
        switch (kind) {
            case Kind::kRange: return a + (b - a) * chance.one();
            case Kind::kExponential: return -a * std::log1p(-chance.one());
            case Kind::kHeavy: return a / 2 / std::sqrt(1 - chance.one());
            case Kind::kFixed: break;
        }
        return a;
    }
};

}  // namespace pinedoor::lab
