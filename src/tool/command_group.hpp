// A group of subcommands, as in `pinedoor store list`. Parsing the command line runs the chosen command and
// stores its exit code in `exit_code`.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <string>
#include <utility>

namespace pinedoor::tool {

class CommandGroup {
public:
    CommandGroup(CLI::App& app, int& exit_code, const std::string& name, const std::string& description)
        : exit_code_(exit_code), group_(app.add_subcommand(name, description)) {
        group_->require_subcommand(1);
    }

protected:
    CLI::App* command(const char* name, const char* description, std::function<int()> action) {
        auto* subcommand = group_->add_subcommand(name, description);
        subcommand->callback([this, action = std::move(action)] { exit_code_ = action(); });
        return subcommand;
    }

    int& exit_code_;
    CLI::App* const group_;
};

}  // namespace pinedoor::tool
