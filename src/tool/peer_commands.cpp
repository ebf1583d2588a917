#include "tool/peer_commands.hpp"

#include <cstdio>
#include <memory>
#include <string>

#include "peers/carrier.hpp"
#include "stated/installation.hpp"
#include "tool/command_group.hpp"
#include "tool/command_line.hpp"

namespace pinedoor::tool {
namespace {

// Commands that query a running node over its local socket.
class NodeCommands : public CommandGroup {
public:
    NodeCommands(CLI::App& app, int& exit_code, const char* name, const char* description)
        : CommandGroup(app, exit_code, name, description) {
        group_->add_option("-s,--settings", settings_, "The settings (TOML) with peers.control")
            ->envname("PINEDOOR_SETTINGS");
        group_->add_option("--control", control_, "Path of the local socket");
    }

protected:
    int send_command(const std::string& command) const {
        auto control = control_;
        if (control.empty() && !settings_.empty())
            control = stated::NodeSettings::read_file(settings_).peers.control;
        if (control.empty()) {
            std::fprintf(
                stderr,
                "pinedoor: name the node's socket: --control PATH, or --settings FILE with peers.control\n");
            return kUsageError;
        }
        const auto response = peers::ask_node(control, command);
        std::printf("%s", response.c_str());
        return response.starts_with("nobody") || response.starts_with("the words") ? kProblemFound : kSuccess;
    }

private:
    std::string settings_, control_;
};

class PeerCommands : public NodeCommands {
public:
    PeerCommands(CLI::App& app, int& exit_code)
        : NodeCommands(app, exit_code, "peers",
                       "Query the membership of a running front node over its local socket") {
        command("list", "The members: name, standing, address, zone, incarnation",
                [this] { return send_command("list"); });
        command("show", "Counters, or with a name the state of that member", [this] {
            return send_command(name_.empty() ? "show" : "show " + name_);
        })->add_option("name", name_);
        command("facts", "What members publish: origin, topic, age, text",
                [this] { return send_command("facts"); });
        command("leave", "Leave the membership; the node keeps serving",
                [this] { return send_command("leave"); });
    }

private:
    std::string name_;
};

class FleetCommands : public NodeCommands {
public:
    FleetCommands(CLI::App& app, int& exit_code)
        : NodeCommands(app, exit_code, "fleet",
                       "Query a running front node for the state of the whole fleet") {
        command("limits", "Each limit: this node's share, its lender, and multigets admitted and rejected",
                [this] { return send_command("limits"); });
        command("verdicts", "Servers that the front nodes have set aside jointly, and cold servers",
                [this] { return send_command("verdicts"); });
        command("why", "The reports of the front nodes on a server, and the result",
                [this] { return send_command("why " + server_); })
            ->add_option("server", server_, "Its name in discovery's list")
            ->required();
    }

private:
    std::string server_;
};

}  // namespace

void add_peer_commands(CLI::App& app, int& exit_code) {
    auto commands = std::make_shared<PeerCommands>(app, exit_code);
    // Keeps the commands alive while arguments are parsed, because CLI11 holds pointers to their members.
    app.get_subcommand("peers")->parse_complete_callback([commands] {});
    auto fleet = std::make_shared<FleetCommands>(app, exit_code);
    app.get_subcommand("fleet")->parse_complete_callback([fleet] {});
}

}  // namespace pinedoor::tool
