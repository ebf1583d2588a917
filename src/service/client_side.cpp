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
constexpr Time kAcceptAfterStop = 4'500;
// SIGKILL comes no earlier than the longest route timeout (3 s at most) plus this time after SIGTERM, less a
// margin.
constexpr Time kMaxRouteTimeout = 30'000;
constexpr Time kStopMargin = 7'000 - 1'000;
constexpr Time kAcceptRetryDelay = 500;
// A client must get an error or a close within 3 s of connecting, whatever it does, and a request that has
// begun gets no more time than that; a connection without an open request may be closed after 2 s.
constexpr Time kRequestTimeout = 25'000;
constexpr Time kIdleTimeout = 20'000;
// Number of bytes that a client may still send after its last answer before the connection is closed: the
// size of the longest request.
constexpr std::size_t kMaxTrailingBytes = 80 * 1024;
constexpr std::uint32_t kMaxRemainingMs = 86'400'000;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxParts = 4096;
constexpr std::size_t kMaxQueryBytes =
    16 * 1024;  // sent with each part: a whole call must stay small enough for a server to read
constexpr double kShareSumTolerance =
    0.01;  // clients usually write six decimals, so that sums are off by about 2e-6

// Whether the text can be used in a space-separated line, followed by a dot and a number.
bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= kMaxNameLength &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

std::string format_seconds(Time time) {
    const auto rest = std::to_string(kSecond + time % kSecond).substr(1);
    return std::to_string(time / kSecond) + '.' + rest;
}

std::string retry_after_header(Time wait) {
    return wait > 0 ? "Retry-After: " + format_seconds(wait) + "\r\n" : "";
}

std::string text_line(const std::string& text) { return text.empty() ? text : text + '\n'; }

}  // namespace

ClientConnections::ClientConnections(net::Scheduler& scheduler, RequestHandler& handler, Counters& counters,
                                     Log& log, net::Endpoint listen, std::vector<std::string> op_types,
                                     std::vector<std::string> tenants, int shards, Time write_timeout,
                                     Time first_request_time, std::size_t max_connections, bool accepts_keys,
                                     std::function<std::string()> print_counters,
                                     std::function<bool()> is_ready)
    : scheduler_(scheduler), handler_(handler), counters_(counters), log_(log), endpoint_(listen),
      op_types_(std::move(op_types)), tenants_(std::move(tenants)), shards_(shards),
      write_timeout_(write_timeout), first_request_time_(first_request_time),
      max_connections_(max_connections), accepts_keys_(accepts_keys),
      print_counters_(std::move(print_counters)), is_ready_(std::move(is_ready)) {}

