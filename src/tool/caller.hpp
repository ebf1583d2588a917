// Asks over HTTP, or a box by frames, and waits for the answer: for commands, which have nothing else to do.
#pragma once

#include <optional>
#include <string>

#include "net/socket.hpp"

namespace pinedoor::tool {

struct HttpResponse {
    int status = 0;
    std::string body;
};
// None: there was no answer within so long.
std::optional<HttpResponse> ask_http(net::Endpoint endpoint, const std::string& method,
                                     const std::string& target, const std::string& body, int timeout_ms);

// One connection to a box, which is made anew when it breaks. A request is the letter M, a number, and words;
// the answer the same number, yes or no, and a number (docs/placement.md, "What the mover asks of a box").
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
