// Asks over HTTP, or a box by frames, and waits for the answer: for commands, which have nothing else to do.
#pragma once

#include <optional>
#include <string>

#include "net/socket.hpp"

namespace pinedoor::tool {

struct HttpAnswer {
    int status = 0;
    std::string body;
};
// None: there was no answer within so long.
std::optional<HttpAnswer> ask_http(net::Endpoint at, const std::string& method, const std::string& target,
                                   const std::string& body, int most_ms);

// One connection to a box, which is made anew when it breaks. A request is the letter M, a number, and words;
// the answer the same number, yes or no, and a number (docs/placement.md, "What the mover asks of a box").
class BoxLink {
public:
    explicit BoxLink(net::Endpoint at) : at_(at) {}
    struct Answer {
        bool yes = false;
        std::uint64_t number = 0;
    };
    std::optional<Answer> ask(const std::string& words, int most_ms);

private:
    const net::Endpoint at_;
    net::Fd fd_;
    std::string held_;
    std::uint64_t last_ = 0;
};

}  // namespace pinedoor::tool
