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
constexpr Time kGrace = 700;  // an answer's way to the client, and what sockets are given more
constexpr int kMostConnects = 4;

}  // namespace

LiveClients::LiveClients(net::Scheduler& scheduler, Agenda& agenda, LiveBook& book,
                         std::vector<net::Endpoint> nodes, std::size_t most_connections)
    : scheduler_(scheduler), agenda_(agenda), book_(book), nodes_(std::move(nodes)), most_(most_connections),
      idle_(nodes_.size()) {
    for (const auto& each : book.world.clients) {
        book.totals.clients.push_back({});
        book.totals.clients.back().name = each.name;
    }
}

void LiveClients::start() {
    for (std::uint32_t kind = 0; kind < book_.world.clients.size(); ++kind) arrive(kind);
}

void LiveClients::arrive(std::uint32_t kind) {
    const auto& clients = book_.world.clients[kind];
    const double most = max_rate_factor(book_.world, clients);
    const double wait = -std::log1p(-book_.chance.one()) / (clients.per_second * most) * kSecond;
    // Each from when the last was due, not from now: what the loop is late by delays nobody.
    const auto due = std::make_shared<double>(static_cast<double>(agenda_.now()) + wait);
    const auto next = std::make_shared<std::function<void()>>();
    *next = [this, kind, due, most, weak = std::weak_ptr(next)] {
        const auto& mine = book_.world.clients[kind];
        const auto now = static_cast<net::Moment>(*due);
        if (now - book_.start >= book_.world.length) return;
        if (book_.chance.one() < rate_factor(mine, now - book_.start, surge_) / most) {
            auto asking = std::make_unique<Asking>();
            asking->request = draw_request(book_.world, kind, now, book_.chance);
            auto& totals = book_.totals.clients[kind];
            ++totals.asked;
            totals.possible += mine.type.importance;
            ++open_;
            ask(std::move(asking), true);
        }
        *due += -std::log1p(-book_.chance.one()) / (mine.per_second * most) * kSecond;
        agenda_.at(static_cast<net::Moment>(*due), [again = weak.lock()] { (*again)(); });
    };
    agenda_.at(static_cast<net::Moment>(*due), [next] { (*next)(); });
}

// A try: at first, or again after a pushback or failure.
void LiveClients::ask(std::unique_ptr<Asking> asking, bool anew) {
    const auto& clients = book_.world.clients[asking->request.kind];
    ++book_.totals.clients[asking->request.kind].tries;
    asking->multiget = ++multigets_;
    asking->connects = 0;
    const bool again = asking->request.effect != 0;
    if (!again) asking->request.effect = asking->multiget;
    if (clients.type.repeat == Repeat::kNonRetriable)
        book_.effects[asking->multiget] = asking->request.effect;
    if (book_.world.clients.size() > 1)
        book_.kinds[asking->multiget] = static_cast<int>(asking->request.kind);
    const auto from = anew ? asking->request.first_asked : agenda_.now();
    asking->until = from + clients.type.route_timeout + kGrace;
    const auto leaves = static_cast<Time>(clients.leave_ms(book_.chance) * 10);
    asking->leaves = leaves > 0 && leaves < clients.type.route_timeout;
    if (asking->leaves) asking->until = from + leaves;
    const int node = draw_node(book_.world, shift_, book_.chance);
    const auto number = std::to_string(asking->multiget);
    if (book_.log) {
        std::string line = "ask " + number + " node " + std::to_string(node) + " kind " +
                           std::to_string(asking->request.kind) + " until " +
                           std::to_string(from + clients.type.route_timeout - book_.start) + " parts";
        for (const auto& part : asking->request.parts)
            line += ' ' + std::to_string(part.shard) + ':' + std::to_string(part.weight);
        book_.say(agenda_.now(), line);
        if (again)
            book_.say(agenda_.now(), "same " + number + " as " + std::to_string(asking->request.effect));
        if (book_.world.tenants.size() > 1)
            book_.say(agenda_.now(), "tenant " + number + ' ' + tenant_of(*asking));
    }
    give(std::move(asking), node);
}

void LiveClients::give(std::unique_ptr<Asking> asking, int node) {
    asking->node = node;
    auto& idle = idle_[static_cast<std::size_t>(node)];
    Connection* connection = nullptr;
    if (!idle.empty()) {
        connection = idle.back();
        idle.pop_back();
    } else if (connections_.size() < most_) {
        auto fd = net::connect_to(nodes_[static_cast<std::size_t>(node)]).first;
        if (!fd) {
            ++without_room_;
            return end(std::move(asking), How::kFailed, false, 0, 0, "");
        }
        connections_.push_back(std::make_unique<Connection>(scheduler_, std::move(fd), node));
        connection = connections_.back().get();
        connection->asking = std::move(asking);
        connection->task = converse(*connection);
        connection->task.start([this, connection](std::exception_ptr failure) {
            if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
            connection->over = true;
            scheduler_.defer(
                [this] { std::erase_if(connections_, [](const auto& each) { return each->over; }); });
        });
        return;
    } else {
        ++without_room_;
        return end(std::move(asking), How::kFailed, false, 0, 0, "");
    }
    connection->asking = std::move(asking);
    connection->stream.waiter().signal();
}

