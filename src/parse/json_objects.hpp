// Cuts a stream of text into the JSON objects that stand in it, in whatever pieces it comes and however the
// objects are laid out over lines. No input or output happens here, and what stands in an object is not
// checked.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pinedoor::parse {

class JsonObjects {
public:
    explicit JsonObjects(std::size_t longest) : longest_(longest) {}

    void feed(std::string_view bytes) { held_ += bytes; }
    // The next object that is there whole, without what stood before it. Nothing: more has to come, or the
    // text is bad.
    std::optional<std::string> next();
    // No object has begun without its end.
    bool is_between() const { return depth_ == 0 && held_.empty(); }
    // What stands between two objects is no white space, or an object is longer than the bound: nothing that
    // comes can be used any more.
    bool bad() const { return bad_; }

private:
    void scan();

    const std::size_t longest_;
    std::string held_;
    std::size_t scanned_ = 0;  // of what is held
    std::size_t depth_ = 0;    // of braces and brackets that are open there
    bool in_string_ = false;
    bool escaped_ = false;  // the last character was a backslash in a string
    bool bad_ = false;
};

}  // namespace pinedoor::parse
