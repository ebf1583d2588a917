// Test fixtures that start the front node as a process and act as its clients, index servers and discovery on
// loopback. Each step waits for the condition that it needs, so tests do not depend on the machine's speed.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "lab/live/held_port.hpp"
#include "net/socket.hpp"
#include "parse/frame.hpp"
#include "parse/http.hpp"
#include "stand_ins/scratch.hpp"

namespace pinedoor::test {

// Whether this is "503 retry-after=SECONDS" with SECONDS in the given range.
inline bool is_pushback(const std::string& answer, double least, double most) {
    const std::string begins = "503 retry-after=";
    if (!answer.starts_with(begins)) return false;
    const double seconds = std::stod(answer.substr(begins.size()));
    return seconds >= least - 0.001 && seconds <= most + 0.001;
}

inline constexpr int kWaitTimeoutSeconds = 8;   // limit of any wait for an event that may never occur
inline constexpr int kMaxShutdownSeconds = 60;  // a process that has not exited by then is killed
inline constexpr int kMaxCommandSeconds = 300;  // limit of a command that ends by itself

inline sockaddr_in to_sockaddr(net::Endpoint endpoint) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.address);
    return address;
}

inline void set_socket_timeouts(const net::Fd& fd) {
    const timeval limit{kWaitTimeoutSeconds, 0};
    setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int on = 1;
    setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// One end of a TCP connection, with blocking reads and writes.
class Peer {
public:
    Peer() = default;
    explicit Peer(net::Fd fd) : fd_(std::move(fd)) { set_socket_timeouts(fd_); }
    explicit Peer(net::Endpoint to) : Peer(net::Fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))) {
        const auto address = to_sockaddr(to);
        connected_ = connect(fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    }

    bool connected() const { return connected_; }
    int fd() const { return fd_.get(); }
    bool has_buffered_data() const { return !received_.empty(); }
    // Sends all bytes; stops silently if the connection breaks.
    void say(std::string_view bytes) {
        while (!bytes.empty()) {
            const auto count = send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0) return;
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
    }
    // Returns the received bytes up to and including the delimiter; all of them if the connection ends before
    // it.
    std::string read_to(std::string_view delimiter) {
        for (std::size_t position = 0; (position = received_.find(delimiter)) == std::string::npos;) {
            if (!read_more()) return std::exchange(received_, {});
        }
        return take(received_.find(delimiter) + delimiter.size());
    }
    std::string read_bytes(std::size_t count) {
        while (received_.size() < count) {
            if (!read_more()) return std::exchange(received_, {});
        }
        return take(count);
    }
    // Waits until data arrives or the connection ends; true if it ended.
    bool ended() {
        while (received_.empty() && read_more()) {
        }
        return received_.empty();
    }
    void shutdown_write() { shutdown(fd_.get(), SHUT_WR); }
    // Closes with SO_LINGER 0, so that the other end receives a reset.
    void reset() {
        const linger now{1, 0};
        setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        fd_ = net::Fd{};
    }

    // Reads an HTTP response as a client: status, the retry-after and connection headers if present, and the
    // body.
    std::string answer() {
        parse::HttpParser reader(parse::HttpParser::Kind::kResponse);
        while (reader.state() != parse::HttpParser::State::kDone) {
            if (reader.state() == parse::HttpParser::State::kBad) return "malformed";
            if (received_.empty() && !read_more()) return "nothing";
            take(reader.feed(received_));
        }
        std::string text = std::to_string(reader.status());
        for (const char* name : {"retry-after", "connection"}) {
            if (const auto* value = reader.header(name)) text += ' ' + std::string(name) + '=' + *value;
        }
        const auto body = reader.take_body();
        return body.empty() ? text : text + ' ' + body;
    }

    // Reads a frame as an index server: the type letter and the payload.
    std::string read_frame_with_time() {
        const auto head = read_bytes(4);
        if (head.size() < 4) return "nothing";
        const auto size = static_cast<unsigned char>(head[0]) + 256U * static_cast<unsigned char>(head[1]);
        return read_bytes(size);
    }
    // The same without the d= fields (how long the front node will wait).
    std::string frame() {
        auto text = read_frame_with_time();
        for (auto position = text.find(" d="); position != std::string::npos; position = text.find(" d=")) {
            text.erase(position, text.find(' ', position + 1) - position);
        }
        return text;
    }
    // Sends the result of one part.
    void reply(const std::string& id, const std::string& status, const std::string& value = "") {
        write_frame("R" + id + ' ' + status + " 7 util=0.5\n" + value);
    }
    // Sends a frame; `text` is the type letter and the payload.
    void write_frame(const std::string& text) {
        auto frame = parse::begin_frame(text.at(0));
        frame += text.substr(1);
        parse::end_frame(frame);
        say(frame);
    }

private:
    bool read_more() {
        char bytes[4096];
        const auto count = recv(fd_.get(), bytes, sizeof bytes, 0);
        if (count > 0) received_.append(bytes, static_cast<std::size_t>(count));
        return count > 0;
    }
    std::string take(std::size_t count) {
        auto taken = received_.substr(0, count);
        received_.erase(0, count);
        return taken;
    }

    net::Fd fd_;
    std::string received_;
    bool connected_ = false;
};

