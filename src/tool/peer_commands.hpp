// `pinedoor peers ...`: whom a running front node knows, over its local socket.
#pragma once

#include <CLI/CLI.hpp>

namespace pinedoor::tool {

// Adds the commands; the one that was named leaves its exit code in `code` when the words are parsed.
void add_peer_commands(CLI::App& app, int& exit_code);

}  // namespace pinedoor::tool
