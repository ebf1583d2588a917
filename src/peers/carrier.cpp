#include "peers/carrier.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace pinedoor::peers {
namespace {

// Times are in units of 0.1 ms.
constexpr net::Moment kConnectionTimeout = 30'000;
constexpr net::Moment kSeedsReadInterval = 50'000;
constexpr net::Moment kConflictLogInterval = 100'000;
constexpr std::size_t kMaxEvictionsPerTurn = 16;
constexpr int kMaxAcceptsPerTurn = 16;
constexpr std::size_t kMaxCommandBytes = 256;
constexpr std::size_t kMaxSeeds = 64;
constexpr std::size_t kMaxSeedsBytes = std::size_t{16} * 1024;
constexpr std::size_t kLengthPrefixBytes = 4;  // precedes an encoded state, little-endian

net::Endpoint to_endpoint(At address) { return {address.address, address.port}; }
At to_peer_address(net::Endpoint endpoint) { return {endpoint.address, endpoint.port}; }

std::vector<At> to_peer_addresses(const std::vector<net::Endpoint>& all) {
    std::vector<At> addresses;
    for (const auto& each : all) addresses.push_back(to_peer_address(each));
    return addresses;
}

sockaddr_in to_sockaddr(net::Endpoint endpoint) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.address);
    return address;
}

sockaddr_un to_unix_sockaddr(const std::string& path) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    if (path.size() >= sizeof address.sun_path)
        throw std::runtime_error(path + ": path is too long for a local socket");
    path.copy(address.sun_path, path.size());
    return address;
}

std::string add_length_prefix(std::string bytes) {
    std::string framed;
    for (unsigned shift = 0; shift < 32; shift += 8)
        framed += static_cast<char>((bytes.size() >> shift) & 0xffU);
    return framed + bytes;
}

// Returns the body of a length-prefixed frame once it is complete; sets `body_size` once the prefix is
// complete.
std::optional<std::string_view> read_frame(std::string_view buffer, std::size_t& body_size) {
    if (buffer.size() < kLengthPrefixBytes) return std::nullopt;
    body_size = 0;
    for (std::size_t i = 0; i < kLengthPrefixBytes; ++i)
        body_size |= static_cast<std::size_t>(static_cast<unsigned char>(buffer[i])) << (8 * i);
    if (buffer.size() < kLengthPrefixBytes + body_size) return std::nullopt;
    return buffer.substr(kLengthPrefixBytes, body_size);
}

}  // namespace

PeerTransport::PeerTransport(net::Scheduler& scheduler, PeerConfig settings, std::string name, int zone,
                             std::uint64_t seed, EventLog log_event, std::size_t max_buffered_bytes)
    : scheduler_(scheduler), settings_(std::move(settings)), log_event_(std::move(log_event)),
      codec_(settings_.cluster, settings_.secret),
      membership_(std::move(name), to_peer_address(settings_.advertise), zone,
                  static_cast<std::uint64_t>(scheduler.now() / 10), seed, settings_.membership,
                  to_peer_addresses(settings_.seeds)),
      gossip_(membership_.self().name, membership_.self().at, membership_.self().incarnation,
              membership_.self().life, seed + 1, {}),
      timer_(scheduler), connections_(max_buffered_bytes) {}