void ClientConnections::start() {
    listener_ = net::listen_on(endpoint_);
    waiter_.emplace(scheduler_, listener_.get());
    accepting_ = true;
    accept_task_ = accept_clients();
    accept_task_.start([this](std::exception_ptr failure) {
        if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

void ClientConnections::stop() {
    if (stopping_) return;
    stopping_ = true;
    accept_until_ = scheduler_.now() + kAcceptAfterStop;
    // Clients keep using their connections for half of the remaining time: the other front nodes may be
    // starting just now, and nobody else would answer. Later requests must end before SIGKILL.
    const Time time_left = std::min(write_timeout_, kMaxRouteTimeout) + kStopMargin;
    serve_until_ = scheduler_.now() + time_left / 2;
    answer_until_ = scheduler_.now() + time_left;
    waiter_->signal();
}

net::Task ClientConnections::accept_clients() {
    while (scheduler_.now() < accept_until_) {
        const bool at_capacity = !accept_pending();
        // With no free descriptor, retry after a delay or when a connection has closed, instead of spinning.
        const Time retry_at = at_capacity ? scheduler_.now() + kAcceptRetryDelay : net::kNever;
        co_await waiter_->wait(at_capacity ? 0U : unsigned{net::kRead}, std::min(accept_until_, retry_at));
    }
    accept_pending();
    waiter_.reset();
    listener_ = net::Fd{};
    net::Waiter waiter(scheduler_);
    while (scheduler_.now() < serve_until_) co_await waiter.wait(0, serve_until_);
    accepting_ = false;
    for (auto& connection : connections_) {
        connection->close_when_idle = true;
        connection->stream.waiter().signal();
    }
}

bool ClientConnections::accept_pending() {
    for (;;) {
        if (connections_.size() >= max_connections_) {
            if (!net::is_readable(listener_.get())) {
                waiter_->used_up(net::kRead);
                return true;
            }
            evict_connection();
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
            if (error == EMFILE) evict_connection();
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
        peak_connections_ = std::max(peak_connections_, connections_.size());
        connection.task = run_connection(connection);
        connection.task.start([this, at = &connection](std::exception_ptr failure) {
            if (failure) counters_.add(Count::kTasksThrew);
            remove(*at);
        });
    }
}

// Evicts one connection, which frees its descriptor once it has closed. Keeps clients that open connections
// and send nothing, never complete a request, or never disconnect from using up all connections.
void ClientConnections::evict_connection() {
    Connection* first = nullptr;
    const auto rank = [this](const Connection& c) { return std::pair{eviction_rank(c), c.phase_since}; };
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
int ClientConnections::eviction_rank(const Connection& connection) const {
    switch (connection.phase) {
        case Connection::Phase::kLeaving: return 0;
        case Connection::Phase::kNew:
            return scheduler_.now() - connection.phase_since >= first_request_time_ ? 1 : 3;
        case Connection::Phase::kIdle: return 2;
        case Connection::Phase::kReading:
        case Connection::Phase::kBusy: break;
    }
    return 4;
}

void ClientConnections::remove(Connection& connection) {
    if (connection.ticket != 0) handler_.leave(connection.ticket);
    connection.ticket = 0;
    scheduler_.defer([this, at = &connection] {
        std::erase_if(connections_, [at](const auto& each) { return each.get() == at; });
        if (waiter_) waiter_->signal();
    });
}

net::Task ClientConnections::run_connection(Connection& connection) {
    auto& stream = connection.stream;
    auto& waiter = stream.waiter();
    for (bool open = true; open;) {
        parse::HttpParser request(parse::HttpParser::Kind::kRequest);
        using State = parse::HttpParser::State;
        Time arrived = 0;
        bool sent_continue = false;
        for (;;) {  // reads one request
            auto& buffer = stream.buffer();
            if (!buffer.empty() && arrived == 0) {
                const Time now = scheduler_.now();
                const Time pipelined_at = std::exchange(connection.next_arrived_at, 0);
                arrived = pipelined_at != 0 ? pipelined_at : now;
                // The time limit of the first request runs from the connection's start, however slowly it
                // arrives.
                if (connection.phase == Connection::Phase::kIdle) {
                    connection.phase = Connection::Phase::kReading;
                    connection.phase_since = now;
                }
            }
            buffer.drop(request.feed(buffer.held()));
            if (request.state() == State::kDone || request.state() == State::kBad) break;
            if (request.state() == State::kBody && request.expects_continue() && !sent_continue) {
                sent_continue = true;
                stream.write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            // Read before a close: a request that crosses it is still served.
            if (waiter.may(net::kRead) || connection.evicted || connection.close_when_idle) {
                const auto got = stream.read();
                if (got == net::Stream::Got::kBytes) continue;
                if (got != net::Stream::Got::kNothing) co_return;
            }
            if (arrived == 0 && (connection.evicted || connection.close_when_idle)) co_return;
            if (connection.evicted) break;  // part of a request has been read: answer with an error
            const bool idle = connection.phase == Connection::Phase::kIdle;
            const Time read_deadline = connection.phase_since + (idle ? kIdleTimeout : kRequestTimeout);
            if (scheduler_.now() >= read_deadline) {
                if (arrived == 0) co_return;
                break;
            }
            co_await waiter.wait(net::kRead, read_deadline);
        }
        connection.phase = Connection::Phase::kBusy;
        const bool evicted = std::exchange(connection.evicted, false);
        auto reply = evicted && request.state() != State::kDone
                         ? std::optional(Reply{503, "", "no room\n", true})
                         : handle_request(connection, request, arrived);
        while (!reply && !connection.result) {
            note_pipelined_request(connection);
            co_await waiter.wait(net::kClosed | (connection.next_arrived_at == 0 ? net::kRead : 0U));
            if (!waiter.may(net::kClosed) || connection.result) continue;
            co_return;  // the client has closed the connection
        }
        if (!reply) reply = make_reply(*connection.result);
        connection.result.reset();
        connection.ticket = 0;

        // After a malformed request the position in the stream is unknown: the client must reconnect.
        open = request.state() == State::kDone && request.keep_alive() && !reply->close_after &&
               scheduler_.now() < serve_until_;
        const auto text = parse::http_response(reply->status, reply->headers, reply->body, !open);
        const Time deadline = scheduler_.now() + write_timeout_;
        for (std::size_t written = 0; written < text.size();) {
            written += stream.write(std::string_view(text).substr(written));
            if (stream.broken() || scheduler_.now() >= deadline) co_return;
            if (written < text.size()) co_await waiter.wait(net::kWrite, deadline);
        }
        connection.phase = Connection::Phase::kIdle;
        connection.phase_since = scheduler_.now();
    }
    // Closing a connection with unread input resets it and may destroy the answer in transit.
    net::shutdown_write(stream.fd());
    connection.phase = Connection::Phase::kLeaving;
    const Time deadline = scheduler_.now() + kSecond;
    for (std::size_t discarded = 0;
         discarded < kMaxTrailingBytes && !connection.evicted && scheduler_.now() < deadline;) {
        if (waiter.may(net::kRead)) {
            const auto got = stream.read();
            discarded += stream.buffer().held().size();
            stream.buffer().drop(stream.buffer().held().size());
            if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) co_return;
        }
        co_await waiter.wait(net::kRead, deadline);
    }
}

// The time of a pipelined request runs from its arrival, not from the end of the request before it.
void ClientConnections::note_pipelined_request(Connection& connection) {
    if (connection.next_arrived_at != 0) return;
    auto& stream = connection.stream;
    if (stream.buffer().empty() && stream.waiter().may(net::kRead)) stream.read();
    if (!stream.buffer().empty()) connection.next_arrived_at = scheduler_.now();
}

std::optional<ClientConnections::Reply> ClientConnections::handle_request(Connection& connection,
                                                                          parse::HttpParser& request,
                                                                          Time arrived) {
    if (request.state() == parse::HttpParser::State::kBad) return bad_request(request.fault(), request.why());
    if (request.state() != parse::HttpParser::State::kDone)
        return bad_request(408, "the request did not come whole");
    const std::string_view path = std::string_view(request.target()).substr(0, request.target().find('?'));
    if (request.method() == "POST") return submit_multiget(connection, request, arrived);
    if (request.method() != "GET") return bad_request(405, "no such method here");
    if (path == "/up") {
        // A load balancer sends clients to any node that is up; without a server list they would only be
        // rejected.
        const bool can = is_ready_();
        return Reply{can ? 200 : 503, "Content-Type: text/plain\r\n",
                     can ? "up\n" : "no list of servers yet\n"};
    }
    if (path == "/counters") return Reply{200, "Content-Type: text/plain\r\n", print_counters_()};
    return bad_request(404, "nothing here");
}

std::optional<ClientConnections::Reply> ClientConnections::submit_multiget(Connection& connection,
                                                                           parse::HttpParser& request,
                                                                           Time arrived) {
    MultigetRequest multiget;
    const auto fault = parse_multiget(request, arrived, multiget);
    if (!fault.empty()) return bad_request(400, fault);
    const auto [acceptance, ticket] =
        handler_.ask(std::move(multiget), [at = &connection](MultigetResult ending) {
            at->result = std::move(ending);
            at->stream.waiter().signal();
        });
    switch (acceptance) {
        case Acceptance::kTaken: connection.ticket = ticket; return std::nullopt;
        case Acceptance::kNoRoom: return Reply{503, "", "no room\n"};
        case Acceptance::kNameInUse: break;
    }
    return bad_request(409, "a request of this X-Txn is under way");
}

ClientConnections::Reply ClientConnections::bad_request(int status, std::string reason) {
    counters_.add(Count::kBadRequests);
    log_.event(Level::kInfo, "bad_request", "bad request: " + reason);
    return {status, "Content-Type: text/plain\r\n", reason + '\n', true};
}

std::string ClientConnections::parse_multiget(parse::HttpParser& request, Time arrived,
                                              MultigetRequest& multiget) const {
    const auto index_of = [](const std::vector<std::string>& names, std::string_view name) {
        return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
    };
    const std::string_view path = std::string_view(request.target()).substr(0, request.target().find('?'));
    const auto op_type = path.substr(path.starts_with('/') ? 1 : 0).substr(0, path.find('/', 1) - 1);
    multiget.op_type = index_of(op_types_, op_type);
    if (static_cast<std::size_t>(multiget.op_type) == op_types_.size()) return "an unknown op type";
    const auto* lane = request.header("x-lane");
    if (lane != nullptr && *lane != op_type) return "X-Lane and the path differ";
    const auto* name = request.header("x-txn");
    if (name == nullptr || !is_name(*name)) return "X-Txn is missing or malformed";
    multiget.name = *name;
    if (!tenants_.empty()) {
        const auto* tenant = request.header("x-org");
        if (tenant == nullptr) return "X-Org is missing";
        multiget.tenant = index_of(tenants_, *tenant);
        if (static_cast<std::size_t>(multiget.tenant) == tenants_.size()) return "an unknown X-Org";
    }
    const auto* remaining = request.header("x-remaining-ms");
    std::uint32_t ms = 0;
    if (remaining == nullptr) return "X-Remaining-Ms is missing";
    const auto [end, error] = std::from_chars(remaining->data(), remaining->data() + remaining->size(), ms);
    if (error != std::errc{} || end != remaining->data() + remaining->size() || ms == 0 ||
        ms > kMaxRemainingMs) {
        return "X-Remaining-Ms is malformed";
    }
    multiget.not_after = std::min(arrived + Time{ms} * 10, answer_until_);
    const auto* repeat = request.header("x-resent");
    multiget.repeat = repeat != nullptr && *repeat == "1";
    const auto body = request.take_body();
    if (const auto* header = request.header("idempotency-key"); header != nullptr && accepts_keys_) {
        const auto key = store::read_key(*header);
        if (!key) return "Idempotency-Key is no string in quotes of 1 to 255 characters";
        multiget.key = *key;
        multiget.fingerprint = store::fingerprint_of(op_type, body);
    }
    return parse_parts(body, multiget);
}

std::string ClientConnections::parse_parts(const std::string& body, MultigetRequest& multiget) const {
    parse::Json json;
    try {
        json = parse::parse_json(body);
    } catch (const parse::JsonError& error) {
        return error.what();
    }
    const auto* text = json.member("query");
    const auto* parts = json.member("targets");
    if (text == nullptr || text->string() == nullptr) return "query is no text";
    if (parts == nullptr || parts->list() == nullptr || parts->list()->empty())
        return "targets is no list of parts";
    if (parts->list()->size() > kMaxParts) return "too many targets";
    multiget.query = *text->string();
    if (multiget.query.size() > kMaxQueryBytes || !parse::is_utf8(multiget.query))
        return "query is no usable text";
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
        PartArrival arrival;
        arrival.shard = static_cast<int>(shard->value);
        arrival.weight = weight->value;
        if (!shards.insert(arrival.shard).second) return "a partition stands twice";
        if (part.member("est_us") != nullptr) {
            const auto* hint = number("est_us");
            if (hint == nullptr || hint->value < 0 || hint->value > 1e12) return "est_us is no time";
            arrival.cost_hint = static_cast<Time>(hint->value / 100);
        }
        if (const auto* route = part.member("route")) {
            const auto* hex = route->string();
            if (hex == nullptr || hex->size() != 16) return "route is not 16 hex digits";
            const auto [end, error] =
                std::from_chars(hex->data(), hex->data() + hex->size(), arrival.key, 16);
            if (error != std::errc{} || end != hex->data() + hex->size()) return "route is not 16 hex digits";
        }
        sum += arrival.weight;
        multiget.parts.push_back(arrival);
    }
    if (std::abs(sum - 1) > kShareSumTolerance) return "the shares do not sum to 1";
    return {};
}

ClientConnections::Reply ClientConnections::make_reply(const MultigetResult& ending) {
    switch (ending.kind) {
        case MultigetResult::Kind::kPushedBack: return {503, retry_after_header(ending.wait), ""};
        case MultigetResult::Kind::kFailed:
            return {500, ending.told.empty() ? "" : "Content-Type: text/plain\r\n", text_line(ending.told)};
        case MultigetResult::Kind::kRecorded:
            return {200, "Content-Type: application/json\r\nIdempotent-Replayed: true\r\n", ending.told};
        case MultigetResult::Kind::kUnderWay:
            return {409, "Content-Type: text/plain\r\n" + retry_after_header(ending.wait),
                    text_line(ending.told)};
        case MultigetResult::Kind::kOtherBody:
            return {422, "Content-Type: text/plain\r\n", text_line(ending.told)};
        case MultigetResult::Kind::kAnswered: break;
    }
    return {200, "Content-Type: application/json\r\n", answer_body(ending)};
}

std::string ClientConnections::print_gauges() const {
    std::string out;
    append_line(out, "clients_open", connections_.size());
    append_line(out, "clients_open_most_at_once", peak_connections_);
    return out;
}

}  // namespace pinedoor::service
