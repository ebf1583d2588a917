#include "parse/frame.hpp"

#include "parse/json.hpp"

namespace pinedoor::parse {
namespace {

constexpr std::size_t kLengthBytes = 4;

std::string_view next_word(std::string_view& line) {
    const auto end = line.find(' ');
    const auto word = line.substr(0, end);
    line.remove_prefix(end == std::string_view::npos ? line.size() : end + 1);
    return word;
}

}  // namespace

FrameScan scan_frame(std::string_view bytes, std::size_t max_length) {
    if (bytes.size() < kLengthBytes) return {};
    std::size_t length = 0;
    for (std::size_t i = kLengthBytes; i-- > 0;) {
        length = (length << 8U) | static_cast<unsigned char>(bytes[i]);
    }
    if (length == 0 || length > max_length) return {FrameScan::State::kBad, 0, {}, 0};
    if (bytes.size() - kLengthBytes < length) return {};
    const auto body = bytes.substr(kLengthBytes, length);
    return {FrameScan::State::kFrame, body.front(), body.substr(1), kLengthBytes + length};
}

std::optional<Result> parse_result(std::string_view payload) {
    const auto line_end = payload.find('\n');
    if (line_end == std::string_view::npos) return std::nullopt;
    auto line = payload.substr(0, line_end);
    Result result;
    result.id = next_word(line);
    const auto status = next_word(line);
    const auto score = next_word(line);
    result.report = line;  // parsed by the caller; a malformed report does not invalidate the result
    result.value = payload.substr(line_end + 1);
    if (result.id.empty() || score.empty() || !is_printable_utf8(result.value)) return std::nullopt;
    if (status == "done")
        result.end = ResultStatus::kDone;
    else if (status == "failed")
        result.end = ResultStatus::kFailed;
    else if (status == "full")
        result.end = ResultStatus::kFull;
    else if (status == "moved")
        result.end = ResultStatus::kMoved;
    else
        return std::nullopt;
    if (result.report == "-") result.report = {};
    return result;
}

std::string begin_frame(char letter) { return std::string(kLengthBytes, '\0') + letter; }

void append_part(std::string& frame, std::string_view id, int shard, std::int64_t wait_ms,
                 std::string_view text) {
    frame += id;
    frame += ' ' + std::to_string(shard) + " d=" + std::to_string(wait_ms) + ' ' +
             std::to_string(text.size()) + '\n';
    frame += text;
}

void end_frame(std::string& frame) {
    const auto length = frame.size() - kLengthBytes;
    for (std::size_t i = 0; i < kLengthBytes; ++i) frame[i] = static_cast<char>((length >> (8 * i)) & 0xffU);
}

}  // namespace pinedoor::parse