void PeerTransport::start() {
    const auto error = [](const std::string& what) {
        return std::system_error(errno, std::generic_category(), what);
    };
    const auto description = "cannot listen for peers on " + net::to_text(settings_.listen);
    datagram_socket_ = net::Fd(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const auto address = to_sockaddr(settings_.listen);
    if (!datagram_socket_ ||
        bind(datagram_socket_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        throw error(description);
    stream_listener_ = net::listen_on(settings_.listen);
    datagram_waiter_ = std::make_unique<net::Waiter>(scheduler_, datagram_socket_.get());
    stream_waiter_ = std::make_unique<net::Waiter>(scheduler_, stream_listener_.get());
    const auto start_task = [this](net::Task& task, net::Task started) {
        task = std::move(started);
        task.start([this](std::exception_ptr failure) {
            if (failure) scheduler_.defer([failure] { std::rethrow_exception(failure); });
        });
    };
    if (!settings_.control.empty()) {
        // Removes the socket of an earlier process; the path belongs to this node alone, as its folder does.
        unlink(settings_.control.c_str());
        control_listener_ = net::Fd(socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        const auto path = to_unix_sockaddr(settings_.control);
        const auto mask = umask(0177);
        const bool bound =
            control_listener_ &&
            bind(control_listener_.get(), reinterpret_cast<const sockaddr*>(&path), sizeof path) == 0;
        umask(mask);
        if (!bound || listen(control_listener_.get(), 4) != 0) throw error(settings_.control);
        control_waiter_ = std::make_unique<net::Waiter>(scheduler_, control_listener_.get());
        start_task(control_task_, accept_connections(*control_waiter_, control_listener_, Role::kControl));
    }
    read_seeds();
    start_task(receive_task_, receive_datagrams());
    start_task(accept_task_, accept_connections(*stream_waiter_, stream_listener_, Role::kIncoming));
    start_task(timer_task_, run_timers());
}

void PeerTransport::leave() { execute_all(membership_.leave(scheduler_.now())); }

net::Task PeerTransport::receive_datagrams() {
    constexpr int kMaxDatagramsPerWakeup = 32;  // lets other tasks run in between
    std::array<char, kMaxDatagramBytes + 1> bytes{};
    for (;;) {
        for (int i = 0; i < kMaxDatagramsPerWakeup && datagram_waiter_->may(net::kRead); ++i) {
            sockaddr_in from{};
            socklen_t size = sizeof from;
            const auto got = recvfrom(datagram_socket_.get(), bytes.data(), bytes.size(), 0,
                                      reinterpret_cast<sockaddr*>(&from), &size);
            if (got < 0) {
                if (errno == EAGAIN) datagram_waiter_->used_up(net::kRead);
                if (errno != EINTR && errno != ECONNREFUSED) break;
                continue;
            }
            ++counts_.datagrams_in;
            counts_.bytes_in += static_cast<std::uint64_t>(got);
            auto decoded = codec_.decode({bytes.data(), static_cast<std::size_t>(got)});
            if (const auto* reason = std::get_if<RejectReason>(&decoded))
                reject(*reason, net::to_text({ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)}));
            else if (const auto* gossip = std::get_if<GossipMessage>(&decoded))
                execute_all(gossip_.take(scheduler_.now(), *gossip));
            else if (const auto* direct = std::get_if<DirectMessage>(&decoded))
                deliver(*direct);
            else
                execute_all(membership_.receive(scheduler_.now(), std::get<Message>(decoded)));
        }
        co_await datagram_waiter_->wait(net::kRead);
    }
}

net::Task PeerTransport::run_timers() {
    for (;;) {
        const auto now = scheduler_.now();
        if (!settings_.seeds_file.empty() && now - seeds_read_at_ > kSeedsReadInterval) read_seeds();
        if (now >= membership_.due()) execute_all(membership_.tick(now));
        if (now >= gossip_.due()) execute_all(gossip_.tick(now));
        co_await timer_.wait(0, std::max(std::min(membership_.due(), gossip_.due()), scheduler_.now() + 1));
    }
}

void PeerTransport::read_seeds() {
    if (settings_.seeds_file.empty()) return;
    seeds_read_at_ = scheduler_.now();
    auto seeds = to_peer_addresses(settings_.seeds);
    std::ifstream file(settings_.seeds_file);
    std::string text(kMaxSeedsBytes, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    std::istringstream lines(std::move(text));
    for (std::string line; std::getline(lines, line) && seeds.size() < kMaxSeeds;) {
        if (const auto endpoint = net::parse_endpoint(line)) seeds.push_back(to_peer_address(*endpoint));
    }
    membership_.set_seeds(std::move(seeds));
}

void PeerTransport::execute_all(std::vector<Action> actions) {
    for (auto& action : actions) std::visit([this](auto& each) { execute(each); }, action);
    timer_.signal();
}

void PeerTransport::execute_all(std::vector<SendGossip> messages) {
    for (const auto& each : messages) send(each.to, codec_.write(each.talk));
    timer_.signal();
}

void PeerTransport::publish(const std::string& topic, std::string value, Time lifetime) {
    gossip_.publish(scheduler_.now(), topic, std::move(value), lifetime);
    timer_.signal();
}

void PeerTransport::deliver(const DirectMessage& message) {
    const auto handler = direct_handlers_.find(message.topic);
    if (handler != direct_handlers_.end()) handler->second(message.from, message.payload);
}

void PeerTransport::send_direct_message(const std::string& to, const std::string& topic, std::string bytes) {
    if (const auto address = membership_.address_of(to))
        send(*address, codec_.write(DirectMessage{membership_.self().name, topic, std::move(bytes)}));
}

void PeerTransport::update_gossip_members() {
    Gossip::Members others;
    for (const auto& record : membership_.members()) {
        if (record.name != membership_.self().name) others.emplace_back(record.name, record.at);
    }
    gossip_.set_members(std::move(others));
}

void PeerTransport::execute(SendMessage& action) { send(action.to, codec_.write(action.message)); }

void PeerTransport::send(At to, const std::string& bytes) {
    const auto address = to_sockaddr(to_endpoint(to));
    const auto sent = sendto(datagram_socket_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                             reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (sent < 0) ++counts_.send_failures;  // handled like a datagram lost in the network
    ++counts_.datagrams_out;
    counts_.bytes_out += bytes.size();
}

void PeerTransport::execute(StateSync& action) {
    ++counts_.syncs;
    auto fd =
        connections_.has_room(Role::kOutgoing) ? net::connect_to(to_endpoint(action.peer)).first : net::Fd{};
    if (!fd) {
        ++counts_.syncs_failed;
        return;
    }
    start_connection(std::move(fd), Role::kOutgoing);
}

void PeerTransport::execute(MembershipChange& change) {
    const auto& record = change.record;
    log_event_(change.is_member ? "peer_joined" : "peer_gone",
               "peer " + record.name + " at " + net::to_text(to_endpoint(record.at)) +
                   (change.is_member ? " is a member" : std::string(" is ") + name_of(record.state)));
    update_gossip_members();
    for (const auto& each : listeners_) each(change);
}

void PeerTransport::execute(NameConflict& conflict) {
    const auto now = scheduler_.now();
    if (conflict_logged_at_ != 0 && now - conflict_logged_at_ < kConflictLogInterval) return;
    conflict_logged_at_ = now;
    log_event_("peer_conflict", "another process uses the name " + membership_.self().name + ", at " +
                                    net::to_text(to_endpoint(conflict.address)));
}

void PeerTransport::reject(RejectReason reason, const std::string& from) {
    ++counts_.rejected;
    if (++rejected_[reason] == 1)
        log_event_("peer_refused", std::string("rejected a peer message, reason: ") + name_of(reason) +
                                       ", received from " + from);
}

void PeerTransport::start_connection(net::Fd fd, Role role) {
    auto& connection = connections_.add(scheduler_, std::move(fd), role);
    switch (role) {
        case Role::kIncoming: connection.task = serve_state(connection); break;
        case Role::kOutgoing: connection.task = request_state(connection); break;
        case Role::kControl: connection.task = serve_control(connection); break;
    }
    connection.task.start([this, &connection](std::exception_ptr) {
        scheduler_.defer([this, &connection] { end_connection(connection); });
    });
}

// Runs after the scheduler round in which the connection's task ended. An HTTP connection continues with
// another task.
void PeerTransport::end_connection(Connection& connection) {
    const bool is_new_http = std::exchange(connection.is_http, false);
    if (!is_new_http || !http_handler_ || !connections_.has_room_for_http())
        return connections_.remove(connection);
    connection.is_handed_over = true;
    connection.task = http_handler_(connection.stream);
    connection.task.start([this, &connection](std::exception_ptr) {
        scheduler_.defer([this, &connection] { end_connection(connection); });
    });
}

net::Task PeerTransport::accept_connections(net::Waiter& waiter, const net::Fd& listener, Role role) {
    constexpr net::Moment kRetryDelay = 1'000;  // while at the limit, and nothing can be evicted
    std::size_t evictions = 1;
    int accepted = 0;
    for (;;) {
        if (!connections_.has_room(role)) {
            if (!net::is_readable(listener.get())) {
                waiter.used_up(net::kRead);
                co_await waiter.wait(net::kRead, scheduler_.now() + kRetryDelay);
            } else if (connections_.evict_unfinished(role, evictions)) {
                evictions = std::min(2 * evictions, kMaxEvictionsPerTurn);
                co_await waiter.next_round();
            } else {
                co_await waiter.wait(0, scheduler_.now() + kRetryDelay);
            }
            continue;
        }
        auto [fd, error] = net::accept_from(listener);
        if (fd) {
            start_connection(std::move(fd), role);
            if (++accepted % kMaxAcceptsPerTurn == 0) co_await waiter.next_round();
        } else if (error == EAGAIN) {
            evictions = 1;
            waiter.used_up(net::kRead);
            co_await waiter.wait(net::kRead);
        } else {
            co_await waiter.wait(0, scheduler_.now() + kRetryDelay);
        }
    }
}

bool PeerTransport::may_continue(const Connection& connection, net::Moment deadline) const {
    return scheduler_.now() < deadline && !connection.stream.broken() && !connection.is_evicted;
}

net::Stream::Got PeerTransport::read(Connection& connection) {
    const auto got = connection.stream.read();
    counts_.over_memory += connections_.free_memory();
    return got;
}

bool PeerTransport::receive_state(std::string_view bytes, const std::string& from) {
    auto decoded = codec_.decode_state(bytes);
    if (const auto* reason = std::get_if<RejectReason>(&decoded)) return reject(*reason, from), false;
    execute_all(membership_.receive_state(scheduler_.now(), std::get<std::vector<MemberRecord>>(decoded)));
    return true;
}

// Sends this node's state and reads the peer's.
net::Task PeerTransport::request_state(Connection& connection) {
    auto& waiter = connection.stream.waiter();
    const auto deadline = scheduler_.clock() + kConnectionTimeout;
    const auto request = add_length_prefix(codec_.encode_state(membership_.all_records()));
    std::size_t written = 0, body_size = 0;
    while (may_continue(connection, deadline)) {
        if (written < request.size() && waiter.may(net::kWrite)) {
            if (net::socket_error(connection.stream.fd()) != 0) break;
            written += connection.stream.write(std::string_view(request).substr(written));
        }
        if (waiter.may(net::kRead)) {
            const auto got = read(connection);
            if (const auto body = read_frame(connection.stream.buffer().held(), body_size)) {
                receive_state(*body, "the reply to a state sync");
                co_return;
            }
            if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken ||
                body_size > kMaxStateBytes)
                break;
        }
        co_await waiter.wait(net::kRead | (written < request.size() ? unsigned{net::kWrite} : 0U), deadline);
    }
    ++counts_.syncs_failed;
    if (scheduler_.now() < deadline) execute_all(membership_.sync_refused(scheduler_.now()));
}

net::Task PeerTransport::serve_state(Connection& connection) {
    auto& waiter = connection.stream.waiter();
    const auto deadline = scheduler_.clock() + kConnectionTimeout;
    std::string response;
    std::size_t written = 0, body_size = 0;
    while (may_continue(connection, deadline)) {
        if (response.empty() && waiter.may(net::kRead)) {
            const auto got = read(connection);
            // An HTTP request; as a length prefix "GET " would exceed kMaxStateBytes.
            if (connection.stream.buffer().held().starts_with("GET ")) {
                connection.is_http = true;
                connection.is_unfinished = false;
                co_return;
            }
            if (const auto body = read_frame(connection.stream.buffer().held(), body_size)) {
                // Encoded before merging: the requester knows the records it sent.
                connection.is_unfinished = false;
                response = add_length_prefix(codec_.encode_state(membership_.all_records()));
                if (!receive_state(*body, "a state sync request")) co_return;
            } else if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken ||
                       body_size > kMaxStateBytes) {
                co_return;
            }
        }
        if (!response.empty() && waiter.may(net::kWrite)) {
            written += connection.stream.write(std::string_view(response).substr(written));
            if (written == response.size()) co_return;
        }
        co_await waiter.wait(response.empty() ? net::kRead : net::kWrite, deadline);
    }
}

net::Task PeerTransport::serve_control(Connection& connection) {
    auto& waiter = connection.stream.waiter();
    const auto deadline = scheduler_.clock() + kConnectionTimeout;
    std::string out;
    std::size_t written = 0;
    while (may_continue(connection, deadline)) {
        if (out.empty() && waiter.may(net::kRead)) {
            const auto got = connection.stream.read();
            const auto buffer = connection.stream.buffer().held();
            const auto end = buffer.find('\n');
            if (end != std::string_view::npos) {
                connection.is_unfinished = false;
                out = run_command(buffer.substr(0, end));
            } else if (got == net::Stream::Got::kEnd || got == net::Stream::Got::kBroken ||
                       buffer.size() > kMaxCommandBytes) {
                co_return;
            }
        }
        if (!out.empty() && waiter.may(net::kWrite)) {
            written += connection.stream.write(std::string_view(out).substr(written));
            if (written == out.size()) co_return;
        }
        co_await waiter.wait(out.empty() ? net::kRead : net::kWrite, deadline);
    }
}

std::string PeerTransport::run_command(std::string_view line) {
    const auto describe = [](const MemberRecord& record) {
        return record.name + ' ' + name_of(record.state) + ' ' + net::to_text(to_endpoint(record.at)) +
               " zone " + std::to_string(record.zone) + " incarnation " + std::to_string(record.incarnation) +
               (record.reported_by.empty() ? "" : " by " + record.reported_by) + '\n';
    };
    std::string out;
    if (line == "list") {
        for (const auto& record : membership_.members()) out += describe(record);
        return out;
    }
    if (line == "facts") {
        for (const auto& record : gossip_.facts(scheduler_.now()))
            out += record.origin + ' ' + record.topic + " age_ms " + std::to_string(record.age / 10) +
                   " of " + std::to_string(record.lives / 10) + ' ' + record.value + '\n';
        return out;
    }
    const auto name = line.substr(0, line.find(' '));
    if (const auto command = commands_.find(std::string(name)); command != commands_.end())
        return command->second(line.substr(std::min(line.size(), name.size() + 1)));
    if (line == "show") return print_counters();
    if (line == "leave") {
        leave();
        return "left\n";
    }
    if (line.starts_with("show ")) {
        for (const auto& record : membership_.all_records()) {
            if (record.name == line.substr(5)) out += describe(record);
        }
        return out.empty() ? "nobody of that name is known\n" : out;
    }
    return "the words are: list, facts, show, show NAME, leave, limits, verdicts, why SERVER\n";
}

std::string PeerTransport::print_counters() const {
    const auto& membership = membership_.counts();
    std::string out;
    const auto add = [&out](const char* name, std::uint64_t value) {
        out += std::string("peers_") + name + ' ' + std::to_string(value) + '\n';
    };
    add("members", membership_.member_count());
    add("health", static_cast<std::uint64_t>(membership_.health_score()));
    add("probes", membership.probes);
    add("probes_failed", membership.probes_failed);
    add("suspected", membership.suspected);
    add("found_dead", membership.declared_dead);
    add("refuted", membership.refuted);
    add("stood_still", membership.suspensions);
    add("conflicts", membership.conflicts);
    add("without_room", membership.rejected_full);
    add("datagrams_in", counts_.datagrams_in);
    add("datagrams_out", counts_.datagrams_out);
    add("bytes_in", counts_.bytes_in);
    add("bytes_out", counts_.bytes_out);
    add("unsent", counts_.send_failures);
    add("refused", counts_.rejected);
    add("exchanges", counts_.syncs);
    add("exchanges_failed", counts_.syncs_failed);
    add("exchanges_over_memory", counts_.over_memory);
    add("connections_evicted", connections_.evicted());
    const auto& gossip = gossip_.counts();
    add("facts", gossip_.size());
    add("facts_newer", gossip.newer);
    add("facts_over", gossip.rejected_expired);
    add("facts_without_room", gossip.rejected_full);
    add("comparisons", gossip.digests_sent);
    add("comparisons_differed", gossip.digests_differed);
    return out;
}

std::string ask_node(const std::string& path, const std::string& command) {
    const net::Fd fd(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const auto address = to_unix_sockaddr(path);
    const auto text = command + '\n';
    const timeval timeout{5, 0};
    setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    if (!fd || connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size()))
        throw std::runtime_error(
            path + ": no front node answers on this socket; pass the path configured as peers.control");
    std::string out;
    std::array<char, 4096> bytes{};
    for (ssize_t got = 0; (got = recv(fd.get(), bytes.data(), bytes.size(), 0)) > 0;)
        out.append(bytes.data(), static_cast<std::size_t>(got));
    return out;
}

}  // namespace pinedoor::peers
