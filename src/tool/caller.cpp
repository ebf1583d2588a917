#include "tool/caller.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <chrono>
#include <sstream>

#include "parse/frame.hpp"
#include "parse/http.hpp"

namespace pinedoor::tool {
namespace {

constexpr std::size_t kLargest = std::size_t{64} << 20U;

// A connection whose every wait is bounded.
net::Fd connected(net::Endpoint at, int most_ms) {
    net::Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval limit{most_ms / 1'000, most_ms % 1'000 * 1'000};
    setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    address.sin_addr.s_addr = htonl(at.address);
    if (connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return net::Fd{};
    return fd;
}

bool say(const net::Fd& fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto count = send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

}  // namespace

std::optional<HttpAnswer> ask_http(net::Endpoint at, const std::string& method, const std::string& target,
                                   const std::string& body, int most_ms) {
    const auto fd = connected(at, most_ms);
    if (!fd) return std::nullopt;
    const auto request = method + ' ' + target + " HTTP/1.1\r\nHost: " + net::to_text(at) +
                         "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body;
    if (!say(fd, request)) return std::nullopt;
    parse::HttpReader reader(parse::HttpReader::Kind::kResponse, {16 * 1024, kLargest});
    HttpAnswer answer;
    std::string held;
    char bytes[16'384];
    while (reader.state() != parse::HttpReader::State::kDone) {
        const auto count = recv(fd.get(), bytes, sizeof bytes, 0);
        if (count <= 0 || reader.state() == parse::HttpReader::State::kBad) return std::nullopt;
        held.append(bytes, static_cast<std::size_t>(count));
        held.erase(0, reader.feed(held));
        answer.body += reader.take_body();
    }
    answer.status = reader.status();
    return answer;
}

std::optional<BoxLink::Answer> BoxLink::ask(const std::string& words, int most_ms) {
    const auto number = std::to_string(++last_);
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(most_ms);
    if (!fd_) {
        held_.clear();
        fd_ = connected(at_, most_ms);
        if (!fd_) return std::nullopt;
    }
    auto frame = parse::begin_frame('M');
    frame += number + ' ' + words;
    parse::end_frame(frame);
    if (!say(fd_, frame)) {
        fd_ = net::Fd{};
        return std::nullopt;
    }
    char bytes[4'096];
    while (std::chrono::steady_clock::now() < until) {
        const auto scan = parse::scan_frame(held_, kLargest);
        if (scan.state == parse::FrameScan::State::kFrame) {
            std::istringstream in{std::string(scan.rest)};
            std::string to, yes;
            Answer answer;
            in >> to >> yes >> answer.number;
            const bool readable = scan.letter == 'M' && (yes == "yes" || yes == "no");
            held_.erase(0, scan.size);
            if (!readable) break;
            if (to != number) continue;  // of a request that was given up
            answer.yes = yes == "yes";
            return answer;
        }
        if (scan.state == parse::FrameScan::State::kBad) break;
        const auto count = recv(fd_.get(), bytes, sizeof bytes, 0);
        if (count <= 0) break;
        held_.append(bytes, static_cast<std::size_t>(count));
    }
    fd_ = net::Fd{};
    return std::nullopt;
}

}  // namespace pinedoor::tool
