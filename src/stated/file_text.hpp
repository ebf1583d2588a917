// Reads files of configuration, up to a limit, so that a wrong path costs neither time nor memory.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace pinedoor::stated {

inline constexpr std::size_t kMaxConfigBytes = std::size_t{8} << 20U;

// Returns nothing if the file cannot be read or is empty. Throws ConfigError if it is larger than
// kMaxConfigBytes; no more than that is read.
std::optional<std::string> read_config_text(const std::string& path);

}  // namespace pinedoor::stated
