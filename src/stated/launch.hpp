// What a front node is told at its start: the file that ROUTER_CONFIG names, and the variables beside it.
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

// Every key is checked here, at once; a fault throws BadStated, whose text names the key.
class Launch {
public:
    using Variable = std::function<const char*(const char* name)>;  // null: not set

    static Launch read(const Variable& variable);
    Launch(const parse::Json& file, const Variable& variable);

    // The same file, as it is now. The variables do not count any more: they hold what was told at the start,
    // and would hide what the file now says.
    Launch read_again() const;
    // What the newer file says otherwise that this process cannot change while it runs.
    std::vector<std::string> needing_restart(const Launch& newer) const;

    const std::string& name() const { return name_; }
    net::Endpoint listen() const { return listen_; }
    net::Endpoint discovery() const { return discovery_; }
    std::uint64_t seed() const { return seed_; }
    std::size_t sockets() const { return sockets_; }  // descriptors this process may hold
    std::size_t memory() const { return memory_; }    // bytes
    const parse::Json& known() const { return known_; }
    const Stated& settings() const { return settings_; }

private:
    static Launch read_file(const std::string& path, const Variable& variable);

    std::string path_;
    std::map<std::string, parse::Json> lasting_;  // keys of the file that hold for the process's life
    std::string name_;
    net::Endpoint listen_;
    net::Endpoint discovery_;
    std::uint64_t seed_ = 0;
    std::size_t sockets_ = 0;
    std::size_t memory_ = 0;
    parse::Json known_;
    Stated settings_;
};

}  // namespace pinedoor::stated
