#include "parse/json.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace pinedoor::parse {
namespace {

// Allocated for a member of an object besides its name's characters and its value: the tree's node.
constexpr std::size_t kMemberNodeBytes = 48 + sizeof(std::string);
// A list doubles as it grows, and so takes up to two places for each of its values.
constexpr std::size_t kPlacesPerListValue = 2;

bool is_space(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }
bool is_word(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || c == 'E' || c == '+' || c == '-' || c == '.';
}

// Checks the number grammar of JSON, which is stricter than that of std::from_chars.
bool is_number(std::string_view text) {
    std::size_t i = 0;
    const auto digits = [&] {
        const auto begin = i;
        while (i < text.size() && text[i] >= '0' && text[i] <= '9') ++i;
        return i - begin;
    };
    if (i < text.size() && text[i] == '-') ++i;
    const auto first = i;
    const auto integer_digits = digits();
    if (integer_digits == 0 || (integer_digits > 1 && text[first] == '0')) return false;
    if (i < text.size() && text[i] == '.') {
        ++i;
        if (digits() == 0) return false;
    }
    if (i < text.size() && (text[i] == 'e' || text[i] == 'E')) {
        ++i;
        if (i < text.size() && (text[i] == '+' || text[i] == '-')) ++i;
        if (digits() == 0) return false;
    }
    return i == text.size();
}

void append_utf8(std::string& out, std::uint32_t point) {
    const auto push = [&](std::uint32_t byte) { out.push_back(static_cast<char>(byte)); };
    if (point < 0x80) return push(point);
    if (point < 0x800) {
        push(0xc0U | (point >> 6U));
    } else if (point < 0x10000) {
        push(0xe0U | (point >> 12U));
        push(0x80U | ((point >> 6U) & 0x3fU));
    } else {
        push(0xf0U | (point >> 18U));
        push(0x80U | ((point >> 12U) & 0x3fU));
        push(0x80U | ((point >> 6U) & 0x3fU));
    }
    push(0x80U | (point & 0x3fU));
}

}  // namespace

bool Json::operator==(const Json& other) const { return value_ == other.value_; }

const Json* Json::member(std::string_view name) const {
    const auto* all = members();
    if (all == nullptr) return nullptr;
    const auto it = all->find(name);
    return it == all->end() ? nullptr : &it->second;
}

void JsonParser::reject(const char* reason) const {
    throw JsonError("JSON, byte " + std::to_string(offset_) + ": " + reason);
}

void JsonParser::feed(std::string_view bytes) {
    for (const char c : bytes) {
        if (++offset_ > limits_.bytes) reject("too long");
        read_char(c);
    }
}

Json JsonParser::finish() {
    if (lexer_state_ == LexerState::kWord) end_word();
    if (lexer_state_ != LexerState::kNothing || expect_ != Expect::kNothing) reject("cut short");
    return std::move(root_);
}

void JsonParser::read_char(char c) {
    if (lexer_state_ == LexerState::kWord) {
        if (is_word(c)) return text_.push_back(c);
        end_word();
    } else if (lexer_state_ != LexerState::kNothing) {
        if (read_string_char(c)) end_string();
        return;
    }
    if (is_space(c)) return;
    const bool expects_value = expect_ == Expect::kValue || expect_ == Expect::kValueOrEnd;
    switch (c) {
        case '{':
            if (!expects_value) reject("an object is out of place");
            return open(Json(Json::Members{}), Expect::kNameOrEnd);
        case '[':
            if (!expects_value) reject("a list is out of place");
            return open(Json(Json::List{}), Expect::kValueOrEnd);
        case '}':
        case ']': return close(c);
        case '"':
            if (!expects_value && expect_ != Expect::kName && expect_ != Expect::kNameOrEnd) {
                reject("a string is out of place");
            }
            lexer_state_ = LexerState::kString;
            return text_.clear();
        case ':':
            if (expect_ != Expect::kColon) reject("a colon is out of place");
            expect_ = Expect::kValue;
            return;
        case ',':
            if (expect_ != Expect::kCommaOrEnd) reject("a comma is out of place");
            expect_ = levels_.back().value.list() != nullptr ? Expect::kValue : Expect::kName;
            return;
        default:
            if (!expects_value || !is_word(c)) reject("a character is out of place");
            lexer_state_ = LexerState::kWord;
            text_.assign(1, c);
    }
}

// Returns true at the closing quote.
bool JsonParser::read_string_char(char c) {
    if (lexer_state_ == LexerState::kEscape) {
        read_escape(c);
        return false;
    }
    if (lexer_state_ == LexerState::kHex) {
        read_hex_digit(c);
        return false;
    }
    if (high_surrogate_ != 0 && c != '\\') reject("half a surrogate pair");
    if (static_cast<unsigned char>(c) < 0x20) reject("a control character in a string");
    if (c == '"') return true;
    if (c == '\\')
        lexer_state_ = LexerState::kEscape;
    else
        text_.push_back(c);
    return false;
}

