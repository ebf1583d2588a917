// Reads the deployment's settings, from the simulator's text (path=value lines) or from JSON, and returns
// them in typed groups.
#pragma once

#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "logic.hpp"
#include "parse/json.hpp"

namespace pinedoor::stated {

// Thrown for any invalid configuration; the message names the key.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The settings as paths and values. Each accessor throws ConfigError if a path that it needs is missing or
// invalid; other paths are ignored.
class Settings {
public:
    static Settings from_text(std::string_view text);
    static Settings from_json(const parse::Json& settings);

    NodeConfig node_place() const;
    std::vector<OpType> op_types() const;
    ShardRing shard_ring() const;
    SendConfig send_config() const;
    FurtherSendConfig further_send_config() const;
    ColdStartConfig cold_start_config() const;
    ServerListConfig server_list_config() const;
    ClientConfig client_config() const;
    std::vector<TenantQuota> tenants() const;
    HintConfig hint_config() const;

    // Used only by the network code.
    std::vector<std::string> op_type_names() const;
    std::vector<std::string> tenant_names() const;
    std::vector<std::string> zone_names() const;
    std::vector<std::string> report_fields() const;
    int shards() const;
    int most_open() const;  // multigets and parts together
    int streams_per_connection() const;
    Time connection_idle() const;

private:
    void flatten(const std::string& path, const parse::Json& value);
    const std::string* find(const std::string& path) const;
    const std::string& text(const std::string& path) const;
    double number(const std::string& path, double min_value, double max_value) const;
    double number_or(const std::string& path, double min_value, double max_value, double default_value) const;
    int whole(const std::string& path, int min_value, int max_value) const;
    Time time(const std::string& path) const;
    bool flag(const std::string& path) const;
    std::vector<std::string> list(const std::string& path) const;
    double list_number(const std::string& path, std::size_t i, double min_value, double max_value) const;

    std::map<std::string, std::string, std::less<>> values_;
};

}  // namespace pinedoor::stated
