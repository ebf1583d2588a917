#include "service/client_side.hpp"

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>
#include <variant>

namespace pinedoor::service {
namespace {

using State = parse::HttpParser::State;
using Phase = ClientConnection::Phase;
using Eviction = ClientConnection::Eviction;

constexpr Time kSecond = 10'000;
// New connections arrive for up to 0.4 s after SIGTERM; each time limit is 50 ms longer on sockets.
constexpr Time kAcceptAfterStop = 4'500;
// SIGKILL comes no earlier than the longest route timeout (3 s at most) plus this time after SIGTERM, less a
// margin.
constexpr Time kMaxRouteTimeout = 30'000;
constexpr Time kStopMargin = 7'000 - 1'000;
constexpr Time kAcceptRetryDelay = 500;
constexpr int kMaxAcceptsPerTurn = 16;
constexpr std::size_t kMaxEvictionsPerTurn = 32;
// No more than this fraction of all connections is evicted in a turn.
constexpr std::size_t kEvictionsDivisor = 8;
// A client must get an error or a close within 3 s of connecting, whatever it does, and a request that has
// begun gets no more time than that; a connection without an open request may be closed after 2 s.
constexpr Time kRequestTimeout = 25'000;
constexpr Time kIdleTimeout = 20'000;
// Number of bytes that a client may still send after its last answer before the connection is closed: the
// size of the longest request.
constexpr std::size_t kMaxTrailingBytes = 80 * 1024;

// Work of one connection in a turn: 0.2 ms.
constexpr Time kShareOfWork = 2;
// Bytes that are kept of requests behind a complete one.
constexpr std::size_t kMaxAheadBytes = 256 * 1024;
// The most that one read adds to what a connection holds: a buffer that doubles to the largest body.
constexpr std::size_t kMaxGrowthBytes = 64 * 1024;
constexpr Time kMemoryRetryDelay = 100;  // 10 ms: hundreds of connections may wait for memory
constexpr Time kDrainRetryDelay = 10;    // 1 ms
constexpr std::size_t kMemoryReserveDivisor = 8;
// Allocated for an open multiget besides its query, and for each of its parts, at most, in bytes.
constexpr std::size_t kMultigetBytes = 2048;
constexpr std::size_t kPartBytes = 1024;
// A multiget that takes no more than this may use the reserve.
constexpr std::size_t kOrdinaryMultigetBytes = 32 * 1024;
constexpr int kSkippedAnswersPerWrite = 64;

std::string format_seconds(Time time) {
    const auto rest = std::to_string(kSecond + time % kSecond).substr(1);
    return std::to_string(time / kSecond) + '.' + rest;
}

std::string retry_after_header(Time wait) {
    return wait > 0 ? "Retry-After: " + format_seconds(wait) + "\r\n" : "";
}

std::string text_line(const std::string& text) { return text.empty() ? text : text + '\n'; }

std::size_t bytes_of(const MultigetRequest& multiget) {
    return kMultigetBytes + 2 * multiget.query.capacity() + kPartBytes * multiget.parts.size();
}

bool is_multiget(const parse::HttpParser& request) {
    return request.state() == State::kDone && request.method() == "POST";
}

}  // namespace

ClientConnections::ClientConnections(net::Scheduler& scheduler, RequestHandler& handler, Counters& counters,
                                     Log& log, InputBudgets& budgets, ClientSideConfig config,
                                     std::function<std::string()> print_counters,
                                     std::function<bool()> is_ready)
    : scheduler_(scheduler), handler_(handler), counters_(counters), log_(log), budgets_(budgets),
      memory_(budgets.clients), config_(std::move(config)), parser_(config_.vocabulary),
      print_counters_(std::move(print_counters)), is_ready_(std::move(is_ready)),
      names_(config_.max_names, config_.seed) {}

void ClientConnections::start() {
    listener_ = net::listen_on(config_.listen);
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
    const Time time_left = std::min(config_.write_timeout, kMaxRouteTimeout) + kStopMargin;
    serve_until_ = scheduler_.now() + time_left / 2;
    answer_until_ = scheduler_.now() + time_left;
    waiter_->signal();
}

// --- Connections ---

net::Task ClientConnections::accept_clients() {
    while (scheduler_.now() < accept_until_) {
        switch (accept_pending()) {
            case Accepted::kAll: co_await waiter_->wait(net::kRead, accept_until_); break;
            case Accepted::kShare:
                waiter_->signal();
                co_await waiter_->wait(0);
                break;
            // Retry after a delay or when a connection has closed, instead of spinning.
            case Accepted::kNoCapacity:
                co_await waiter_->wait(0, std::min(accept_until_, scheduler_.now() + kAcceptRetryDelay));
                break;
        }
    }
    // What still waits has been accepted by the system, and is answered: it is taken as soon as there is
    // room.
    const Time drained_by = accept_until_ + kAcceptAfterStop;
    for (auto accepted = accept_pending(); accepted != Accepted::kAll && scheduler_.now() < drained_by;
         accepted = accept_pending()) {
        if (accepted == Accepted::kShare) waiter_->signal();
        co_await waiter_->wait(0, std::min(drained_by, scheduler_.now() + kDrainRetryDelay));
    }
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

ClientConnections::Accepted ClientConnections::accept_pending() {
    for (int accepted = 0; accepted < kMaxAcceptsPerTurn; ++accepted) {
        if (connections_.size() >= config_.max_connections) {
            if (!net::is_readable(listener_.get())) {
                waiter_->used_up(net::kRead);
                return Accepted::kAll;
            }
            free_descriptors();
            return Accepted::kNoCapacity;
        }
        auto [fd, error] = net::accept_from(listener_);
        if (!fd) {
            if (error == EAGAIN) {
                evictions_wanted_ = 1;
                waiter_->used_up(net::kRead);
                return Accepted::kAll;
            }
            counters_.add(Count::kAcceptFailures);
            log_.event(Level::kWarning, "accept_failed", "accept failed: error " + std::to_string(error),
                       {{"error", std::to_string(error)}});
            // Only a descriptor of this process can be freed by closing another connection.
            if (error == EMFILE) free_descriptors();
            return Accepted::kNoCapacity;
        }
        try {
            add_connection(std::move(fd));
        } catch (const std::system_error&) {  // not accepted by epoll; nothing of it has been read
            counters_.add(Count::kAcceptFailures);
            return Accepted::kNoCapacity;
        }
    }
    return Accepted::kShare;
}

void ClientConnections::add_connection(net::Fd fd) {
    auto accepted = std::make_unique<Connection>(scheduler_, std::move(fd), budgets_, ++last_number_);
    counters_.add(Count::kClientsAccepted);
    auto& connection = *connections_.emplace_back(std::move(accepted));
    peak_connections_ = std::max(peak_connections_, connections_.size());
    update_memory(connection);
    begin_share(connection);
    connection.task = run_connection(connection);
    connection.task.start([this, at = &connection](std::exception_ptr failure) {
        if (failure) counters_.add(Count::kTasksThrew);
        remove(*at);
    });
}

void ClientConnections::remove(Connection& connection) {
    if (connection.ticket != 0) remember_name(connection, handler_.leave(connection.ticket));
    connection.ticket = 0;
    scheduler_.defer([this, at = &connection] {
        std::erase_if(connections_, [at](const auto& each) { return each.get() == at; });
        if (waiter_) waiter_->signal();
    });
}

// --- Budgets ---

void ClientConnections::evict(Connection& connection, Eviction reason) {
    const bool for_memory = reason == Eviction::kForMemory;
    connection.eviction = reason;
    connection.stream.waiter().signal();
    counters_.add(for_memory ? Count::kClientsEvictedForMemory : Count::kClientsEvicted);
    log_.event(Level::kInfo, "client_evicted",
               for_memory ? "a client's connection is closed: its memory is wanted"
                          : "a client's connection is closed: its descriptor is wanted",
               {{"client", std::to_string(connection.number)},
                {"bytes", std::to_string(connection.memory.bytes())},
                {"phase_ms", std::to_string((scheduler_.clock() - connection.phase_since) / 10)}});
}

// Keeps clients that open connections and send nothing, never complete a request, or never disconnect from
// using up all connections.
void ClientConnections::free_descriptors() {
    // Those that were evicted and are not gone yet count, or the next ones in order would go with them.
    const auto pending = static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& each) { return each->eviction != Eviction::kNone; }));
    for (std::size_t count = pending; count < evictions_wanted_; ++count) {
        auto* const connection = pick_for_descriptor(connections_, scheduler_.now(),
                                                     config_.first_request_time, config_.max_connections);
        if (connection == nullptr) return;
        evict(*connection, Eviction::kForDescriptor);
    }
    const auto most =
        std::max<std::size_t>(1, std::min(kMaxEvictionsPerTurn, config_.max_connections / kEvictionsDivisor));
    evictions_wanted_ = std::min(2 * evictions_wanted_, most);
}

