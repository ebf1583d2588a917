// Asks discovery for something that comes as JSON objects, and hands each object on as it comes: mostly one
// stands on a line, but any may be laid out over several.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "net/scheduler.hpp"
#include "net/socket.hpp"

namespace pinedoor::service {

// How a call ended, for the log and for whoever decides on the next one.
enum class CallEnd {
    kUnderWay,
    kNoConnection,  // refused, not to be had on this machine, or broken before anything came
    kRefused,       // answered with a status other than 200
    kBroken,        // ended or reset after the first byte of its answer
    kSilent,
    kMalformed,  // neither HTTP nor JSON objects
    kUnusable,   // an object was not taken
    kWhole,      // the answer's last byte came
};

std::string_view name_of(CallEnd end);

// The state of one call. watch_lines writes it, whoever made the call reads it.
struct CallState {
    CallEnd end = CallEnd::kUnderWay;
    int status = 0;           // of HTTP; 0 before it came
    net::Moment heard = 0;    // when something whole last came, or any bytes of the first answer
    std::size_t objects = 0;  // that were taken
};

struct LineWatch {
    net::Endpoint discovery;
    std::string target;           // of a GET
    bool stream = false;          // the call goes on until the other end ends it; else its answer is the end
    std::size_t longest = 0;      // bytes of an object
    net::Moment silence = 0;      // after which the call is given up
    std::function<void()> alive;  // told whenever something whole came, blank lines too, if it is there
    CallState* state = nullptr;   // kept up to date, if it is there; must outlive the call
};

// Ends with the call: when the other end ends it, breaks HTTP, keeps silent, or `take` returns false. What
// the task captures must outlive it.
net::Task watch_lines(net::Scheduler& scheduler, LineWatch words,
                      std::function<bool(const std::string&)> take);

}  // namespace pinedoor::service
