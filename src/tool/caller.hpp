// Blocking clients for the commands: HTTP requests, and requests to a box by frames.
#pragma once

#include <optional>
#include <string>

#include "net/socket.hpp"

namespace pinedoor::tool {

struct HttpResponse {
    int status = 0;
    std::string body;
};
// Returns nullopt if there is no response within the timeout.
std::optional<HttpResponse> send_http_request(net::Endpoint endpoint, const std::string& method,
                                              const std::string& target, const std::string& body,
                                              int timeout_ms);

// A connection to a box, reopened after it breaks. A request is the letter M, a request number and the words
// of the command; the response is the same number, yes or no, and a number (docs/placement.md, "What the
// mover asks of a box").
class BoxConnection {
public:
    explicit BoxConnection(net::Endpoint endpoint) : endpoint_(endpoint) {}
    struct Response {
        bool accepted = false;
        std::uint64_t value = 0;
    };
    std::optional<Response> request(const std::string& command, int timeout_ms);

private:
    const net::Endpoint endpoint_;
    net::Fd fd_;
    std::string received_;
    std::uint64_t last_request_id_ = 0;
};

}  // namespace pinedoor::tool
