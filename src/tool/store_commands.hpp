// `pinedoor store ...`: what an operator asks of the store of record and settles in it, also while nodes run.
#pragma once

#include <CLI/CLI.hpp>

namespace pinedoor::tool {

// Adds the commands; the one that was named leaves its exit code in `code` when the words are parsed.
void add_store_commands(CLI::App& app, int& exit_code);

}  // namespace pinedoor::tool
