#include "stated/launch.hpp"

#include <charconv>

#include "stated/file_text.hpp"

namespace pinedoor::stated {
namespace {

constexpr double kMinSockets = 20;  // the reserve, and two each for client and server connections
constexpr double kMinMemoryMb = 4;

const parse::Json& member(const parse::Json& in, const std::string& path, const std::string& name) {
    const auto* found = in.member(name);
    if (found == nullptr) throw ConfigError("configuration: " + path + " is missing");
    return *found;
}

std::string text_of(const parse::Json& file, const std::string& name, const char* variable) {
    if (variable != nullptr && *variable != '\0') return variable;
    const auto* text = member(file, name, name).string();
    if (text == nullptr || text->empty()) throw ConfigError("configuration: " + name + " is no text");
    return *text;
}

net::Endpoint endpoint_of(const parse::Json& file, const std::string& name, const char* variable) {
    const auto text = text_of(file, name, variable);
    const auto endpoint = net::parse_endpoint(text);
    if (!endpoint) throw ConfigError("configuration: " + name + " is no address and port: '" + text + "'");
    return *endpoint;
}

double limit_of(const parse::Json& limits, const std::string& name, double min_value) {
    const auto path = "limits." + name;
    const auto* number = member(limits, path, name).number();
    if (number == nullptr) throw ConfigError("configuration: " + path + " is not a number");
    if (number->value < min_value || number->value > 1e9) {
        throw ConfigError("configuration: " + path + " is out of range: " + number->text);
    }
    return number->value;
}

std::uint64_t seed_of(const parse::Json& file) {
    const auto* text = member(file, "seed", "seed").string();
    std::uint64_t seed = 0;
    if (text != nullptr) {
        const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), seed, 16);
        if (error == std::errc{} && end == text->data() + text->size() && !text->empty()) return seed;
    }
    throw ConfigError("configuration: seed is not 1 to 16 hex digits");
}

}  // namespace

LaunchConfig LaunchConfig::read(const Variable& variable) {
    const char* path = variable("ROUTER_CONFIG");
    if (path == nullptr || *path == '\0') throw ConfigError("ROUTER_CONFIG is not set");
    return read_file(path, variable);
}

LaunchConfig LaunchConfig::read_again() const {
    return read_file(path_, [](const char*) { return nullptr; });
}

LaunchConfig LaunchConfig::read_file(const std::string& path, const Variable& variable) {
    const auto text = read_config_text(path);
    if (!text) throw ConfigError("ROUTER_CONFIG: cannot read '" + path + "'");
    try {
        LaunchConfig launch(parse::parse_json(*text, {kMaxConfigBytes, 32}), variable);
        launch.path_ = path;
        return launch;
    } catch (const parse::JsonError& error) {
        throw ConfigError(std::string("configuration: ") + error.what());
    }
}

LaunchConfig::LaunchConfig(const parse::Json& file, const Variable& variable)
    : name_(text_of(file, "name", variable("ROUTER_NAME"))),
      listen_(endpoint_of(file, "listen", variable("ROUTER_LISTEN"))),
      discovery_(endpoint_of(file, "discovery", variable("ROUTER_DISCOVERY"))), seed_(seed_of(file)),
      known_(member(file, "known", "known")),
      settings_(Settings::from_json(member(file, "settings", "settings"))) {
    const auto& limits = member(file, "limits", "limits");
    sockets_ = static_cast<std::size_t>(limit_of(limits, "sockets", kMinSockets));
    memory_ = static_cast<std::size_t>(limit_of(limits, "memory_mb", kMinMemoryMb) * (1 << 20));
    // The seed differs at each start, and the known list is used only at start, so neither is compared.
    for (const char* key : {"name", "listen", "limits", "settings"}) fixed_values_[key] = *file.member(key);
}

std::vector<std::string> LaunchConfig::keys_needing_restart(const LaunchConfig& newer) const {
    std::vector<std::string> keys;
    for (const auto& [key, value] : fixed_values_) {
        if (newer.fixed_values_.at(key) != value) keys.push_back(key);
    }
    return keys;
}

}  // namespace pinedoor::stated
