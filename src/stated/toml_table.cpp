#include "stated/toml_table.hpp"

#include <algorithm>
#include <numeric>
#include <sstream>

namespace pinedoor::stated {
namespace {

// Returns the Levenshtein distance of two words.
std::size_t edit_distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0U);
    for (const char letter : a) {
        auto diagonal = row[0]++;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const auto next = std::min({row[j] + 1, row[j + 1] + 1, diagonal + (letter == b[j] ? 0U : 1U)});
            diagonal = std::exchange(row[j + 1], next);
        }
    }
    return row.back();
}

std::string format_number(double value) {
    std::ostringstream out;
    out << value;
    return out.str();
}

const toml::table& empty_table() {
    static const toml::table kEmpty;
    return kEmpty;
}

}  // namespace

toml::table parse_toml(std::string_view text, const std::string& path) {
    try {
        return toml::parse(text, path);
    } catch (const toml::parse_error& error) {
        std::string reason(error.description());
        throw ConfigError(path + ':' + std::to_string(error.source().begin.line) + ": no TOML: " + reason);
    }
}

const toml::node* TomlTable::find(const std::string& key) {
    known_keys_.insert(key);
    return table_.get(key);
}

void TomlTable::reject(const std::string& key, const std::string& reason) const {
    const auto* node = table_.get(key);
    const auto line = node != nullptr ? node->source().begin.line : table_.source().begin.line;
    throw ConfigError(file_ + ':' + std::to_string(line) + ": " + path_ + key + ' ' + reason);
}

std::string TomlTable::text(const std::string& key, const std::string& default_value) {
    const auto* node = find(key);
    if (node == nullptr) return default_value;
    if (!node->is_string()) reject(key, "is no text; put it in quotes");
    return node->as_string()->get();
}

std::string TomlTable::word(const std::string& key, const std::vector<std::string>& allowed) {
    const auto value = text(key, allowed.front());
    if (std::find(allowed.begin(), allowed.end(), value) != allowed.end()) return value;
    std::string list;
    for (const auto& item : allowed) list += (list.empty() ? "" : ", ") + item;
    reject(key, "is '" + value + "'; it must be one of " + list);
}

double TomlTable::number(const std::string& key, double default_value, double min_value, double max_value) {
    const auto* node = find(key);
    if (node == nullptr) return default_value;
    if (!node->is_number()) reject(key, "is no number");
    const auto value = node->value<double>().value_or(0);
    if (!(value >= min_value && value <= max_value))
        reject(key, "is " + format_number(value) + "; it must lie from " + format_number(min_value) + " to " +
                        format_number(max_value));
    return value;
}

std::int64_t TomlTable::whole(const std::string& key, std::int64_t default_value, std::int64_t min_value,
                              std::int64_t max_value) {
    const auto* node = find(key);
    if (node == nullptr) return default_value;
    if (!node->is_integer()) reject(key, "is no whole number");
    const auto value = node->as_integer()->get();
    if (value < min_value || value > max_value) {
        reject(key, "is " + std::to_string(value) + "; it must lie from " + std::to_string(min_value) +
                        " to " + std::to_string(max_value));
    }
    return value;
}

std::vector<std::string> TomlTable::texts(const std::string& key) {
    std::vector<std::string> out;
    const auto* node = find(key);
    if (node == nullptr) return out;
    if (!node->is_array()) reject(key, "is no list");
    for (const auto& item : *node->as_array()) {
        if (!item.is_string()) reject(key, "holds something that is no text; put each in quotes");
        out.push_back(item.as_string()->get());
    }
    return out;
}

bool TomlTable::flag(const std::string& key, bool default_value) {
    const auto* node = find(key);
    if (node == nullptr) return default_value;
    if (!node->is_boolean()) reject(key, "is neither true nor false");
    return node->as_boolean()->get();
}

std::vector<double> TomlTable::numbers(const std::string& key) {
    std::vector<double> out;
    const auto* node = find(key);
    if (node == nullptr || !node->is_array()) return out;
    for (const auto& item : *node->as_array()) {
        if (!item.is_number()) reject(key, "holds something that is no number");
        out.push_back(item.value<double>().value_or(0));
    }
    return out;
}

std::vector<TomlTable> TomlTable::tables(const std::string& key) {
    std::vector<TomlTable> out;
    const auto* node = find(key);
    if (node == nullptr) return out;
    if (!node->is_array_of_tables()) reject(key, "is no list of tables; write [[" + path_ + key + "]]");
    for (const auto& item : *node->as_array()) out.emplace_back(*item.as_table(), path_ + key + '.', file_);
    return out;
}

TomlTable TomlTable::table(const std::string& key) {
    const auto* node = find(key);
    if (node != nullptr && !node->is_table()) reject(key, "is no table; write [" + path_ + key + "]");
    return {node == nullptr ? empty_table() : *node->as_table(), path_ + key + '.', file_};
}

std::vector<std::string> TomlTable::keys() const {
    std::vector<std::string> names;
    for (const auto& [key, node] : table_) names.emplace_back(key.str());
    return names;
}

void TomlTable::finish() const {
    for (const auto& [key, node] : table_) {
        const std::string name(key.str());
        if (known_keys_.contains(name)) continue;
        std::string reason = "is unknown";
        const auto nearest = std::min_element(
            known_keys_.begin(), known_keys_.end(),
            [&](const auto& a, const auto& b) { return edit_distance(a, name) < edit_distance(b, name); });
        if (nearest != known_keys_.end()) reason += "; did you mean " + path_ + *nearest + '?';
        reject(name, reason);
    }
}

}  // namespace pinedoor::stated