const std::string& LiveClients::tenant_of(const Asking& asking) const {
    return book_.world.tenants[static_cast<std::size_t>(asking.request.tenant)].name;
}

std::string LiveClients::text_of(const Asking& asking) const {
    const auto& clients = book_.world.clients[asking.request.kind];
    std::string body = "{\"targets\":[";
    char text[96];
    for (const auto& part : asking.request.parts) {
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
           " HTTP/1.1\r\nHost: lab\r\nX-Txn: " + multiget_name(asking.multiget, asking.node) +
           "\r\nX-Lane: " + clients.name + "\r\nX-Org: " + tenant_of(asking) +
           "\r\nX-Remaining-Ms: " + std::to_string(clients.type.route_timeout / 10) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One connection's life: a request, its answer, and idle again.
net::Task LiveClients::converse(Connection& connection) {
    auto& stream = connection.stream;
    auto& waiter = stream.waiter();
    for (;;) {
        while (!connection.asking) {  // idle: what comes now is its end
            if (waiter.may(net::kRead)) {
                const auto got = stream.read();
                if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) {
                    std::erase(idle_[static_cast<std::size_t>(connection.node)], &connection);
                    if (connection.asking) broken(connection, false);
                    co_return;
                }
            }
            if (!connection.asking) co_await waiter.wait(net::kRead);
        }
        const auto text = text_of(*connection.asking);
        std::size_t written = 0;
        parse::HttpReader reader(parse::HttpReader::Kind::kResponse);
        std::string body;
        while (reader.state() != parse::HttpReader::State::kDone) {
            if (agenda_.now() >= connection.asking->until) {
                const bool left = connection.asking->leaves;
                end(std::move(connection.asking), left ? How::kLeft : How::kLost, false, 0, 0, "");
                co_return;
            }
            if (written < text.size() && waiter.may(net::kWrite)) {
                if (net::socket_error(stream.fd()) != 0) {
                    broken(connection, false);
                    co_return;
                }
                written += stream.write(std::string_view(text).substr(written));
            }
            if (waiter.may(net::kRead)) {
                const auto got = stream.read();
                if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) {
                    // What must not run twice is asked again only if not a byte of it was written.
                    const auto repeat = book_.world.clients[connection.asking->request.kind].type.repeat;
                    const bool may_run = written > 0 && repeat == Repeat::kNonRetriable;
                    broken(connection, reader.started() || !connection.used || may_run);
                    co_return;
                }
                auto& buffer = stream.buffer();
                buffer.drop(reader.feed(buffer.held()));
                body += reader.take_body();
            }
            if (stream.broken() || reader.state() == parse::HttpReader::State::kBad) {
                const auto repeat = book_.world.clients[connection.asking->request.kind].type.repeat;
                broken(connection, reader.started() || (written > 0 && repeat == Repeat::kNonRetriable));
                co_return;
            }
            if (reader.state() == parse::HttpReader::State::kDone) break;
            co_await waiter.wait(net::kRead | (written < text.size() ? unsigned{net::kWrite} : 0U),
                                 connection.asking->until);
        }
        connection.used = true;
        answered(std::move(connection.asking), reader.status(), reader.header("retry-after"), body);
        if (!reader.keeps_open()) co_return;
        if (!connection.asking) idle_[static_cast<std::size_t>(connection.node)].push_back(&connection);
    }
}

void LiveClients::misbehave(double per_second) {
    const bool begins = bad_per_second_ <= 0 && per_second > 0;
    bad_per_second_ = per_second;
    if (begins) next_bad();
}

void LiveClients::next_bad() {
    constexpr std::size_t kMostBad = 500;
    if (bad_per_second_ <= 0) return;
    auto fd =
        bad_.size() < kMostBad ? net::connect_to(nodes_[book_.chance.below(nodes_.size())]).first : net::Fd{};
    if (fd) {
        bad_.push_back(std::make_unique<Bad>(scheduler_, std::move(fd)));
        auto& bad = *bad_.back();
        bad.task = annoy(bad);
        bad.task.start([this, &bad](std::exception_ptr) {
            bad.over = true;
            scheduler_.defer([this] { std::erase_if(bad_, [](const auto& each) { return each->over; }); });
        });
    }
    const double wait = -std::log1p(-book_.chance.one()) / bad_per_second_ * kSecond;
    agenda_.at(agenda_.now() + std::max<Time>(1, static_cast<Time>(wait)), [this] { next_bad(); });
}

