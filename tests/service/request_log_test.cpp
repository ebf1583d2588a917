// Follows one request through the log from its arrival to its end, with reasons.
#include <doctest/doctest.h>

#include <string>

#include "stand_ins.hpp"

namespace {

using namespace pinedoor::test;

// Returns the lines of one request, each with its event, message and reason.
std::string lines_of(const FrontNodeProcess& program, const std::string& request) {
    std::istringstream log(program.log());
    std::string found;
    const auto value = [](const std::string& line, const std::string& key) {
        const auto at = line.find(' ' + key + '=');
        if (at == std::string::npos) return std::string();
        const auto from = at + key.size() + 2;
        if (line[from] != '"') return line.substr(from, line.find(' ', from) - from);
        return line.substr(from + 1, line.find('"', from + 1) - from - 1);
    };
    for (std::string line; std::getline(log, line);) {
        if (value(line, "request") == request)
            found += value(line, "event") + ": " + value(line, "msg") + ", " + value(line, "reason") + '\n';
    }
    return found;
}

TEST_CASE("the lines of a request share its name and give the reason of each end") {
    Listener server;
    FrontNodeProcess program({{"s-1", server.at()}}, Listener().at());
    program.with_settings("[log]\nlevel = \"debug\"\n").with("\"max_open\":40", "\"max_open\":2");
    auto client = program.start().client();
    client.say(post("again", "t1", asks({1})));
    auto link = server.accept();
    link.frame();
    auto second = program.client();
    second.say(post("again", "t2", asks({2})));
    CHECK(second.answer().starts_with("503"));
    link.reset();
    CHECK(client.answer().starts_with("503"));
    CHECK(lines_of(program, "t1") ==
          "request_taken: 1 parts, \n"
          "attempt: first, first\n"
          "attempt_ended: reset, reset\n"
          "request_ended: refused, too few parts are left\n");
    CHECK(lines_of(program, "t2") == "request_not_taken: refused before any decision, no room\n");
}

TEST_CASE("at level info no line is written for a request that is served") {
    Listener server;
    FrontNodeProcess program({{"s-1", server.at()}}, Listener().at());
    auto client = program.start().client();
    client.say(post("again", "t1", asks({1})));
    auto link = server.accept();
    link.frame();
    link.reply("t1.1", "done", "v");
    CHECK(client.answer().starts_with("200"));
    CHECK(lines_of(program, "t1").empty());
}

}  // namespace
