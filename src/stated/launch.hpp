// Reads the configuration that the platform gives a front node at start: the JSON file named by
// ROUTER_CONFIG, and the environment variables that override parts of it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "net/socket.hpp"
#include "parse/json.hpp"
#include "stated/stated.hpp"

namespace pinedoor::stated {

// The launch configuration. All keys are checked on construction, which throws ConfigError with the key's
// name.
class LaunchConfig {
public:
    // Returns the value of an environment variable, or null if it is not set.
    using Variable = std::function<const char*(const char* name)>;

    static LaunchConfig read(const Variable& variable);
    LaunchConfig(const parse::Json& file, const Variable& variable);

    // Reads the same file again. Environment variables are ignored then: they hold the values of the start
    // and would hide changes in the file.
    LaunchConfig read_again() const;
    // The keys that differ in `newer` and take effect only after a restart.
    std::vector<std::string> keys_needing_restart(const LaunchConfig& newer) const;

    const std::string& name() const { return name_; }
    net::Endpoint listen() const { return listen_; }
    net::Endpoint discovery() const { return discovery_; }
    std::uint64_t seed() const { return seed_; }
    std::size_t sockets() const { return sockets_; }  // the number of descriptors that this process may hold
    std::size_t memory() const { return memory_; }    // bytes
    const parse::Json& known() const { return known_; }
    const Settings& settings() const { return settings_; }

private:
    static LaunchConfig read_file(const std::string& path, const Variable& variable);

    std::string path_;
    std::map<std::string, parse::Json> fixed_values_;  // those that cannot change while the process runs
    std::string name_;
    net::Endpoint listen_;
    net::Endpoint discovery_;
    std::uint64_t seed_ = 0;
    std::size_t sockets_ = 0;
    std::size_t memory_ = 0;
    parse::Json known_;
    Settings settings_;
};

}  // namespace pinedoor::stated
