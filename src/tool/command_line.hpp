// The command line: parses the arguments and runs the command that they name.
//
// Exit codes of every command: 0 success; 1 the configuration or the store cannot be used, with one line on
// standard error that names the fault and the remedy; 2 the command line is invalid; 3 the command ran and
// found a problem (`check`, `store verify`) or no such item (`store resolve`).
#pragma once

#include <stdexcept>

namespace pinedoor::tool {

enum ExitCode : int { kSuccess = 0, kFailure = 1, kUsageError = 2, kProblemFound = 3 };

// The message is shown to the user; the command ends with kFailure.
struct CommandError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

int run(int argc, const char* const* argv);

}  // namespace pinedoor::tool