std::size_t ClientConnections::memory_reserve(const MemoryBudget& budget) const {
    return std::min(budget.limit(), std::max(budget.limit() / kMemoryReserveDivisor, 2 * kMaxGrowthBytes));
}

void ClientConnections::free_memory(const MemoryBudget& budget, ChargeOfConnection charge) {
    const auto target = budget.limit() - memory_reserve(budget);
    const auto remaining = budget.used() - bytes_being_freed(connections_, charge);
    if (remaining <= target) return;
    for (auto* connection : pick_for_memory(connections_, scheduler_.now(), charge, remaining - target))
        evict(*connection, Eviction::kForMemory);
}

// Once a round: what was evicted in it is given back after it, and each look walks over all connections.
void ClientConnections::free_memory() {
    if (std::exchange(memory_freed_at_, scheduler_.now()) == scheduler_.now()) return;
    free_memory(budgets_.unfinished, &Connection::unfinished);
    free_memory(memory_, &Connection::memory);
}

void ClientConnections::update_memory(Connection& connection) {
    connection.update_charges();
    const auto is_short = [this](const MemoryBudget& budget) {
        return !budget.has_room(memory_reserve(budget) / 2);
    };
    if (is_short(memory_) || is_short(budgets_.unfinished)) free_memory();
}

