// A word with commands under it: `pinedoor store list`. The command that was named leaves its exit code in
// `code` when the words are parsed.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <string>
#include <utility>

namespace pinedoor::tool {

class CommandGroup {
public:
    CommandGroup(CLI::App& app, int& code, const std::string& name, const std::string& what)
        : code_(code), group_(app.add_subcommand(name, what)) {
        group_->require_subcommand(1);
    }

protected:
    CLI::App* command(const char* name, const char* what, std::function<int()> run) {
        auto* added = group_->add_subcommand(name, what);
        added->callback([this, run = std::move(run)] { code_ = run(); });
        return added;
    }

    int& code_;
    CLI::App* const group_;
};

}  // namespace pinedoor::tool
