// HTTP/1.1 messages, read as their bytes come in any pieces, and written. No input or output happens here.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace pinedoor::parse {

struct HttpBounds {
    std::size_t head = 16 * 1024;  // start line and headers; trailers too
    std::size_t body = 64 * 1024;
};

class HttpReader {
public:
    enum class Kind { kRequest, kResponse };
    enum class State { kHead, kBody, kDone, kBad };

    explicit HttpReader(Kind kind, HttpBounds bounds = {}) : kind_(kind), bounds_(bounds) {}

    // Takes bytes up to the message's end or its first fault, and tells how many.
    std::size_t feed(std::string_view bytes);

    State state() const { return state_; }
    bool started() const { return started_; }
    int fault() const { return fault_; }  // kBad: the status that tells the sender
    const std::string& why() const { return why_; }

    const std::string& method() const { return method_; }
    const std::string& target() const { return target_; }
    int status() const { return status_; }
    const std::string* header(const std::string& lower_case_name) const;
    bool keeps_open() const;
    bool expects_continue() const;
    std::string take_body() { return std::exchange(body_, {}); }  // what has come of it since

private:
    enum class Step { kStart, kHeaders, kLength, kChunkSize, kChunk, kChunkEnd, kTrailers, kDone, kBad };

    void take_line(std::string_view line);
    void take_start(std::string_view line);
    void take_header(std::string_view line);
    void end_head();
    void take_chunk_size(std::string_view line);
    std::size_t take_body_bytes(std::string_view bytes);
    void bad(int status, const char* why);
    void go(Step step);

    const Kind kind_;
    const HttpBounds bounds_;
    Step step_ = Step::kStart;
    State state_ = State::kHead;
    bool started_ = false;
    int fault_ = 0;
    std::string why_;
    std::string line_;
    std::size_t head_bytes_ = 0;
    std::size_t body_bytes_ = 0;
    std::size_t left_ = 0;  // of the body or the chunk
    std::string method_;
    std::string target_;
    int minor_version_ = 1;
    int status_ = 0;
    std::map<std::string, std::string> headers_;
    std::string body_;
};

bool same_word(std::string_view a, std::string_view b);  // whatever their case
std::string http_answer(int status, std::string_view headers, std::string_view body, bool close);
std::string http_get(std::string_view target, std::string_view host);

}  // namespace pinedoor::parse
