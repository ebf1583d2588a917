// Reads one table of a TOML file. The reader requests every key that it knows and then calls finish(), which
// rejects any other key and suggests the nearest known one.
#pragma once

#include <toml++/toml.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "stated/stated.hpp"

namespace pinedoor::stated {

// Throws ConfigError; `path` is the file's name in messages.
toml::table parse_toml(std::string_view text, const std::string& path);

// A table that must outlive this object, its path in the file and the keys that have been requested.
class TomlTable {
public:
    TomlTable(const toml::table& table, std::string path, std::string file)
        : table_(table), path_(std::move(path)), file_(std::move(file)) {}

    // These return the value, or `default_value` if the key is missing. They throw ConfigError if the value
    // has another type or is out of range.
    std::string text(const std::string& key, const std::string& default_value);
    std::string word(const std::string& key, const std::vector<std::string>& allowed);  // default: the first
    double number(const std::string& key, double default_value, double min_value, double max_value);
    std::int64_t whole(const std::string& key, std::int64_t default_value, std::int64_t min_value,
                       std::int64_t max_value);
    std::vector<std::string> texts(const std::string& key);
    bool flag(const std::string& key, bool default_value);
    std::vector<double> numbers(const std::string& key);    // empty if the key is missing or no list
    TomlTable table(const std::string& key);                // empty if the key is missing
    std::vector<TomlTable> tables(const std::string& key);  // the tables of [[key]]
    bool holds_table(const std::string& key) const {
        return table_.get(key) != nullptr && table_.get(key)->is_table();
    }
    void forget(const std::string& key) { known_keys_.insert(key); }  // accepts the key without reading it

    std::vector<std::string> keys() const;  // as spelled in the file
    bool has(const std::string& key) const { return table_.contains(key); }
    // Throws ConfigError if the table has a key that was not requested.
    void finish() const;
    // Throws ConfigError with the file, the line and the key's path before the reason.
    [[noreturn]] void reject(const std::string& key, const std::string& reason) const;

private:
    const toml::node* find(const std::string& key);

    const toml::table& table_;
    const std::string path_;  // prefix of the keys in messages: "store.write.", or empty
    const std::string file_;
    std::set<std::string> known_keys_;
};

}  // namespace pinedoor::stated
