// `pinedoor peers ...` and `pinedoor fleet ...`: query a running front node over its local socket.
#pragma once

#include <CLI/CLI.hpp>

namespace pinedoor::tool {

// Adds the commands. Parsing the command line stores the chosen command's exit code in `exit_code`.
void add_peer_commands(CLI::App& app, int& exit_code);

}  // namespace pinedoor::tool
