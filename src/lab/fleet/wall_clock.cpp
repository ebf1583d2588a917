// A library that the fleet rig preloads into a front node's process (LD_PRELOAD) to make its wall clock jump.
// It adds the number of milliseconds stored in the file that PINEDOOR_LAB_CLOCK names. The monotonic clock is
// unchanged, as with a real clock change.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>

namespace {

using ClockGetTime = int (*)(clockid_t, timespec*);

const std::atomic<std::int64_t>* offset() {
    static const auto* const kMapped = []() -> const std::atomic<std::int64_t>* {
        const char* path = std::getenv("PINEDOOR_LAB_CLOCK");
        const int fd = path == nullptr ? -1 : open(path, O_RDONLY | O_CLOEXEC);
        if (fd < 0) return nullptr;
        void* at = mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, fd, 0);
        close(fd);
        return at == MAP_FAILED ? nullptr : static_cast<const std::atomic<std::int64_t>*>(at);
    }();
    return kMapped;
}

int real(clockid_t clock, timespec* into) {
    static const auto kReal = reinterpret_cast<ClockGetTime>(dlsym(RTLD_NEXT, "clock_gettime"));
    return kReal(clock, into);
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* into) noexcept {
    const int result = real(clock, into);
    const auto* by = clock == CLOCK_REALTIME && result == 0 ? offset() : nullptr;
    if (by == nullptr) return result;
    constexpr std::int64_t kNanos = 1'000'000'000;
    const std::int64_t at = std::int64_t{into->tv_sec} * kNanos + into->tv_nsec + by->load() * 1'000'000;
    into->tv_sec = at / kNanos;
    into->tv_nsec = at % kNanos;
    return 0;
}

extern "C" int gettimeofday(timeval* into, void*) noexcept {
    timespec now{};
    const int result = clock_gettime(CLOCK_REALTIME, &now);
    into->tv_sec = now.tv_sec;
    into->tv_usec = now.tv_nsec / 1'000;
    return result;
}

extern "C" time_t time(time_t* into) noexcept {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    if (into != nullptr) *into = now.tv_sec;
    return now.tv_sec;
}
