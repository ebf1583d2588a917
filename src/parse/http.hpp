// Incremental HTTP/1.1 parser, and functions that write messages. No input or output happens here.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace pinedoor::parse {

// Limits of one message, in bytes.
struct HttpLimits {
    std::size_t head = 16 * 1024;  // start line and headers; applies to the trailers too
    std::size_t body = 64 * 1024;  // of a response: bytes not yet taken by take_body()
    std::size_t fields = 100;      // header fields, each of which costs more memory than its bytes
};

// Parses one request or response from bytes that arrive in pieces of any size.
class HttpParser {
public:
    enum class Kind { kRequest, kResponse };
    enum class State { kHead, kBody, kDone, kBad };

    explicit HttpParser(Kind kind, HttpLimits limits = {}) : kind_(kind), limits_(limits) {}

    // Consumes bytes up to the end of the message or the first error; returns how many.
    std::size_t feed(std::string_view bytes);

    State state() const { return state_; }
    // Whether the start line has been received.
    bool started() const { return started_; }
    // In state kBad: the HTTP status for the sender.
    int fault() const { return error_status_; }
    // In state kBad: the reason in words.
    const std::string& why() const { return error_text_; }

    const std::string& method() const { return method_; }
    const std::string& target() const { return target_; }
    int status() const { return status_; }
    // Null if the header is missing; the values of repeated headers are joined by commas.
    const std::string* header(const std::string& lower_case_name) const;
    // Whether the connection stays open after this message.
    bool keep_alive() const;
    bool expects_continue() const;
    // Returns the body bytes that were received since the last call.
    std::string take_body() { return std::exchange(body_, {}); }
    // Memory that the message holds, as allocated, in bytes.
    std::size_t memory() const;

private:
    enum class Step { kStart, kHeaders, kLength, kChunkSize, kChunk, kChunkEnd, kTrailers, kDone, kBad };

    void parse_line(std::string_view line);
    void parse_start_line(std::string_view line);
    void parse_header(std::string_view line);
    void end_head();
    void parse_chunk_size(std::string_view line);
    std::size_t append_body(std::string_view bytes);
    void reserve_body(std::size_t more);
    bool framing_fits(std::size_t bytes);
    void fail(int status, const char* text);
    void set_step(Step step);

    const Kind kind_;
    const HttpLimits limits_;
    Step step_ = Step::kStart;
    State state_ = State::kHead;
    bool started_ = false;
    int error_status_ = 0;
    std::string error_text_;
    std::string line_;
    std::size_t head_bytes_ = 0;
    std::size_t body_bytes_ = 0;
    std::size_t framing_bytes_ = 0;  // of a chunked request: lines between the chunks
    std::size_t remaining_ = 0;      // bytes of the body or the chunk
    std::string method_;
    std::string target_;
    int minor_version_ = 1;
    int status_ = 0;
    std::map<std::string, std::string> headers_;
    std::size_t header_bytes_ = 0;  // allocated for headers_
    std::size_t fields_ = 0;
    std::string body_;
};

// Compares ASCII text without regard to case.
bool equals_ignore_case(std::string_view a, std::string_view b);
// `headers` are complete lines that end with CRLF; Content-Length is added.
std::string http_response(int status, std::string_view headers, std::string_view body, bool close);
std::string http_get(std::string_view target, std::string_view host);

}  // namespace pinedoor::parse
