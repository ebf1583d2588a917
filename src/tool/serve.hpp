// `pinedoor serve`: runs one front node until it is stopped by a signal.
#pragma once

#include <string>

namespace pinedoor::tool {

struct ServeOptions {
    std::string settings_path;  // path of the TOML settings; empty: none
    std::string log_format;     // empty: as in the settings
    std::string log_level;
};

int serve(const ServeOptions& options);

}  // namespace pinedoor::tool
