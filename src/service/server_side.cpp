#include "service/server_side.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <system_error>

#include "parse/frame.hpp"

namespace pinedoor::service {
namespace {

constexpr std::size_t kMaxFrameBytes = 128 * 1024;  // a value may be as long as a whole answer's body
// A call of several parts is divided if its frame would be larger; the query stands in it once for each part.
constexpr std::size_t kMaxCallBytes = 128 * 1024;
constexpr std::size_t kPartOverheadBytes = 128;   // of a part's line in a frame, at most
constexpr std::size_t kMaxCancelledNames = 1024;  // names of cancelled parts, for each connection
constexpr Time kTicksPerMs = 10;
constexpr Time kStallDivisor =
    5;  // the rest of a frame must be written within this fraction of the connect timeout
constexpr std::size_t kSpareDivisor =
    8;  // this fraction of all connections is kept free while others are idle
constexpr double kMaxReportedValue = 1e9;

std::uint64_t hash_of(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

}  // namespace

ServerConnections::ServerConnections(net::Scheduler& scheduler, Dispatcher& dispatcher, Counters& counters,
                                     Log& log, MemoryBudget& memory, std::vector<std::string> report_fields,
                                     int parts_per_call, int streams_per_connection, Time connect_timeout,
                                     Time idle_timeout, std::size_t max_connections, std::size_t max_idle)
    : scheduler_(scheduler), dispatcher_(dispatcher), counters_(counters), log_(log), memory_(memory),
      report_fields_(std::move(report_fields)), parts_per_call_(static_cast<std::size_t>(parts_per_call)),
      streams_(static_cast<std::size_t>(streams_per_connection)), connect_timeout_(connect_timeout),
      // Servers close connections that are idle for the configured time, and a frame written at that moment
      // ends in a reset. Close them earlier here.
      idle_timeout_(idle_timeout * 3 / 4), max_connections_(max_connections), max_idle_(max_idle),
      waiter_(scheduler) {}

void ServerConnections::start() {
    task_ = run_checks();
    task_.start([this](std::exception_ptr failure) {
        scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

void ServerConnections::update_server(ServerId id, net::Endpoint endpoint, ServerState state, Time started) {
    auto& server = servers_[id];
    server.id = id;
    const bool moved = server.endpoint != endpoint;
    const bool restarted = started > server.started;
    server.endpoint = endpoint;
    server.state = state;
    server.started = started;
    // Queued sends were chosen for a server that was ready and for its warm-up state at that time.
    if (moved || restarted || state != ServerState::kReady) drop_queued(server);
    for (auto& connection : server.connections) {
        connection->retired = connection->retired || moved;
        // A connection older than its server's process cannot be alive, even if no reset ever arrives.
        if (std::max(connection->opened_at, connection->last_frame_at) < started)
            close(*connection, Count::kClosedRestarted);
        connection->stream.waiter().signal();
    }
    if (state == ServerState::kGone) scheduler_.defer([this, id] { forget_if_removed(id); });
}

void ServerConnections::forget_if_removed(ServerId id) {
    const auto at = servers_.find(id);
    if (at == servers_.end()) return;
    const auto& server = at->second;
    if (server.state != ServerState::kGone || !server.connections.empty() || !server.turn_sends.empty())
        return;
    servers_.erase(at);
    dispatcher_.forget_server(id);
}

void ServerConnections::drop_queued(Server& server) {
    for (auto& connection : server.connections) {
        for (const auto& call : std::exchange(connection->queued, {})) {
            for (const auto& key : call) finish_send(key, Outcome::kNeverSent);
        }
    }
}

// While a send is queued for a connection, the client may leave, the deadline may pass or the server may
// begin to drain.
bool ServerConnections::may_write(const ActiveSend& sent, const Server& server) const {
    return server.state == ServerState::kReady && scheduler_.clock() < sent.send.deadline &&
           dispatcher_.needs_value(sent.send.part);
}

void ServerConnections::send(PartSend call) {
    const auto at = servers_.find(call.server);
    if (at == servers_.end()) return dispatcher_.finish_send(call, Outcome::kNeverSent);
    auto& server = at->second;
    if (server.turn_sends.empty()) servers_with_sends_.push_back(call.server);
    server.turn_sends.push_back(std::move(call));
}

void ServerConnections::flush() {
    for (const auto& id : std::exchange(servers_with_sends_, {})) {
        auto& server = servers_.at(id);
        auto calls = std::exchange(server.turn_sends, {});
        std::vector<PartSend> call;
        std::size_t call_bytes = 0;
        for (auto& send : calls) {
            const auto bytes = send.query->size() + kPartOverheadBytes;
            const bool is_full =
                call.size() >= parts_per_call_ || (!call.empty() && call_bytes + bytes > kMaxCallBytes);
            if (is_full) {
                assign(server, std::exchange(call, {}));
                call_bytes = 0;
            }
            call_bytes += bytes;
            call.push_back(std::move(send));
        }
        if (!call.empty()) assign(server, std::move(call));
    }
}

void ServerConnections::assign(Server& server, std::vector<PartSend> calls) {
    const auto [connection, otherwise] = choose_connection(server, calls.size());
    std::vector<SendKey> keys;
    for (auto& call : calls) {
        const SendKey key{call.part, call.send_number};
        auto& sent = active_sends_[key];
        sent.wire_name = call.multiget_name + '.' + std::to_string(call.shard);
        sent.send = std::move(call);
        sent.connection = connection;
        sent.check_at = net::kNever;
        keys.push_back(key);
    }
    if (connection == nullptr) {
        for (const auto& key : keys) finish_send(key, otherwise);
        return;
    }
    for (const auto& key : keys) {
        auto& sent = active_sends_.at(key);
        set_check_time(key, sent, std::min(sent.send.deadline, sent.send.sent_at + connect_timeout_));
    }
    connection->open_sends += keys.size();
    update_idle(*connection);
    connection->queued.push_back(std::move(keys));
    if (connection->connected && !scheduler_.is_held_up()) write_frames(*connection);
    connection->stream.waiter().signal();
}

// Picks the open connection with the most sends that has free slots, so that others become idle. A suspected
// connection takes no new sends: a machine that vanished without closing its connections would swallow part
// after part. A new connection is opened only if none has a free slot.
ServerConnections::Choice ServerConnections::choose_connection(Server& server, std::size_t parts) {
    if (server.state != ServerState::kReady) return {nullptr, Outcome::kNeverSent};
    Connection* best = nullptr;
    Connection* least = nullptr;
    const Time now = scheduler_.now();
    for (auto& connection : server.connections) {
        // A connection that has owed an answer for this long without sending any is silent, however short its
        // sends were outstanding.
        if (connection->unanswered_since != net::kNever &&
            now - connection->unanswered_since >= connect_timeout_) {
            connection->suspected = true;
            connection->stream.waiter().signal();
        }
        if (connection->closing || connection->suspected || connection->retired) continue;
        if (!connection->connected && now - connection->opened_at >= connect_timeout_) continue;
        if (!connection->busy() && now - connection->last_used >= idle_timeout_) continue;
        // Input on an idle connection is most likely its end; what is written now would be lost.
        if (connection->connected && !connection->busy() && net::is_readable(connection->stream.fd().get())) {
            connection->stream.waiter().signal();
            continue;
        }
        if (least == nullptr || connection->load() < least->load()) least = connection.get();
        if (connection->load() + parts > streams_ && connection->load() > 0) continue;
        const auto rank = [](const Connection& c) { return std::pair{c.connected, c.load()}; };
        if (best == nullptr || rank(*connection) > rank(*best)) best = connection.get();
    }
    if (best != nullptr && best->connected) counters_.add(Count::kReused);
    if (best != nullptr) return {best, Outcome::kNeverSent};
    if (connection_count_ >= max_connections_) close_longest_idle();  // makes room for a later connection
    const bool may = connection_count_ < max_connections_ && (!may_connect_ || may_connect_(server.endpoint));
    const auto opened = may ? open_connection(server) : Choice{nullptr, Outcome::kNeverSent};
    // If this node cannot open another connection, that says nothing about the server: use the least loaded
    // existing connection.
    const bool no_local_capacity =
        opened.connection == nullptr && opened.outcome_if_none == Outcome::kNeverSent;
    return no_local_capacity ? Choice{least, Outcome::kNeverSent} : opened;
}

ServerConnections::Choice ServerConnections::open_connection(Server& server) {
    auto [fd, error] = net::connect_to(server.endpoint);
    std::unique_ptr<Connection> opened;
    try {
        if (fd) opened = std::make_unique<Connection>(scheduler_, std::move(fd), server, memory_);
    } catch (const std::system_error& failure) {  // not accepted by epoll
        error = failure.code().value();
    }
    if (!opened) {
        counters_.add(Count::kConnectFailed);
        return {nullptr, net::is_local_failure(error) ? Outcome::kNeverSent : Outcome::kNoConnection};
    }
    counters_.add(Count::kOpened);
    peak_connections_ = std::max(peak_connections_, ++connection_count_);
    auto& connection = *server.connections.emplace_back(std::move(opened));
    connection.task = run_connection(connection);
    connection.task.start([this, at = &connection](std::exception_ptr failure) {
        if (failure) counters_.add(Count::kTasksThrew);
        finish_connection(*at);
    });
    return {&connection, Outcome::kNeverSent};
}

net::Task ServerConnections::run_connection(Connection& connection) {
    auto& stream = connection.stream;
    auto& waiter = stream.waiter();
    while (!connection.connected && !connection.closing) {
        // The sends queued for it may have been withdrawn: then the connection attempt is given up after the
        // connect timeout.
        const Time give_up_at = connection.opened_at + connect_timeout_;
        if (connection.open_sends == 0 && scheduler_.now() >= give_up_at) {
            close(connection, Count::kConnectFailed);
            break;
        }
        co_await waiter.wait(net::kWrite, connection.open_sends == 0 ? give_up_at : net::kNever);
        if (!waiter.may(net::kWrite) || connection.closing) continue;
        const int error = net::socket_error(stream.fd());
        connection.unusable = net::is_local_failure(error);
        if (error != 0) close(connection, Count::kConnectFailed);
        connection.connected = !connection.closing;
    }
    connection.last_used = scheduler_.clock();
    update_idle(connection);
    auto got = net::Stream::Got::kNothing;
    const auto is_closed = [&] { return got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken; };
    while (!connection.closing) {
        if (waiter.may(net::kRead)) got = read_frames(connection);
        if (is_closed() || connection.closing) break;
        // The clients of queued sends may have left while the process was held up.
        if (!connection.queued.empty() && scheduler_.is_held_up()) co_await waiter.next_round();
        if (connection.closing) break;
        write_frames(connection);
        update_idle(connection);
        if (stream.broken()) {  // input that arrived before the failure is still used
            do got = read_frames(connection);
            while (got == net::Stream::Got::kBytes && !connection.closing);
            break;
        }
        if (connection.closing) break;
        const bool writing = connection.bytes_written < connection.frame.size();
        const Time idle_at = connection.busy() ? net::kNever : connection.last_used + idle_timeout_;
        if (scheduler_.now() >= idle_at) close(connection, Count::kClosedIdle);
        // Nothing is outstanding and nothing has been read since the last send timed out.
        if (connection.suspected && !connection.busy()) close(connection, Count::kClosedDoubted);
        const bool is_obsolete = connection.retired || connection.server.state == ServerState::kGone;
        if (is_obsolete && !connection.busy()) close(connection, Count::kClosedIdle);
        // A frame that is begun and never completed would hide all later answers.
        const Time frame_deadline = connection.partial_frame_since == net::kNever
                                        ? net::kNever
                                        : connection.partial_frame_since + connect_timeout_;
        if (scheduler_.now() >= frame_deadline) handle_bad_frame(connection, {});
        const Time stalled = stall_time(connection);
        if (!connection.closing && scheduler_.now() >= stalled) {
            connection.unusable = true;
            close(connection, Count::kClosedStalled);
        }
        if (connection.closing) break;
        const Time next_check = std::min({idle_at, frame_deadline, stalled});
        co_await waiter.wait(net::kRead | (writing ? net::kWrite : 0U), next_check);
    }
    // A dying process has its connections reset. A server that closes in order, or in the middle of an
    // answer, is alive, although the outstanding sends are lost: otherwise each close that crosses a call
    // would make a server count as cold.
    if (!connection.closing &&
        (got == net::Stream::Got::kEnd || connection.partial_frame_since != net::kNever)) {
        make_unusable(connection, {});
    }
}

net::Stream::Got ServerConnections::read_frames(Connection& connection) {
    const auto growth = connection.stream.buffer().growth();
    if (growth > 0 && !memory_.has_room(growth)) {
        free_memory(growth);  // which is free in the next round
        return net::Stream::Got::kNothing;
    }
    const auto got = connection.stream.read();
    if (got != net::Stream::Got::kBytes) return got;
    connection.last_used = scheduler_.clock();
    update_memory(connection);
    auto& buffer = connection.stream.buffer();
    for (;;) {
        const auto frame = parse::scan_frame(buffer.held(), kMaxFrameBytes);
        if (frame.state == parse::FrameScan::State::kMore) {
            if (buffer.empty()) connection.partial_frame_since = net::kNever;
            if (!buffer.empty() && connection.partial_frame_since == net::kNever)
                connection.partial_frame_since = connection.last_used;
            update_memory(connection);
            return got;
        }
        const bool is_valid = frame.state == parse::FrameScan::State::kFrame && frame.letter == 'R' &&
                              handle_result(connection, frame.rest);
        if (!is_valid) {
            handle_bad_frame(connection, frame.rest);
            return got;
        }
        // Only complete, valid frames show that the server is alive: other bytes must not keep a connection
        // in use.
        connection.last_frame_at = connection.last_used;
        connection.unanswered_since = connection.open_sends > 0 ? connection.last_frame_at : net::kNever;
        connection.suspected = false;
        connection.partial_frame_since = net::kNever;
        buffer.drop(frame.size);
    }
}

void ServerConnections::handle_bad_frame(Connection& connection, std::string_view rest) {
    counters_.add(Count::kBadFrames);
    log_.event(Level::kWarning, "bad_frame", "bad frame from " + net::to_text(connection.server.endpoint),
               {{"server", net::to_text(connection.server.endpoint)}});
    close(connection, Count::kClosedBadFrame);
    make_unusable(connection, rest);
}

// Makes the connection unusable although its server is alive. One send is reported as reset: the one that is
// named in `rest`, else the one that has been outstanding longest. The other outstanding sends are reported
// as cancelled, which says nothing about the server. This keeps a server from being blamed for every send on
// a connection on which one answer was malformed or that was closed during a call.
void ServerConnections::make_unusable(Connection& connection, std::string_view rest) {
    connection.unusable = true;
    const auto named = connection.awaiting_answer.find(std::string(rest.substr(0, rest.find(' '))));
    const auto rank = [this](const auto& one) {
        const auto& sent = active_sends_.at(one.second);
        return std::pair{sent.stage != Stage::kSent, sent.written_at};
    };
    const auto oldest = std::min_element(connection.awaiting_answer.begin(), connection.awaiting_answer.end(),
                                         [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    const auto which = named != connection.awaiting_answer.end() ? named : oldest;
    if (which == connection.awaiting_answer.end() || active_sends_.at(which->second).stage != Stage::kSent)
        return;
    finish_send(which->second, Outcome::kReset);
}

bool ServerConnections::handle_result(Connection& connection, std::string_view rest) {
    const auto result = parse::parse_result(rest);
    if (!result) return false;
    const auto at = connection.awaiting_answer.find(std::string(result->id));
    if (at == connection.awaiting_answer.end()) {
        // A duplicate right after a valid answer does no harm.
        if (std::exchange(connection.last_answered, {}) == result->id) {
            counters_.add(Count::kLateResults);
            return true;
        }
        auto& cancelled = connection.cancelled_names;
        const auto cancelled_name = std::find(cancelled.begin(), cancelled.end(), hash_of(result->id));
        if (cancelled_name == cancelled.end()) return false;
        cancelled.erase(cancelled_name);
        counters_.add(Count::kLateResults);
        return true;
    }
    const auto key = at->second;
    if (active_sends_.at(key).stage != Stage::kSent) return false;  // answered before the request was written
    if (result->end == parse::ResultStatus::kMoved) {
        std::uint64_t epoch = 0;
        const auto* last = result->value.data() + result->value.size();
        const auto [end, error] = std::from_chars(result->value.data(), last, epoch);
        if (!dispatcher_.has_routing() || error != std::errc{} || end != last) return false;
        connection.last_answered = result->id;
        if (const auto call = remove_send(key))
            dispatcher_.finish_moved_send(*call, epoch, parse_report(result->report));
        return true;
    }
    connection.last_answered = result->id;
    const auto outcome = outcome_of(key, *result);
    finish_send(key, outcome, parse_report(result->report), std::string(result->value));
    return true;
}

Outcome ServerConnections::outcome_of(const SendKey& key, const parse::Result& result) {
    if (result.end == parse::ResultStatus::kFull) return Outcome::kFull;
    if (result.end != parse::ResultStatus::kDone) return Outcome::kError;
    if (dispatcher_.has_room_for_value(key.first, result.value.size())) return Outcome::kReturned;
    counters_.add(Count::kValuesRefused);
    log_.event(Level::kWarning, "value_refused", "a value is too large for its answer, or for the memory",
               {{"bytes", std::to_string(result.value.size())}});
    return Outcome::kError;
}

std::vector<double> ServerConnections::parse_report(std::string_view report) const {
    std::vector<double> values(report_fields_.size());
    std::size_t found = 0;
    while (!report.empty()) {
        const auto field = report.substr(0, report.find(','));
        report.remove_prefix(std::min(field.size() + 1, report.size()));
        const auto split = std::min(field.find('='), field.size() - 1);
        const auto name = std::find(report_fields_.begin(), report_fields_.end(), field.substr(0, split));
        if (name == report_fields_.end()) continue;
        auto& value = values[static_cast<std::size_t>(name - report_fields_.begin())];
        const auto* last = field.data() + field.size();
        const auto [end, error] = std::from_chars(field.data() + split + 1, last, value);
        if (error != std::errc{} || end != last || !(value >= 0 && value <= kMaxReportedValue)) return {};
        ++found;
    }
    return found == values.size() ? values : std::vector<double>{};
}

void ServerConnections::write_frames(Connection& connection) {
    for (;;) {
        if (connection.bytes_written == connection.frame.size()) {
            prepare_frame(connection);
            if (connection.frame.empty()) return;
            connection.frame_started = scheduler_.clock();
        }
        const auto rest = std::string_view(connection.frame).substr(connection.bytes_written);
        connection.bytes_written += connection.stream.write(rest);
        connection.last_used = scheduler_.clock();
        if (connection.bytes_written < connection.frame.size()) {
            if (connection.stream.broken()) connection.stream.waiter().signal();
            return;
        }
        on_frame_written(connection);
    }
}

// Cancel frames go before new calls: a part may be sent again on the connection on which it was cancelled.
void ServerConnections::prepare_frame(Connection& connection) {
    connection.bytes_written = 0;
    connection.frame = std::exchange(connection.cancel_frames, {});
    if (!connection.frame.empty()) return;
    while (connection.writing.empty() && can_write_next_call(connection)) {
        const auto call = std::move(connection.queued.front());
        connection.queued.pop_front();
        for (const auto& key : call) {
            if (may_write(active_sends_.at(key), connection.server))
                connection.writing.push_back(key);
            else
                finish_send(key, Outcome::kNeverSent);
        }
    }
    if (connection.writing.empty()) return;
    connection.frame = parse::begin_frame('S');
    const Time now = scheduler_.clock();
    for (const auto& key : connection.writing) {
        auto& sent = active_sends_.at(key);
        sent.stage = Stage::kWriting;
        connection.awaiting_answer[sent.wire_name] = key;
        const auto time_left_ms = std::max<Time>(1, (sent.send.deadline - now) / kTicksPerMs);
        parse::append_part(connection.frame, sent.wire_name, sent.send.shard, time_left_ms, *sent.send.query);
    }
    parse::end_frame(connection.frame);
    update_memory(connection);
}

// A server leaves sends beyond the configured number of streams unread, and these could not be withdrawn.
bool ServerConnections::can_write_next_call(const Connection& connection) const {
    if (connection.queued.empty()) return false;
    return connection.awaiting_answer.empty() ||
           connection.awaiting_answer.size() + connection.queued.front().size() <= streams_;
}

// A frame that is not written completely has not run and can still be withdrawn by closing its connection.
// Without this limit a server might read on after the client has left, and after the remaining time in the
// frame has become wrong.
Time ServerConnections::stall_time(const Connection& connection) const {
    if (connection.writing.empty()) return net::kNever;
    return connection.frame_started + connect_timeout_ / kStallDivisor;
}

void ServerConnections::on_frame_written(Connection& connection) {
    std::string().swap(connection.frame);  // frees its memory
    connection.bytes_written = 0;
    update_memory(connection);
    connection.frame_started = net::kNever;
    if (connection.writing.empty()) return;
    counters_.add(Count::kCalls);
    const Time now = scheduler_.clock();
    for (const auto& key : std::exchange(connection.writing, {})) {
        const auto at = active_sends_.find(key);
        if (at == active_sends_.end()) continue;  // cancelled while it was being written
        at->second.stage = Stage::kSent;
        at->second.written_at = now;
        if (connection.unanswered_since == net::kNever) connection.unanswered_since = now;
        set_check_time(key, at->second, at->second.send.deadline);
    }
}

void ServerConnections::cancel(Id part, int send) {
    const SendKey key{part, send};
    const auto at = active_sends_.find(key);
    if (at == active_sends_.end()) {  // queued in the current turn
        for (const auto& id : servers_with_sends_) {
            auto& gathered = servers_.at(id).turn_sends;
            const auto which = std::find_if(gathered.begin(), gathered.end(), [&](const auto& call) {
                return call.part == part && call.send_number == send;
            });
            if (which == gathered.end()) continue;
            const auto call = std::move(*which);
            gathered.erase(which);
            return dispatcher_.finish_send(call, Outcome::kNeverSent);
        }
        return;
    }
    auto& sent = at->second;
    if (sent.stage == Stage::kQueued) {
        remove_queued(*sent.connection, key);
        return finish_send(key, Outcome::kNeverSent);
    }
    cancel_written(sent);
    finish_send(key, Outcome::kCancelled);
}

// A send that is not active yet is one of the current turn. may_write() keeps a send of a multiget that has
// ended from being written.
bool ServerConnections::is_unwritten(Id part, int send) const {
    const auto at = active_sends_.find({part, send});
    return at == active_sends_.end() || at->second.stage == Stage::kQueued;
}

void ServerConnections::remove_queued(Connection& connection, const SendKey& key) {
    for (auto at = connection.queued.begin(); at != connection.queued.end(); ++at) {
        if (std::erase(*at, key) == 0) continue;
        if (at->empty()) connection.queued.erase(at);
        return;
    }
}

void ServerConnections::cancel_written(ActiveSend& sent) {
    auto& connection = *sent.connection;
    // The send was outstanding for at least the connect timeout and the connection has been silent since. The
    // next part goes to a new connection, which tells a dead machine from a slow one.
    const bool silent = sent.stage == Stage::kWriting || connection.last_frame_at < sent.written_at;
    if (silent && scheduler_.now() - sent.send.sent_at >= connect_timeout_) connection.suspected = true;
    auto frame = parse::begin_frame('C');
    frame += sent.wire_name;
    parse::end_frame(frame);
    connection.cancel_frames += frame;
    connection.cancelled_names.push_back(hash_of(sent.wire_name));
    if (connection.cancelled_names.size() > kMaxCancelledNames) connection.cancelled_names.pop_front();
    connection.stream.waiter().signal();
}

void ServerConnections::finish_send(SendKey key, Outcome outcome, std::vector<double> load,
                                    std::string value) {
    if (const auto call = remove_send(key))
        dispatcher_.finish_send(*call, outcome, std::move(load), std::move(value));
}

std::optional<PartSend> ServerConnections::remove_send(const SendKey& key) {
    const auto at = active_sends_.find(key);
    if (!check_invariant(at != active_sends_.end(), counters_)) return std::nullopt;
    auto& sent = at->second;
    if (auto* connection = sent.connection; connection != nullptr) {
        --connection->open_sends;
        const auto named = connection->awaiting_answer.find(sent.wire_name);
        if (named != connection->awaiting_answer.end() && named->second == key)
            connection->awaiting_answer.erase(named);
        if (!connection->busy() || !connection->queued.empty()) connection->stream.waiter().signal();
        update_idle(*connection);
    }
    set_check_time(key, sent, net::kNever);
    auto call = std::move(sent.send);
    active_sends_.erase(at);
    return call;
}

void ServerConnections::set_check_time(const SendKey& key, ActiveSend& sent, Time check_at) {
    if (sent.check_at != net::kNever) check_times_.erase({sent.check_at, key});
    sent.check_at = check_at;
    if (check_at == net::kNever) return;
    const bool first = check_times_.empty() || check_at < check_times_.begin()->first;
    check_times_.emplace(check_at, key);
    if (first) waiter_.signal();
}

net::Task ServerConnections::run_checks() {
    for (;;) {
        const Time now = scheduler_.now();
        while (!check_times_.empty() && check_times_.begin()->first <= now)
            check_send(check_times_.begin()->second, now);
        co_await waiter_.wait(0, check_times_.empty() ? net::kNever : check_times_.begin()->first);
    }
}

void ServerConnections::check_send(const SendKey& due_key, Time now) {
    const auto key = due_key;
    auto& sent = active_sends_.at(key);
    auto& connection = *sent.connection;
    const bool is_expired = now >= sent.send.deadline;
    switch (sent.stage) {
        case Stage::kQueued: {
            // No connection was established in time, or the connection does not accept more bytes.
            remove_queued(connection, key);
            const bool waited = now - sent.send.sent_at >= connect_timeout_;
            finish_send(key, waited ? Outcome::kNoConnection : Outcome::kNeverSent);
            if (!connection.connected && connection.open_sends == 0) close(connection, Count::kConnectFailed);
            return;
        }
        case Stage::kWriting:
            if (!is_expired) return set_check_time(key, sent, sent.send.deadline);
            [[fallthrough]];
        case Stage::kSent: cancel_written(sent); return finish_send(key, Outcome::kTimedOut);
    }
}

// To be called whenever the connection's open sends or unwritten bytes change.
void ServerConnections::update_idle(Connection& connection) {
    const bool is_idle = connection.connected && !connection.busy() && !connection.closing;
    if (is_idle == (connection.idle_since != net::kNever)) return;
    if (!is_idle) {
        idle_connections_.erase({std::exchange(connection.idle_since, net::kNever), &connection});
        return;
    }
    connection.idle_since = scheduler_.clock();
    idle_connections_.emplace(connection.idle_since, &connection);
    const auto spare = std::max<std::size_t>(1, max_connections_ / kSpareDivisor);
    const bool is_scarce = connection_count_ - closing_count_ + spare > max_connections_;
    if (is_scarce || idle_connections_.size() > max_idle_) close_longest_idle();
}

void ServerConnections::update_memory(Connection& connection) {
    connection.memory.set(connection.held_bytes());
    if (!memory_.has_room(0)) free_memory(0);
}

void ServerConnections::free_memory(std::size_t wanted) {
    std::vector<Connection*> open;
    std::size_t remaining = 0;
    for (auto& [id, server] : servers_) {
        for (auto& connection : server.connections) {
            if (connection->closing) continue;
            open.push_back(connection.get());
            remaining += connection->memory.bytes();
        }
    }
    std::sort(open.begin(), open.end(),
              [](const auto* a, const auto* b) { return a->memory.bytes() > b->memory.bytes(); });
    for (auto* largest : open) {
        if (remaining + wanted <= memory_.limit()) return;
        remaining -= largest->memory.bytes();
        log_.event(Level::kWarning, "connection_over_memory",
                   "a connection to an index server holds too much",
                   {{"server", net::to_text(largest->server.endpoint)},
                    {"bytes", std::to_string(largest->memory.bytes())}});
        largest->unusable = true;
        close(*largest, Count::kClosedForMemory);
    }
}

// With many servers, idle connections to rarely used ones could take up the whole limit, and sends to other
// servers would be rejected for want of a connection.
void ServerConnections::close_longest_idle() {
    if (!idle_connections_.empty()) close(*idle_connections_.begin()->second, Count::kClosedIdle);
}

void ServerConnections::close(Connection& connection, Count reason) {
    if (connection.closing) return;
    connection.closing = true;
    ++closing_count_;
    connection.close_reason = reason;
    update_idle(connection);
    connection.stream.waiter().signal();
}

// Reports the outcomes of all sends on a closed connection: those whose frame was not written completely have
// never run, the others may have.
void ServerConnections::finish_connection(Connection& connection) {
    close(connection, connection.close_reason);
    counters_.add(connection.close_reason);
    if (log_.is_enabled(Level::kDebug)) {
        log_.event(Level::kDebug, "connection_closed", "connection to an index server closed",
                   {{"server", std::to_string(connection.server.id.address)},
                    {"reason", std::string(name_of(connection.close_reason))},
                    {"attempts", std::to_string(connection.open_sends)}});
    }
    const auto unwritten = connection.unusable ? Outcome::kNeverSent : Outcome::kNoConnection;
    for (const auto& call : std::exchange(connection.queued, {})) {
        for (const auto& key : call) finish_send(key, unwritten);
    }
    for (const auto& key : std::exchange(connection.writing, {})) {
        if (active_sends_.contains(key)) finish_send(key, unwritten);
    }
    const auto written = connection.unusable ? Outcome::kCancelled : Outcome::kReset;
    while (!connection.awaiting_answer.empty())
        finish_send(connection.awaiting_answer.begin()->second, written);
    check_invariant(connection.open_sends == 0, counters_);
    scheduler_.defer([this, at = &connection] {
        const auto id = at->server.id;
        std::erase_if(at->server.connections, [at](const auto& each) { return each.get() == at; });
        --connection_count_;
        --closing_count_;
        forget_if_removed(id);
    });
}

std::string ServerConnections::print_gauges() const {
    std::string out;
    append_line(out, "servers_known", servers_.size());
    append_line(out, "connections_open", connection_count_);
    append_line(out, "connections_open_most_at_once", peak_connections_);
    append_line(out, "server_memory_bytes", memory_.used());
    append_line(out, "server_memory_bytes_most", memory_.most_used());
    append_line(out, "server_memory_bytes_limit", memory_.limit());
    return out;
}

}  // namespace pinedoor::service
