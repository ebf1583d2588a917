#include "service/server_side.hpp"

#include <algorithm>
#include <charconv>
#include <system_error>

#include "parse/frame.hpp"

namespace pinedoor::service {
namespace {

constexpr std::size_t kLargestFrame = 128 * 1024;  // a value may be as long as a whole answer's body
constexpr std::size_t kEndedKept = 1024;           // names of cancelled parts, for each connection
constexpr Time kTicksPerMs = 10;
constexpr Time kStallShare =
    5;  // the rest of a frame must be written within this fraction of the connect timeout
constexpr std::size_t kSpareShare = 8;  // this fraction of all connections is kept free while others are idle
constexpr double kMostReported = 1e9;

}  // namespace

ServerSide::ServerSide(net::Scheduler& scheduler, Exchange& exchange, Counters& counters, Log& log,
                       std::vector<std::string> report_fields, int parts_per_call, int streams,
                       Time connect_timeout, Time connection_idle, std::size_t most_connections,
                       std::size_t most_idle)
    : scheduler_(scheduler), exchange_(exchange), counters_(counters), log_(log),
      report_fields_(std::move(report_fields)), parts_per_call_(static_cast<std::size_t>(parts_per_call)),
      streams_(static_cast<std::size_t>(streams)), connect_timeout_(connect_timeout),
      // Servers close connections that are idle for the configured time, and a frame written at that moment
      // ends in a reset. Close them earlier here.
      idle_(connection_idle * 3 / 4), most_connections_(most_connections), most_idle_(most_idle),
      waiter_(scheduler) {}

void ServerSide::start() {
    task_ = expire();
    task_.start([this](std::exception_ptr failure) {
        scheduler_.defer([failure] { std::rethrow_exception(failure); });
    });
}

void ServerSide::learn(ServerId id, net::Endpoint at, ServerState state, Time started) {
    auto& server = servers_[id];
    server.id = id;
    const bool moved = server.at != at;
    const bool restarted = started > server.started;
    server.at = at;
    server.state = state;
    server.started = started;
    // Queued sends were chosen for a server that was ready and for its warm-up state at that time.
    if (moved || restarted || state != ServerState::kReady) drop_unwritten(server);
    for (auto& connection : server.connections) {
        connection->retired = connection->retired || moved;
        // A connection older than its server's process cannot be alive, even if no reset ever arrives.
        if (std::max(connection->opened, connection->read) < started)
            close(*connection, Count::kClosedRestarted);
        connection->stream.waiter().signal();
    }
    if (state == ServerState::kGone) scheduler_.defer([this, id] { forget_if_gone(id); });
}

void ServerSide::forget_if_gone(ServerId id) {
    const auto at = servers_.find(id);
    if (at == servers_.end()) return;
    const auto& server = at->second;
    if (server.state != ServerState::kGone || !server.connections.empty() || !server.gathered.empty()) return;
    servers_.erase(at);
    exchange_.forget(id);
}

void ServerSide::drop_unwritten(Server& server) {
    for (auto& connection : server.connections) {
        for (const auto& call : std::exchange(connection->waiting, {})) {
            for (const auto& key : call) end_send(key, Outcome::kNeverSent);
        }
    }
}

// While a send is queued for a connection, the client may leave, the deadline may pass or the server may
// begin to drain.
bool ServerSide::may_be_written(const Sent& sent, const Server& server) const {
    return server.state == ServerState::kReady && scheduler_.now() < sent.call.until &&
           exchange_.wants(sent.call.part);
}

void ServerSide::call(PartCall call) {
    const auto at = servers_.find(call.server);
    if (at == servers_.end()) return exchange_.over(call, Outcome::kNeverSent);
    auto& server = at->second;
    if (server.gathered.empty()) gathered_.push_back(call.server);
    server.gathered.push_back(std::move(call));
}

void ServerSide::flush() {
    for (const auto& id : std::exchange(gathered_, {})) {
        auto& server = servers_.at(id);
        auto calls = std::exchange(server.gathered, {});
        for (std::size_t from = 0; from < calls.size(); from += parts_per_call_) {
            const auto until = std::min(calls.size(), from + parts_per_call_);
            assign(server, {calls.begin() + static_cast<std::ptrdiff_t>(from),
                            calls.begin() + static_cast<std::ptrdiff_t>(until)});
        }
    }
}

void ServerSide::assign(Server& server, std::vector<PartCall> calls) {
    const auto [connection, otherwise] = choose(server, calls.size());
    std::vector<SendKey> keys;
    for (auto& call : calls) {
        const SendKey key{call.part, call.send};
        auto& sent = sent_[key];
        sent.name = call.name + '.' + std::to_string(call.shard);
        sent.call = std::move(call);
        sent.on = connection;
        sent.due = net::kNever;
        keys.push_back(key);
    }
    if (connection == nullptr) {
        for (const auto& key : keys) end_send(key, otherwise);
        return;
    }
    for (const auto& key : keys) {
        auto& sent = sent_.at(key);
        set_due(key, sent, std::min(sent.call.until, sent.call.sent + connect_timeout_));
    }
    connection->sends += keys.size();
    note_idle(*connection);
    connection->waiting.push_back(std::move(keys));
    if (connection->up) write_frames(*connection);
    connection->stream.waiter().signal();
}

// Picks the open connection with the most sends that has free slots, so that others become idle. A suspected
// connection takes no new sends: a machine that vanished without closing its connections would swallow part
// after part. A new connection is opened only if none has a free slot.
ServerSide::Choice ServerSide::choose(Server& server, std::size_t parts) {
    if (server.state != ServerState::kReady) return {nullptr, Outcome::kNeverSent};
    Connection* best = nullptr;
    Connection* least = nullptr;
    const Time now = scheduler_.now();
    for (auto& connection : server.connections) {
        // A connection that has owed an answer for this long without sending any is silent, however short its
        // sends were outstanding.
        if (connection->asked != net::kNever && now - connection->asked >= connect_timeout_) {
            connection->doubted = true;
            connection->stream.waiter().signal();
        }
        if (connection->ending || connection->doubted || connection->retired) continue;
        if (!connection->up && now - connection->opened >= connect_timeout_) continue;
        if (!connection->busy() && now - connection->used >= idle_) continue;
        // Input on an idle connection is most likely its end; what is written now would be lost.
        if (connection->up && !connection->busy() && net::is_readable(connection->stream.fd().get())) {
            connection->stream.waiter().signal();
            continue;
        }
        if (least == nullptr || connection->load() < least->load()) least = connection.get();
        if (connection->load() + parts > streams_ && connection->load() > 0) continue;
        const auto rank = [](const Connection& c) { return std::pair{c.up, c.load()}; };
        if (best == nullptr || rank(*connection) > rank(*best)) best = connection.get();
    }
    if (best != nullptr && best->up) counters_.add(Count::kReused);
    if (best != nullptr) return {best, Outcome::kNeverSent};
    if (connections_ >= most_connections_) close_longest_idle();  // makes room for a later connection
    const bool may = connections_ < most_connections_ && (!may_open_ || may_open_(server.at));
    const auto opened = may ? open(server) : Choice{nullptr, Outcome::kNeverSent};
    // If this node cannot open another connection, that says nothing about the server: use the least loaded
    // existing connection.
    const bool kept_from_it = opened.connection == nullptr && opened.otherwise == Outcome::kNeverSent;
    return kept_from_it ? Choice{least, Outcome::kNeverSent} : opened;
}

ServerSide::Choice ServerSide::open(Server& server) {
    auto [fd, error] = net::connect_to(server.at);
    std::unique_ptr<Connection> opened;
    try {
        if (fd) opened = std::make_unique<Connection>(scheduler_, std::move(fd), server);
    } catch (const std::system_error& failure) {  // not accepted by epoll
        error = failure.code().value();
    }
    if (!opened) {
        counters_.add(Count::kConnectFailed);
        return {nullptr, net::is_local_failure(error) ? Outcome::kNeverSent : Outcome::kNoConnection};
    }
    counters_.add(Count::kOpened);
    most_at_once_ = std::max(most_at_once_, ++connections_);
    auto& connection = *server.connections.emplace_back(std::move(opened));
    connection.task = serve(connection);
    connection.task.start([this, at = &connection](std::exception_ptr failure) {
        if (failure) counters_.add(Count::kTasksThrew);
        finish(*at);
    });
    return {&connection, Outcome::kNeverSent};
}

net::Task ServerSide::serve(Connection& connection) {
    auto& stream = connection.stream;
    auto& waiter = stream.waiter();
    while (!connection.up && !connection.ending) {
        // The sends queued for it may have been withdrawn: then the connection attempt is given up after the
        // connect timeout.
        const Time give_up_at = connection.opened + connect_timeout_;
        if (connection.sends == 0 && scheduler_.now() >= give_up_at) {
            close(connection, Count::kConnectFailed);
            break;
        }
        co_await waiter.wait(net::kWrite, connection.sends == 0 ? give_up_at : net::kNever);
        if (!waiter.may(net::kWrite) || connection.ending) continue;
        const int error = net::socket_error(stream.fd());
        connection.lost = net::is_local_failure(error);
        if (error != 0) close(connection, Count::kConnectFailed);
        connection.up = !connection.ending;
    }
    connection.used = scheduler_.now();
    note_idle(connection);
    auto got = net::Stream::Got::kNothing;
    const auto over = [&] { return got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken; };
    while (!connection.ending) {
        if (waiter.may(net::kRead)) got = read_frames(connection);
        if (over() || connection.ending) break;
        write_frames(connection);
        note_idle(connection);
        if (stream.broken()) {  // input that arrived before the failure is still used
            do got = read_frames(connection);
            while (got == net::Stream::Got::kBytes && !connection.ending);
            break;
        }
        if (connection.ending) break;
        const bool writing = connection.written < connection.frame.size();
        const Time idle_at = connection.busy() ? net::kNever : connection.used + idle_;
        if (scheduler_.now() >= idle_at) close(connection, Count::kClosedIdle);
        // Nothing is outstanding and nothing has been read since the last send timed out.
        if (connection.doubted && !connection.busy()) close(connection, Count::kClosedDoubted);
        const bool unwanted = connection.retired || connection.server.state == ServerState::kGone;
        if (unwanted && !connection.busy()) close(connection, Count::kClosedIdle);
        // A frame that is begun and never completed would hide all later answers.
        const Time whole_by =
            connection.begun == net::kNever ? net::kNever : connection.begun + connect_timeout_;
        if (scheduler_.now() >= whole_by) take_spoilt(connection, {});
        const Time stalled = stalls_at(connection);
        if (!connection.ending && scheduler_.now() >= stalled) {
            connection.lost = true;
            close(connection, Count::kClosedStalled);
        }
        if (connection.ending) break;
        const Time look_again = std::min({idle_at, whole_by, stalled});
        co_await waiter.wait(net::kRead | (writing ? net::kWrite : 0U), look_again);
    }
    // A dying process has its connections reset. A server that closes in order, or in the middle of an
    // answer, is alive, although the outstanding sends are lost: otherwise each close that crosses a call
    // would make a server count as cold.
    if (!connection.ending && (got == net::Stream::Got::kEnd || connection.begun != net::kNever)) {
        lose(connection, {});
    }
}

net::Stream::Got ServerSide::read_frames(Connection& connection) {
    const auto got = connection.stream.read();
    if (got != net::Stream::Got::kBytes) return got;
    connection.used = scheduler_.now();
    auto& buffer = connection.stream.buffer();
    for (;;) {
        const auto frame = parse::scan_frame(buffer.held(), kLargestFrame);
        if (frame.state == parse::FrameScan::State::kMore) {
            if (buffer.empty()) connection.begun = net::kNever;
            if (!buffer.empty() && connection.begun == net::kNever) connection.begun = connection.used;
            return got;
        }
        const bool good = frame.state == parse::FrameScan::State::kFrame && frame.letter == 'R' &&
                          take_result(connection, frame.rest);
        if (!good) {
            take_spoilt(connection, frame.rest);
            return got;
        }
        // Only complete, valid frames show that the server is alive: other bytes must not keep a connection
        // in use.
        connection.read = connection.used;
        connection.asked = connection.sends > 0 ? connection.read : net::kNever;
        connection.doubted = false;
        connection.begun = net::kNever;
        buffer.drop(frame.size);
    }
}

void ServerSide::take_spoilt(Connection& connection, std::string_view rest) {
    counters_.add(Count::kBadFrames);
    log_.event(Level::kWarning, "bad_frame", "bad frame from " + net::to_text(connection.server.at),
               {{"server", net::to_text(connection.server.at)}});
    close(connection, Count::kClosedBadFrame);
    lose(connection, rest);
}

// Makes the connection unusable although its server is alive. One send is reported as reset: the one that is
// named in `rest`, else the one that has been outstanding longest. The other outstanding sends are reported
// as cancelled, which says nothing about the server. This keeps a server from being blamed for every send on
// a connection on which one answer was malformed or that was closed during a call.
void ServerSide::lose(Connection& connection, std::string_view rest) {
    connection.lost = true;
    const auto named = connection.out.find(std::string(rest.substr(0, rest.find(' '))));
    const auto rank = [this](const auto& one) {
        const auto& sent = sent_.at(one.second);
        return std::pair{sent.stage != Stage::kOut, sent.written};
    };
    const auto oldest = std::min_element(connection.out.begin(), connection.out.end(),
                                         [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    const auto which = named != connection.out.end() ? named : oldest;
    if (which == connection.out.end() || sent_.at(which->second).stage != Stage::kOut) return;
    end_send(which->second, Outcome::kReset);
}

bool ServerSide::take_result(Connection& connection, std::string_view rest) {
    const auto result = parse::parse_result(rest);
    if (!result) return false;
    const auto at = connection.out.find(std::string(result->id));
    if (at == connection.out.end()) {
        // A duplicate right after a valid answer does no harm.
        if (std::exchange(connection.answered, {}) == result->id) {
            counters_.add(Count::kLateResults);
            return true;
        }
        auto& ended = connection.ended;
        const auto late = std::find(ended.begin(), ended.end(), result->id);
        if (late == ended.end()) return false;
        ended.erase(late);
        counters_.add(Count::kLateResults);
        return true;
    }
    const auto key = at->second;
    if (sent_.at(key).stage != Stage::kOut) return false;  // answered before the request was written
    if (result->end == parse::ResultEnd::kMoved) {
        std::uint64_t epoch = 0;
        const auto* last = result->value.data() + result->value.size();
        const auto [end, error] = std::from_chars(result->value.data(), last, epoch);
        if (!exchange_.has_routes() || error != std::errc{} || end != last) return false;
        connection.answered = result->id;
        if (const auto call = take_sent(key)) exchange_.moved(*call, epoch, read_report(result->report));
        return true;
    }
    connection.answered = result->id;
    const auto outcome = result->end == parse::ResultEnd::kDone   ? Outcome::kReturned
                         : result->end == parse::ResultEnd::kFull ? Outcome::kFull
                                                                  : Outcome::kError;
    end_send(key, outcome, read_report(result->report), std::string(result->value));
    return true;
}

std::vector<double> ServerSide::read_report(std::string_view report) const {
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
        if (error != std::errc{} || end != last || !(value >= 0 && value <= kMostReported)) return {};
        ++found;
    }
    return found == values.size() ? values : std::vector<double>{};
}

void ServerSide::write_frames(Connection& connection) {
    for (;;) {
        if (connection.written == connection.frame.size()) {
            fill_frame(connection);
            if (connection.frame.empty()) return;
            connection.frame_begun = scheduler_.now();
        }
        const auto rest = std::string_view(connection.frame).substr(connection.written);
        connection.written += connection.stream.write(rest);
        connection.used = scheduler_.now();
        if (connection.written < connection.frame.size()) {
            if (connection.stream.broken()) connection.stream.waiter().signal();
            return;
        }
        frame_written(connection);
    }
}

// Cancel frames go before new calls: a part may be sent again on the connection on which it was cancelled.
void ServerSide::fill_frame(Connection& connection) {
    connection.written = 0;
    connection.frame = std::exchange(connection.commands, {});
    if (!connection.frame.empty()) return;
    while (connection.writing.empty() && has_room_for_next(connection)) {
        const auto call = std::move(connection.waiting.front());
        connection.waiting.pop_front();
        for (const auto& key : call) {
            if (may_be_written(sent_.at(key), connection.server))
                connection.writing.push_back(key);
            else
                end_send(key, Outcome::kNeverSent);
        }
    }
    if (connection.writing.empty()) return;
    connection.frame = parse::begin_frame('S');
    const Time now = scheduler_.now();
    for (const auto& key : connection.writing) {
        auto& sent = sent_.at(key);
        sent.stage = Stage::kWriting;
        connection.out[sent.name] = key;
        const auto wait = std::max<Time>(1, (sent.call.until - now) / kTicksPerMs);
        parse::append_part(connection.frame, sent.name, sent.call.shard, wait, *sent.call.text);
    }
    parse::end_frame(connection.frame);
}

// A server leaves sends beyond the configured number of streams unread, and these could not be withdrawn.
bool ServerSide::has_room_for_next(const Connection& connection) const {
    if (connection.waiting.empty()) return false;
    return connection.out.empty() || connection.out.size() + connection.waiting.front().size() <= streams_;
}

// A frame that is not written completely has not run and can still be withdrawn by closing its connection.
// Without this limit a server might read on after the client has left, and after the remaining time in the
// frame has become wrong.
Time ServerSide::stalls_at(const Connection& connection) const {
    if (connection.writing.empty()) return net::kNever;
    return connection.frame_begun + connect_timeout_ / kStallShare;
}

void ServerSide::frame_written(Connection& connection) {
    connection.frame.clear();
    connection.written = 0;
    connection.frame_begun = net::kNever;
    if (connection.writing.empty()) return;
    counters_.add(Count::kCalls);
    const Time now = scheduler_.now();
    for (const auto& key : std::exchange(connection.writing, {})) {
        const auto at = sent_.find(key);
        if (at == sent_.end()) continue;  // cancelled while it was being written
        at->second.stage = Stage::kOut;
        at->second.written = now;
        if (connection.asked == net::kNever) connection.asked = now;
        set_due(key, at->second, at->second.call.until);
    }
}

void ServerSide::call_off(Id part, int send) {
    const SendKey key{part, send};
    const auto at = sent_.find(key);
    if (at == sent_.end()) {  // queued in the current turn
        for (const auto& id : gathered_) {
            auto& gathered = servers_.at(id).gathered;
            const auto which = std::find_if(gathered.begin(), gathered.end(), [&](const auto& call) {
                return call.part == part && call.send == send;
            });
            if (which == gathered.end()) continue;
            const auto call = std::move(*which);
            gathered.erase(which);
            return exchange_.over(call, Outcome::kNeverSent);
        }
        return;
    }
    auto& sent = at->second;
    if (sent.stage == Stage::kWaiting) {
        drop_waiting(*sent.on, key);
        return end_send(key, Outcome::kNeverSent);
    }
    give_up(sent);
    end_send(key, Outcome::kCancelled);
}

void ServerSide::drop_waiting(Connection& connection, const SendKey& key) {
    for (auto at = connection.waiting.begin(); at != connection.waiting.end(); ++at) {
        if (std::erase(*at, key) == 0) continue;
        if (at->empty()) connection.waiting.erase(at);
        return;
    }
}

void ServerSide::give_up(Sent& sent) {
    auto& connection = *sent.on;
    // The send was outstanding for at least the connect timeout and the connection has been silent since. The
    // next part goes to a new connection, which tells a dead machine from a slow one.
    const bool silent = sent.stage == Stage::kWriting || connection.read < sent.written;
    if (silent && scheduler_.now() - sent.call.sent >= connect_timeout_) connection.doubted = true;
    auto frame = parse::begin_frame('C');
    frame += sent.name;
    parse::end_frame(frame);
    connection.commands += frame;
    connection.ended.push_back(sent.name);
    if (connection.ended.size() > kEndedKept) connection.ended.pop_front();
    connection.stream.waiter().signal();
}

void ServerSide::end_send(SendKey key, Outcome outcome, std::vector<double> load, std::string value) {
    if (const auto call = take_sent(key)) exchange_.over(*call, outcome, std::move(load), std::move(value));
}

std::optional<PartCall> ServerSide::take_sent(const SendKey& key) {
    const auto at = sent_.find(key);
    if (!must_hold(at != sent_.end(), counters_)) return std::nullopt;
    auto& sent = at->second;
    if (auto* connection = sent.on; connection != nullptr) {
        --connection->sends;
        const auto named = connection->out.find(sent.name);
        if (named != connection->out.end() && named->second == key) connection->out.erase(named);
        if (!connection->busy() || !connection->waiting.empty()) connection->stream.waiter().signal();
        note_idle(*connection);
    }
    set_due(key, sent, net::kNever);
    auto call = std::move(sent.call);
    sent_.erase(at);
    return call;
}

void ServerSide::set_due(const SendKey& key, Sent& sent, Time due) {
    if (sent.due != net::kNever) {
        auto [from, to] = due_.equal_range(sent.due);
        for (; from != to; ++from) {
            if (from->second != key) continue;
            due_.erase(from);
            break;
        }
    }
    sent.due = due;
    if (due == net::kNever) return;
    const bool first = due_.empty() || due < due_.begin()->first;
    due_.emplace(due, key);
    if (first) waiter_.signal();
}

net::Task ServerSide::expire() {
    for (;;) {
        const Time now = scheduler_.now();
        while (!due_.empty() && due_.begin()->first <= now) look_at(due_.begin()->second, now);
        co_await waiter_.wait(0, due_.empty() ? net::kNever : due_.begin()->first);
    }
}

void ServerSide::look_at(const SendKey& key_due, Time now) {
    const auto key = key_due;
    auto& sent = sent_.at(key);
    auto& connection = *sent.on;
    const bool ran_out = now >= sent.call.until;
    switch (sent.stage) {
        case Stage::kWaiting: {
            // No connection was established in time, or the connection does not accept more bytes.
            drop_waiting(connection, key);
            const bool waited = now - sent.call.sent >= connect_timeout_;
            end_send(key, waited ? Outcome::kNoConnection : Outcome::kNeverSent);
            if (!connection.up && connection.sends == 0) close(connection, Count::kConnectFailed);
            return;
        }
        case Stage::kWriting:
            if (!ran_out) return set_due(key, sent, sent.call.until);
            [[fallthrough]];
        case Stage::kOut: give_up(sent); return end_send(key, Outcome::kTimedOut);
    }
}

// To be called whenever the connection's open sends or unwritten bytes change.
void ServerSide::note_idle(Connection& connection) {
    const bool is_idle = connection.up && !connection.busy() && !connection.ending;
    if (is_idle == (connection.idle_since != net::kNever)) return;
    if (!is_idle) {
        idle_connections_.erase({std::exchange(connection.idle_since, net::kNever), &connection});
        return;
    }
    connection.idle_since = scheduler_.now();
    idle_connections_.emplace(connection.idle_since, &connection);
    const auto spare = std::max<std::size_t>(1, most_connections_ / kSpareShare);
    const bool are_scarce = connections_ - ending_ + spare > most_connections_;
    if (are_scarce || idle_connections_.size() > most_idle_) close_longest_idle();
}

// With many servers, idle connections to rarely used ones could take up the whole limit, and sends to other
// servers would be rejected for want of a connection.
void ServerSide::close_longest_idle() {
    if (!idle_connections_.empty()) close(*idle_connections_.begin()->second, Count::kClosedIdle);
}

void ServerSide::close(Connection& connection, Count cause) {
    if (connection.ending) return;
    connection.ending = true;
    ++ending_;
    connection.cause = cause;
    note_idle(connection);
    connection.stream.waiter().signal();
}

// Reports the outcomes of all sends on a closed connection: those whose frame was not written completely have
// never run, the others may have.
void ServerSide::finish(Connection& connection) {
    close(connection, connection.cause);
    counters_.add(connection.cause);
    if (log_.writes(Level::kDebug)) {
        log_.event(Level::kDebug, "connection_closed", "a connection to a server ended",
                   {{"server", std::to_string(connection.server.id.address)},
                    {"reason", std::string(name_of(connection.cause))},
                    {"attempts", std::to_string(connection.sends)}});
    }
    const auto unwritten = connection.lost ? Outcome::kNeverSent : Outcome::kNoConnection;
    for (const auto& call : std::exchange(connection.waiting, {})) {
        for (const auto& key : call) end_send(key, unwritten);
    }
    for (const auto& key : std::exchange(connection.writing, {})) {
        if (sent_.contains(key)) end_send(key, unwritten);
    }
    const auto written = connection.lost ? Outcome::kCancelled : Outcome::kReset;
    while (!connection.out.empty()) end_send(connection.out.begin()->second, written);
    must_hold(connection.sends == 0, counters_);
    scheduler_.defer([this, at = &connection] {
        const auto id = at->server.id;
        std::erase_if(at->server.connections, [at](const auto& each) { return each.get() == at; });
        --connections_;
        --ending_;
        forget_if_gone(id);
    });
}

std::string ServerSide::print_gauges() const {
    std::string out;
    append_line(out, "servers_known", servers_.size());
    append_line(out, "connections_open", connections_);
    append_line(out, "connections_open_most_at_once", most_at_once_);
    return out;
}

}  // namespace pinedoor::service
