// What an installation states for pinedoor alone, as TOML (deploy/pinedoor.toml lists every key). The
// platform's own configuration stays JSON (launch.hpp). Without a file all of it is off.
#pragma once

#include <string>
#include <string_view>

#include "fleet/terms.hpp"
#include "peers/terms.hpp"
#include "placement/terms.hpp"
#include "stated/stated.hpp"
#include "store/terms.hpp"

namespace pinedoor::stated {

struct LogWords {
    std::string format = "pairs";
    std::string level = "info";
};

struct Installation {
    LogWords log;
    store::StoreTerms store;
    placement::PlacementTerms placement;
    peers::PeerTerms peers;
    fleet::FleetTerms fleet;

    // Throw BadStated; its text names the file, the line, the key and the mend.
    static Installation read_file(const std::string& path);
    static Installation from_text(std::string_view text, const std::string& path);
};

}  // namespace pinedoor::stated
