// Reads the settings text (path=value lines) and hands out each group of stated figures.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "logic.hpp"

namespace pinedoor::wire {

// Every path that is asked for must hold a value of its kind; paths that nobody asks for are ignored.
class StatedText {
public:
    explicit StatedText(std::string_view text);

    NodePlace node_place() const;
    std::vector<OpType> op_types() const;
    ShardRing shard_ring() const;
    SendTerms send_terms() const;
    FurtherSendTerms further_send_terms() const;
    ColdTerms cold_terms() const;
    ListTerms list_terms() const;
    ClientTerms client_terms() const;
    std::vector<TenantShare> tenants() const;
    HintTerms hint_terms() const;

private:
    const std::string* find(const std::string& path) const;
    const std::string& text(const std::string& path) const;
    double number(const std::string& path, double least, double most) const;
    double number_or(const std::string& path, double least, double most, double otherwise) const;
    int whole(const std::string& path, int least, int most) const;
    Time time(const std::string& path) const;
    bool flag(const std::string& path) const;
    std::vector<std::string> list(const std::string& path) const;
    double list_number(const std::string& path, std::size_t i, double least, double most) const;

    std::map<std::string, std::string, std::less<>> values_;
};

}  // namespace pinedoor::wire
