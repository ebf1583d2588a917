#include "service/request_handler.hpp"

#include "parse/json.hpp"

namespace pinedoor::service {

std::string answer_body(const MultigetResult& ending) {
    std::string body = ending.whole ? "{\"whole\":true,\"results\":[" : "{\"whole\":false,\"results\":[";
    bool first = true;
    for (const auto& [shard, value] : ending.values) {
        if (!std::exchange(first, false)) body.push_back(',');
        body += "{\"partition\":" + std::to_string(shard) + ",\"value\":";
        parse::append_json_string(body, value);
        body.push_back('}');
    }
    body += "]}";
    return body;
}

}  // namespace pinedoor::service
