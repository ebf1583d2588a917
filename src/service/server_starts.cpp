#include "service/server_starts.hpp"

#include <algorithm>

namespace pinedoor::service {
namespace {

// Clocks of two machines may differ by this much without any step: 0.1 s, in ticks.
constexpr net::Moment kUsualDifference = 1'000;

// It is unknown whether discovery's clock was stepped together with this machine's. So the start is computed
// with the wall clock as it was when this process began, and as it is now; a result in the future is
// discarded. Of two possible results the later one is used: a server that is taken for colder than it is gets
// fewer sends and is not overloaded.
net::Moment on_own_clock(net::Moment told, net::Moment now, net::Moment wall) {
    const net::Moment by_clock_at_begin = told;
    const net::Moment by_clock_now = told - (wall - now);
    const net::Moment latest = now + kUsualDifference;
    const auto usable = [&](net::Moment at) { return at <= latest ? std::min(at, now) : 0; };
    const net::Moment started = std::max(usable(by_clock_at_begin), usable(by_clock_now));
    return started > 0 ? started : now;
}

}  // namespace

net::Moment ServerStarts::take(const std::string& server, net::Moment told, net::Moment now,
                               net::Moment wall) {
    if (told <= 0) {
        forget(server);
        return 0;
    }
    const auto [at, is_new] = known_.try_emplace(server);
    auto& start = at->second;
    if (is_new || start.told != told) start = {told, on_own_clock(told, now, wall)};
    return start.started;
}

void ServerStarts::keep_only(const std::set<std::string>& servers) {
    std::erase_if(known_, [&](const auto& each) { return !servers.contains(each.first); });
}

}  // namespace pinedoor::service
