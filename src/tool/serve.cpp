#include "tool/serve.hpp"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "net/scheduler.hpp"
#include "service/front_door.hpp"
#include "stated/installation.hpp"
#include "stated/launch.hpp"
#include "tool/command_line.hpp"

namespace pinedoor::tool {
namespace {

net::Fd watch_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);  // a log that nobody reads any more is no reason to end
    return net::Fd(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
}

net::Task heed_signals(const net::Fd& fd, net::Waiter& signals, service::FrontDoor& door) {
    for (;;) {
        co_await signals.wait(net::kRead);
        signalfd_siginfo told{};
        while (read(fd.get(), &told, sizeof told) == static_cast<ssize_t>(sizeof told)) {
            if (told.ssi_signo == SIGHUP)
                door.reload();
            else
                door.stop();
        }
        signals.used_up(net::kRead);
    }
}

service::LogTerms log_terms(const stated::LogWords& told) {
    service::LogTerms terms;
    terms.format = told.format == "json" ? service::LogFormat::kJson : service::LogFormat::kPairs;
    terms.least = told.level == "debug"     ? service::Level::kDebug
                  : told.level == "warning" ? service::Level::kWarning
                  : told.level == "error"   ? service::Level::kError
                                            : service::Level::kInfo;
    return terms;
}

}  // namespace

int serve(const ServeWords& words) {
    const auto signals = watch_signals();
    auto installation = words.installation.empty() ? stated::Installation{}
                                                   : stated::Installation::read_file(words.installation);
    if (!words.log_format.empty()) installation.log.format = words.log_format;
    if (!words.log_level.empty()) installation.log.level = words.log_level;
    const auto launch = stated::Launch::read([](const char* name) { return std::getenv(name); });
    net::Scheduler scheduler;
    service::FrontDoor door(scheduler, launch, installation, stderr, log_terms(installation.log));
    net::Waiter waiter(scheduler, signals.get());
    door.start();
    auto heeding = heed_signals(signals, waiter, door);
    heeding.start({});
    scheduler.run([&] { return door.done(); });
    std::fputs(door.print_counters().c_str(), stderr);
    return kDone;
}

}  // namespace pinedoor::tool
