// Log with one event per line, based on spdlog. The lines per second are limited for each event, and no line
// is written while the output is not writable: a full pipe must not block the event loop.
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
enum class LogFormat { kKeyValue, kJson };

struct LogOptions {
    LogFormat format = LogFormat::kKeyValue;
    Level least = Level::kInfo;
};

class Log {
public:
    struct Field {
        std::string_view name;
        std::string value;
    };

    Log(std::FILE* out, const net::Scheduler& scheduler, Counters& counters, LogOptions options = {});
    ~Log();

    bool is_enabled(Level level) const;  // whether lines of this level are written

    // Writes an event. `event` is its name in snake case, which is stable across releases; `text` is a
    // message for people.
    void event(Level level, std::string_view event, std::string_view text,
               std::initializer_list<Field> fields = {});

private:
    void write(Level level, std::string_view event, std::string_view text,
               std::initializer_list<Field> fields);

    std::FILE* out_;
    const net::Scheduler& scheduler_;
    Counters& counters_;
    const LogOptions options_;
    std::unique_ptr<spdlog::logger> logger_;
    net::Moment second_started_ = 0;
    std::map<std::string, int, std::less<>> lines_this_second_;  // event -> lines in the current second
    int suppressed_ = 0;
};

}  // namespace pinedoor::service
