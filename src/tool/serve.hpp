// `pinedoor serve`: one front node until it is told to stop.
#pragma once

#include <string>

namespace pinedoor::tool {

struct ServeOptions {
    std::string settings_path;  // path of our TOML; empty: none
    std::string log_format;     // empty: as the TOML says
    std::string log_level;
};

int serve(const ServeOptions& options);

}  // namespace pinedoor::tool
