// The front node as a program: signals, environment and exit are here, all else is in the library.
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "net/scheduler.hpp"
#include "service/front_door.hpp"
#include "stated/launch.hpp"

namespace {

pinedoor::net::Fd watch_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);  // a log that nobody reads any more is no reason to end
    return pinedoor::net::Fd(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
}

pinedoor::net::Task heed_signals(const pinedoor::net::Fd& fd, pinedoor::net::Waiter& signals,
                                 pinedoor::service::FrontDoor& door) {
    for (;;) {
        co_await signals.wait(pinedoor::net::kRead);
        signalfd_siginfo told{};
        while (read(fd.get(), &told, sizeof told) == static_cast<ssize_t>(sizeof told)) {
            if (told.ssi_signo == SIGHUP)
                door.reload();
            else
                door.stop();
        }
        signals.used_up(pinedoor::net::kRead);
    }
}

}  // namespace

int main() {
    try {
        const auto signals = watch_signals();
        const auto launch =
            pinedoor::stated::Launch::read([](const char* name) { return std::getenv(name); });
        pinedoor::net::Scheduler scheduler;
        pinedoor::service::FrontDoor door(scheduler, launch, stderr);
        pinedoor::net::Waiter waiter(scheduler, signals.get());
        door.start();
        auto heeding = heed_signals(signals, waiter, door);
        heeding.start({});
        scheduler.run([&] { return door.done(); });
        std::fputs(door.print_counters().c_str(), stderr);
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "pinedoor: %s\n", error.what());
        return 1;
    }
}
