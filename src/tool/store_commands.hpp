// `pinedoor store ...`: operator access to the store of record, also while nodes run.
#pragma once

#include <CLI/CLI.hpp>

namespace pinedoor::tool {

// Adds the commands. Parsing the command line stores the chosen command's exit code in `exit_code`.
void add_store_commands(CLI::App& app, int& exit_code);

}  // namespace pinedoor::tool
