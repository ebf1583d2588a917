#include "lab/live/live_list.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace pinedoor::lab {
namespace {

constexpr net::Moment kHeartbeatInterval = 10'000;

std::string chunk(const std::string& text) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

}  // namespace

std::string LiveMember::text() const {
    return "{\"id\":\"" + name + "\",\"host_port\":\"" + net::to_text(at) + "\",\"locality\":\"" + zone +
           "\",\"flavor\":\"lab\",\"cell\":" + std::to_string(place) + ",\"phase\":\"" + phase +
           "\",\"size\":1.0,\"up_since_ms\":" + std::to_string(up_since_ms) + "}";
}

std::string list_text(int revision, bool complete, const std::vector<LiveMember>& members) {
    std::string text = "{\"revision\":" + std::to_string(revision) +
                       ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[";
    bool first = true;
    for (const auto& member : members) {
        if (complete && member.phase == "Gone") continue;
        text += (std::exchange(first, false) ? "" : ",") + member.text();
    }
    return text + "]}";
}

EmulatedDiscovery::EmulatedDiscovery(net::Scheduler& scheduler, TimerQueue& timers, CallQueue* call_queue,
                                     int node)
    : scheduler_(scheduler), timers_(timers), call_queue_(call_queue), node_(node) {
    open();
    send_heartbeat();
}

void EmulatedDiscovery::open() {
    listener_ = net::listen_on(port_.at());
    waiter_ = std::make_unique<net::Waiter>(scheduler_, listener_.get());
    task_ = accept();
    task_.start([this](std::exception_ptr failure) {
        if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

void EmulatedDiscovery::go_down() {
    task_ = net::Task{};
    waiter_ = nullptr;
    listener_ = net::Fd{};
    end_watches();
}

void EmulatedDiscovery::end_watches() {
    for (const auto& link : links_) {
        if (call_queue_ != nullptr && link->call_state == Link::CallState::kWaiting)
            call_queue_->leave(link->call);
    }
    links_.clear();
}

void EmulatedDiscovery::suspend_watches(bool on) { suspended_ = on; }

bool EmulatedDiscovery::is_watched() const {
    return !suspended_ && std::any_of(links_.begin(), links_.end(), [](const auto& each) {
        return each->watching && each->answered && each->call_state == Link::CallState::kServed &&
               !each->closed;
    });
}

void EmulatedDiscovery::come_up() { open(); }

net::Task EmulatedDiscovery::accept() {
    for (;;) {
        auto [fd, error] = net::accept_from(listener_);
        if (!fd) {
            waiter_->used_up(net::kRead);
            co_await waiter_->wait(net::kRead);
            continue;
        }
        links_.push_back(std::make_unique<Link>(scheduler_, std::move(fd)));
        auto& link = *links_.back();
        link.task = serve(link);
        link.task.start([this, &link](std::exception_ptr) {
            link.closed = true;
            if (call_queue_ != nullptr && link.call_state == Link::CallState::kWaiting)
                call_queue_->leave(link.call);
            scheduler_.defer(
                [this] { std::erase_if(links_, [](const auto& each) { return each->closed; }); });
        });
    }
}

net::Task EmulatedDiscovery::serve(Link& link) {
    auto& waiter = link.stream.waiter();
    parse::HttpParser reader(parse::HttpParser::Kind::kRequest);
    while (!link.stream.broken()) {
        if (waiter.may(net::kRead)) {
            const auto got = link.stream.read();
            if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) co_return;
            auto& buffer = link.stream.buffer();
            buffer.drop(reader.feed(buffer.held()));
            if (reader.state() == parse::HttpParser::State::kBad) co_return;
            if (reader.state() == parse::HttpParser::State::kDone &&
                link.call_state == Link::CallState::kNone)
                enqueue_call(link, reader.target().find("stream=1") != std::string::npos);
        }
        if (link.call_state >= Link::CallState::kServed && !link.answered) answer(link);
        if (!link.out.empty() && waiter.may(net::kWrite)) link.out.erase(0, link.stream.write(link.out));
        const bool ends = !link.watching || link.call_state == Link::CallState::kRefused;
        if (link.answered && ends && link.out.empty()) co_return;
        co_await waiter.wait(net::kRead | (link.out.empty() ? 0U : unsigned{net::kWrite}));
    }
}

void EmulatedDiscovery::enqueue_call(Link& link, bool watching) {
    link.watching = watching;
    link.call_state = Link::CallState::kWaiting;
    const auto served = [&link](bool is) {
        link.call_state = is ? Link::CallState::kServed : Link::CallState::kRefused;
        link.stream.waiter().signal();
    };
    if (call_queue_ == nullptr) return served(true);
    // The call may already have ended here; it is cancelled later only if it still waits.
    const auto call = call_queue_->ask(node_, served);
    link.call = call;
}

void EmulatedDiscovery::answer(Link& link) {
    link.answered = true;
    if (link.call_state == Link::CallState::kRefused) {
        link.out += parse::http_response(503, "", "busy", true);
        return;
    }
    const auto all = whole_text();
    if (on_full_list_) on_full_list_();
    if (link.watching)
        link.out += "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(all + '\n');
    else
        link.out += parse::http_response(200, "", all, true);
}

void EmulatedDiscovery::send_chunk(Link& link, const std::string& text) {
    link.out += chunk(text);
    link.stream.waiter().signal();
}

void EmulatedDiscovery::serve_stale_list(bool on) {
    stale_ = on;
    for (const auto& each : std::exchange(pending_changes_, {})) change(each);
}

std::string EmulatedDiscovery::whole_text() const {
    std::vector<LiveMember> told;
    for (std::size_t i = 0; i < members_.size(); i += half_list_ ? 2 : 1) told.push_back(members_[i]);
    return list_text(revision_, true, told);
}

void EmulatedDiscovery::serve_half_list(bool on) {
    half_list_ = on;
    ++revision_;
    for (auto& link : links_) {
        if (link->watching && link->answered && !suspended_) send_chunk(*link, whole_text() + '\n');
    }
}

void EmulatedDiscovery::change(const LiveMember& member) {
    if (stale_) return pending_changes_.push_back(member);
    ++revision_;
    for (auto& each : members_) {
        if (each.name == member.name) each = member;
    }
    for (auto& link : links_) {
        if (link->watching && link->answered && !suspended_)
            send_chunk(*link, list_text(revision_, false, {member}) + '\n');
    }
}

void EmulatedDiscovery::send_heartbeat() {
    for (auto& link : links_) {
        if (link->watching && link->answered && !suspended_) send_chunk(*link, "\n");
    }
    timers_.run_at(timers_.now() + kHeartbeatInterval, [this] { send_heartbeat(); });
}

}  // namespace pinedoor::lab
