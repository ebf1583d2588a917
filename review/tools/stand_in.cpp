// Stand-ins for the cases under review/: discovery with the map of shards, index servers that hold shards and
// obey moves (docs/placement.md), and a client. One program with five commands:
//
//   stand_in world FOLDER MAP COUNT   discovery and COUNT index servers s-1, s-2, ... on free loopback ports;
//                                     FOLDER gets `ports`, and `record.txt` a line for each event
//   stand_in port                     prints a free port
//   stand_in ctl PORT WORD...         tells a running world something (see World::obey), prints its reply
//   stand_in get PORT PATH             prints what a front node says at this path
//   stand_in ask PORT FOLDER KEY NAME OP SHARD QUERY MS   one request as a client; prints status and body
//
// MAP is the whole map as discovery tells it. Index servers are sound: a part runs only where ShardGuard (the
// project's own, for whoever writes a box) allows it, the same request of a move is answered alike, and a
// fence is told once nothing runs behind it.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <list>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "placement/box_guard.hpp"
#include "placement/map_text.hpp"
#include "placement/shard_map.hpp"

using namespace pinedoor::placement;

namespace {

std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string record_path;

void record(const std::string& text) {
    std::ofstream out(record_path, std::ios::app);
    out << now_ms() << ' ' << text << '\n';
}

sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int listen_on_free_port(int& port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    socklen_t size = sizeof address;
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 128) != 0) exit(2);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

int connect_to(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

void say(int fd, const std::string& text) {
    for (std::size_t sent = 0; sent < text.size();) {
        const auto count = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) return;
        sent += static_cast<std::size_t>(count);
    }
}

std::string frame(const std::string& text) {
    std::string out;
    for (unsigned shift = 0; shift < 32; shift += 8) out += static_cast<char>((text.size() >> shift) & 0xffU);
    return out + text;
}

std::string chunk(const std::string& text) {
    std::ostringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n";
}

// A part that an index server has taken and that is running.
struct Part {
    std::string id, query;
    ShardId shard = 0;
    Epoch epoch = 0;
    std::int64_t done_at = 0;
};

struct Connection {
    int fd = -1;
    std::size_t owner = 0;  // 0: discovery, 1: control, 2 and up: index servers
    std::string in;
    std::vector<Part> running;
    std::list<std::pair<std::string, std::int64_t>> moves;  // requests of moves, and when they are acted on
    bool list_stream = false, map_stream = false;
};

struct Held {
    Key first = 0, last = 0;
    ShardGuard guard;
    std::uint64_t position = 0;  // parts that ran
};

struct Server {
    std::string name;
    int fd = -1, port = 0;
    std::map<ShardId, Held> shards;
    int work_ms = 5;
    int own_ms = 0;        // how late it acts on `own` and answers it
    int reach_ms = 0;      // how long the last catch-up of a move takes
    int lose_answers = 0;  // of so many further parts: the connection is reset instead of an answer
    bool resets = true;    // how: by a reset, or in order
    bool silent = false;   // takes requests and answers none
    int copy_ms = 0;       // how long a copy takes
};

class World {
public:
    World(const std::string& folder, const std::string& map, std::size_t count)
        : map_(ShardMap::even(1, {1}, 1)) {
        for (std::size_t i = 1; i <= count; ++i) {
            Server server;
            server.name = "s-" + std::to_string(i);
            server.fd = listen_on_free_port(server.port);
            servers_.push_back(std::move(server));
            names_.number(servers_.back().name);
        }
        auto update = read_map_update(map, names_);
        const auto* whole = std::get_if<WholeMap>(&update);
        if (whole == nullptr || !ShardMap::fault_of(whole->shards).empty()) exit(2);
        map_ = ShardMap::of(whole->shards, whole->version);
        for (const auto& shard : map_.shards()) {
            for (const auto& each : shard.replicas) {
                const bool owner = each.role == Role::kOwner;
                servers_.at(each.box - 1).shards[shard.id] = {shard.first, shard.last,
                                                              ShardGuard(owner, shard.epoch, !owner), 0};
            }
        }
        int discovery = 0, control = 0;
        discovery_fd_ = listen_on_free_port(discovery);
        control_fd_ = listen_on_free_port(control);
        std::ofstream ports(folder + "/ports.new");
        ports << discovery << ' ' << control;
        for (const auto& server : servers_) ports << ' ' << server.port;
        ports << '\n';
        ports.close();
        rename((folder + "/ports.new").c_str(), (folder + "/ports").c_str());
    }

