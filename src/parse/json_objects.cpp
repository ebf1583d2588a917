#include "parse/json_objects.hpp"

namespace pinedoor::parse {
namespace {

bool is_blank(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

}  // namespace

std::optional<std::string> JsonObjects::next() {
    while (!bad_ && scanned_ < held_.size()) {
        const bool inside = depth_ > 0;
        scan();
        if (inside && depth_ == 0) {
            auto object = held_.substr(0, scanned_);
            held_.erase(0, scanned_);
            scanned_ = 0;
            return object;
        }
        if (scanned_ > longest_) bad_ = true;
    }
    return std::nullopt;
}

// Scans one character.
void JsonObjects::scan() {
    const char c = held_[scanned_];
    if (depth_ == 0) {
        if (is_blank(c)) {
            held_.erase(0, 1);
            return;
        }
        if (c != '{') {
            bad_ = true;
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
