#include "lab/live/live_clients.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>

#include "parse/http.hpp"
#include "parse/json.hpp"

namespace pinedoor::lab {
namespace {

constexpr Time kSecond = 10'000;
constexpr Time kGrace = 700;  // allowance for an answer to reach the client and for socket delays
constexpr int kMaxConnectTries = 4;

}  // namespace

LiveClients::LiveClients(net::Scheduler& scheduler, TimerQueue& timers, LiveContext& context,
                         std::vector<net::Endpoint> nodes, std::size_t most_connections)
    : scheduler_(scheduler), timers_(timers), context_(context), nodes_(std::move(nodes)),
      max_connections_(most_connections), idle_(nodes_.size()) {
    for (const auto& each : context.world.clients) {
        context.totals.clients.push_back({});
        context.totals.clients.back().name = each.name;
    }
}

void LiveClients::start() {
    for (std::uint32_t kind = 0; kind < context_.world.clients.size(); ++kind) generate_arrivals(kind);
}

void LiveClients::generate_arrivals(std::uint32_t kind) {
    const auto& clients = context_.world.clients[kind];
    const double most = max_rate_factor(context_.world, clients);
    const double wait = -std::log1p(-context_.chance.one()) / (clients.per_second * most) * kSecond;
    // Each arrival is scheduled from the previous one's due time, so a late event loop does not lower the
    // rate.
    const auto due = std::make_shared<double>(static_cast<double>(timers_.now()) + wait);
    const auto next = std::make_shared<std::function<void()>>();
    *next = [this, kind, due, most, weak = std::weak_ptr(next)] {
        const auto& mine = context_.world.clients[kind];
        const auto now = static_cast<net::Moment>(*due);
        if (now - context_.start >= context_.world.length) return;
        if (context_.chance.one() < rate_factor(mine, now - context_.start, surge_) / most) {
            auto pending = std::make_unique<PendingRequest>();
            pending->request = draw_request(context_.world, kind, now, context_.chance);
            auto& totals = context_.totals.clients[kind];
            ++totals.asked;
            totals.possible += mine.type.importance;
            ++open_;
            start_try(std::move(pending), true);
        }
        *due += -std::log1p(-context_.chance.one()) / (mine.per_second * most) * kSecond;
        timers_.run_at(static_cast<net::Moment>(*due), [again = weak.lock()] { (*again)(); });
    };
    timers_.run_at(static_cast<net::Moment>(*due), [next] { (*next)(); });
}

// Starts a try: the first one, or a retry after a pushback or failure.
void LiveClients::start_try(std::unique_ptr<PendingRequest> pending, bool is_new) {
    const auto& clients = context_.world.clients[pending->request.kind];
    ++context_.totals.clients[pending->request.kind].tries;
    pending->multiget = ++multigets_;
    pending->connects = 0;
    const bool again = pending->request.effect != 0;
    if (!again) pending->request.effect = pending->multiget;
    if (clients.type.repeat == RetrySafety::kNonRetriable)
        context_.effects[pending->multiget] = pending->request.effect;
    if (context_.world.clients.size() > 1)
        context_.kinds[pending->multiget] = static_cast<int>(pending->request.kind);
    const auto from = is_new ? pending->request.first_asked : timers_.now();
    pending->until = from + clients.type.route_timeout + kGrace;
    const auto leaves = static_cast<Time>(clients.leave_ms(context_.chance) * 10);
    pending->leaves = leaves > 0 && leaves < clients.type.route_timeout;
    if (pending->leaves) pending->until = from + leaves;
    const int node = draw_node(context_.world, shift_, context_.chance);
    const auto number = std::to_string(pending->multiget);
    if (context_.log) {
        std::string line = "ask " + number + " node " + std::to_string(node) + " kind " +
                           std::to_string(pending->request.kind) + " until " +
                           std::to_string(from + clients.type.route_timeout - context_.start) + " parts";
        for (const auto& part : pending->request.parts)
            line += ' ' + std::to_string(part.shard) + ':' + std::to_string(part.weight);
        context_.write_log(timers_.now(), line);
        if (again)
            context_.write_log(timers_.now(),
                               "same " + number + " as " + std::to_string(pending->request.effect));
        if (context_.world.tenants.size() > 1)
            context_.write_log(timers_.now(), "tenant " + number + ' ' + tenant_name(*pending));
    }
    send_to_node(std::move(pending), node);
}

void LiveClients::send_to_node(std::unique_ptr<PendingRequest> pending, int node) {
    pending->node = node;
    auto& idle = idle_[static_cast<std::size_t>(node)];
    Connection* connection = nullptr;
    if (!idle.empty()) {
        connection = idle.back();
        idle.pop_back();
    } else if (connections_.size() < max_connections_) {
        auto fd = net::connect_to(nodes_[static_cast<std::size_t>(node)]).first;
        if (!fd) {
            ++without_room_;
            return end(std::move(pending), How::kFailed, false, 0, 0, "");
        }
        connections_.push_back(std::make_unique<Connection>(scheduler_, std::move(fd), node));
        connection = connections_.back().get();
        connection->pending = std::move(pending);
        connection->task = run_connection(*connection);
        connection->task.start([this, connection](std::exception_ptr failure) {
            if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
            connection->closed = true;
            scheduler_.defer(
                [this] { std::erase_if(connections_, [](const auto& each) { return each->closed; }); });
        });
        return;
    } else {
        ++without_room_;
        return end(std::move(pending), How::kFailed, false, 0, 0, "");
    }
    connection->pending = std::move(pending);
    connection->stream.waiter().signal();
}

const std::string& LiveClients::tenant_name(const PendingRequest& pending) const {
    return context_.world.tenants[static_cast<std::size_t>(pending.request.tenant)].name;
}

std::string LiveClients::request_text(const PendingRequest& pending) const {
    const auto& clients = context_.world.clients[pending.request.kind];
    std::string body = "{\"targets\":[";
    char text[96];
    for (const auto& part : pending.request.parts) {
        std::snprintf(text, sizeof text, "%s{\"partition\":%d,\"share\":%.6f", body.back() == '[' ? "" : ",",
                      part.shard, part.weight);
        body += text;
        if (part.key != 0) {
            std::snprintf(text, sizeof text, ",\"route\":\"%016llx\"",
                          static_cast<unsigned long long>(part.key));
            body += text;
        }
        body += '}';
    }
    body += "],\"query\":\"lab\"}";
    return "POST /" + clients.name +
           " HTTP/1.1\r\nHost: lab\r\nX-Txn: " + multiget_name(pending.multiget, pending.node) +
           "\r\nX-Lane: " + clients.name + "\r\nX-Org: " + tenant_name(pending) +
           "\r\nX-Remaining-Ms: " + std::to_string(clients.type.route_timeout / 10) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Runs a connection: sends a request, reads its answer, and waits idle for the next request.
net::Task LiveClients::run_connection(Connection& connection) {
    auto& stream = connection.stream;
    auto& waiter = stream.waiter();
    for (;;) {
        while (!connection.pending) {  // idle: only the end of the connection is expected
            if (waiter.may(net::kRead)) {
                const auto got = stream.read();
                if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) {
                    std::erase(idle_[static_cast<std::size_t>(connection.node)], &connection);
                    if (connection.pending) handle_disconnect(connection, false);
                    co_return;
                }
            }
            if (!connection.pending) co_await waiter.wait(net::kRead);
        }
        const auto text = request_text(*connection.pending);
        std::size_t written = 0;
        parse::HttpParser reader(parse::HttpParser::Kind::kResponse);
        std::string body;
        while (reader.state() != parse::HttpParser::State::kDone) {
            if (timers_.now() >= connection.pending->until) {
                const bool left = connection.pending->leaves;
                end(std::move(connection.pending), left ? How::kLeft : How::kLost, false, 0, 0, "");
                co_return;
            }
            if (written < text.size() && waiter.may(net::kWrite)) {
                if (net::socket_error(stream.fd()) != 0) {
                    handle_disconnect(connection, false);
                    co_return;
                }
                written += stream.write(std::string_view(text).substr(written));
            }
            if (waiter.may(net::kRead)) {
                const auto got = stream.read();
                if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) {
                    // A non-retriable request is sent again only if no byte of it was written.
                    const auto repeat = context_.world.clients[connection.pending->request.kind].type.repeat;
                    const bool may_run = written > 0 && repeat == RetrySafety::kNonRetriable;
                    handle_disconnect(connection, reader.started() || !connection.used || may_run);
                    co_return;
                }
                auto& buffer = stream.buffer();
                buffer.drop(reader.feed(buffer.held()));
                body += reader.take_body();
            }
            if (stream.broken() || reader.state() == parse::HttpParser::State::kBad) {
                const auto repeat = context_.world.clients[connection.pending->request.kind].type.repeat;
                handle_disconnect(connection,
                                  reader.started() || (written > 0 && repeat == RetrySafety::kNonRetriable));
                co_return;
            }
            if (reader.state() == parse::HttpParser::State::kDone) break;
            co_await waiter.wait(net::kRead | (written < text.size() ? unsigned{net::kWrite} : 0U),
                                 connection.pending->until);
        }
        connection.used = true;
        answered(std::move(connection.pending), reader.status(), reader.header("retry-after"), body);
        if (!reader.keep_alive()) co_return;
        if (!connection.pending) idle_[static_cast<std::size_t>(connection.node)].push_back(&connection);
    }
}