    [[noreturn]] void run() {
        std::int64_t beat_at = 0;
        for (;;) {
            std::vector<pollfd> polled{{discovery_fd_, POLLIN, 0}, {control_fd_, POLLIN, 0}};
            for (const auto& server : servers_) polled.push_back({server.fd, POLLIN, 0});
            for (const auto& each : connections_) polled.push_back({each.fd, POLLIN, 0});
            poll(polled.data(), polled.size(), 2);
            std::size_t i = 2 + servers_.size();
            for (auto at = connections_.begin(); at != connections_.end(); ++i) {
                bool open = polled[i].revents == 0 || read(*at);
                open = open && finish_parts(*at);
                if (!open) close(at->fd);
                at = open ? std::next(at) : connections_.erase(at);
            }
            for (std::size_t l = 0; l < 2 + servers_.size(); ++l) {
                if (polled[l].revents == 0) continue;
                const int fd = accept4(polled[l].fd, nullptr, nullptr, SOCK_CLOEXEC);
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                if (fd >= 0) connections_.push_back({fd, l, {}, {}, {}, false, false});
            }
            if (now_ms() >= beat_at) {
                beat_at = now_ms() + 500;
                for (auto& each : connections_) {
                    if (each.list_stream || each.map_stream) say(each.fd, chunk("\n"));
                }
            }
        }
    }

private:
    bool read(Connection& connection) {
        char bytes[65'536];
        const auto count = recv(connection.fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (count == 0 || (count < 0 && errno != EAGAIN)) return false;
        if (count > 0) connection.in.append(bytes, static_cast<std::size_t>(count));
        if (connection.owner == 0) return read_http(connection);
        if (connection.owner == 1) return read_control(connection);
        auto& in = connection.in;
        while (in.size() >= 4) {
            std::size_t size = 0;
            for (int b = 3; b >= 0; --b)
                size = size << 8U | static_cast<unsigned char>(in[static_cast<std::size_t>(b)]);
            if (in.size() < 4 + size) break;
            const auto text = in.substr(4, size);
            in.erase(0, 4 + size);
            take_frame(connection, servers_[connection.owner - 2], text);
        }
        return true;
    }

    // --- Index servers ---

    void take_frame(Connection& connection, Server& server, const std::string& text) {
        std::istringstream in(text.substr(1));
        if (server.silent) {
            record(server.name + " takes and does not answer: " + text.substr(0, 40));
            return;
        }
        if (text[0] == 'M') {
            const bool own = text.find(" own ") != std::string::npos;
            connection.moves.push_back({text.substr(1), now_ms() + (own ? server.own_ms : 0)});
            return;
        }
        if (text[0] == 'C') {
            std::string id;
            in >> id;
            record(server.name + " called off " + id);
            return;  // running work goes on, as some servers do
        }
        if (text[0] != 'S') return;
        std::string id, shard, list;
        for (std::size_t size = 0; in >> id >> shard >> list >> size;) {
            in.ignore(1);
            std::string query(size, 0);
            in.read(query.data(), static_cast<std::streamsize>(size));
            take_part(connection, server, id, query);
        }
    }

    void take_part(Connection& connection, Server& server, const std::string& id, const std::string& text) {
        Part part;
        part.id = id;
        std::istringstream head(text);
        std::string first, last;
        char at = 0;
        head >> at >> part.shard >> part.epoch >> first >> last;
        head.ignore(1);
        std::getline(head, part.query);
        const auto held = server.shards.find(part.shard);
        ShardGuard::Verdict verdict;
        if (held != server.shards.end())
            verdict = part.query.starts_with("read") ? held->second.guard.may_read(part.epoch)
                                                     : held->second.guard.may_run(part.epoch);
        if (!verdict.run) {
            record(server.name + " refuses " + id + " '" + part.query + "' of epoch " +
                   std::to_string(part.epoch) + ": moved, knows " + std::to_string(verdict.known));
            return say(connection.fd, frame("R" + id + " moved 7 -\n" + std::to_string(verdict.known)));
        }
        // The mark of a repeat: the client's name of the request and the keys, whatever a node adds to them
        // in a later attempt ("~1", the number after the dot). Every holder knows it (dedup_scope "all").
        const auto mark = part.id.substr(0, std::min(part.id.find('~'), part.id.find('.'))) + first + last;
        if (!ran_.insert(mark).second) {
            record(server.name + " knows " + part.id + " and does not run it again");
            part.done_at = now_ms();
            connection.running.push_back(part);
            return;
        }
        ++held->second.position;
        record(server.name + " RUNS " + part.id + " '" + part.query + "' of shard " +
               std::to_string(part.shard) + " epoch " + std::to_string(part.epoch) + " keys " + first + ".." +
               last);
        part.done_at = now_ms() + server.work_ms;
        connection.running.push_back(part);
    }

    bool finish_parts(Connection& connection) {
        if (connection.owner < 2) return true;
        auto& server = servers_[connection.owner - 2];
        while (!connection.moves.empty() && connection.moves.front().second <= now_ms()) {
            std::istringstream in(connection.moves.front().first);
            say(connection.fd, frame(answer_move(server, in)));
            connection.moves.pop_front();
        }
        for (auto at = connection.running.begin(); at != connection.running.end();) {
            if (at->done_at > now_ms()) {
                ++at;
                continue;
            }
            if (server.lose_answers > 0) {
                --server.lose_answers;
                record(server.name + " has run " + at->id + "; its connection ends before the answer");
                if (server.resets) {
                    const linger reset{1, 0};
                    setsockopt(connection.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                }
                return false;
            }
            record(server.name + " answers " + at->id + " done");
            say(connection.fd, frame("R" + at->id + " done 7 -\nvalue of " + at->query));
            at = connection.running.erase(at);
        }
        return true;
    }

    bool is_running(const Server& server, ShardId shard) const {
        for (const auto& each : connections_) {
            if (each.owner < 2 || &servers_[each.owner - 2] != &server) continue;
            for (const auto& part : each.running) {
                if (part.shard == shard) return true;
            }
        }
        return false;
    }

    std::string answer_move(Server& server, std::istringstream& in) {
        std::string number, verb, first, last;
        MoveId move = 0;
        ShardId shard = 0;
        Epoch epoch = 0;
        std::uint64_t upto = 0, value = 0;
        in >> number >> verb >> move >> shard >> epoch >> first >> last >> upto;
        auto& held = server.shards[shard];
        bool yes = true;
        if (verb == "copy") {
            const auto begun = copying_.try_emplace({server.name, move}, now_ms()).first->second;
            yes = held.guard.has_copy() || (now_ms() - begun >= server.copy_ms && held.guard.copy(move));
            held.first = read_key(first).value_or(1);
            held.last = read_key(last).value_or(0);
        } else if (verb == "fence") {
            yes = held.guard.fence(move, epoch) && !is_running(server, shard);
            value = held.position;
        } else if (verb == "reach") {
            const auto begun = reaching_.try_emplace({server.name, move}, now_ms()).first->second;
            yes = now_ms() - begun >= server.reach_ms;
            value = upto;
        } else if (verb == "own") {
            yes = held.guard.own(move, epoch);
        } else if (verb == "read") {
            yes = held.guard.read(move, epoch);
        } else if (verb == "drained") {
            yes = !is_running(server, shard);
        } else if (verb == "drop") {
            yes = held.guard.drop(move, epoch);
        } else if (verb == "unfence") {
            yes = held.guard.unfence(move);
        }
        record(server.name + " is asked by move " + std::to_string(move) + ": " + verb + " shard " +
               std::to_string(shard) + " epoch " + std::to_string(epoch) + ": " + (yes ? "yes" : "no"));
        return 'M' + number + (yes ? " yes " : " no ") + std::to_string(value);
    }

    // --- Discovery ---

    std::string list_text() const {
        std::string text = "{\"revision\":1,\"complete\":true,\"members\":[";
        for (const auto& server : servers_) {
            if (text.back() != '[') text += ',';
            text += "{\"id\":\"" + server.name +
                    "\",\"host_port\":\"127.0.0.1:" + std::to_string(server.port) +
                    "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":0,\"phase\":\"Ready\",\"size\":1.0,"
                    "\"up_since_ms\":0}";
        }
        return text + "]}";
    }

    bool read_http(Connection& connection) {
        const auto end = connection.in.find("\r\n\r\n");
        if (end == std::string::npos) return true;
        const auto head = connection.in.substr(0, end + 4);
        std::size_t length = 0;
        if (const auto at = head.find("Content-Length: "); at != std::string::npos)
            length = std::strtoul(head.c_str() + at + 16, nullptr, 10);
        if (connection.in.size() < end + 4 + length) return true;
        const auto body = connection.in.substr(end + 4, length);
        connection.in.erase(0, end + 4 + length);
        if (head.starts_with("POST ")) {
            const bool taken = apply_changes(body);
            record("discovery is asked to change the map: " + body + ": " + (taken ? "200" : "409"));
            say(connection.fd, std::string("HTTP/1.1 ") + (taken ? "200 OK" : "409 Conflict") +
                                   "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            return false;
        }
        const bool shards = head.find("/discovery/shards") != std::string::npos;
        const bool stream = head.find("stream=1") != std::string::npos;
        const auto text = shards ? print_map(map_, names_) : list_text();
        if (!stream) {
            say(connection.fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) +
                                   "\r\nConnection: close\r\n\r\n" + text);
            return false;
        }
        say(connection.fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(text + "\n"));
        (shards ? connection.map_stream : connection.list_stream) = true;
        return true;
    }

    bool apply_changes(const std::string& body) {
        const auto update = read_map_update(body, names_);
        const auto* changes = std::get_if<MapChanges>(&update);
        if (changes == nullptr || changes->after != map_.version()) return false;
        auto map = map_;
        for (const auto& step : changes->steps) {
            auto next = map.after(step);
            if (!std::holds_alternative<ShardMap>(next)) return false;
            map = std::get<ShardMap>(next);
        }
        map_ = map;
        record("the map is now " + print_map(map_, names_));
        for (auto& each : connections_) {
            if (each.map_stream) say(each.fd, chunk(body + "\n"));
        }
        return true;
    }

    // --- Control ---

    bool read_control(Connection& connection) {
        const auto end = connection.in.find('\n');
        if (end == std::string::npos) return true;
        say(connection.fd, obey(connection.in.substr(0, end)) + '\n');
        return false;
    }

    // work SERVER MS: how long a part takes.          lose SERVER N: ends the connection instead of the next
    // N answers resets SERVER 0|1: by a reset, or in order. silent SERVER 0|1: answers nothing. copy SERVER
    // MS: how long a copy takes own SERVER MS: how late it obeys `own`. reach SERVER MS: how long a last
    // catch-up takes. map: the map.                                   holds SHARD: servers with the data of a
    // shard
    std::string obey(const std::string& line) {
        std::istringstream in(line);
        std::string verb, name;
        int value = 0;
        in >> verb >> name >> value;
        if (verb == "map") return print_map(map_, names_);
        if (verb == "holds") {
            std::string all;
            for (const auto& server : servers_) {
                const auto at = server.shards.find(std::strtoull(name.c_str(), nullptr, 10));
                if (at == server.shards.end()) continue;
                const auto& guard = at->second.guard;
                if (guard.has_copy())
                    all += ' ' + server.name +
                           (guard.owns()    ? ":owner"
                            : guard.reads() ? ":reader"
                                            : ":copy") +
                           (guard.fenced() ? ":fenced" : "");
            }
            return all.empty() ? "none" : all.substr(1);
        }
        for (auto& server : servers_) {
            if (server.name != name) continue;
            record("control: " + line);
            if (verb == "work") server.work_ms = value;
            if (verb == "own") server.own_ms = value;
            if (verb == "reach") server.reach_ms = value;
            if (verb == "lose") server.lose_answers = value;
            if (verb == "resets") server.resets = value != 0;
            if (verb == "silent") server.silent = value != 0;
            if (verb == "copy") server.copy_ms = value;
            return "ok";
        }
        return "what?";
    }

    ServerNames names_;
    std::set<std::string> ran_;
    std::map<std::pair<std::string, MoveId>, std::int64_t> reaching_, copying_;
    ShardMap map_;
    std::vector<Server> servers_;
    std::list<Connection> connections_;
    int discovery_fd_ = -1, control_fd_ = -1;
};

int tell(int port, const std::string& line) {
    const int fd = connect_to(port);
    if (fd < 0) return 2;
    say(fd, line + '\n');
    char bytes[65'536];
    for (ssize_t got = 0; (got = recv(fd, bytes, sizeof bytes, 0)) > 0;) std::cout.write(bytes, got);
    return 0;
}

// Sends one request and waits for its answer for as long as it said it would, and a second longer.
int ask(int port, const std::string& key, const std::string& name, const std::string& op,
        const std::string& shard, const std::string& query, int ms) {
    const int fd = connect_to(port);
    if (fd < 0) {
        std::cout << "no connection\n";
        return 0;
    }
    const timeval limit{ms / 1'000 + 1, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const auto body = R"({"targets":[{"partition":)" + shard + R"(,"share":1.0}],"query":")" + query + "\"}";
    record("client asks " + name + " key " + key + ": " + query);
    say(fd, "POST /" + op + " HTTP/1.1\r\nHost: service.internal\r\nX-Txn: " + name + "\r\nX-Lane: " + op +
                "\r\nX-Org: acme\r\nX-Remaining-Ms: " + std::to_string(ms) +
                (key == "-" ? "" : "\r\nIdempotency-Key: \"" + key + '"') + "\r\nConnection: close" +
                "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    std::string all;
    char bytes[65'536];
    for (ssize_t got = 0; (got = recv(fd, bytes, sizeof bytes, 0)) > 0;)
        all.append(bytes, static_cast<std::size_t>(got));
    std::string line;
    const auto end = all.find("\r\n\r\n");
    if (all.size() > 12 && end != std::string::npos) {
        line = all.substr(9, 3);
        if (all.find("Idempotent-Replayed: true") < end) line += " replayed";
        if (const auto at = all.find("Retry-After: "); at < end)
            line += " retry-after=" + all.substr(at + 13, all.find('\r', at) - at - 13);
        line += ' ' + all.substr(end + 4);
        if (line.back() == '\n' || line.back() == ' ') line.pop_back();
    } else {
        line = "nothing";
    }
    record("client has the answer to " + name + ": " + line);
    std::cout << line << '\n';
    return 0;
}

int get(int port, const std::string& path) {
    const int fd = connect_to(port);
    if (fd < 0) return 1;
    const timeval limit{2, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    say(fd, "GET " + path + " HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n");
    std::string all;
    char bytes[65'536];
    for (ssize_t got = 0; (got = recv(fd, bytes, sizeof bytes, 0)) > 0;)
        all.append(bytes, static_cast<std::size_t>(got));
    const auto end = all.find("\r\n\r\n");
    if (end == std::string::npos) return 1;
    std::cout << all.substr(end + 4);
    return all.starts_with("HTTP/1.1 200") ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> args(argv + 1, argv + argc);
    if (args.size() == 1 && args[0] == "port") {  // a free port
        int port = 0;
        close(listen_on_free_port(port));
        std::cout << port << '\n';
        return 0;
    }
    if (args.size() == 4 && args[0] == "world") {
        record_path = args[1] + "/record.txt";
        World(args[1], args[2], std::strtoul(args[3].c_str(), nullptr, 10)).run();
    }
    if (args.size() >= 3 && args[0] == "ctl") {
        std::string line;
        for (std::size_t i = 2; i < args.size(); ++i) line += (i > 2 ? " " : "") + args[i];
        return tell(std::atoi(args[1].c_str()), line);
    }
    if (args.size() == 3 && args[0] == "get") return get(std::atoi(args[1].c_str()), args[2]);
    if (args.size() == 9 && args[0] == "ask") {
        record_path = args[2] + "/record.txt";
        return ask(std::atoi(args[1].c_str()), args[3], args[4], args[5], args[6], args[7],
                   std::atoi(args[8].c_str()));
    }
    return 2;
}
