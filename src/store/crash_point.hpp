// Named points at which a test can make the process kill itself with SIGKILL. PINEDOOR_CRASH_AT=NAME kills at
// the first pass, NAME:N at the N-th. Compiled in for test builds only.
#pragma once

#include <string_view>
#ifdef PINEDOOR_CRASH_POINTS
#include <csignal>
#include <cstdlib>
#include <string>
#endif

namespace pinedoor::store {

#ifdef PINEDOOR_CRASH_POINTS
class CrashPoints {
public:
    CrashPoints() {
        const char* configured = std::getenv("PINEDOOR_CRASH_AT");
        if (configured == nullptr) return;
        const std::string_view text(configured);
        name_ = text.substr(0, text.find(':'));
        if (const auto colon = text.find(':'); colon != std::string_view::npos)
            remaining_ = std::atoi(std::string(text.substr(colon + 1)).c_str());
    }
    void pass(std::string_view name) {
        if (name == name_ && --remaining_ <= 0) raise(SIGKILL);
    }

private:
    std::string name_;
    int remaining_ = 1;
};
#else
class CrashPoints {
public:
    void pass(std::string_view) {}
};
#endif

}  // namespace pinedoor::store
