#include "lab/soak/soak_servers.hpp"

#include <cstdio>
#include <sstream>
#include <utility>

#include "parse/frame.hpp"

namespace pinedoor::lab {
namespace {

constexpr std::size_t kMaxFrameBytes = 1U << 20U;
constexpr std::size_t kBigValueBytes = 8 * 1024;
constexpr net::Moment kHeartbeatInterval = 20'000;
constexpr int kHeartbeats = 60;

std::string chunk(const std::string& text) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

}  // namespace

SoakListener::SoakListener(net::Scheduler& scheduler)
    : scheduler_(scheduler), listener_(net::listen_on(port_.at())), waiter_(scheduler, listener_.get()) {}

void SoakListener::start() {
    task_ = accept();
    task_.start([this](std::exception_ptr failure) {
        if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

net::Task SoakListener::accept() {
    for (;;) {
        auto [fd, error] = net::accept_from(listener_);
        if (!fd) {
            waiter_.used_up(net::kRead);
            co_await waiter_.wait(net::kRead, scheduler_.clock() + 1'000);
            continue;
        }
        const auto id = ++last_link_;
        auto& link = *(links_[id] = std::make_unique<Link>(scheduler_, std::move(fd)));
        link.task = serve(id, link);
        link.task.start(
            [this, id](std::exception_ptr) { scheduler_.defer([this, id] { links_.erase(id); }); });
    }
}

net::Task SoakListener::serve(std::uint64_t id, Link& link) {
    auto& stream = link.stream;
    for (;;) {
        if (stream.waiter().may(net::kRead)) {
            const auto got = stream.read();
            if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) co_return;
            if (!receive(id, link)) co_return;
        }
        if (!link.out.empty()) link.out.erase(0, stream.write(link.out));
        if (stream.broken()) co_return;
        co_await stream.waiter().wait(net::kRead | (link.out.empty() ? 0U : unsigned{net::kWrite}));
    }
}

void SoakListener::send(std::uint64_t id, std::string_view bytes) {
    const auto link = links_.find(id);
    if (link == links_.end()) return;
    link->second->out += bytes;
    link->second->stream.waiter().signal();
}

SoakServer::SoakServer(net::Scheduler& scheduler, TimerQueue& timers, SoakLog& log, std::uint64_t seed)
    : SoakListener(scheduler), timers_(timers), log_(log), chance_(seed) {}

bool SoakServer::receive(std::uint64_t id, Link& link) {
    auto& buffer = link.stream.buffer();
    for (;;) {
        const auto frame = parse::scan_frame(buffer.held(), kMaxFrameBytes);
        if (frame.state == parse::FrameScan::State::kBad) return false;
        if (frame.state == parse::FrameScan::State::kMore) return true;
        if (frame.letter == 'S') receive_call(id, frame.rest);
        buffer.drop(frame.size);
    }
}

void SoakServer::receive_call(std::uint64_t link, std::string_view parts) {
    while (!parts.empty()) {
        const auto line_end = parts.find('\n');
        if (line_end == std::string_view::npos) return;
        std::istringstream line{std::string(parts.substr(0, line_end))};
        std::string part, shard, wait;
        std::size_t length = 0;
        line >> part >> shard >> wait >> length;
        const auto query = parts.substr(line_end + 1, length);
        run_part(link, part, query.starts_with("big"));
        parts.remove_prefix(std::min(parts.size(), line_end + 1 + length));
    }
}

void SoakServer::run_part(std::uint64_t link, const std::string& part, bool big) {
    const bool listed = !part.starts_with("x");
    if (listed) log_.write("run " + part);
    const auto draw = chance_.below(1'000);
    if (draw < 3) return;  // never answered
    const char* const end = draw < 20 ? "full" : draw < 30 ? "failed" : "done";
    if (listed && draw >= 3 && draw < 20) log_.write("full " + part);
    auto frame = parse::begin_frame('R');
    frame += part + ' ' + end + " 7 util=0.5\n" + std::string(big ? kBigValueBytes : 5, 'v');
    parse::end_frame(frame);
    // Some parts take long: their clients may leave meanwhile.
    const bool slow = draw >= 30 && draw < 80;
    const auto delay =
        static_cast<net::Moment>(slow ? 1'500 + chance_.below(2'500) : 20 + chance_.below(200));
    timers_.run_at(scheduler_.clock() + delay, [this, link, frame] { send(link, frame); });
}

bool SoakDiscovery::receive(std::uint64_t id, Link& link) {
    auto& buffer = link.stream.buffer();
    const auto held = buffer.held();
    const auto end = held.find("\r\n\r\n");
    if (end == std::string_view::npos) return true;
    const bool streams = held.substr(0, end).find("stream=1") != std::string_view::npos;
    buffer.drop(end + 4);
    link.out += "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list_ + "\n");
    if (streams)
        send_heartbeats(id, kHeartbeats);
    else
        link.out += chunk("");
    return true;
}

void SoakDiscovery::send_heartbeats(std::uint64_t link, int count) {
    if (count == 0) return;
    timers_.run_at(scheduler_.clock() + kHeartbeatInterval, [this, link, count] {
        send(link, chunk("\n"));
        send_heartbeats(link, count - 1);
    });
}

}  // namespace pinedoor::lab