// A listening socket on loopback; port 0 lets the kernel choose one.
class Listener {
public:
    explicit Listener(int backlog = 64, net::Endpoint endpoint = {INADDR_LOOPBACK, 0})
        : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        set_socket_timeouts(fd_);
        const int on = 1;
        if (endpoint.port != 0) setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = to_sockaddr(endpoint);
        socklen_t size = sizeof address;
        if (bind(fd_.get(), reinterpret_cast<const sockaddr*>(&address), size) != 0) std::abort();
        getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&address), &size);
        endpoint_ = {INADDR_LOOPBACK, ntohs(address.sin_port)};
        listen(fd_.get(), backlog);
    }
    net::Endpoint at() const { return endpoint_; }
    int fd() const { return fd_.get(); }
    Peer accept() { return Peer(net::Fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC))); }
    void close() { fd_ = net::Fd{}; }

private:
    net::Fd fd_;
    net::Endpoint endpoint_;
};

// Index servers that answer every part (kGood), or that at random, from a fixed seed, also fail it, report
// full, do not answer, answer a wrong part, send a partial or malformed frame, or reset the connection
// (kBad).
class FaultyServers {
public:
    enum class Manners { kBad, kGood };
    explicit FaultyServers(int servers, Manners behaviour = Manners::kBad)
        : listeners_(static_cast<std::size_t>(servers)), behaviours_(behaviour == Manners::kBad ? 40 : 0) {
        thread_ = std::thread([this] { run(); });
    }
    ~FaultyServers() {
        stop_ = true;
        thread_.join();
    }
    net::Endpoint at(std::size_t server) const { return listeners_[server].at(); }

private:
    void run() {
        while (!stop_) {
            std::vector<pollfd> polled;
            for (const auto& listener : listeners_) polled.push_back({listener.fd(), POLLIN, 0});
            for (const auto& peer : peers_) polled.push_back({peer.fd(), POLLIN, 0});
            poll(polled.data(), polled.size(), 20);
            for (std::size_t i = peers_.size(); i-- > 0;) {
                if (polled[listeners_.size() + i].revents == 0) continue;
                bool open = serve(peers_[i]);
                while (open && peers_[i].has_buffered_data()) open = serve(peers_[i]);
                if (!open) peers_.erase(peers_.begin() + static_cast<std::ptrdiff_t>(i));
            }
            for (std::size_t i = 0; i < listeners_.size(); ++i) {
                if (polled[i].revents != 0) peers_.push_back(listeners_[i].accept());
            }
        }
    }
    bool serve(Peer& peer) {
        auto frame = peer.frame();
        if (frame == "nothing") return false;
        if (frame[0] != 'S') return true;
        std::istringstream parts(frame.substr(1));
        std::string id, shard;
        for (std::size_t size = 0; parts >> id >> shard >> size;) {
            parts.ignore(static_cast<std::streamsize>(size) + 1);
            switch (behaviours_ == 0 ? 40 : random_() % behaviours_) {
                case 0: peer.reply(id, "failed"); break;
                case 1: peer.reply(id, "full"); break;
                case 2: peer.say(std::string("\x30\0\0\0R", 5) + id); return false;
                case 3: peer.reset(); return false;
                case 4: peer.reply(id + "0", "done"); break;
                case 5: break;  // no answer
                case 6: peer.write_frame("Fwhat"); break;
                default: peer.reply(id, "done", "of " + id);
            }
        }
        return true;
    }

