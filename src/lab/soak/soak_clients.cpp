#include "lab/soak/soak_clients.hpp"

#include <algorithm>

#include "parse/http.hpp"

namespace pinedoor::lab {
namespace {

constexpr SoakMs kWait = 400;
constexpr net::Moment kTicksPerMs = 10;
constexpr net::Moment kGiveUpAfter = (kWait + 1'500) * kTicksPerMs;  // far beyond what the rules allow
constexpr net::Moment kConnectTimeout = 10'000;
constexpr net::Moment kMeanPause = 300;
constexpr std::uint64_t kLeaveOneIn = 25;

}  // namespace

std::string soak_request(const std::string& op_type, const std::string& id, SoakMs wait, int first_shard,
                         int shards, const std::string& query) {
    std::string body = "{\"targets\":[";
    for (int i = 0; i < shards; ++i) {
        if (i > 0) body += ',';
        body += "{\"partition\":" + std::to_string((first_shard + i) % SoakClients::kShards) +
                ",\"share\":" + std::to_string(1.0 / shards) + '}';
    }
    body += "],\"query\":\"" + query + "\"}";
    return "POST /" + op_type + " HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Lane: " + op_type +
           "\r\nX-Remaining-Ms: " + std::to_string(wait) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void SoakClients::start(int count, SoakMs until) {
    for (int number = 0; number < count; ++number) {
        auto& client = *clients_.emplace_back(std::make_unique<Client>(scheduler_));
        ++running_;
        client.task = run(client, number, until);
        client.task.start([this](std::exception_ptr failure) {
            --running_;
            if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
        });
    }
}

net::Task SoakClients::run(Client& client, int number, SoakMs until) {
    auto& stream = client.stream;
    for (int count = 0; log_.now() < until;) {
        co_await client.pause.wait(
            0, scheduler_.clock() + 10 + static_cast<net::Moment>(chance_.below(2 * kMeanPause)));
        if (!stream && !node_.takes_new_clients) continue;
        const auto id = 'o' + std::to_string(number) + '-' + std::to_string(++count);
        const bool once = chance_.below(3) == 0;
        const auto text = soak_request(once ? "once" : "again", id, kWait, count % kShards,
                                       1 + static_cast<int>(chance_.below(3)), "q");
        const bool leaves = chance_.below(kLeaveOneIn) == 0;
        bool asked = false;
        // A request that crosses the end of a used connection is sent once more on a new one.
        for (bool again = true; again;) {
            again = false;
            if (!stream) {
                auto fd = net::connect_to(at_).first;
                if (fd) stream.emplace(scheduler_, std::move(fd));
                client.was_answered = false;
                const auto connect_until = scheduler_.clock() + kConnectTimeout;
                while (stream && !stream->waiter().may(net::kWrite) && scheduler_.clock() < connect_until)
                    co_await stream->waiter().wait(net::kWrite, connect_until);
                if (stream && (!stream->waiter().may(net::kWrite) || net::socket_error(stream->fd()) != 0))
                    stream.reset();
                if (!stream) {
                    if (asked) log_.write("unsent " + id);
                    break;
                }
            }
            std::size_t written = stream->write(text);
            while (written < text.size() && !stream->broken()) {
                co_await stream->waiter().wait(net::kWrite);
                written += stream->write(std::string_view(text).substr(written));
            }
            const auto asked_at = scheduler_.clock();
            if (!asked)
                log_.write("ask " + id + " wait " + std::to_string(kWait) + (once ? " once" : " safe"));
            asked = true;
            const auto leave_at =
                leaves ? asked_at + static_cast<net::Moment>(chance_.below(200)) : net::kNever;
            parse::HttpParser answer(parse::HttpParser::Kind::kResponse);
            using State = parse::HttpParser::State;
            bool ended = false;
            while (!ended && answer.state() != State::kDone && answer.state() != State::kBad) {
                if (scheduler_.clock() >= std::min(leave_at, asked_at + kGiveUpAfter)) break;
                co_await stream->waiter().wait(net::kRead, std::min(leave_at, asked_at + kGiveUpAfter));
                if (!stream->waiter().may(net::kRead)) continue;
                const auto got = stream->read();
                ended = got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken;
                stream->buffer().drop(answer.feed(stream->buffer().held()));
            }
            if (answer.state() == State::kDone) {
                // The decision module's refusals have no body.
                const bool for_budget = answer.status() == 503 && !answer.take_body().empty();
                log_.write("end " + id + ' ' + std::to_string(answer.status()) +
                           (for_budget ? " budget" : ""));
                client.was_answered = true;
                if (!answer.keep_alive()) stream.reset();
            } else if (ended) {
                again = client.was_answered && !answer.started() && !node_.killed;
                stream.reset();
                if (!again) log_.write("cut " + id);
            } else {
                const bool left = scheduler_.clock() >= leave_at;
                stream.reset();
                log_.write(left ? "left " + id : "end " + id + " 0");
            }
        }
    }
    stream.reset();
}

}  // namespace pinedoor::lab
