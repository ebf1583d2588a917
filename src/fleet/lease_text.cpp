#include "fleet/lease_text.hpp"

#include <cmath>
#include <sstream>

namespace pinedoor::fleet {
namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr double kMaxAmount = 1e12;
constexpr Time kMaxDuration = 36'000'000;  // one hour

}  // namespace

std::string write_lease(const LeaseMessage& message) {
    std::ostringstream out;
    out.precision(17);
    out << static_cast<int>(message.kind) << ' ' << message.limit << ' ' << message.incarnation << ' '
        << message.request_number << ' ' << message.held_lease << ' ' << message.amount << ' '
        << message.duration << ' ' << (message.owner.empty() ? "-" : message.owner);
    return out.str();
}

std::optional<LeaseMessage> read_lease(const std::string& from, const std::string& text) {
    std::istringstream in(text);
    LeaseMessage message;
    int kind = 0;
    std::string trailing;
    if (!(in >> kind >> message.limit >> message.incarnation >> message.request_number >>
          message.held_lease >> message.amount >> message.duration >> message.owner) ||
        in >> trailing)
        return std::nullopt;
    const bool valid = kind >= 0 && kind <= static_cast<int>(LeaseMessage::Kind::kRelease) &&
                       message.limit.size() <= kMaxNameLength && message.owner.size() <= kMaxNameLength &&
                       message.amount >= 0 && message.amount <= kMaxAmount && message.duration >= 0 &&
                       message.duration <= kMaxDuration;
    if (!valid) return std::nullopt;
    message.kind = static_cast<LeaseMessage::Kind>(kind);
    message.from = from;
    if (message.owner == "-") message.owner.clear();
    return message;
}

}  // namespace pinedoor::fleet
