// Messages about leases as one member's letter to another: words with blanks between, in this order:
//   kind limit life number holds amount lasts owner     (owner "-": nobody)
#pragma once

#include <optional>
#include <string>

#include "fleet/leases.hpp"

namespace pinedoor::fleet {

inline constexpr const char* kLeaseTopic = "lease";

std::string write_lease(const LeaseMessage& message);
std::optional<LeaseMessage> read_lease(const std::string& from, const std::string& text);

}  // namespace pinedoor::fleet
