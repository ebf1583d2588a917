// The front node as a program: signals, environment and exit are here, all else is in the library.
#include <sys/signalfd.h>

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
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);  // a log that nobody reads any more is no reason to end
    return pinedoor::net::Fd(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
}

pinedoor::net::Task stop_at_signal(pinedoor::net::Waiter& signals, pinedoor::service::FrontDoor& door) {
    while (!signals.may(pinedoor::net::kRead)) co_await signals.wait(pinedoor::net::kRead);
    door.stop();
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
        auto stopping = stop_at_signal(waiter, door);
        stopping.start({});
        scheduler.run([&] { return door.done(); });
        std::fputs(door.print_counters().c_str(), stderr);
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "pinedoor: %s\n", error.what());
        return 1;
    }
}
