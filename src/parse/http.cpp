#include "parse/http.hpp"

#include <algorithm>
#include <charconv>

namespace pinedoor::parse {
namespace {

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool is_token(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < 127 &&
               std::string_view("\"(),/:;<=>?@[\\]{}").find(c) == std::string_view::npos;
    });
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

// Allocated for an entry of a map of strings besides its strings' characters: the tree's node.
constexpr std::size_t kHeaderNodeBytes = 48 + 2 * sizeof(std::string);

// The lines between the chunks of a request take at most this many bytes for each byte of the largest body;
// a chunk of one byte takes six.
constexpr std::size_t kMaxFramingFactor = 8;

bool parse_size(std::string_view text, int base, std::size_t& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

bool list_contains(std::string_view list, std::string_view word) {
    while (!list.empty()) {
        const auto end = std::min(list.find(','), list.size());
        if (equals_ignore_case(trimmed(list.substr(0, end)), word)) return true;
        list.remove_prefix(std::min(end + 1, list.size()));
    }
    return false;
}

const char* reason_phrase(int status) {
    switch (status) {
        case 200: return "OK";
        case 400: return "Bad Request";
        case 404: return "Not Found";
        case 405: return "Method Not Allowed";
        case 408: return "Request Timeout";
        case 409: return "Conflict";
        case 413: return "Content Too Large";
        case 431: return "Request Header Fields Too Large";
        case 500: return "Internal Server Error";
        case 501: return "Not Implemented";
        case 503: return "Service Unavailable";
        case 505: return "HTTP Version Not Supported";
        default: return "Status";
    }
}

}  // namespace

bool equals_ignore_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return to_lower(x) == to_lower(y); });
}

std::size_t HttpParser::feed(std::string_view bytes) {
    std::size_t used = 0;
    while (used < bytes.size() && step_ != Step::kDone && step_ != Step::kBad) {
        const auto rest = bytes.substr(used);
        if (step_ == Step::kLength || step_ == Step::kChunk) {
            used += append_body(rest);
            continue;
        }
        const auto end = rest.find('\n');
        const auto piece = rest.substr(0, end == std::string_view::npos ? rest.size() : end + 1);
        used += piece.size();
        head_bytes_ += piece.size();
        if (head_bytes_ > limits_.head) {
            fail(431, "the head is too large");
            break;
        }
        if (!framing_fits(piece.size())) break;
        line_ += piece;
        if (end == std::string_view::npos) break;
        line_.pop_back();
        if (!line_.empty() && line_.back() == '\r') line_.pop_back();
        const auto line = std::exchange(line_, {});
        parse_line(line);
    }
    return used;
}

void HttpParser::parse_line(std::string_view line) {
    if (line.find('\r') != std::string_view::npos || line.find('\0') != std::string_view::npos) {
        return fail(400, "a stray control character");
    }
    switch (step_) {
        case Step::kStart:
            if (line.empty() && !started_) return;  // an empty line between two messages is allowed
            return parse_start_line(line);
        case Step::kHeaders: return line.empty() ? end_head() : parse_header(line);
        case Step::kChunkSize: return parse_chunk_size(line);
        case Step::kChunkEnd:
            if (!line.empty()) return fail(400, "a chunk is longer than its size");
            return set_step(Step::kChunkSize);
        case Step::kTrailers: return line.empty() ? set_step(Step::kDone) : void();
        case Step::kLength:
        case Step::kChunk:
        case Step::kDone:
        case Step::kBad: return;
    }
}

void HttpParser::parse_start_line(std::string_view line) {
    started_ = true;
    const auto first = line.find(' ');
    const auto second = first == std::string_view::npos ? first : line.find(' ', first + 1);
    std::string_view version;
    if (kind_ == Kind::kRequest) {
        if (second == std::string_view::npos || line.find(' ', second + 1) != std::string_view::npos) {
            return fail(400, "no request line");
        }
        method_ = line.substr(0, first);
        target_ = line.substr(first + 1, second - first - 1);
        version = line.substr(second + 1);
        if (!is_token(method_) || target_.empty()) return fail(400, "no request line");
    } else {
        version = line.substr(0, std::min(first, line.size()));
        std::size_t status = 0;
        const auto code = first == std::string_view::npos ? "" : line.substr(first + 1, 3);
        if (!parse_size(code, 10, status) || status < 100) return fail(400, "no status line");
        status_ = static_cast<int>(status);
    }
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        return fail(version.starts_with("HTTP/") ? 505 : 400, "not HTTP/1.1");
    }
    minor_version_ = version.back() - '0';
    set_step(Step::kHeaders);
}

