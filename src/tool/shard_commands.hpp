// `pinedoor shards ...`: show the map, plan the placement of replicas, execute moves, and stop them.
#pragma once

#include <CLI/CLI.hpp>

namespace pinedoor::tool {

// Adds the commands. Parsing the command line stores the chosen command's exit code in `exit_code`.
void add_shard_commands(CLI::App& app, int& exit_code);

}  // namespace pinedoor::tool
