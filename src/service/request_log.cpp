#include "service/request_log.hpp"

#include "service/exchange.hpp"

namespace pinedoor::service {

std::string_view name_of(GiveUpReason reason) {
    switch (reason) {
        case GiveUpReason::kListExpired: return "the list has expired";
        case GiveUpReason::kWaitTooLong: return "no replica can answer in time";
        case GiveUpReason::kNoCredit: return "more parts than this node's credit";
        case GiveUpReason::kDeadlyKey: return "servers died under it";
        case GiveUpReason::kPartsLost: return "too few parts are left";
        case GiveUpReason::kDeadlineExceeded: break;
    }
    return "its time is over";
}

std::string_view RequestLog::name_of(Outcome outcome) {
    switch (outcome) {
        case Outcome::kReturned: return "returned";
        case Outcome::kError: return "error";
        case Outcome::kFull: return "full";
        case Outcome::kTimedOut: return "timed out";
        case Outcome::kNoConnection: return "no connection";
        case Outcome::kReset: return "reset";
        case Outcome::kCancelled: return "cancelled";
        case Outcome::kNeverSent: break;
    }
    return "never sent";
}

std::string_view RequestLog::call_kind(const PartSend& call) {
    return call.send_number == 0 ? "first" : "further";
}

void RequestLog::write(std::string_view event, const std::string& request, std::string_view text,
                       std::string_view reason) {
    log_.event(Level::kDebug, event, text, {{"request", request}, {"reason", std::string(reason)}});
}

void RequestLog::write_attempt(std::string_view event, const PartSend& call, std::string_view reason) {
    log_.event(Level::kDebug, event, reason,
               {{"request", call.multiget_name},
                {"shard", std::to_string(call.shard)},
                {"attempt", std::to_string(call.send_number)},
                {"server", std::to_string(call.server.address)},
                {"reason", std::string(reason)}});
}

}  // namespace pinedoor::service
