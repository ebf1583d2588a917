#include "lab/soak/soak_abusers.hpp"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/soak/soak_clients.hpp"

namespace pinedoor::lab {
namespace {

constexpr int kPollMs = 20;
constexpr std::size_t kFloodBytes = 64 * 1024;  // prepared at a time
constexpr SoakMs kSlowWritePause = 100;
constexpr std::size_t kHeadBytes = 15'800;  // a little less than the largest head
constexpr std::size_t kBodyBytes = 64'000;
constexpr int kPipelineRequests = 300;
constexpr std::size_t kPipelineQueryBytes = 1'500;
constexpr int kUnreadRequests = 40;
constexpr std::size_t kChunkExtensionBytes = 100;
constexpr int kTinyChunksPerBody = 2'000;

using Stop = std::function<bool()>;

void pause_ms(SoakMs ms) { usleep(static_cast<useconds_t>(ms * 1'000)); }

// A blocking connect with non-blocking reads and writes; empty if it failed.
net::Fd connect_to_node(net::Endpoint node) {
    net::Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(node.port);
    address.sin_addr.s_addr = htonl(node.address);
    const timeval limit{1, 0};
    setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return {};
    return fd;
}

ssize_t send_now(const net::Fd& fd, std::string_view bytes) {
    return send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

// Whether the connection is still open; what has arrived is dropped.
bool drop_input(const net::Fd& fd) {
    char bytes[16 * 1024];
    const auto count = recv(fd.get(), bytes, sizeof bytes, MSG_DONTWAIT);
    return count > 0 || (count < 0 && errno == EAGAIN);
}

std::string short_fields() {
    const std::string characters =
        "abcdefghijklmnopqrstuvwxyz0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ!#$%&'*+-.^_`|~";
    std::string head = "POST /again HTTP/1.1\r\n";
    for (const char first : characters) {
        for (const char second : characters) {
            if (head.size() + 5 > kHeadBytes) return head;
            head += {first, second, ':', '\r', '\n'};
        }
    }
    return head;
}

std::string unfinished_text(Abuse kind) {
    const std::string head = "POST /again HTTP/1.1\r\nHost: x\r\n";
    switch (kind) {
        case Abuse::kShortFields: return short_fields();
        case Abuse::kHalfBody:
            return head + "Content-Length: " + std::to_string(kBodyBytes + 1) + "\r\n\r\n" +
                   std::string(kBodyBytes, ' ');
        case Abuse::kTrailers:
            return head + "Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n" + std::string(8'000, 'a');
        default: break;
    }
    return head + "X-Slow: " + std::string(2'000, 's');
}

std::string json_of_many_values() {
    std::string body = "[";
    while (body.size() < 60'000) body += "1,";
    body += "1]";
    return "POST /again HTTP/1.1\r\nX-Txn: x-values\r\nX-Remaining-Ms: 400\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string body_of_tiny_chunks() {
    std::string request =
        "POST /again HTTP/1.1\r\nX-Txn: x-chunks\r\nX-Remaining-Ms: 400\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "1;" + std::string(kChunkExtensionBytes, 'e') + "\r\n \r\n";
    for (int i = 0; i < kTinyChunksPerBody; ++i) request += chunk;
    return request + "0\r\n\r\n";
}

std::string flood_request(Abuse kind, const std::string& name) {
    switch (kind) {
        case Abuse::kReadinessFlood: return "GET /up HTTP/1.1\r\n\r\n";
        case Abuse::kCountersFlood: return "GET /counters HTTP/1.1\r\n\r\n";
        case Abuse::kUnsoundFlood: return "NONSENSE\r\n\r\n";
        case Abuse::kManyValues: return json_of_many_values();
        case Abuse::kTinyChunks: return body_of_tiny_chunks();
        default: return soak_request("again", name, 80'000'000, 1, 1, "q");
    }
}

// Clients that stop in the middle of a request and stay until they get an error or a close; then others come
// in their place.
class UnfinishedClients {
public:
    UnfinishedClients(SoakLog& log, net::Endpoint node, const AbuseSpell& spell, int number)
        : log_(log), node_(node), kind_(spell.kind), text_(unfinished_text(spell.kind)),
          prefix_('a' + std::to_string(number) + '-'), clients_(static_cast<std::size_t>(spell.clients)) {}

    void run(const Stop& stop) {
        while (!stop()) {
            std::vector<pollfd> polled;
            for (auto& client : clients_) {
                if (!client.fd) connect(client);
                if (client.fd) write(client);
                polled.push_back({client.fd.get(), POLLIN, 0});
                if (stop()) break;
            }
            poll(polled.data(), polled.size(), kPollMs);
            for (std::size_t i = 0; i < polled.size(); ++i) {
                if (polled[i].revents != 0) end(clients_[i]);
            }
        }
        for (auto& client : clients_) {
            if (client.fd) end(client);
        }
    }

private:
    struct Client {
        net::Fd fd;
        std::string name;
        std::size_t written = 0;
        SoakMs written_at = 0;
    };
    void connect(Client& client) {
        client.fd = connect_to_node(node_);
        if (!client.fd) return;
        client.name = prefix_ + std::to_string(++last_name_);
        client.written = 0;
        log_.write("stays " + client.name);
    }
    void write(Client& client) {
        if (client.written == text_.size()) return;
        const bool slow = kind_ == Abuse::kSlowWriters;
        if (slow && log_.now() - client.written_at < kSlowWritePause) return;
        const auto rest = std::string_view(text_).substr(client.written, slow ? 1 : text_.size());
        const auto count = send_now(client.fd, rest);
        client.written_at = log_.now();
        if (count > 0) client.written += static_cast<std::size_t>(count);
    }
    void end(Client& client) {
        log_.write("over " + client.name);
        client.fd = net::Fd{};
    }

    SoakLog& log_;
    const net::Endpoint node_;
    const Abuse kind_;
    const std::string text_;
    const std::string prefix_;
    int last_name_ = 0;
    std::vector<Client> clients_;
};

// Whole requests on each connection as fast as the node takes them.
void flood(net::Endpoint node, const AbuseSpell& spell, int number, const Stop& stop) {
    std::vector<net::Fd> connections(static_cast<std::size_t>(spell.clients));
    std::vector<std::string> pending(connections.size());
    std::uint64_t count = 0;
    while (!stop()) {
        std::vector<pollfd> polled;
        for (std::size_t i = 0; i < connections.size(); ++i) {
            auto& connection = connections[i];
            if (!connection) {
                connection = connect_to_node(node);
                pending[i].clear();
            }
            while (pending[i].size() < kFloodBytes)
                pending[i] +=
                    flood_request(spell.kind, "x" + std::to_string(number) + '-' + std::to_string(++count));
            polled.push_back({connection.get(), POLLIN | POLLOUT, 0});
        }
        poll(polled.data(), polled.size(), kPollMs);
        for (std::size_t i = 0; i < connections.size(); ++i) {
            if (!connections[i]) continue;
            const auto written = send_now(connections[i], pending[i]);
            if (written > 0) pending[i].erase(0, static_cast<std::size_t>(written));
            if (!drop_input(connections[i]) || (written < 0 && errno != EAGAIN)) connections[i] = net::Fd{};
        }
    }
}

// Many multigets at once on a connection, which is closed while most of them are unread.
void pipeline_and_close(SoakLog& log, net::Endpoint node, int number, const Stop& stop) {
    const std::string query(kPipelineQueryBytes, 'q');
    for (int round = 0; !stop(); ++round) {
        auto connection = connect_to_node(node);
        if (!connection) {
            pause_ms(kPollMs);
            continue;
        }
        const int bytes = 1 << 20;
        setsockopt(connection.get(), SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
        std::vector<std::string> ids;
        for (int i = 0; i < kPipelineRequests; ++i) {
            ids.push_back('p' + std::to_string(number) + '-' + std::to_string(round) + '-' +
                          std::to_string(i));
            const auto text = soak_request("once", ids.back(), 2'000, i, 1, query);
            log.write("ask " + ids.back() + " abusive once");
            if (send_now(connection, text) != static_cast<ssize_t>(text.size())) break;
        }
        pause_ms(30 + round % 4 * 50);
        while (drop_input(connection) && net::is_readable(connection.get())) {
        }
        connection = net::Fd{};
        for (const auto& id : ids) log.write("left " + id);
        pause_ms(200);
    }
}

// A multiget whose client leaves, and that comes again under its id on a new connection.
void repeat_ids(SoakLog& log, net::Endpoint node, int number, const Stop& stop) {
    for (int round = 0; !stop(); ++round) {
        const auto id = 'r' + std::to_string(number) + '-' + std::to_string(round);
        const auto text = soak_request("once", id, 1'000, round, 1, "q");
        for (int time = 0; time < 3; ++time) {
            const auto connection = connect_to_node(node);
            if (!connection) break;
            log.write("ask " + id + " abusive once");
            send_now(connection, text);
            pause_ms(time == 0 ? 5 : 100);
        }
        log.write("left " + id);
        pause_ms(20);
    }
}

// Answers that are never read, and halves of connections that are closed.
void leave_unread(net::Endpoint node, const AbuseSpell& spell, int number, const Stop& stop) {
    for (int round = 0; !stop(); ++round) {
        std::vector<net::Fd> connections;
        for (int i = 0; i < 10 * spell.clients; ++i) {
            auto connection = connect_to_node(node);
            if (!connection) break;
            const auto prefix =
                "x" + std::to_string(number) + '-' + std::to_string(round) + '-' + std::to_string(i) + '-';
            const bool halves = spell.kind == Abuse::kHalfCloses;
            for (int k = 0; k < (halves ? 1 : kUnreadRequests); ++k)
                send_now(connection, soak_request("again", prefix + std::to_string(k), 1'000, k, 6, "big"));
            if (halves) shutdown(connection.get(), SHUT_WR);
            connections.push_back(std::move(connection));
        }
        for (int wait = 0; wait < 50 && !stop(); ++wait) pause_ms(kPollMs);
    }
}

void connect_in_series(net::Endpoint node, const Stop& stop) {
    while (!stop()) {
        connect_to_node(node);
        usleep(500);
    }
}

void abuse(SoakLog& log, net::Endpoint node, const AbuseSpell& spell, int number, const Stop& stop) {
    switch (spell.kind) {
        case Abuse::kShortFields:
        case Abuse::kHalfBody:
        case Abuse::kSlowWriters:
        case Abuse::kTrailers: return UnfinishedClients(log, node, spell, number).run(stop);
        case Abuse::kReadinessFlood:
        case Abuse::kCountersFlood:
        case Abuse::kUnsoundFlood:
        case Abuse::kNewNamesFlood:
        case Abuse::kManyValues:
        case Abuse::kTinyChunks: return flood(node, spell, number, stop);
        case Abuse::kPipelinedClose: return pipeline_and_close(log, node, number, stop);
        case Abuse::kRepeatedIds: return repeat_ids(log, node, number, stop);
        case Abuse::kUnreadAnswers:
        case Abuse::kHalfCloses: return leave_unread(node, spell, number, stop);
        case Abuse::kConnects: return connect_in_series(node, stop);
    }
}

}  // namespace

SoakAbusers::~SoakAbusers() {
    stop_ = true;
    for (auto& thread : threads_) thread.join();
}

void SoakAbusers::start(const AbuseSpell& spell, int number) {
    threads_.emplace_back([this, spell, number] {
        const auto stop = [this, &spell] { return stop_ || log_.now() >= spell.until; };
        abuse(log_, node_, spell, number, stop);
    });
}

}  // namespace pinedoor::lab
