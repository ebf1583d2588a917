// JSON, read as its bytes come in any pieces into a tree of values, and strings written. Depth and size are
// bounded.
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

struct BadJson : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Json {
public:
    using List = std::vector<Json>;
    using Members = std::map<std::string, Json, std::less<>>;
    struct Number {
        double value = 0;
        std::string text;  // as written
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
    const Json* member(std::string_view name) const;  // null if there is none, or this is no object

private:
    std::variant<std::monostate, bool, Number, std::string, List, Members> value_;
};

struct JsonBounds {
    std::size_t bytes = 64 * 1024;
    std::size_t depth = 16;
};

class JsonReader {
public:
    explicit JsonReader(JsonBounds bounds = {}) : bounds_(bounds) {}
    void feed(std::string_view bytes);  // throws BadJson
    Json finish();                      // throws BadJson if the value is not whole

private:
    enum class Expect { kValue, kValueOrEnd, kName, kNameOrEnd, kColon, kCommaOrEnd, kNothing };
    struct Level {
        Json value;
        std::string name;  // of the member being read
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
    std::size_t at_ = 0;
    Expect expect_ = Expect::kValue;
    std::vector<Level> levels_;
    Json whole_;
    enum class Inside { kNothing, kString, kEscape, kHex, kWord } inside_ = Inside::kNothing;
    std::string text_;
    int hex_digits_ = 0;
    std::uint32_t unit_ = 0;
    std::uint32_t high_unit_ = 0;  // first half of a pair
};

bool is_utf8(std::string_view bytes);
// UTF-8 without control characters: what may stand in a string as it is.
bool is_text(std::string_view bytes);
Json parse_json(std::string_view text, JsonBounds bounds = {});
void append_json_string(std::string& out, std::string_view text);

}  // namespace pinedoor::parse
