#include "service/log.hpp"

namespace pinedoor::service {

void Log::line(const std::string& text) {
    constexpr net::Moment kSecond = 10'000;
    constexpr int kMostLines = 50;
    const auto now = scheduler_.now();
    if (now - second_began_ >= kSecond) {
        if (suppressed_ > 0) std::fprintf(out_, "%.4f %d lines suppressed\n", static_cast<double>(now) / kSecond, suppressed_);
        second_began_ = now;
        lines_ = suppressed_ = 0;
    }
    if (++lines_ > kMostLines) {
        ++suppressed_;
        return counters_.add(Count::kLogLinesSuppressed);
    }
    std::fprintf(out_, "%.4f %s\n", static_cast<double>(now) / kSecond, text.c_str());
    std::fflush(out_);
}

}  // namespace pinedoor::service
