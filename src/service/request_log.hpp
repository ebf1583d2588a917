// Logs the life of each request at level debug: acceptance or rejection, each attempt and its outcome, and
// how the request ended and why. Each line has the name that the client gave to the request. Nothing is
// formatted while the level is disabled.
#pragma once

#include <string>
#include <string_view>

#include "logic.hpp"
#include "service/log.hpp"

namespace pinedoor::service {

struct PartSend;

class RequestLog {
public:
    explicit RequestLog(Log& log) : log_(log) {}

    void accepted(const std::string& request, std::size_t parts) {
        if (is_enabled()) write("request_taken", request, std::to_string(parts) + " parts", "");
    }
    void rejected(const std::string& request, std::string_view reason) {
        if (is_enabled()) write("request_not_taken", request, "refused before any decision", reason);
    }
    void ended(const std::string& request, std::string_view result, std::string_view reason) {
        if (is_enabled()) write("request_ended", request, result, reason);
    }
    void attempt(const PartSend& call) {
        if (is_enabled()) write_attempt("attempt", call, call_kind(call));
    }
    void attempt_ended(const PartSend& call, Outcome outcome) {
        if (is_enabled()) write_attempt("attempt_ended", call, name_of(outcome));
    }

private:
    bool is_enabled() const { return log_.is_enabled(Level::kDebug); }
    static std::string_view call_kind(const PartSend& call);
    static std::string_view name_of(Outcome outcome);
    void write(std::string_view event, const std::string& request, std::string_view text,
               std::string_view reason);
    void write_attempt(std::string_view event, const PartSend& call, std::string_view reason);

    Log& log_;
};

std::string_view name_of(GiveUpReason reason);

}  // namespace pinedoor::service
