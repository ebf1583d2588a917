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

constexpr std::size_t kMaxResponseBytes = std::size_t{64} << 20U;

// Opens a connection on which connect, send and receive each time out after `timeout_ms`.
net::Fd connect_to(net::Endpoint endpoint, int timeout_ms) {
    net::Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval limit{timeout_ms / 1'000, timeout_ms % 1'000 * 1'000};
    setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.address);
    if (connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return net::Fd{};
    return fd;
}

bool send_all(const net::Fd& fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto count = send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

}  // namespace

std::optional<HttpResponse> send_http_request(net::Endpoint endpoint, const std::string& method,
                                              const std::string& target, const std::string& body,
                                              int timeout_ms) {
    const auto fd = connect_to(endpoint, timeout_ms);
    if (!fd) return std::nullopt;
    const auto request = method + ' ' + target + " HTTP/1.1\r\nHost: " + net::to_text(endpoint) +
                         "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body;
    if (!send_all(fd, request)) return std::nullopt;
    parse::HttpParser reader(parse::HttpParser::Kind::kResponse, {16 * 1024, kMaxResponseBytes});
    HttpResponse response;
    std::string received;
    char bytes[16'384];
    while (reader.state() != parse::HttpParser::State::kDone) {
        const auto count = recv(fd.get(), bytes, sizeof bytes, 0);
        if (count <= 0 || reader.state() == parse::HttpParser::State::kBad) return std::nullopt;
        received.append(bytes, static_cast<std::size_t>(count));
        received.erase(0, reader.feed(received));
        response.body += reader.take_body();
    }
    response.status = reader.status();
    return response;
}

std::optional<BoxConnection::Response> BoxConnection::request(const std::string& command, int timeout_ms) {
    const auto number = std::to_string(++last_request_id_);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
    if (!fd_) {
        received_.clear();
        fd_ = connect_to(endpoint_, timeout_ms);
        if (!fd_) return std::nullopt;
    }
    auto frame = parse::begin_frame('M');
    frame += number + ' ' + command;
    parse::end_frame(frame);
    if (!send_all(fd_, frame)) {
        fd_ = net::Fd{};
        return std::nullopt;
    }
    char bytes[4'096];
    while (std::chrono::steady_clock::now() < deadline) {
        const auto scan = parse::scan_frame(received_, kMaxResponseBytes);
        if (scan.state == parse::FrameScan::State::kFrame) {
            std::istringstream in{std::string(scan.rest)};
            std::string request_id, verdict;
            Response response;
            in >> request_id >> verdict >> response.value;
            const bool valid = scan.letter == 'M' && (verdict == "yes" || verdict == "no");
            received_.erase(0, scan.size);
            if (!valid) break;
            if (request_id != number) continue;  // the response to an abandoned request
            response.accepted = verdict == "yes";
            return response;
        }
        if (scan.state == parse::FrameScan::State::kBad) break;
        const auto count = recv(fd_.get(), bytes, sizeof bytes, 0);
        if (count <= 0) break;
        received_.append(bytes, static_cast<std::size_t>(count));
    }
    fd_ = net::Fd{};
    return std::nullopt;
}

}  // namespace pinedoor::tool