bool ClientConnections::may_hold_more(const Connection& connection) const {
    if (connection.memory.bytes() <= Connection::kAssuredBytes) return true;
    return memory_.has_room(kMaxGrowthBytes) &&
           (connection.has_complete_request() || budgets_.unfinished.has_room(kMaxGrowthBytes));
}

bool ClientConnections::has_room_for_multiget(std::size_t bytes) const {
    return memory_.has_room(bytes > kOrdinaryMultigetBytes ? bytes + memory_reserve(memory_) : bytes);
}

void ClientConnections::begin_share(Connection& connection) {
    connection.share_ends = scheduler_.clock() + kShareOfWork;
}

bool ClientConnections::has_done_share(Connection& connection) {
    if (scheduler_.clock() < connection.share_ends) return false;
    counters_.add(Count::kClientsYielded);
    return true;
}

// --- Requests ---

net::Task ClientConnections::run_connection(Connection& connection) {
    auto& stream = connection.stream;
    auto& waiter = stream.waiter();
    for (bool open = true; open;) {
        const bool is_skipped = begin_request(connection);
        auto& request = *connection.request;
        Time arrived = 0;
        bool sent_continue = false;
        for (;;) {  // reads one request
            note_first_bytes(connection, arrived);
            stream.buffer().drop(request.feed(stream.buffer().held()));
            update_memory(connection);
            if (request.state() == State::kDone || request.state() == State::kBad) break;
            if (request.state() == State::kBody && request.expects_continue() && !sent_continue) {
                sent_continue = true;
                stream.write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            if (connection.eviction == Eviction::kForMemory && arrived != 0) break;
            if (has_done_share(connection)) {
                co_await waiter.yield();
                begin_share(connection);
            }
            // Read before a close: a request that crosses it is still served.
            const bool closes = connection.eviction != Eviction::kNone || connection.close_when_idle;
            const bool may_read = may_hold_more(connection);
            if (may_read && (waiter.may(net::kRead) || closes)) {
                const auto got = stream.read();
                if (got == net::Stream::Got::kBytes) continue;
                if (got != net::Stream::Got::kNothing) co_return;
            }
            if (arrived == 0 && closes) co_return;
            // Part of a request has been read: answer with an error.
            if (connection.eviction != Eviction::kNone) break;
            const bool idle = connection.phase == Phase::kIdle;
            const Time read_deadline = connection.phase_since + (idle ? kIdleTimeout : kRequestTimeout);
            if (scheduler_.now() >= read_deadline) {
                if (arrived == 0) co_return;
                break;
            }
            if (may_read) {
                co_await waiter.wait(net::kRead, read_deadline);
            } else {
                free_memory();
                co_await waiter.wait(0, std::min(read_deadline, scheduler_.now() + kMemoryRetryDelay));
            }
            begin_share(connection);
        }
        connection.phase = Phase::kBusy;
        update_memory(connection);
        const bool evicted = std::exchange(connection.eviction, Eviction::kNone) != Eviction::kNone;
        std::optional<Reply> reply;
        if (is_skipped && request.state() == State::kDone) {
            reply = too_far_ahead();
        } else if (evicted && request.state() != State::kDone) {
            reply = Reply{503, "", "no room\n", true};
        } else if (is_multiget(request)) {
            // A close may stand behind bytes that were not read yet.
            auto ahead = ReadAhead::kMore;
            while (ahead == ReadAhead::kMore) {
                ahead = read_ahead(connection);
                if (has_done_share(connection)) {
                    co_await waiter.yield();
                    begin_share(connection);
                }
            }
            if (ahead == ReadAhead::kGone || waiter.may(net::kClosed)) {
                counters_.add(Count::kRequestsOfGoneClients);
                co_return;
            }
            if (ahead == ReadAhead::kFull) reply = too_far_ahead();
        }
        if (!reply) reply = handle_request(connection, arrived);
        while (!reply && !connection.result) {
            if (waiter.may(net::kClosed)) co_return;
            const auto ahead = read_ahead(connection);
            if (ahead == ReadAhead::kGone) co_return;
            if (ahead == ReadAhead::kFull || connection.skipped_request) skip_ahead(connection);
            if (ahead == ReadAhead::kAll)
                co_await waiter.wait(net::kClosed | net::kRead);
            else if (has_done_share(connection))
                co_await waiter.yield();
            else
                continue;
            begin_share(connection);
        }
        if (!reply) reply = finish_multiget(connection);

        // After a malformed request the position in the stream is unknown: the client must reconnect.
        open = request.state() == State::kDone && request.keep_alive() && !reply->close_after &&
               scheduler_.now() < serve_until_;
        auto text = parse::http_response(reply->status, reply->headers, reply->body, !open);
        reply.reset();
        connection.request.reset();
        connection.phase = Phase::kWriting;
        connection.phase_since = scheduler_.clock();
        while (!text.empty()) {
            connection.output_bytes = text.capacity();
            update_memory(connection);
            const Time deadline = scheduler_.clock() + config_.write_timeout;
            for (std::size_t written = 0; written < text.size();) {
                written += stream.write(std::string_view(text).substr(written));
                if (stream.broken() || scheduler_.now() >= deadline) co_return;
                if (written == text.size()) break;
                if (connection.eviction != Eviction::kNone) co_return;
                co_await waiter.wait(net::kWrite, deadline);
                begin_share(connection);
            }
            if (has_done_share(connection)) {
                co_await waiter.yield();
                begin_share(connection);
            }
            text = open ? answer_skipped(connection) : std::string();
            open = open && !(connection.closes_after_skipped && connection.skipped_requests == 0);
        }
        connection.output_bytes = 0;
        connection.phase = Phase::kIdle;
        connection.phase_since = scheduler_.clock();
    }
    // Closing a connection with unread input resets it and may destroy the answer in transit.
    net::shutdown_write(stream.fd());
    connection.phase = Phase::kLeaving;
    connection.eviction = Eviction::kNone;
    update_memory(connection);
    const Time deadline = scheduler_.clock() + kSecond;
    for (std::size_t discarded = 0; discarded < kMaxTrailingBytes && connection.eviction == Eviction::kNone &&
                                    scheduler_.now() < deadline;) {
        if (waiter.may(net::kRead)) {
            const auto got = stream.read();
            discarded += stream.buffer().held().size();
            stream.buffer().drop(stream.buffer().held().size());
            if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken) co_return;
        }
        co_await waiter.wait(net::kRead, deadline);
    }
}

