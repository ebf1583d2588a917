#include "parse/json_objects.hpp"

namespace pinedoor::parse {
namespace {

bool is_space(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

}  // namespace

std::optional<std::string> JsonObjectSplitter::next() {
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
        if (is_space(c)) {
            buffer_.erase(0, 1);
            return;
        }
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
