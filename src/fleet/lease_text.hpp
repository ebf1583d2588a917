// Text form of lease messages, sent as letters between members. Fields, separated by blanks:
//   kind limit incarnation request_number held_lease amount duration owner
// An empty owner is written as "-".
#pragma once

#include <optional>
#include <string>

#include "fleet/leases.hpp"

namespace pinedoor::fleet {

inline constexpr const char* kLeaseTopic = "lease";

std::string write_lease(const LeaseMessage& message);
// Returns nothing if `text` is malformed or a value is out of range.
std::optional<LeaseMessage> read_lease(const std::string& from, const std::string& text);

}  // namespace pinedoor::fleet
