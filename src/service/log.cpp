#include "service/log.hpp"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>

#include <algorithm>
#include <utility>

#include "parse/json.hpp"

namespace pinedoor::service {
namespace {

constexpr net::Moment kSecond = 10'000;
constexpr int kMaxLines = 50;  // lines of one event per second
constexpr std::size_t kMaxValueBytes =
    500;  // bytes of a value; a line stays well below what a writable pipe accepts at once

// Writes each line in one call, so that lines of several processes on one pipe are not mixed.
class LineSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit LineSink(std::FILE* out) : out_(out) {}

protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        std::string line(message.payload.data(), message.payload.size());
        line.push_back('\n');
        std::fwrite(line.data(), 1, line.size(), out_);
        std::fflush(out_);
    }
    void flush_() override { std::fflush(out_); }

private:
    std::FILE* out_;
};

std::string_view name_of(Level level) {
    switch (level) {
        case Level::kDebug: return "debug";
        case Level::kInfo: return "info";
        case Level::kWarning: return "warning";
        case Level::kError: break;
    }
    return "error";
}

spdlog::level::level_enum to_spdlog(Level level) {
    switch (level) {
        case Level::kDebug: return spdlog::level::debug;
        case Level::kInfo: return spdlog::level::info;
        case Level::kWarning: return spdlog::level::warn;
        case Level::kError: break;
    }
    return spdlog::level::err;
}

// Truncates the text and replaces control characters, so that it cannot start a line or a key of its own.
std::string sanitize(std::string_view text) {
    std::string out(text.substr(0, kMaxValueBytes));
    std::replace_if(
        out.begin(), out.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 127; }, '?');
    return out;
}

void append_pair(std::string& line, std::string_view name, std::string_view value) {
    line += ' ';
    line += name;
    line += '=';
    const auto text = sanitize(value);
    if (!text.empty() && text.find_first_of(" \"=\\") == std::string::npos) {
        line += text;
        return;
    }
    line += '"';
    for (const char c : text) {
        if (c == '"' || c == '\\') line += '\\';
        line += c;
    }
    line += '"';
}

void append_member(std::string& line, std::string_view name, std::string_view value) {
    line += ',';
    parse::append_json_string(line, name);
    line += ':';
    const auto text = sanitize(value);
    parse::append_json_string(line, parse::is_utf8(text) ? std::string_view(text) : "(no text)");
}

}  // namespace

Log::Log(std::FILE* out, const net::Scheduler& scheduler, Counters& counters, LogOptions options)
    : out_(out), scheduler_(scheduler), counters_(counters), options_(options),
      logger_(std::make_unique<spdlog::logger>("pinedoor", std::make_shared<LineSink>(out))) {
    logger_->set_level(to_spdlog(options.least));
}

Log::~Log() = default;

bool Log::is_enabled(Level level) const { return logger_->should_log(to_spdlog(level)); }

void Log::event(Level level, std::string_view event, std::string_view text,
                std::initializer_list<Field> fields) {
    if (!is_enabled(level)) return;
    const auto now = scheduler_.clock();
    if (now - second_started_ >= kSecond) {
        const int suppressed = std::exchange(suppressed_, 0);
        second_started_ = now;
        lines_this_second_.clear();
        if (suppressed > 0) {
            write(Level::kWarning, "lines_suppressed", std::to_string(suppressed) + " lines suppressed", {});
        }
    }
    pollfd ready{fileno(out_), POLLOUT, 0};
    auto count = lines_this_second_.find(event);
    if (count == lines_this_second_.end()) count = lines_this_second_.emplace(event, 0).first;
    if (++count->second <= kMaxLines && poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0)
        return write(level, event, text, fields);
    ++suppressed_;
    counters_.add(Count::kLogLinesSuppressed);
}

void Log::write(Level level, std::string_view event, std::string_view text,
                std::initializer_list<Field> fields) {
    const auto now = scheduler_.clock();
    const auto time = std::to_string(now / kSecond) + '.' + std::to_string(kSecond + now % kSecond).substr(1);
    std::string line;
    if (options_.format == LogFormat::kJson) {
        line = "{\"time\":" + time;
        append_member(line, "level", name_of(level));
        append_member(line, "event", event);
        for (const auto& field : fields) append_member(line, field.name, field.value);
        append_member(line, "msg", text);
        line += '}';
    } else {
        line = "time=" + time;
        append_pair(line, "level", name_of(level));
        append_pair(line, "event", event);
        for (const auto& field : fields) append_pair(line, field.name, field.value);
        append_pair(line, "msg", text);
    }
    logger_->log(to_spdlog(level), spdlog::string_view_t(line.data(), line.size()));
}

}  // namespace pinedoor::service
