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

net::Fd open_signal_fd() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);  // a closed log must not end the process
    return net::Fd(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
}

net::Task handle_signals(const net::Fd& fd, net::Waiter& signals, service::FrontNodeService& door) {
    for (;;) {
        co_await signals.wait(net::kRead);
        signalfd_siginfo info{};
        while (read(fd.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
            if (info.ssi_signo == SIGHUP)
                door.reload();
            else
                door.stop();
        }
        signals.used_up(net::kRead);
    }
}

service::LogOptions log_options(const stated::LogSettings& config) {
    service::LogOptions options;
    options.format = config.format == "json" ? service::LogFormat::kJson : service::LogFormat::kKeyValue;
    options.least = config.level == "debug"     ? service::Level::kDebug
                    : config.level == "warning" ? service::Level::kWarning
                    : config.level == "error"   ? service::Level::kError
                                                : service::Level::kInfo;
    return options;
}

}  // namespace

int serve(const ServeOptions& options) {
    const auto signals = open_signal_fd();
    auto installation = options.settings_path.empty()
                            ? stated::NodeSettings{}
                            : stated::NodeSettings::read_file(options.settings_path);
    if (!options.log_format.empty()) installation.log.format = options.log_format;
    if (!options.log_level.empty()) installation.log.level = options.log_level;
    const auto launch = stated::LaunchConfig::read([](const char* name) { return std::getenv(name); });
    net::Scheduler scheduler;
    service::FrontNodeService door(scheduler, launch, installation, stderr, log_options(installation.log));
    net::Waiter waiter(scheduler, signals.get());
    door.start();
    auto signal_task = handle_signals(signals, waiter, door);
    signal_task.start({});
    scheduler.run([&] { return door.done(); });
    std::fputs(door.print_counters().c_str(), stderr);
    return kSuccess;
}

}  // namespace pinedoor::tool