bool ClientConnections::begin_request(Connection& connection) {
    const bool is_skipped = connection.skipped_request != nullptr;
    connection.request = is_skipped ? std::move(connection.skipped_request)
                                    : std::make_unique<parse::HttpParser>(parse::HttpParser::Kind::kRequest);
    return is_skipped;
}

// The time of a pipelined request runs from its arrival, not from the end of the request before it. The time
// limit of the first request runs from the connection's start, however slowly it arrives.
void ClientConnections::note_first_bytes(Connection& connection, Time& arrived) {
    const bool has_begun = connection.request->started() || !connection.stream.buffer().empty();
    if (!has_begun || arrived != 0) return;
    const Time now = scheduler_.clock();
    const Time pipelined_at = std::exchange(connection.next_arrived_at, 0);
    arrived = pipelined_at != 0 ? pipelined_at : now;
    if (connection.phase != Phase::kIdle) return;
    connection.phase = Phase::kReading;
    connection.phase_since = now;
}

ClientConnections::ReadAhead ClientConnections::read_ahead(Connection& connection) {
    auto& stream = connection.stream;
    const auto note_arrival = [&] {
        if (!stream.buffer().empty() && connection.next_arrived_at == 0)
            connection.next_arrived_at = scheduler_.clock();
    };
    note_arrival();
    if (!stream.waiter().may(net::kRead)) return ReadAhead::kAll;
    if (stream.buffer().held().size() >= kMaxAheadBytes || !may_hold_more(connection))
        return ReadAhead::kFull;
    switch (stream.read()) {
        case net::Stream::Got::kBytes: break;
        case net::Stream::Got::kNothing: return ReadAhead::kAll;
        case net::Stream::Got::kEnd:
        case net::Stream::Got::kBroken: return ReadAhead::kGone;
    }
    note_arrival();
    update_memory(connection);
    return ReadAhead::kMore;
}

