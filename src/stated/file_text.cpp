#include "stated/file_text.hpp"

#include <array>
#include <fstream>

#include "stated/stated.hpp"

namespace pinedoor::stated {

std::optional<std::string> read_config_text(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::string text;
    std::array<char, std::size_t{64} * 1024> piece{};
    while (file && text.size() <= kMaxConfigBytes) {
        file.read(piece.data(), piece.size());
        text.append(piece.data(), static_cast<std::size_t>(file.gcount()));
    }
    if (text.empty()) return std::nullopt;
    if (text.size() > kMaxConfigBytes) throw ConfigError(path + ": is larger than 8 MB");
    return text;
}

}  // namespace pinedoor::stated
