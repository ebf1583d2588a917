// One table of a TOML file, read key by key. Whoever reads it names every key that it knows, then calls
// finish(), which refuses all others with the nearest known one.
#pragma once

#include <toml++/toml.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "stated/stated.hpp"

namespace pinedoor::stated {

toml::table parse_toml(std::string_view text, const std::string& path);  // throws BadStated

class TomlTable {
public:
    TomlTable(const toml::table& table, std::string path, std::string file)
        : table_(table), path_(std::move(path)), file_(std::move(file)) {}

    // The value, or `otherwise` where the key is not there; throw BadStated for another type or out of range.
    std::string text(const std::string& key, const std::string& otherwise);
    std::string word(const std::string& key, const std::vector<std::string>& allowed);  // otherwise the first
    double number(const std::string& key, double otherwise, double least, double most);
    std::int64_t whole(const std::string& key, std::int64_t otherwise, std::int64_t least, std::int64_t most);
    std::vector<std::string> texts(const std::string& key);
    bool flag(const std::string& key, bool otherwise);
    std::vector<double> numbers(const std::string& key);    // empty if it is no list
    TomlTable table(const std::string& key);                // empty if it is not there
    std::vector<TomlTable> tables(const std::string& key);  // of [[key]]
    bool holds_table(const std::string& key) const {
        return table_.get(key) != nullptr && table_.get(key)->is_table();
    }
    void forget(const std::string& key) { known_.insert(key); }  // it is known, and not asked for

    std::vector<std::string> keys() const;  // as written
    bool has(const std::string& key) const { return table_.contains(key); }
    void finish() const;  // throws BadStated for a key that nobody asked for
    [[noreturn]] void reject(const std::string& key, const std::string& why) const;

private:
    const toml::node* find(const std::string& key);

    const toml::table& table_;
    const std::string path_;  // "store.write.", or empty
    const std::string file_;
    std::set<std::string> known_;
};

}  // namespace pinedoor::stated