void ClientConnections::skip_ahead(Connection& connection) {
    auto& buffer = connection.stream.buffer();
    while (!buffer.empty() && !connection.closes_after_skipped) {
        auto& request = connection.skipped_request;
        if (!request) request = std::make_unique<parse::HttpParser>(parse::HttpParser::Kind::kRequest);
        buffer.drop(request->feed(buffer.held()));
        const bool is_bad = request->state() == State::kBad;
        if (!is_bad && request->state() != State::kDone) break;
        ++connection.skipped_requests;
        connection.closes_after_skipped = is_bad || !request->keep_alive();
        request.reset();
    }
    if (connection.closes_after_skipped) buffer.drop(buffer.held().size());
    connection.next_arrived_at = 0;
    update_memory(connection);
}

std::string ClientConnections::answer_skipped(Connection& connection) {
    std::string text;
    for (int count = 0; count < kSkippedAnswersPerWrite && connection.skipped_requests > 0; ++count) {
        const auto reply = too_far_ahead();
        const bool is_last = --connection.skipped_requests == 0;
        text += parse::http_response(reply.status, reply.headers, reply.body,
                                     is_last && connection.closes_after_skipped);
    }
    return text;
}

std::optional<ClientConnections::Reply> ClientConnections::handle_request(Connection& connection,
                                                                          Time arrived) {
    const auto& request = *connection.request;
    if (request.state() == State::kBad) return bad_request(request.fault(), request.why());
    if (request.state() != State::kDone) return bad_request(408, "the request did not come whole");
    const std::string_view path = std::string_view(request.target()).substr(0, request.target().find('?'));
    if (request.method() == "POST") return submit_multiget(connection, arrived);
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
                                                                           Time arrived) {
    auto parsed = parser_.parse(*connection.request, arrived, answer_until_);
    if (const auto* fault = std::get_if<RequestFault>(&parsed)) return bad_request(400, fault->text);
    auto& multiget = std::get<MultigetRequest>(parsed);
    if (names_.contains(scheduler_.now(), multiget.name)) {
        counters_.add(Count::kNamesRepeated);
        return bad_request(409, "a request of this X-Txn may have run");
    }
    const auto bytes = bytes_of(multiget);
    if (!has_room_for_multiget(bytes)) {
        counters_.add(Count::kRequestsWithoutMemory);
        free_memory();
        return Reply{503, "", "no memory for this request\n"};
    }
    multiget.tells_parts = true;
    connection.multiget_name = multiget.name;
    const auto [acceptance, ticket] =
        handler_.ask(std::move(multiget), [at = &connection](MultigetResult ending) {
            at->result = std::move(ending);
            at->stream.waiter().signal();
        });
    switch (acceptance) {
        case Acceptance::kTaken:
            connection.ticket = ticket;
            connection.multiget_bytes = bytes;
            update_memory(connection);
            return std::nullopt;
        case Acceptance::kNoRoom: return Reply{503, "", "no room\n"};
        case Acceptance::kNameInUse: break;
    }
    return bad_request(409, "a request of this X-Txn is under way");
}

