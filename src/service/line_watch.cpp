#include "service/line_watch.hpp"

#include <optional>
#include <system_error>

#include "net/stream.hpp"
#include "parse/http.hpp"
#include "parse/json_objects.hpp"

namespace pinedoor::service {

std::string_view name_of(CallEnd end) {
    switch (end) {
        case CallEnd::kInProgress: return "under way";
        case CallEnd::kNoConnection: return "no connection";
        case CallEnd::kRefused: return "refused";
        case CallEnd::kBroken: return "broken off";
        case CallEnd::kSilent: return "silent";
        case CallEnd::kMalformed: return "malformed";
        case CallEnd::kUnusable: return "unusable";
        case CallEnd::kComplete: break;
    }
    return "at its end";
}

net::Task read_json_stream(net::Scheduler& scheduler, JsonStreamCall call,
                           std::function<bool(const std::string&)> take) {
    CallState unused_state;
    auto& state = call.state != nullptr ? *call.state : unused_state;
    state = {CallEnd::kNoConnection, 0, scheduler.clock(), 0};
    auto fd = net::connect_to(call.endpoint).first;
    if (!fd) co_return;
    std::optional<net::Stream> opened;
    try {
        opened.emplace(scheduler, std::move(fd));
    } catch (const std::system_error&) {  // not accepted by epoll: the call has failed
        co_return;
    }
    state.end = CallEnd::kInProgress;
    auto& connection = *opened;
    auto& waiter = connection.waiter();
    const auto request = parse::http_get(call.target, net::to_text(call.endpoint));
    std::size_t written = 0;
    bool has_input = false;
    parse::HttpParser reader(parse::HttpParser::Kind::kResponse, {16 * 1024, call.max_object_bytes});
    parse::JsonObjectSplitter objects(call.max_object_bytes);
    const auto end = [&](CallEnd reason) { state.end = reason; };
    for (;;) {
        if (connection.broken()) co_return end(has_input ? CallEnd::kBroken : CallEnd::kNoConnection);
        if (written < request.size() && waiter.may(net::kWrite)) {
            if (net::socket_error(connection.fd()) != 0) co_return end(CallEnd::kNoConnection);
            written += connection.write(std::string_view(request).substr(written));
        }
        bool has_new_input = false;
        if (waiter.may(net::kRead)) {
            switch (connection.read()) {
                case net::Stream::Got::kBytes: has_new_input = has_input = true; break;
                case net::Stream::Got::kNothing: break;
                default: co_return end(has_input ? CallEnd::kBroken : CallEnd::kNoConnection);
            }
        }
        auto& buffer = connection.buffer();
        buffer.drop(reader.feed(buffer.held()));
        if (reader.state() == parse::HttpParser::State::kBad) co_return end(CallEnd::kMalformed);
        if (reader.state() != parse::HttpParser::State::kHead) state.status = reader.status();
        if (state.status != 0 && state.status != 200) co_return end(CallEnd::kRefused);
        const auto body = reader.take_body();
        objects.feed(body);
        while (const auto object = objects.next()) {
            if (!take(*object)) co_return end(CallEnd::kUnusable);
            ++state.objects;
        }
        // An incomplete object does not count as contact, however slowly it grows.
        const bool is_whole = state.objects > 0 && objects.is_between();
        if (has_new_input && (state.objects == 0 || is_whole)) state.last_input = scheduler.clock();
        if (!body.empty() && is_whole && call.on_alive) call.on_alive();
        if (objects.bad()) co_return end(CallEnd::kMalformed);
        if (reader.state() == parse::HttpParser::State::kDone) co_return end(CallEnd::kComplete);
        // Checked after reading: input that arrived while this process was suspended counts.
        if (scheduler.now() - state.last_input >= call.silence_timeout) co_return end(CallEnd::kSilent);
        co_await waiter.wait(net::kRead | (written < request.size() ? net::kWrite : 0U),
                             state.last_input + call.silence_timeout);
    }
}

}  // namespace pinedoor::service
