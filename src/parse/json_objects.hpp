// Splits a stream of text into its top-level JSON objects. The text may arrive in pieces of any size, and an
// object may span several lines. No input or output happens here, and the contents of objects are not
// validated.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pinedoor::parse {

// The splitter of one stream.
class JsonObjectSplitter {
public:
    // `max_bytes` bounds the size of one object.

    explicit JsonObjectSplitter(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    void feed(std::string_view bytes) { buffer_ += bytes; }
    // Removes and returns the next complete object, without the white space before it. Nothing is returned if
    // more text is needed or the text is bad().
    std::optional<std::string> next();
    // Whether the text received so far ends between two objects.
    bool is_between() const { return depth_ == 0 && buffer_.empty(); }
    // Whether there is something other than white space between two objects, or an object exceeds the size
    // limit. All further text is then ignored.
    bool bad() const { return failed_; }

private:
    void scan_char();

    const std::size_t max_bytes_;
    std::string buffer_;
    std::size_t scanned_ = 0;  // bytes of buffer_ that belong to the current object
    std::size_t depth_ = 0;    // open braces and brackets of the current object
    bool in_string_ = false;
    bool escaped_ = false;  // the last character was an unescaped backslash in a string
    bool failed_ = false;
};

}  // namespace pinedoor::parse