    std::vector<Listener> listeners_;
    const std::uint32_t behaviours_;  // equally likely behaviours, of which 0 to 6 are faults; 0: no faults
    std::vector<Peer> peers_;
    std::mt19937 random_{7};
    std::atomic<bool> stop_ = false;
    std::thread thread_;
};

// An entry of discovery's server list.
struct Listed {
    std::string name;
    net::Endpoint at;
    std::string phase = "Ready";
    std::int64_t up_since_ms = 0;
    int cell = 0;
    std::string text() const {
        return "{\"id\":\"" + name + "\",\"host_port\":\"" + net::to_text(at) +
               "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":" + std::to_string(cell) + ",\"phase\":\"" +
               phase + "\",\"size\":1.0,\"up_since_ms\":" + std::to_string(up_since_ms) + '}';
    }
};

inline std::string list_object(int revision, bool complete, const std::vector<Listed>& members) {
    std::string text = "{\"revision\":" + std::to_string(revision) +
                       ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[";
    for (const auto& member : members) {
        if (text.back() != '[') text += ',';
        text += member.text();
    }
    return text + "]}";
}

inline std::string chunk(const std::string& text) {
    std::ostringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n";
}

inline const std::string kStream = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// A front node process with a small deployment: one ring position, so every server holds all shards, and at
// most one send per part, so each outcome is visible in the response. with() replaces any text of the
// configuration before start().
class FrontNodeProcess {
public:
    explicit FrontNodeProcess(const std::vector<Listed>& known, net::Endpoint discovery) {
        config_ = R"({"name":"n0","listen":")" + net::to_text(at()) + R"(","discovery":")" +
                  net::to_text(discovery) + R"(","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)" +
                  list_object(1, true, known) + R"(,"settings":{
"classes":[
{"aim_ms":2000.0,"deadline_ms":4000.0,"effect":"free","late_worth":0.0,
"memory_span_ms":0.0,"name":"again","worth":1.0},
{"aim_ms":2000.0,"deadline_ms":4000.0,"effect":"single_shot","late_worth":0.0,
"memory_span_ms":0.0,"name":"once","worth":1.0}],
"clients":{"marks_retry":false},"discovery":"on_request","failure_domains":["a"],
"family_info":{"follow_up":[0,0],"min_share":[0.5,1.0],"need_by_class":[1.0,1.0],"overhead_ms":1.0,
"per_call":2,"places":1,
"shards":12,"short_worth":[0.9,0.9],"warm_keys":false,"width":1},
"limits":{"cancel":true,"conn_idle_ms":30000.0,"connect_timeout_ms":250.0,"max_attempts":1,"max_open":40,
"max_retry_after_ms":1250.0,"peers":false,"probes":false,"retry_after":true,
"second_copies":true,"streams_per_conn":4},
"load_info":{"fields":["util"],"how":"inline"},"me":0,
"parties":[{"fraction":1.0,"name":"acme, inc","quota_per_s":100.0}],
"rules":{"cold_from":0.2,"fall_multiple":3.0,"grace_to_answer_ms":20.0,"must_ask_in_ms":1600.0,
"stop_sending_within_ms":250.0,"tip_after_ms":1000.0,"warm_after_ms":16000.0},
"siblings":1,"tick_ms":1.0,"zone":0}})";
    }
    ~FrontNodeProcess() {
        kill(SIGKILL);
        if (!folder_.empty()) std::filesystem::remove_all(folder_);
    }
    FrontNodeProcess(const FrontNodeProcess&) = delete;
    FrontNodeProcess& operator=(const FrontNodeProcess&) = delete;

    // Replaces the first occurrence of `old_text` in the configuration file.
    FrontNodeProcess& with(const std::string& old_text, const std::string& new_text) {
        const auto position = config_.find(old_text);
        if (position == std::string::npos) std::abort();
        config_.replace(position, old_text.size(), new_text);
        return *this;
    }
    // Sets ROUTER_DISCOVERY.
    FrontNodeProcess& with_discovery_variable(net::Endpoint discovery) {
        discovery_ = net::to_text(discovery);
        return *this;
    }
    // Sets pinedoor's TOML settings. Each @ in the text is replaced by folder(), which lasts as long as this
    // object.
    FrontNodeProcess& with_settings(const std::string& toml) {
        settings_ = toml;
        return *this;
    }
    FrontNodeProcess& run_program(const char* path) {
        path_ = path;
        return *this;
    }
    FrontNodeProcess& with_environment(const std::string& name, const std::string& value) {
        environment_[name] = value;
        return *this;
    }
    const std::string& folder() const { return folder_; }
    net::Endpoint at() const { return port_.at(); }
    // Runs `pinedoor store ...`; returns its stdout and stderr, followed by its exit code if that is not 0:
    // 124 if it did not end within kMaxCommandSeconds.
    std::string store(const std::string& arguments) const {
        const auto command = "timeout " + std::to_string(kMaxCommandSeconds) + ' ' + PINEDOOR_PROGRAM +
                             " store -s " + folder_ + "/pinedoor.toml " + arguments + " 2>&1";
        std::string text;
        auto* const pipe = popen(command.c_str(), "r");
        for (char bytes[4096]; const auto count = fread(bytes, 1, sizeof bytes, pipe);)
            text.append(bytes, count);
        const int code = WEXITSTATUS(pclose(pipe));
        return code == 0 ? text : text + "exit " + std::to_string(code) + '\n';
    }
    // Writes the configuration file again, for a reload.
    void rewrite() const { std::ofstream(folder_ + "/config.json") << config_; }
    FrontNodeProcess& start() {
        auto folder = scratch() + "/pinedoor-test-XXXXXX";
        if (folder_.empty()) folder_ = mkdtemp(folder.data());
        rewrite();
        if (!settings_.empty()) {
            auto text = settings_;
            for (auto position = text.find('@'); position != std::string::npos;
                 position = text.find('@', position))
                text.replace(position, 1, folder_);
            std::ofstream(folder_ + "/pinedoor.toml") << text;
        }
        const auto log_file = folder_ + "/log";
        const auto variables = environment_variables();
        std::vector<char*> environment;
        for (const auto& variable : variables) environment.push_back(const_cast<char*>(variable.c_str()));
        environment.push_back(nullptr);
        // Threads of the test may hold the heap lock, so the child must not allocate before execle.
        pid_ = fork();
        if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
        if (pid_ == 0) {
            const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
            dup2(log, 1);  // an output of the test stays open for as long as a process holds it
            dup2(log, 2);
            execle(path_, path_, static_cast<char*>(nullptr), environment.data());
            _exit(127);
        }
        return *this;
    }
    // Connects to the process, waiting until it listens.
    Peer client() {
        for (int tries = 0; tries < kWaitTimeoutSeconds * 100; ++tries) {
            Peer peer(at());
            if (peer.connected()) return peer;
            usleep(10'000);
        }
        report_state("does not accept connections");
        return Peer{};
    }
    pid_t process() const { return pid_; }
    void kill(int signal) {
        if (pid_ <= 0) return;
        ::kill(pid_, signal);
        if (signal == SIGKILL) wait();
    }
    // Waits for the process to exit; returns its exit code, or the negative number of the signal that ended
    // it. Kills the process after kMaxShutdownSeconds.
    int wait() {
        constexpr int kNotRun = -1000;
        int status = 0;
        pid_t ended = pid_ > 0 ? 0 : -1;
        for (int tries = 0; ended == 0 && tries < kMaxShutdownSeconds * 1'000; ++tries) {
            ended = waitpid(pid_, &status, WNOHANG);
            if (ended == 0) usleep(1'000);
        }
        if (ended == 0) {
            ::kill(pid_, SIGKILL);
            ended = waitpid(pid_, &status, 0);
        }
        pid_ = 0;
        if (ended < 0) return kNotRun;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    std::string log() const {
        std::ostringstream text;
        text << std::ifstream(folder_ + "/log").rdbuf();
        return text.str();
    }
    // Reads a counter from /counters; 999'999 if there is none of this name.
    std::uint64_t counter(const std::string& name) {
        auto peer = client();
        peer.say("GET /counters HTTP/1.1\r\nConnection: close\r\n\r\n");
        const auto answer = peer.answer();
        if (peer.connected() && answer == "nothing") report_state("does not answer /counters");
        std::istringstream lines(
            answer.substr(std::min<std::size_t>(answer.size(), 21)));  // skips "200 connection=close "
        std::uint64_t value = 0;
        for (std::string key; lines >> key >> value;) {
            if (key == name) return value;
        }
        return 999'999;
    }
    // Waits until the counter has this value; returns the last value that was read. Ends at once if the
    // process has taken a whole wait for one answer.
    std::uint64_t wait_for_counter(const std::string& name, std::uint64_t value) {
        std::uint64_t last = 0;
        for (int tries = 0; tries < kWaitTimeoutSeconds * 100; ++tries) {
            const auto asked_at = std::chrono::steady_clock::now();
            last = counter(name);
            const auto waited = std::chrono::steady_clock::now() - asked_at;
            if (last == value || waited >= std::chrono::seconds(kWaitTimeoutSeconds)) return last;
            usleep(10'000);
        }
        return last;
    }

private:
    // Prints what the process is doing, for the trace of a test in which it is silent.
    void report_state(const char* what) const {
        const auto file = "/proc/" + std::to_string(pid_);
        std::ostringstream program, waits_in;
        program << std::ifstream(file + "/comm").rdbuf();
        waits_in << std::ifstream(file + "/wchan").rdbuf();
        std::fprintf(stderr, "process %d %s; its program: %s; it waits in: %s; its log:\n%s\n", pid_, what,
                     program.str().c_str(), waits_in.str().c_str(), log().c_str());
    }

    // The environment of the process, as NAME=VALUE: that of the test without pinedoor's own variables, and
    // those that the test sets.
    std::vector<std::string> environment_variables() const {
        auto own = environment_;
        own.emplace("ROUTER_CONFIG", folder_ + "/config.json");
        if (!settings_.empty()) own.emplace("PINEDOOR_SETTINGS", folder_ + "/pinedoor.toml");
        if (!discovery_.empty()) own["ROUTER_DISCOVERY"] = discovery_;
        std::vector<std::string> variables;
        for (char** inherited = environ; *inherited != nullptr; ++inherited) {
            const std::string variable = *inherited;
            const auto name = variable.substr(0, variable.find('='));
            const bool is_removed =
                name == "ROUTER_NAME" || name == "ROUTER_LISTEN" || name == "ROUTER_DISCOVERY";
            if (!is_removed && !own.contains(name)) variables.push_back(variable);
        }
        for (const auto& [name, value] : own) variables.push_back(name + '=' + value);
        return variables;
    }

    // Reserves the port, so that a client that connects before the process listens is not connected to
    // itself.
    const lab::HeldPort port_;
    const char* path_ = PINEDOOR_PROGRAM;
    std::string config_;
    std::string folder_;
    std::string discovery_;
    std::string settings_;
    std::map<std::string, std::string> environment_;
    pid_t pid_ = 0;
};

// A multiget request in HTTP.
inline std::string post(const std::string& op_type, const std::string& name, const std::string& body,
                        int remaining_ms = 4'000, const std::string& more_headers = "") {
    return "POST /" + op_type + " HTTP/1.1\r\nHost: x\r\nx-txn: " + name + "\r\nX-Lane: " + op_type +
           "\r\nX-Org: acme, inc\r\nX-Remaining-Ms: " + std::to_string(remaining_ms) + "\r\n" + more_headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The body of a multiget for these shards, with equal shares.
inline std::string asks(const std::vector<int>& shards, const std::string& text = "q") {
    std::string body = "{\"targets\":[";
    for (const int shard : shards) {
        if (body.back() != '[') body += ',';
        body += "{\"partition\":" + std::to_string(shard) +
                ",\"share\":" + std::to_string(1.0 / static_cast<double>(shards.size())) + "}";
    }
    return body + "],\"query\":\"" + text + "\"}";
}

}  // namespace pinedoor::test
