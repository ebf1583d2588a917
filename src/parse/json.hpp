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
struct BadJson : std::runtime_error {
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

struct JsonBounds {
    std::size_t bytes = 64 * 1024;
    std::size_t depth = 16;  // nested lists and objects
};

// Parses one JSON value from text that arrives in pieces of any size.
class JsonReader {
public:
    explicit JsonReader(JsonBounds bounds = {}) : bounds_(bounds) {}
    void feed(std::string_view bytes);  // throws BadJson
    Json finish();                      // throws BadJson if the value is incomplete

private:
    enum class Expect { kValue, kValueOrEnd, kName, kNameOrEnd, kColon, kCommaOrEnd, kNothing };
    struct Level {
        Json value;
        std::string name;  // of the member being parsed
    };

    void take(char c);
    bool take_in_string(char c);
    void take_escaped(char c);
    void take_hex(char c);
    void end_string();
    void end_word();
    void open(Json value, Expect next);
    void close(char c);
    void put(Json value);
    [[noreturn]] void reject(const char* why) const;

    const JsonBounds bounds_;
    std::size_t at_ = 0;  // bytes read
    Expect expect_ = Expect::kValue;
    std::vector<Level> levels_;
    Json whole_;
    enum class Inside { kNothing, kString, kEscape, kHex, kWord } inside_ = Inside::kNothing;
    std::string text_;
    int hex_digits_ = 0;
    std::uint32_t unit_ = 0;
    std::uint32_t high_unit_ = 0;  // first half of a surrogate pair
};

bool is_utf8(std::string_view bytes);
// Whether the bytes are UTF-8 without control characters: only quotes and backslashes need an escape in JSON.
bool is_text(std::string_view bytes);
// Parses a complete text; throws BadJson.
Json parse_json(std::string_view text, JsonBounds bounds = {});
// Appends the text as a JSON string, quoted and escaped.
void append_json_string(std::string& out, std::string_view text);

}  // namespace pinedoor::parse
