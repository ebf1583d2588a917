// `pinedoor shards ...`: see the map, plan where replicas should be, carry moves out, and stop them.
#pragma once

#include <CLI/CLI.hpp>

namespace pinedoor::tool {

// Adds the commands; the one that was named leaves its exit code in `code` when the words are parsed.
void add_shard_commands(CLI::App& app, int& exit_code);

}  // namespace pinedoor::tool