ClientConnections::Reply ClientConnections::finish_multiget(Connection& connection) {
    const auto result = *std::exchange(connection.result, std::nullopt);
    remember_name(connection, result.parts);
    connection.ticket = 0;
    connection.multiget_bytes = 0;
    return make_reply(result);
}

void ClientConnections::remember_name(const Connection& connection, const store::PartOutcomes& parts) {
    const bool may_have_run = std::any_of(parts.begin(), parts.end(), [](const auto& part) {
        return part.second != store::PartOutcome::kNeverSent;
    });
    if (may_have_run) names_.add(scheduler_.now(), connection.multiget_name, connection.number);
}

ClientConnections::Reply ClientConnections::bad_request(int status, std::string reason) {
    counters_.add(Count::kBadRequests);
    log_.event(Level::kInfo, "bad_request", "bad request: " + reason);
    return {status, "Content-Type: text/plain\r\n", reason + '\n', true};
}

ClientConnections::Reply ClientConnections::too_far_ahead() {
    counters_.add(Count::kRequestsTooFarAhead);
    log_.event(Level::kInfo, "request_refused", "a client sent too much ahead of its answers");
    return {503, "", "too much was sent ahead of the answers\n"};
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
    append_line(out, "client_memory_bytes", memory_.used());
    append_line(out, "client_memory_bytes_most", memory_.most_used());
    append_line(out, "client_memory_bytes_limit", memory_.limit());
    append_line(out, "unfinished_memory_bytes", budgets_.unfinished.used());
    append_line(out, "unfinished_memory_bytes_most", budgets_.unfinished.most_used());
    append_line(out, "unfinished_memory_bytes_limit", budgets_.unfinished.limit());
    append_line(out, "names_remembered", names_.size());
    append_line(out, "names_forgotten_early", names_.forgotten_early());
    return out;
}

}  // namespace pinedoor::service
