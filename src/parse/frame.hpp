// The frames that front nodes and index servers exchange, read from bytes that come in any pieces, and
// written.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pinedoor::parse {

struct FrameScan {
    enum class State { kMore, kFrame, kBad } state = State::kMore;
    char letter = 0;
    std::string_view rest;
    std::size_t size = 0;  // of the whole frame
};

FrameScan scan_frame(std::string_view bytes, std::size_t most);

// kMoved is an answer only where there is a map of shards (docs/placement.md): its value is an epoch.
enum class ResultEnd { kDone, kFailed, kFull, kMoved };

struct Result {
    std::string_view id;
    ResultEnd end = ResultEnd::kFailed;
    std::string_view report;  // empty: none
    std::string_view value;
};

std::optional<Result> parse_result(std::string_view rest);

std::string begin_frame(char letter);
void append_part(std::string& frame, std::string_view id, int shard, std::int64_t wait_ms,
                 std::string_view text);
void end_frame(std::string& frame);

}  // namespace pinedoor::parse
