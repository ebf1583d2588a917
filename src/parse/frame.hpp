// Codec of the frames between front nodes and index servers. A frame is a 4-byte little-endian length, a type
// letter and a payload. No input or output happens here.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pinedoor::parse {

// The result of scanning for a frame at the start of received bytes. The views point into those bytes.
struct FrameScan {
    // kMore: the frame is incomplete; kBad: its length is zero or above the bound.
    enum class State { kMore, kFrame, kBad } state = State::kMore;
    char letter = 0;
    std::string_view rest;  // the payload after the type letter
    std::size_t size = 0;   // bytes of the whole frame, with its length field
};

// `max_length` bounds the type letter and the payload together, in bytes.
FrameScan scan_frame(std::string_view bytes, std::size_t max_length);

// How an index server ended a part. kMoved occurs only with a shard map (docs/placement.md); the value of
// such a result is an epoch.
enum class ResultStatus { kDone, kFailed, kFull, kMoved };

// An index server's result for one part. The views point into the frame.
struct Result {
    std::string_view id;
    ResultStatus end = ResultStatus::kFailed;
    std::string_view report;  // the server's load report; empty if there is none
    std::string_view value;
};

// Parses the payload of a result frame; std::nullopt if it is malformed or the value is not printable UTF-8.
std::optional<Result> parse_result(std::string_view payload);

// Starts a frame of this type. end_frame() fills in its length after the payload has been appended.
std::string begin_frame(char letter);
// Appends one part to a frame. `wait_ms` is how long the front node waits for its result, in milliseconds.
void append_part(std::string& frame, std::string_view id, int shard, std::int64_t wait_ms,
                 std::string_view text);
void end_frame(std::string& frame);

}  // namespace pinedoor::parse
