// Requests a stream of JSON objects from discovery and passes on each object as soon as it is complete.
// Objects usually take one line each, but may be laid out over several.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "net/scheduler.hpp"
#include "net/socket.hpp"

namespace pinedoor::service {

// How a call ended, for the log and for the decision on the next call.
enum class CallEnd {
    kInProgress,
    kNoConnection,  // refused, not possible on this machine, or broken before any input
    kRefused,       // answered with a status other than 200
    kBroken,        // ended or reset after the first byte of the answer
    kSilent,
    kMalformed,  // neither HTTP nor JSON objects
    kUnusable,   // an object was not accepted
    kComplete,   // the last byte of the answer was read
};

std::string_view name_of(CallEnd end);

// The state of one call, written by watch_lines() and read by its caller.
struct CallState {
    CallEnd end = CallEnd::kInProgress;
    int status = 0;  // HTTP status; 0 before it is read
    net::Moment last_input =
        0;  // time of the last complete object or blank line, or of any input before the first object
    std::size_t objects = 0;  // accepted objects
};

// Parameters of a call.
struct JsonStreamCall {
    net::Endpoint endpoint;
    std::string target;   // target of the GET request
    bool stream = false;  // the call continues until the other end closes it; else it ends with its answer
    std::size_t max_object_bytes = 0;  // largest size of an object, in bytes
    net::Moment silence_timeout =
        0;  // time without input after which the call is given up, in ticks of 0.1 ms
    std::function<void()> on_alive;  // if set, called for each complete object and for blank lines
    CallState* state = nullptr;      // if set, updated during the call; must outlive it
};

// Makes one call. The task ends when the other end closes the connection, violates HTTP or stays silent, or
// when `take` returns false. Whatever `take` refers to must outlive the task.
net::Task read_json_stream(net::Scheduler& scheduler, JsonStreamCall call,
                           std::function<bool(const std::string&)> take);

}  // namespace pinedoor::service
