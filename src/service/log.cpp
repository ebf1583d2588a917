#include "service/log.hpp"

#include <poll.h>

#include <algorithm>

namespace pinedoor::service {
namespace {

constexpr net::Moment kSecond = 10'000;
constexpr int kMostLines = 50;
constexpr int kLongestLine = 500;  // well under what a pipe that is ready takes at once

}  // namespace

void Log::line(const std::string& text) {
    const auto now = scheduler_.now();
    if (now - second_began_ >= kSecond) {
        const int suppressed = std::exchange(suppressed_, 0);
        second_began_ = now;
        lines_ = 0;
        if (suppressed > 0) write(now, std::to_string(suppressed) + " lines suppressed");
    }
    pollfd ready{fileno(out_), POLLOUT, 0};
    if (++lines_ <= kMostLines && poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0)
        return write(now, text);
    ++suppressed_;
    counters_.add(Count::kLogLinesSuppressed);
}

void Log::write(net::Moment now, const std::string& text) {
    std::string shown = text.substr(0, kLongestLine);
    std::replace_if(
        shown.begin(), shown.end(), [](char c) { return c >= 0 && c < ' '; }, '?');
    std::fprintf(out_, "%.4f %s\n", static_cast<double>(now) / kSecond, shown.c_str());
}

}  // namespace pinedoor::service
