// The command line: reads the words, and hands over to the command that they name.
//
// Exit codes of every command: 0 done; 1 the configuration or the store cannot be used, said in one line on
// standard error that names the fault and the mend; 2 the words are not understood; 3 the command ran and
// found what it looks for amiss (`check`, `store verify`), or nothing by that name (`store resolve`).
#pragma once

#include <stdexcept>

namespace pinedoor::tool {

enum ExitCode : int { kSuccess = 0, kFailure = 1, kUsageError = 2, kProblemFound = 3 };

struct CommandError : std::runtime_error {  // told to the user as it is; ends the command with kUnusable
    using std::runtime_error::runtime_error;
};

int run(int argc, const char* const* argv);

}  // namespace pinedoor::tool
