// Incremental JSON parser with limits on depth and size, the tree of values that it builds, and a function
// that writes strings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace pinedoor::parse {

// Thrown for malformed JSON; the message names the offset in bytes.
struct JsonError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A JSON value. Each accessor returns null if the value has another type.
class Json {
public:
    using List = std::vector<Json>;
    using Members = std::map<std::string, Json, std::less<>>;
    struct Number {
        double value = 0;
        std::string text;  // the original spelling
        bool operator==(const Number&) const = default;
    };

    Json() = default;
    template <class Value>
    explicit Json(Value value) : value_(std::move(value)) {}

    bool is_null() const { return std::holds_alternative<std::monostate>(value_); }
    const bool* boolean() const { return std::get_if<bool>(&value_); }
    const Number* number() const { return std::get_if<Number>(&value_); }
    const std::string* string() const { return std::get_if<std::string>(&value_); }
    const List* list() const { return std::get_if<List>(&value_); }
    List* list() { return std::get_if<List>(&value_); }
    const Members* members() const { return std::get_if<Members>(&value_); }
    Members* members() { return std::get_if<Members>(&value_); }
    bool operator==(const Json& other) const;
    // Null if this is no object or has no such member.
    const Json* member(std::string_view name) const;

private:
    std::variant<std::monostate, bool, Number, std::string, List, Members> value_;
};

struct JsonLimits {
    std::size_t bytes = 64 * 1024;
    std::size_t depth = 16;  // nested lists and objects
    // Memory of the tree, as allocated, in bytes. A value of one byte of text takes a node of many bytes.
    std::size_t memory = 1024 + 32 * bytes;
};

// Parses one JSON value from text that arrives in pieces of any size.
class JsonParser {
public:
    explicit JsonParser(JsonLimits limits = {}) : limits_(limits) {}
    void feed(std::string_view bytes);  // throws JsonError
    Json finish();                      // throws JsonError if the value is incomplete

private:
    enum class Expect { kValue, kValueOrEnd, kName, kNameOrEnd, kColon, kCommaOrEnd, kNothing };
    struct Level {
        Json value;
        std::string name;  // of the member being parsed
    };

    void read_char(char c);
    bool read_string_char(char c);
    void read_escape(char c);
    void read_hex_digit(char c);
    void end_string();
    void end_word();
    void open(Json value, Expect next);
    void close(char c);
    void add_value(Json value);
    void charge(std::size_t bytes);
    [[noreturn]] void reject(const char* reason) const;

    const JsonLimits limits_;
    std::size_t offset_ = 0;  // bytes read
    std::size_t memory_ = 0;  // bytes that the tree takes
    Expect expect_ = Expect::kValue;
    std::vector<Level> levels_;
    Json root_;
    enum class LexerState { kNothing, kString, kEscape, kHex, kWord } lexer_state_ = LexerState::kNothing;
    std::string text_;
    int hex_digits_ = 0;
    std::uint32_t code_unit_ = 0;
    std::uint32_t high_surrogate_ = 0;  // first half of a surrogate pair
};

bool is_utf8(std::string_view bytes);
// Whether the bytes are UTF-8 without control characters: only quotes and backslashes need an escape in JSON.
bool is_printable_utf8(std::string_view bytes);
// Parses a complete text; throws JsonError.
Json parse_json(std::string_view text, JsonLimits limits = {});
// Appends the text as a JSON string, quoted and escaped.
void append_json_string(std::string& out, std::string_view text);

}  // namespace pinedoor::parse