// Says what no client should, then waits for its end and reads whatever comes, for a while.
net::Task LiveClients::annoy(Bad& bad) {
    constexpr net::Moment kStays = 3 * kSecond;
    std::string text;
    switch (book_.chance.below(5)) {
        case 0:
            for (int i = 0; i < 300; ++i) text += static_cast<char>(book_.chance.below(256));
            break;
        case 1: text = "POST /page HTTP/1.1\r\nHost: lab\r\nContent-Length: 5000\r\n\r\n{\"targets\""; break;
        case 2: text = "GET / HTTP/1.1\r\nX: " + std::string(200'000, 'x'); break;
        case 3: text = "POST /page HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"; break;
        default: break;  // silence
    }
    const auto until = agenda_.now() + kStays;
    std::size_t written = 0;
    auto& waiter = bad.stream.waiter();
    while (agenda_.now() < until && !bad.stream.broken()) {
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

// It ended without an answer. One that was never up, or that the front node closed between two requests, has
// taken nothing: the request goes elsewhere (RFC 9110, 9.2.2).
void LiveClients::broken(Connection& connection, bool taken) {
    auto asking = std::move(connection.asking);
    if (!taken && ++asking->connects < kMostConnects) {
        const bool same = connection.used;  // closed while it was idle, by its node that lives
        const auto node = same ? connection.node : static_cast<int>(book_.chance.below(nodes_.size()));
        return give(std::move(asking), node);
    }
    book_.say(agenda_.now(), "gone " + std::to_string(asking->multiget));
    end(std::move(asking), How::kFailed, false, 0, 0, "gone");
}

void LiveClients::answered(std::unique_ptr<Asking> asking, int status, const std::string* retry_after,
                           const std::string& body) {
    if (status == 429 || status == 503) {
        const double wait = retry_after == nullptr ? 0 : std::strtod(retry_after->c_str(), nullptr);
        return end(std::move(asking), How::kPushedBack, false, 0, static_cast<Time>(wait * kSecond), "");
    }
    if (status != 200) return end(std::move(asking), How::kFailed, false, 0, 0, "");
    bool whole = false;
    double in = 0;
    std::string shards;
    try {
        const auto json = parse::parse_json(body);
        whole = *json.member("whole")->boolean();
        for (const auto& each : *json.member("results")->list()) {
            const auto shard = static_cast<int>(each.member("partition")->number()->value);
            const auto expected =
                "v" + multiget_name(asking->multiget, asking->node) + '.' + std::to_string(shard);
            // A value that no server made for it is no value.
            if (*each.member("value")->string() != expected) continue;
            for (const auto& part : asking->request.parts) in += part.shard == shard ? part.weight : 0;
            shards += ' ' + std::to_string(shard);
        }
    } catch (const parse::BadJson&) {
        return end(std::move(asking), How::kFailed, false, 0, 0, "");
    }
    end(std::move(asking), How::kAnswered, whole, in, 0, shards);
}

void LiveClients::end(std::unique_ptr<Asking> asking, How how, bool whole, double in, Time wait,
                      const std::string& shards) {
    auto& request = asking->request;
    const auto& clients = book_.world.clients[request.kind];
    const auto number = std::to_string(asking->multiget);
    if (how == How::kAnswered)
        book_.say(agenda_.now(), "answer " + number + (whole ? " whole" : " part") + " shards" + shards);
    if (how == How::kPushedBack) book_.say(agenda_.now(), "push " + number);
    if (how == How::kFailed && shards != "gone") book_.say(agenda_.now(), "fail " + number);
    if (how == How::kLeft) book_.say(agenda_.now(), "gone " + number);
    const bool may_again =
        how == How::kPushedBack || (how == How::kFailed && clients.type.repeat == Repeat::kRetriable);
    if (may_again && request.tries_left > 0) {
        --request.tries_left;
        const auto own = static_cast<Time>(clients.retry_wait_ms(book_.chance) * 10);
        // The agenda's jobs are copied: what is asked again is shared until it goes.
        const auto held = std::make_shared<std::unique_ptr<Asking>>(std::move(asking));
        agenda_.at(agenda_.now() + std::max({own, wait, Time{1}}),
                   [this, held] { ask(std::move(*held), false); });
        return;
    }
    --open_;
    book_.totals.clients[request.kind].note(clients.type, how, whole, in,
                                            agenda_.now() - request.first_asked);
}

}  // namespace pinedoor::lab