void LiveClients::set_bad_client_rate(double per_second) {
    const bool begins = bad_per_second_ <= 0 && per_second > 0;
    bad_per_second_ = per_second;
    if (begins) open_bad_client();
}

void LiveClients::open_bad_client() {
    constexpr std::size_t kMaxBadClients = 500;
    if (bad_per_second_ <= 0) return;
    auto fd = bad_clients_.size() < kMaxBadClients
                  ? net::connect_to(nodes_[context_.chance.below(nodes_.size())]).first
                  : net::Fd{};
    if (fd) {
        bad_clients_.push_back(std::make_unique<BadClient>(scheduler_, std::move(fd)));
        auto& bad = *bad_clients_.back();
        bad.task = run_bad_client(bad);
        bad.task.start([this, &bad](std::exception_ptr) {
            bad.closed = true;
            scheduler_.defer(
                [this] { std::erase_if(bad_clients_, [](const auto& each) { return each->closed; }); });
        });
    }
    const double wait = -std::log1p(-context_.chance.one()) / bad_per_second_ * kSecond;
    timers_.run_at(timers_.now() + std::max<Time>(1, static_cast<Time>(wait)), [this] { open_bad_client(); });
}

// Sends an invalid request, then reads and discards until the connection ends or a timeout expires.
net::Task LiveClients::run_bad_client(BadClient& bad) {
    constexpr net::Moment kBadClientTime = 3 * kSecond;
    std::string text;
    switch (context_.chance.below(5)) {
        case 0:
            for (int i = 0; i < 300; ++i) text += static_cast<char>(context_.chance.below(256));
            break;
        case 1: text = "POST /page HTTP/1.1\r\nHost: lab\r\nContent-Length: 5000\r\n\r\n{\"targets\""; break;
        case 2: text = "GET / HTTP/1.1\r\nX: " + std::string(200'000, 'x'); break;
        case 3: text = "POST /page HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"; break;
        default: break;  // sends nothing
    }
    const auto until = timers_.now() + kBadClientTime;
    std::size_t written = 0;
    auto& waiter = bad.stream.waiter();
    while (timers_.now() < until && !bad.stream.broken()) {
        if (written < text.size() && waiter.may(net::kWrite)) {
            if (net::socket_error(bad.stream.fd()) != 0) co_return;
            written += bad.stream.write(std::string_view(text).substr(written));
        }
        if (waiter.may(net::kRead)) {
            const auto got = bad.stream.read();
            if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) co_return;
            bad.stream.buffer().drop(bad.stream.buffer().held().size());
        }
        co_await waiter.wait(net::kRead | (written < text.size() ? unsigned{net::kWrite} : 0U), until);
    }
}

