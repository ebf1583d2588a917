#include "parse/json_objects.hpp"

namespace pinedoor::parse {
std::optional<std::string> JsonObjectSplitter::next() {
    if (depth_ == 0) buffer_.erase(0, buffer_.find_first_not_of(" \t\r\n"));
    while (!failed_ && scanned_ < buffer_.size()) {
        const bool inside = depth_ > 0;
        scan_char();
        if (inside && depth_ == 0) {
            auto object = buffer_.substr(0, scanned_);
            buffer_.erase(0, scanned_);
            scanned_ = 0;
            return object;
        }
        if (scanned_ > max_bytes_) failed_ = true;
    }
    return std::nullopt;
}

// Scans one character.
void JsonObjectSplitter::scan_char() {
    const char c = buffer_[scanned_];
    if (depth_ == 0) {
        if (c != '{') {
            failed_ = true;
            return;
        }
    }
    ++scanned_;
    if (in_string_) {
        const bool ends = c == '"' && !escaped_;
        escaped_ = c == '\\' && !escaped_;
        in_string_ = !ends;
        return;
    }
    if (c == '"') in_string_ = true;
    if (c == '{' || c == '[') ++depth_;
    if (c == '}' || c == ']') --depth_;
}

}  // namespace pinedoor::parse
