// Reads a multiget from a client's HTTP request.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "parse/http.hpp"
#include "service/request_handler.hpp"

namespace pinedoor::service {

// What is wrong with a request, in words for its client.
struct RequestFault {
    std::string text;
};

class MultigetParser {
public:
    // What the names and numbers in a request may be.
    struct Vocabulary {
        std::vector<std::string> op_types;
        std::vector<std::string> tenants;  // empty: requests name none
        int shards = 0;
        bool accepts_keys = false;  // whether Idempotency-Key is read; else it is ignored
    };

    explicit MultigetParser(Vocabulary vocabulary) : vocabulary_(std::move(vocabulary)) {}

    // `request` is complete; its body is taken. `arrived`: when its first byte was read. `answer_by`: the
    // latest time for any answer.
    std::variant<MultigetRequest, RequestFault> parse(parse::HttpParser& request, Time arrived,
                                                      Time answer_by) const;

private:
    // These return what is wrong, or an empty string.
    std::string parse_head(const parse::HttpParser& request, Time arrived, Time answer_by,
                           MultigetRequest& multiget) const;
    std::string parse_key(const parse::HttpParser& request, const std::string& body,
                          MultigetRequest& multiget) const;
    std::string parse_body(const std::string& body, MultigetRequest& multiget) const;

    const Vocabulary vocabulary_;
};

}  // namespace pinedoor::service
