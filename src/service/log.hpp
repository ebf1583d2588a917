// The log: one event a line on spdlog, so many a second of each event at most, and none while its reader is
// stuck: a full pipe must not hold up the loop.
#pragma once

#include <cstdio>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "net/scheduler.hpp"
#include "service/counters.hpp"

namespace spdlog {
class logger;
}

namespace pinedoor::service {

enum class Level { kDebug, kInfo, kWarning, kError };
enum class LogFormat { kPairs, kJson };

struct LogTerms {
    LogFormat format = LogFormat::kPairs;
    Level least = Level::kInfo;
};

class Log {
public:
    struct Field {
        std::string_view name;
        std::string value;
    };

    Log(std::FILE* out, const net::Scheduler& scheduler, Counters& counters, LogTerms terms = {});
    ~Log();

    bool writes(Level level) const;  // so that lines that nobody wants need not be made

    // `event` names what happened, in snake case, and stays the same from release to release; `text` says it
    // to a person.
    void event(Level level, std::string_view event, std::string_view text,
               std::initializer_list<Field> fields = {});

private:
    void write(Level level, std::string_view event, std::string_view text,
               std::initializer_list<Field> fields);

    std::FILE* out_;
    const net::Scheduler& scheduler_;
    Counters& counters_;
    const LogTerms terms_;
    std::unique_ptr<spdlog::logger> logger_;
    net::Moment second_began_ = 0;
    std::map<std::string, int, std::less<>> lines_;  // of this second, by event
    int suppressed_ = 0;
};

}  // namespace pinedoor::service