void JsonParser::read_escape(char c) {
    constexpr std::string_view kEscapes = "\"\\/bfnrt";
    constexpr std::string_view kUnescaped = "\"\\/\b\f\n\r\t";
    if (c == 'u') {
        lexer_state_ = LexerState::kHex;
        hex_digits_ = 0;
        code_unit_ = 0;
        return;
    }
    const auto index = kEscapes.find(c);
    if (index == std::string_view::npos || high_surrogate_ != 0) reject("an unknown escape");
    text_.push_back(kUnescaped[index]);
    lexer_state_ = LexerState::kString;
}

void JsonParser::read_hex_digit(char c) {
    std::uint32_t digit = 0;
    const auto [end, error] = std::from_chars(&c, &c + 1, digit, 16);
    if (error != std::errc{} || end != &c + 1) reject("a malformed escape");
    code_unit_ = code_unit_ * 16 + digit;
    if (++hex_digits_ < 4) return;
    lexer_state_ = LexerState::kString;
    const bool high = code_unit_ >= 0xd800 && code_unit_ < 0xdc00;
    const bool low = code_unit_ >= 0xdc00 && code_unit_ < 0xe000;
    if (low != (high_surrogate_ != 0)) reject("half a surrogate pair");
    if (high) {
        high_surrogate_ = code_unit_;
        return;
    }
    append_utf8(text_,
                low ? 0x10000 + ((high_surrogate_ - 0xd800) << 10U) + (code_unit_ - 0xdc00) : code_unit_);
    high_surrogate_ = 0;
}

void JsonParser::end_string() {
    lexer_state_ = LexerState::kNothing;
    auto text = std::exchange(text_, {});
    charge(text.capacity());
    if (expect_ == Expect::kName || expect_ == Expect::kNameOrEnd) {
        levels_.back().name = std::move(text);
        expect_ = Expect::kColon;
        return;
    }
    add_value(Json(std::move(text)));
}

void JsonParser::end_word() {
    lexer_state_ = LexerState::kNothing;
    auto text = std::exchange(text_, {});
    if (text == "true") return add_value(Json(true));
    if (text == "false") return add_value(Json(false));
    if (text == "null") return add_value(Json());
    if (!is_number(text)) reject("an unknown word");
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{}) reject("a number out of range");
    add_value(Json(Json::Number{value, std::move(text)}));
}

void JsonParser::open(Json value, Expect next) {
    if (levels_.size() >= limits_.depth) reject("nested too deep");
    levels_.push_back({std::move(value), {}});
    expect_ = next;
}

void JsonParser::close(char c) {
    const bool may_close =
        expect_ == Expect::kCommaOrEnd || expect_ == (c == ']' ? Expect::kValueOrEnd : Expect::kNameOrEnd);
    if (levels_.empty() || !may_close || (c == ']') != (levels_.back().value.list() != nullptr)) {
        reject("a closing bracket is out of place");
    }
    auto value = std::move(levels_.back().value);
    levels_.pop_back();
    add_value(std::move(value));
}

void JsonParser::charge(std::size_t bytes) {
    memory_ += bytes;
    if (memory_ > limits_.memory) reject("too many values");
}

void JsonParser::add_value(Json value) {
    const bool in_list = !levels_.empty() && levels_.back().value.list() != nullptr;
    charge(in_list ? kPlacesPerListValue * sizeof(Json) : kMemberNodeBytes + sizeof(Json));
    expect_ = levels_.empty() ? Expect::kNothing : Expect::kCommaOrEnd;
    if (levels_.empty()) {
        root_ = std::move(value);
    } else if (auto* list = levels_.back().value.list()) {
        list->push_back(std::move(value));
    } else if (!levels_.back().value.members()->emplace(levels_.back().name, std::move(value)).second) {
        reject("a duplicate member name");
    }
}

bool is_printable_utf8(std::string_view bytes) {
    return is_utf8(bytes) && std::none_of(bytes.begin(), bytes.end(), [](char c) {
               return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
           });
}

bool is_utf8(std::string_view bytes) {
    while (!bytes.empty()) {
        const auto first = static_cast<unsigned char>(bytes.front());
        std::size_t size = 1;
        if (first >= 0x80) size = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
        if ((first >= 0x80 && first < 0xc2) || first > 0xf4) return false;
        if (bytes.size() < size) return false;
        std::uint32_t point = size == 1 ? first : first & (0x7fU >> size);
        for (std::size_t i = 1; i < size; ++i) {
            const auto byte = static_cast<unsigned char>(bytes[i]);
            if ((byte & 0xc0U) != 0x80) return false;
            point = (point << 6U) | (byte & 0x3fU);
        }
        const bool overlong = (size == 3 && point < 0x800) || (size == 4 && point < 0x10000);
        if (overlong || point > 0x10ffff || (point >= 0xd800 && point < 0xe000)) return false;
        bytes.remove_prefix(size);
    }
    return true;
}

Json parse_json(std::string_view text, JsonLimits limits) {
    JsonParser reader(limits);
    reader.feed(text);
    return reader.finish();
}

void append_json_string(std::string& out, std::string_view text) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    out.push_back('"');
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out.push_back('\\');
            out.push_back(c);
        } else if (byte < 0x20) {
            out += "\\u00";
            out.push_back(kDigits[byte >> 4U]);
            out.push_back(kDigits[byte & 0xfU]);
        } else {
            out.push_back(c);
        }
    }
    out.push_back('"');
}

}  // namespace pinedoor::parse
