#include "tool/command_line.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "stated/installation.hpp"
#include "stated/launch.hpp"
#include "store/keeper.hpp"
#include "store/sql.hpp"
#include "tool/peer_commands.hpp"
#include "tool/serve.hpp"
#include "tool/shard_commands.hpp"
#include "tool/store_commands.hpp"

namespace pinedoor::tool {
namespace {

int check(const std::string& path) {
    try {
        if (path.ends_with(".toml"))
            stated::NodeSettings::read_file(path);
        else
            stated::LaunchConfig::read([&](const char* name) {
                return std::string_view(name) == "ROUTER_CONFIG" ? path.c_str() : std::getenv(name);
            });
        std::printf("%s: good\n", path.c_str());
        return kSuccess;
    } catch (const stated::ConfigError& error) {
        std::printf("%s\n", error.what());
        return kProblemFound;
    }
}

int parse_and_run(int argc, const char* const* argv) {
    CLI::App app{"pinedoor, a front node for multigets over replicated shards", "pinedoor"};
    app.set_version_flag("--version", "pinedoor " PINEDOOR_VERSION);
    app.require_subcommand(0, 1);
    app.footer(
        "The default command is serve.\n\nExamples:\n"
        "  ROUTER_CONFIG=/run/balancer/config.json pinedoor\n"
        "  pinedoor serve --settings deploy/pinedoor.toml --log-format json\n"
        "  pinedoor check deploy/pinedoor.toml\n"
        "  pinedoor store --settings deploy/pinedoor.toml list --state in-doubt --json\n\n"
        "Exit codes: 0 success; 1 the configuration or the store cannot be used; 2 the command line is\n"
        "invalid; 3 the command found a problem, or nothing to act on.");
    int exit_code = kSuccess;
    ServeOptions serve_options;
    auto* serve_command =
        app.add_subcommand("serve", "Serve as a front node until SIGTERM; the default command");
    serve_command
        ->add_option("-s,--settings", serve_options.settings_path,
                     "The settings (TOML); without them every feature that they enable is off")
        ->envname("PINEDOOR_SETTINGS");
    serve_command->add_option("--log-format", serve_options.log_format, "pairs (key=value) or json")
        ->check(CLI::IsMember({"pairs", "json"}));
    serve_command->add_option("--log-level", serve_options.log_level, "debug, info, warning or error")
        ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
    std::string checked_file;
    auto* check_command =
        app.add_subcommand("check", "Check whether a configuration can be used; exit 3 if not");
    check_command->add_option("file", checked_file, "The settings (*.toml) or the platform's JSON")
        ->required();
    add_store_commands(app, exit_code);
    add_shard_commands(app, exit_code);
    add_peer_commands(app, exit_code);
    try {
        app.parse(argc, argv);
        if (serve_command->parsed() || app.get_subcommands().empty()) exit_code = serve(serve_options);
        if (check_command->parsed()) exit_code = check(checked_file);
        return exit_code;
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? kSuccess : kUsageError;
    }
}

}  // namespace

int run(int argc, const char* const* argv) {
    try {
        return parse_and_run(argc, argv);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "pinedoor: %s\n", error.what());
        return kFailure;
    }
}

}  // namespace pinedoor::tool