void HttpParser::parse_header(std::string_view line) {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
        return fail(400, "a malformed header");
    }
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(), to_lower);
    const std::string value(trimmed(line.substr(colon + 1)));
    if (++fields_ > limits_.fields) return fail(431, "too many header fields");
    const auto [entry, is_new] = headers_.emplace(name, value);
    header_bytes_ += kHeaderNodeBytes + name.size() + value.size();
    if (is_new) return;
    // Conflicting lengths would let two parsers see different messages (request smuggling).
    if (name == "content-length" && entry->second != value) return fail(400, "contradictory lengths");
    if (name != "content-length") entry->second += ", " + value;
}

void HttpParser::end_head() {
    head_bytes_ = 0;
    const auto* coding = header("transfer-encoding");
    const auto* length = header("content-length");
    if (kind_ == Kind::kResponse && (status_ < 200 || status_ == 204 || status_ == 304)) {
        return set_step(Step::kDone);
    }
    if (coding != nullptr) {
        if (length != nullptr || minor_version_ == 0) return fail(400, "contradictory lengths");
        if (!equals_ignore_case(*coding, "chunked")) return fail(501, "an unknown transfer coding");
        return set_step(Step::kChunkSize);
    }
    if (length == nullptr) {
        if (kind_ == Kind::kResponse) return fail(400, "a body without a length");
        return set_step(Step::kDone);
    }
    if (!parse_size(*length, 10, remaining_)) return fail(400, "a malformed length");
    if (remaining_ > limits_.body) return fail(413, "the body is too large");
    set_step(remaining_ == 0 ? Step::kDone : Step::kLength);
}

void HttpParser::parse_chunk_size(std::string_view line) {
    const auto size = trimmed(line.substr(0, std::min(line.find(';'), line.size())));
    if (!parse_size(size, 16, remaining_)) return fail(400, "a malformed chunk size");
    if (remaining_ > limits_.body) return fail(413, "the body is too large");
    head_bytes_ = 0;
    set_step(remaining_ == 0 ? Step::kTrailers : Step::kChunk);
}

std::size_t HttpParser::append_body(std::string_view bytes) {
    const auto piece = bytes.substr(0, std::min(remaining_, bytes.size()));
    body_bytes_ += piece.size();
    reserve_body(piece.size());
    body_ += piece;
    remaining_ -= piece.size();
    // A streaming response has no final size, so the limit applies only to the bytes not yet taken.
    const auto body_size = kind_ == Kind::kRequest ? body_bytes_ : body_.size();
    if (body_size > limits_.body)
        fail(413, "the body is too large");
    else if (remaining_ == 0)
        set_step(step_ == Step::kLength ? Step::kDone : Step::kChunkEnd);
    return piece.size();
}

// The buffer doubles, but not beyond the largest body.
void HttpParser::reserve_body(std::size_t more) {
    const auto needed = body_.size() + more;
    if (needed <= body_.capacity()) return;
    std::string grown;  // a string that grows in place may take twice what is asked for
    grown.reserve(std::max(needed, std::min(2 * body_.capacity(), limits_.body)));
    grown += body_;
    body_ = std::move(grown);
}

bool HttpParser::framing_fits(std::size_t bytes) {
    if (kind_ == Kind::kResponse || state_ != State::kBody) return true;  // a stream has no end
    framing_bytes_ += bytes;
    if (framing_bytes_ <= kMaxFramingFactor * limits_.body + limits_.head) return true;
    fail(413, "the chunks are too many");
    return false;
}

std::size_t HttpParser::memory() const {
    return line_.capacity() + body_.capacity() + method_.capacity() + target_.capacity() + header_bytes_;
}

void HttpParser::fail(int status, const char* text) {
    error_status_ = status;
    error_text_ = text;
    set_step(Step::kBad);
}

void HttpParser::set_step(Step step) {
    step_ = step;
    if (step == Step::kDone)
        state_ = State::kDone;
    else if (step == Step::kBad)
        state_ = State::kBad;
    else
        state_ = step == Step::kStart || step == Step::kHeaders ? State::kHead : State::kBody;
}

const std::string* HttpParser::header(const std::string& lower_case_name) const {
    const auto it = headers_.find(lower_case_name);
    return it == headers_.end() ? nullptr : &it->second;
}

bool HttpParser::keep_alive() const {
    const auto* connection = header("connection");
    if (connection != nullptr && list_contains(*connection, "close")) return false;
    return minor_version_ == 1 || (connection != nullptr && list_contains(*connection, "keep-alive"));
}

bool HttpParser::expects_continue() const {
    const auto* expect = header("expect");
    return expect != nullptr && equals_ignore_case(*expect, "100-continue");
}

std::string http_response(int status, std::string_view headers, std::string_view body, bool close) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + ' ' + reason_phrase(status) + "\r\n";
    out += headers;
    if (close) out += "Connection: close\r\n";
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    out += body;
    return out;
}

std::string http_get(std::string_view target, std::string_view host) {
    std::string out = "GET ";
    out += target;
    out += " HTTP/1.1\r\nHost: ";
    out += host;
    out += "\r\nAccept: application/json\r\n\r\n";
    return out;
}

}  // namespace pinedoor::parse
