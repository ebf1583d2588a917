// Reads pinedoor's own settings file, which is TOML (deploy/pinedoor.toml lists every key). The configuration
// that the platform provides is JSON (launch.hpp). Without a settings file all features configured here are
// off.
#pragma once

#include <string>
#include <string_view>

#include "fleet/terms.hpp"
#include "peers/terms.hpp"
#include "placement/terms.hpp"
#include "stated/stated.hpp"
#include "store/terms.hpp"

namespace pinedoor::stated {

// The log's format and minimum level, spelled as in the file.
struct LogSettings {
    std::string format = "pairs";
    std::string level = "info";
};

// The settings file, parsed and checked.
struct NodeSettings {
    LogSettings log;
    store::StoreConfig store;
    placement::PlacementConfig placement;
    peers::PeerConfig peers;
    fleet::FleetTerms fleet;

    // Both throw ConfigError; the message names the file, the line, the key and how to correct it.
    static NodeSettings read_file(const std::string& path);
    static NodeSettings from_text(std::string_view text, const std::string& path);
};

}  // namespace pinedoor::stated
