// Follows discovery's list, at the exchange's word, on connections of its own.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/stream.hpp"
#include "parse/json.hpp"
#include "service/counters.hpp"
#include "service/exchange.hpp"
#include "service/log.hpp"

namespace pinedoor::service {

class ListWatch : public Lister {
public:
    ListWatch(net::Scheduler& scheduler, Exchange& exchange, Counters& counters, Log& log,
              net::Endpoint discovery, std::vector<std::string> zones);

    void take_known(const parse::Json& known);  // the list as this front node had it last
    void watch() override;
    void fetch() override;
    // Discovery is at another address now. What is under way at the old one ends without word, and is asked
    // for at the new one at once; the list held stays in use.
    void move_to(net::Endpoint discovery);

private:
    net::Task follow(bool stream);
    void start(net::Task& task, bool stream);
    bool take_object(std::string_view text);
    bool take_list(const parse::Json& list, bool saved);
    std::optional<Member> read_member(const parse::Json& json) const;

    net::Scheduler& scheduler_;
    Exchange& exchange_;
    Counters& counters_;
    Log& log_;
    net::Endpoint discovery_;
    const std::vector<std::string> zones_;
    std::string revision_;  // the last one held, as discovery wrote it
    bool wanted_ = false;   // a watch, at some time
    net::Task watching_;
    net::Task fetching_;
};

}  // namespace pinedoor::service
