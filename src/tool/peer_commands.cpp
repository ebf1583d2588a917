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

// What is asked of a running node over its local socket.
class NodeCommands : public CommandGroup {
public:
    NodeCommands(CLI::App& app, int& exit_code, const char* name, const char* description)
        : CommandGroup(app, exit_code, name, description) {
        group_->add_option("-s,--settings", settings_, "Our TOML, which names peers.control")
            ->envname("PINEDOOR_SETTINGS");
        group_->add_option("--control", control_, "The local socket itself");
    }

protected:
    int send_command(const std::string& command) const {
        auto control = control_;
        if (control.empty() && !settings_.empty())
            control = stated::Installation::read_file(settings_).peers.control;
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
        : NodeCommands(app, exit_code, "peers", "Whom a running front node knows, over its local socket") {
        command("list", "The members: name, standing, address, zone, incarnation",
                [this] { return send_command("list"); });
        command("show", "Counters; with a name what is known of that member", [this] {
            return send_command(name_.empty() ? "show" : "show " + name_);
        })->add_option("name", name_);
        command("facts", "What members say beside who is there: origin, topic, age, words",
                [this] { return send_command("facts"); });
        command("leave", "Tells the others that this node is no member any more; it serves on",
                [this] { return send_command("leave"); });
    }

private:
    std::string name_;
};

class FleetCommands : public NodeCommands {
public:
    FleetCommands(CLI::App& app, int& exit_code)
        : NodeCommands(app, exit_code, "fleet",
                       "What holds for the whole fleet, as a running front node has it") {
        command("limits", "Each limit: what this node may use, who lends it, what passed and was turned away",
                [this] { return send_command("limits"); });
        command("verdicts", "The servers that front nodes have aside together, and those that are cold",
                [this] { return send_command("verdicts"); });
        command("why", "Who says what of a server, and what comes of it",
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
    // Lives as long as the words are parsed: CLI11 keeps pointers to what it fills.
    app.get_subcommand("peers")->parse_complete_callback([commands] {});
    auto fleet = std::make_shared<FleetCommands>(app, exit_code);
    app.get_subcommand("fleet")->parse_complete_callback([fleet] {});
}

}  // namespace pinedoor::tool