// Handles a connection that ended without an answer. If it was never established, or the front node closed it
// while idle, the request was not processed and is sent again (RFC 9110, 9.2.2).
void LiveClients::handle_disconnect(Connection& connection, bool may_have_run) {
    auto pending = std::move(connection.pending);
    if (!may_have_run && ++pending->connects < kMaxConnectTries) {
        const bool same = connection.used;  // closed while idle by a live node
        const auto node = same ? connection.node : static_cast<int>(context_.chance.below(nodes_.size()));
        return send_to_node(std::move(pending), node);
    }
    context_.write_log(timers_.now(), "gone " + std::to_string(pending->multiget));
    end(std::move(pending), How::kFailed, false, 0, 0, "gone");
}

void LiveClients::answered(std::unique_ptr<PendingRequest> pending, int status,
                           const std::string* retry_after, const std::string& body) {
    if (status == 429 || status == 503) {
        const double wait = retry_after == nullptr ? 0 : std::strtod(retry_after->c_str(), nullptr);
        return end(std::move(pending), How::kPushedBack, false, 0, static_cast<Time>(wait * kSecond), "");
    }
    if (status != 200) return end(std::move(pending), How::kFailed, false, 0, 0, "");
    bool whole = false;
    double returned_weight = 0;
    std::string shards;
    try {
        const auto json = parse::parse_json(body);
        whole = *json.member("whole")->boolean();
        for (const auto& each : *json.member("results")->list()) {
            const auto shard = static_cast<int>(each.member("partition")->number()->value);
            const auto expected =
                "v" + multiget_name(pending->multiget, pending->node) + '.' + std::to_string(shard);
            // Ignores a value that no server produced for this request.
            if (*each.member("value")->string() != expected) continue;
            for (const auto& part : pending->request.parts)
                returned_weight += part.shard == shard ? part.weight : 0;
            shards += ' ' + std::to_string(shard);
        }
    } catch (const parse::JsonError&) {
        return end(std::move(pending), How::kFailed, false, 0, 0, "");
    }
    end(std::move(pending), How::kAnswered, whole, returned_weight, 0, shards);
}

