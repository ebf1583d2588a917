// Clients: one multiget each --every-ms to the front nodes in turn, each on a connection of its own, and a
// line in the record for what was asked and what was answered.
//
//   client2 --nodes PORT,PORT --op once --parts 0,3 --query TEXT --count N --every-ms N --ms 4000 --record
//   FILE
//           --name TAG [--key KEY] [--tenant NAME]
//
// Prints how many were answered with 200, refused with 429 or 503, failed, or never answered.
#include <atomic>
#include <thread>

#include "net2.hpp"

using namespace review2;

namespace {

std::vector<int> numbers(const std::string& list) {
    std::vector<int> all;
    std::istringstream in(list);
    for (std::string each; std::getline(in, each, ',');) all.push_back(std::atoi(each.c_str()));
    return all;
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    const Options options(argc, argv);
    const Record record(options.text("record", "/dev/null"));
    const auto nodes = numbers(options.text("nodes"));
    const auto parts = numbers(options.text("parts", "0"));
    const auto op = options.text("op", "once"), tag = options.text("name", "c"), key = options.text("key");
    const int ms = options.number("ms", 4'000), count = options.number("count", 1);
    std::string body = "{\"targets\":[";
    for (const int part : parts)
        body += std::string(body.back() == '[' ? "" : ",") + "{\"partition\":" + std::to_string(part) +
                ",\"share\":" + std::to_string(1.0 / static_cast<double>(parts.size())) + '}';
    body += "],\"query\":\"" + options.text("query", op) + "\"}";
    std::atomic<int> good = 0, refused = 0, failed = 0, lost = 0;
    std::vector<std::thread> all;
    for (int i = 0; i < count; ++i) {
        if (i > 0) usleep(static_cast<useconds_t>(options.number("every-ms", 100)) * 1'000);
        all.emplace_back([&, i] {
            const auto name = tag + '-' + std::to_string(getpid()) + '-' + std::to_string(i);
            const int port = nodes[static_cast<std::size_t>(i) % nodes.size()];
            const int fd = connect_to(port, ms + 1'000);
            if (fd < 0) {
                record.line("client " + name + " no connection");
                ++lost;
                return;
            }
            record.line("client " + name + " asks " + std::to_string(port) + ' ' + op + ' ' +
                        options.text("parts", "0") + (key.empty() ? "" : " key " + key));
            Input input(fd);
            std::string head, answer;
            const bool sent =
                say(fd, "POST /" + op + " HTTP/1.1\r\nHost: x\r\nX-Txn: " + name + "\r\nX-Lane: " + op +
                            "\r\nX-Org: " + options.text("tenant", "acme") +
                            "\r\nX-Remaining-Ms: " + std::to_string(ms) + "\r\n" +
                            (key.empty() ? "" : "Idempotency-Key: \"" + key + "\"\r\n") +
                            "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            if (!sent || !input.until("\r\n\r\n", head) || !input.bytes(content_length(head), answer)) {
                record.line("client " + name + " got no answer");
                ++lost;
                close(fd);
                return;
            }
            const int status = std::atoi(head.substr(9, 3).c_str());
            record.line("client " + name + " got " + std::to_string(status) + ' ' +
                        answer.substr(0, answer.find('\n')).substr(0, 300));
            ++(status == 200 ? good : status == 503 || status == 429 ? refused : failed);
            close(fd);
        });
    }
    for (auto& each : all) each.join();
    std::printf("answered %d refused %d failed %d lost %d\n", good.load(), refused.load(), failed.load(),
                lost.load());
    return 0;
}
