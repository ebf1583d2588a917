#include "service/server_starts.hpp"

#include <algorithm>

namespace pinedoor::service {
namespace {

// Clocks of two machines may differ by this much without any step: 0.1 s, in ticks.
constexpr net::Moment kClockTolerance = 1'000;

// It is unknown whether discovery's clock was stepped together with this machine's. So the start is computed
// with the wall clock as it was when this process began, and as it is now; a result in the future is
// discarded. Of two possible results the later one is used: a server that is taken for colder than it is gets
// fewer sends and is not overloaded.
net::Moment to_own_clock(net::Moment reported, net::Moment now, net::Moment wall) {
    const net::Moment by_initial_clock = reported;
    const net::Moment by_current_clock = reported - (wall - now);
    const net::Moment latest = now + kClockTolerance;
    const auto usable = [&](net::Moment at) { return at <= latest ? std::min(at, now) : 0; };
    const net::Moment started = std::max(usable(by_initial_clock), usable(by_current_clock));
    return started > 0 ? started : now;
}

}  // namespace

net::Moment ServerStarts::convert(const std::string& server, net::Moment reported, net::Moment now,
                                  net::Moment wall) {
    if (reported <= 0) {
        forget(server);
        return 0;
    }
    const auto [at, is_new] = starts_.try_emplace(server);
    auto& start = at->second;
    if (is_new || start.reported != reported) start = {reported, to_own_clock(reported, now, wall)};
    return start.started;
}

void ServerStarts::keep_only(const std::set<std::string>& servers) {
    std::erase_if(starts_, [&](const auto& each) { return !servers.contains(each.first); });
}

}  // namespace pinedoor::service