void LiveClients::end(std::unique_ptr<PendingRequest> pending, How end_kind, bool whole,
                      double returned_weight, Time wait, const std::string& shards) {
    auto& request = pending->request;
    const auto& clients = context_.world.clients[request.kind];
    const auto number = std::to_string(pending->multiget);
    if (end_kind == How::kAnswered)
        context_.write_log(timers_.now(),
                           "answer " + number + (whole ? " whole" : " part") + " shards" + shards);
    if (end_kind == How::kPushedBack) context_.write_log(timers_.now(), "push " + number);
    if (end_kind == How::kFailed && shards != "gone") context_.write_log(timers_.now(), "fail " + number);
    if (end_kind == How::kLeft) context_.write_log(timers_.now(), "gone " + number);
    const bool may_again = end_kind == How::kPushedBack ||
                           (end_kind == How::kFailed && clients.type.repeat == RetrySafety::kRetriable);
    if (may_again && request.tries_left > 0) {
        --request.tries_left;
        const auto own = static_cast<Time>(clients.retry_wait_ms(context_.chance) * 10);
        // Timer callbacks must be copyable, so the request is held by a shared pointer.
        const auto held = std::make_shared<std::unique_ptr<PendingRequest>>(std::move(pending));
        timers_.run_at(timers_.now() + std::max({own, wait, Time{1}}),
                       [this, held] { start_try(std::move(*held), false); });
        return;
    }
    --open_;
    context_.totals.clients[request.kind].note(clients.type, end_kind, whole, returned_weight,
                                               timers_.now() - request.first_asked);
}

}  // namespace pinedoor::lab
