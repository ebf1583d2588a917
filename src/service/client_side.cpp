#include "service/client_side.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <set>
#include <system_error>

#include "parse/json.hpp"
#include "store/asked_again.hpp"

namespace pinedoor::service {
namespace {

constexpr Time kSecond = 10'000;
// New connections arrive for up to 0.4 s after SIGTERM; each time limit is 50 ms longer on sockets.
constexpr Time kAcceptOn = 4'500;
// SIGKILL comes no earlier than the longest route timeout (3 s at most) plus this time after SIGTERM, less a
// margin.
constexpr Time kLongestStop = 30'000;
constexpr Time kStopOn = 7'000 - 1'000;
constexpr Time kRetryAccept = 500;
// A client must get an error or a close within 3 s of connecting, whatever it does, and a request that has
// begun gets no more time than that; a connection without an open request may be closed after 2 s.
constexpr Time kWholeRequest = 25'000;
constexpr Time kIdle = 20'000;
// Number of bytes that a client may still send after its last answer before the connection is closed: the
// size of the longest request.
constexpr std::size_t kMostLeft = 80 * 1024;
constexpr std::uint32_t kMostRemainingMs = 86'400'000;
constexpr std::size_t kLongestName = 64;
constexpr std::size_t kMostParts = 4096;
constexpr std::size_t kLongestText =
    16 * 1024;  // sent with each part: a whole call must stay small enough for a server to read
constexpr double kShareSlack =
    0.01;  // clients usually write six decimals, so that sums are off by about 2e-6

// Whether the text can be used in a space-separated line, followed by a dot and a number.
bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= kLongestName &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

std::string decimal_seconds(Time time) {
    const auto rest = std::to_string(kSecond + time % kSecond).substr(1);
    return std::to_string(time / kSecond) + '.' + rest;
}

std::string retry_after(Time wait) {
    return wait > 0 ? "Retry-After: " + decimal_seconds(wait) + "\r\n" : "";
}

std::string line(const std::string& text) { return text.empty() ? text : text + '\n'; }

}  // namespace

ClientSide::ClientSide(net::Scheduler& scheduler, RequestHandler& handler, Counters& counters, Log& log,
                       net::Endpoint listen, std::vector<std::string> op_types,
                       std::vector<std::string> tenants, int shards, Time patience, Time grace,
                       std::size_t most_connections, bool takes_keys,
                       std::function<std::string()> print_counters, std::function<bool()> can_serve)
    : scheduler_(scheduler), handler_(handler), counters_(counters), log_(log), at_(listen),
      op_types_(std::move(op_types)), tenants_(std::move(tenants)), shards_(shards), patience_(patience),
      grace_(grace), most_connections_(most_connections), takes_keys_(takes_keys),
      print_counters_(std::move(print_counters)), can_serve_(std::move(can_serve)) {}

void ClientSide::start() {
    listener_ = net::listen_on(at_);
    waiter_.emplace(scheduler_, listener_.get());
    accepting_ = true;
    task_ = accept();
    task_.start([this](std::exception_ptr failure) {
        if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

void ClientSide::stop() {
    if (stopping_) return;
    stopping_ = true;
    accept_until_ = scheduler_.now() + kAcceptOn;
    // Clients keep using their connections for half of the remaining time: the other front nodes may be
    // starting just now, and nobody else would answer. Later requests must end before SIGKILL.
    const Time left = std::min(patience_, kLongestStop) + kStopOn;
    serve_until_ = scheduler_.now() + left / 2;
    answer_until_ = scheduler_.now() + left;
    waiter_->signal();
}

net::Task ClientSide::accept() {
    while (scheduler_.now() < accept_until_) {
        const bool out_of_descriptors = !take_all_queued();
        // With no free descriptor, retry after a delay or when a connection has closed, instead of spinning.
        const Time again = out_of_descriptors ? scheduler_.now() + kRetryAccept : net::kNever;
        co_await waiter_->wait(out_of_descriptors ? 0U : unsigned{net::kRead},
                               std::min(accept_until_, again));
    }
    take_all_queued();
    waiter_.reset();
    listener_ = net::Fd{};
    net::Waiter rest(scheduler_);
    while (scheduler_.now() < serve_until_) co_await rest.wait(0, serve_until_);
    accepting_ = false;
    for (auto& connection : connections_) {
        connection->closing = true;
        connection->stream.waiter().signal();
    }
}

bool ClientSide::take_all_queued() {
    for (;;) {
        if (connections_.size() >= most_connections_) {
            if (!net::is_readable(listener_.get())) {
                waiter_->used_up(net::kRead);
                return true;
            }
            make_room();
            return false;
        }
        auto [fd, error] = net::accept_from(listener_);
        if (!fd) {
            if (error == EAGAIN) {
                waiter_->used_up(net::kRead);
                return true;
            }
            counters_.add(Count::kAcceptFailures);
            log_.event(Level::kWarning, "accept_failed", "accept failed: error " + std::to_string(error),
                       {{"error", std::to_string(error)}});
            // Only a descriptor of this process can be freed by closing another connection.
            if (error == EMFILE) make_room();
            return false;
        }
        std::unique_ptr<Connection> accepted;
        try {
            accepted = std::make_unique<Connection>(scheduler_, std::move(fd));
        } catch (const std::system_error&) {  // not accepted by epoll; nothing of it has been read
            counters_.add(Count::kAcceptFailures);
            return false;
        }
        counters_.add(Count::kClientsAccepted);
        auto& connection = *connections_.emplace_back(std::move(accepted));
        most_at_once_ = std::max(most_at_once_, connections_.size());
        connection.task = serve(connection);
        connection.task.start([this, at = &connection](std::exception_ptr failure) {
            if (failure) counters_.add(Count::kTasksThrew);
            drop(*at);
        });
    }
}

// Evicts one connection, which frees its descriptor once it has closed. Keeps clients that open connections
// and send nothing, never complete a request, or never disconnect from using up all connections.
void ClientSide::make_room() {
    Connection* first = nullptr;
    const auto rank = [this](const Connection& c) { return std::pair{readiness_to_go(c), c.since}; };
    for (auto& connection : connections_) {
        if (connection->evicted || connection->phase == Connection::Phase::kBusy) continue;
        if (first == nullptr || rank(*connection) < rank(*first)) first = connection.get();
    }
    if (first == nullptr) return;
    first->evicted = true;
    first->stream.waiter().signal();
}

// Evicted first are connections after their last answer, then those without a first request within the usual
// time, then those between two requests. A new connection is likely to belong to a regular client.
int ClientSide::readiness_to_go(const Connection& connection) const {
    switch (connection.phase) {
        case Connection::Phase::kLeaving: return 0;
        case Connection::Phase::kNew: return scheduler_.now() - connection.since >= grace_ ? 1 : 3;
        case Connection::Phase::kIdle: return 2;
        case Connection::Phase::kReading:
        case Connection::Phase::kBusy: break;
    }
    return 4;
}

void ClientSide::drop(Connection& connection) {
    if (connection.multiget != 0) handler_.leave(connection.multiget);
    connection.multiget = 0;
    scheduler_.defer([this, at = &connection] {
        std::erase_if(connections_, [at](const auto& each) { return each.get() == at; });
        if (waiter_) waiter_->signal();
    });
}

net::Task ClientSide::serve(Connection& connection) {
    auto& stream = connection.stream;
    auto& waiter = stream.waiter();
    for (bool open = true; open;) {
        parse::HttpReader request(parse::HttpReader::Kind::kRequest);
        using State = parse::HttpReader::State;
        Time arrived = 0;
        bool told_to_go_on = false;
        for (;;) {  // reads one request
            auto& buffer = stream.buffer();
            if (!buffer.empty() && arrived == 0) {
                const Time now = scheduler_.now();
                const Time came = std::exchange(connection.next_came, 0);
                arrived = came != 0 ? came : now;
                // The time limit of the first request runs from the connection's start, however slowly it
                // arrives.
                if (connection.phase == Connection::Phase::kIdle) {
                    connection.phase = Connection::Phase::kReading;
                    connection.since = now;
                }
            }
            buffer.drop(request.feed(buffer.held()));
            if (request.state() == State::kDone || request.state() == State::kBad) break;
            if (request.state() == State::kBody && request.expects_continue() && !told_to_go_on) {
                told_to_go_on = true;
                stream.write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            // Read before a close: a request that crosses it is still served.
            if (waiter.may(net::kRead) || connection.evicted || connection.closing) {
                const auto got = stream.read();
                if (got == net::Stream::Got::kBytes) continue;
                if (got != net::Stream::Got::kNothing) co_return;
            }
            if (arrived == 0 && (connection.evicted || connection.closing)) co_return;
            if (connection.evicted) break;  // part of a request has been read: answer with an error
            const bool idle = connection.phase == Connection::Phase::kIdle;
            const Time late = connection.since + (idle ? kIdle : kWholeRequest);
            if (scheduler_.now() >= late) {
                if (arrived == 0) co_return;
                break;
            }
            co_await waiter.wait(net::kRead, late);
        }
        connection.phase = Connection::Phase::kBusy;
        const bool evicted = std::exchange(connection.evicted, false);
        auto reply = evicted && request.state() != State::kDone
                         ? std::optional(Reply{503, "", "no room\n", true})
                         : handle(connection, request, arrived);
        while (!reply && !connection.ending) {
            note_next(connection);
            co_await waiter.wait(net::kClosed | (connection.next_came == 0 ? net::kRead : 0U));
            if (!waiter.may(net::kClosed) || connection.ending) continue;
            co_return;  // the client has closed the connection
        }
        if (!reply) reply = reply_to(*connection.ending);
        connection.ending.reset();
        connection.multiget = 0;

        // After a malformed request the position in the stream is unknown: the client must reconnect.
        open = request.state() == State::kDone && request.keeps_open() && !reply->last &&
               scheduler_.now() < serve_until_;
        const auto text = parse::http_answer(reply->status, reply->headers, reply->body, !open);
        const Time give_up_at = scheduler_.now() + patience_;
        for (std::size_t written = 0; written < text.size();) {
            written += stream.write(std::string_view(text).substr(written));
            if (stream.broken() || scheduler_.now() >= give_up_at) co_return;
            if (written < text.size()) co_await waiter.wait(net::kWrite, give_up_at);
        }
        connection.phase = Connection::Phase::kIdle;
        connection.since = scheduler_.now();
    }
    // Closing a connection with unread input resets it and may destroy the answer in transit.
    net::end_writing(stream.fd());
    connection.phase = Connection::Phase::kLeaving;
    const Time give_up_at = scheduler_.now() + kSecond;
    for (std::size_t left = 0; left < kMostLeft && !connection.evicted && scheduler_.now() < give_up_at;) {
        if (waiter.may(net::kRead)) {
            const auto got = stream.read();
            left += stream.buffer().held().size();
            stream.buffer().drop(stream.buffer().held().size());
            if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) co_return;
        }
        co_await waiter.wait(net::kRead, give_up_at);
    }
}

// The time of a pipelined request runs from its arrival, not from the end of the request before it.
void ClientSide::note_next(Connection& connection) {
    if (connection.next_came != 0) return;
    auto& stream = connection.stream;
    if (stream.buffer().empty() && stream.waiter().may(net::kRead)) stream.read();
    if (!stream.buffer().empty()) connection.next_came = scheduler_.now();
}

std::optional<ClientSide::Reply> ClientSide::handle(Connection& connection, parse::HttpReader& request,
                                                    Time arrived) {
    if (request.state() == parse::HttpReader::State::kBad) return bad(request.fault(), request.why());
    if (request.state() != parse::HttpReader::State::kDone) return bad(408, "the request did not come whole");
    const std::string_view path = std::string_view(request.target()).substr(0, request.target().find('?'));
    if (request.method() == "POST") return ask(connection, request, arrived);
    if (request.method() != "GET") return bad(405, "no such method here");
    if (path == "/up") {
        // A load balancer sends clients to any node that is up; without a server list they would only be
        // rejected.
        const bool can = can_serve_();
        return Reply{can ? 200 : 503, "Content-Type: text/plain\r\n",
                     can ? "up\n" : "no list of servers yet\n"};
    }
    if (path == "/counters") return Reply{200, "Content-Type: text/plain\r\n", print_counters_()};
    return bad(404, "nothing here");
}

std::optional<ClientSide::Reply> ClientSide::ask(Connection& connection, parse::HttpReader& request,
                                                 Time arrived) {
    MultigetAsked asked;
    const auto fault = read_multiget(request, arrived, asked);
    if (!fault.empty()) return bad(400, fault);
    const auto [taken, id] = handler_.ask(std::move(asked), [at = &connection](Ending ending) {
        at->ending = std::move(ending);
        at->stream.waiter().signal();
    });
    switch (taken) {
        case Acceptance::kTaken: connection.multiget = id; return std::nullopt;
        case Acceptance::kNoRoom: return Reply{503, "", "no room\n"};
        case Acceptance::kNameInUse: break;
    }
    return bad(409, "a request of this X-Txn is under way");
}

ClientSide::Reply ClientSide::bad(int status, std::string why) {
    counters_.add(Count::kBadRequests);
    log_.event(Level::kInfo, "bad_request", "bad request: " + why);
    return {status, "Content-Type: text/plain\r\n", why + '\n', true};
}

std::string ClientSide::read_multiget(parse::HttpReader& request, Time arrived, MultigetAsked& asked) const {
    const auto index_of = [](const std::vector<std::string>& names, std::string_view name) {
        return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
    };
    const std::string_view path = std::string_view(request.target()).substr(0, request.target().find('?'));
    const auto op_type = path.substr(path.starts_with('/') ? 1 : 0).substr(0, path.find('/', 1) - 1);
    asked.op_type = index_of(op_types_, op_type);
    if (static_cast<std::size_t>(asked.op_type) == op_types_.size()) return "an unknown op type";
    const auto* lane = request.header("x-lane");
    if (lane != nullptr && *lane != op_type) return "X-Lane and the path differ";
    const auto* name = request.header("x-txn");
    if (name == nullptr || !is_name(*name)) return "X-Txn is missing or malformed";
    asked.name = *name;
    if (!tenants_.empty()) {
        const auto* tenant = request.header("x-org");
        if (tenant == nullptr) return "X-Org is missing";
        asked.tenant = index_of(tenants_, *tenant);
        if (static_cast<std::size_t>(asked.tenant) == tenants_.size()) return "an unknown X-Org";
    }
    const auto* remaining = request.header("x-remaining-ms");
    std::uint32_t ms = 0;
    if (remaining == nullptr) return "X-Remaining-Ms is missing";
    const auto [end, error] = std::from_chars(remaining->data(), remaining->data() + remaining->size(), ms);
    if (error != std::errc{} || end != remaining->data() + remaining->size() || ms == 0 ||
        ms > kMostRemainingMs) {
        return "X-Remaining-Ms is malformed";
    }
    asked.not_after = std::min(arrived + Time{ms} * 10, answer_until_);
    const auto* repeat = request.header("x-resent");
    asked.repeat = repeat != nullptr && *repeat == "1";
    const auto body = request.take_body();
    if (const auto* header = request.header("idempotency-key"); header != nullptr && takes_keys_) {
        const auto key = store::read_key(*header);
        if (!key) return "Idempotency-Key is no string in quotes of 1 to 255 characters";
        asked.key = *key;
        asked.fingerprint = store::fingerprint_of(op_type, body);
    }
    return read_parts(body, asked);
}

std::string ClientSide::read_parts(const std::string& body, MultigetAsked& asked) const {
    parse::Json json;
    try {
        json = parse::parse_json(body);
    } catch (const parse::BadJson& error) {
        return error.what();
    }
    const auto* text = json.member("query");
    const auto* parts = json.member("targets");
    if (text == nullptr || text->string() == nullptr) return "query is no text";
    if (parts == nullptr || parts->list() == nullptr || parts->list()->empty())
        return "targets is no list of parts";
    if (parts->list()->size() > kMostParts) return "too many targets";
    asked.text = *text->string();
    if (asked.text.size() > kLongestText || !parse::is_utf8(asked.text)) return "query is no usable text";
    std::set<int> shards;
    double sum = 0;
    for (const auto& part : *parts->list()) {
        const auto number = [&](const char* name) {
            const auto* member = part.member(name);
            return member == nullptr ? nullptr : member->number();
        };
        const auto* shard = number("partition");
        const auto* weight = number("share");
        if (shard == nullptr || shard->value < 0 || shard->value >= shards_ ||
            shard->value != std::floor(shard->value)) {
            return "a partition is out of range";
        }
        if (weight == nullptr || !(weight->value > 0) || weight->value > 1.001)
            return "a share is no positive share";
        PartArrival told;
        told.shard = static_cast<int>(shard->value);
        told.weight = weight->value;
        if (!shards.insert(told.shard).second) return "a partition stands twice";
        if (part.member("est_us") != nullptr) {
            const auto* hint = number("est_us");
            if (hint == nullptr || hint->value < 0 || hint->value > 1e12) return "est_us is no time";
            told.cost_hint = static_cast<Time>(hint->value / 100);
        }
        if (const auto* route = part.member("route")) {
            const auto* hex = route->string();
            if (hex == nullptr || hex->size() != 16) return "route is not 16 hex digits";
            const auto [end, error] = std::from_chars(hex->data(), hex->data() + hex->size(), told.key, 16);
            if (error != std::errc{} || end != hex->data() + hex->size()) return "route is not 16 hex digits";
        }
        sum += told.weight;
        asked.parts.push_back(told);
    }
    if (std::abs(sum - 1) > kShareSlack) return "the shares do not sum to 1";
    return {};
}

ClientSide::Reply ClientSide::reply_to(const Ending& ending) {
    switch (ending.kind) {
        case Ending::Kind::kPushedBack: return {503, retry_after(ending.wait), ""};
        case Ending::Kind::kFailed:
            return {500, ending.told.empty() ? "" : "Content-Type: text/plain\r\n", line(ending.told)};
        case Ending::Kind::kRecorded:
            return {200, "Content-Type: application/json\r\nIdempotent-Replayed: true\r\n", ending.told};
        case Ending::Kind::kUnderWay:
            return {409, "Content-Type: text/plain\r\n" + retry_after(ending.wait), line(ending.told)};
        case Ending::Kind::kOtherBody: return {422, "Content-Type: text/plain\r\n", line(ending.told)};
        case Ending::Kind::kAnswered: break;
    }
    return {200, "Content-Type: application/json\r\n", answer_body(ending)};
}

std::string ClientSide::print_gauges() const {
    std::string out;
    append_line(out, "clients_open", connections_.size());
    append_line(out, "clients_open_most_at_once", most_at_once_);
    return out;
}

}  // namespace pinedoor::service
