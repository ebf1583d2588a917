#include "parse/http.hpp"

#include <algorithm>
#include <charconv>

namespace pinedoor::parse {
namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

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

bool to_size(std::string_view text, int base, std::size_t& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

bool has_word(std::string_view list, std::string_view word) {
    while (!list.empty()) {
        const auto end = std::min(list.find(','), list.size());
        if (same_word(trimmed(list.substr(0, end)), word)) return true;
        list.remove_prefix(std::min(end + 1, list.size()));
    }
    return false;
}

const char* reason(int status) {
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

bool same_word(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

std::size_t HttpReader::feed(std::string_view bytes) {
    std::size_t used = 0;
    while (used < bytes.size() && step_ != Step::kDone && step_ != Step::kBad) {
        const auto rest = bytes.substr(used);
        if (step_ == Step::kLength || step_ == Step::kChunk) {
            used += take_body_bytes(rest);
            continue;
        }
        const auto end = rest.find('\n');
        const auto piece = rest.substr(0, end == std::string_view::npos ? rest.size() : end + 1);
        used += piece.size();
        head_bytes_ += piece.size();
        if (head_bytes_ > bounds_.head) {
            bad(431, "the head is too large");
            break;
        }
        line_ += piece;
        if (end == std::string_view::npos) break;
        line_.pop_back();
        if (!line_.empty() && line_.back() == '\r') line_.pop_back();
        const auto line = std::exchange(line_, {});
        take_line(line);
    }
    return used;
}

void HttpReader::take_line(std::string_view line) {
    if (line.find('\r') != std::string_view::npos || line.find('\0') != std::string_view::npos) {
        return bad(400, "a stray control character");
    }
    switch (step_) {
        case Step::kStart:
            if (line.empty() && !started_) return;  // an empty line between two messages is allowed
            return take_start(line);
        case Step::kHeaders: return line.empty() ? end_head() : take_header(line);
        case Step::kChunkSize: return take_chunk_size(line);
        case Step::kChunkEnd:
            if (!line.empty()) return bad(400, "a chunk is longer than its size");
            return go(Step::kChunkSize);
        case Step::kTrailers: return line.empty() ? go(Step::kDone) : void();
        case Step::kLength:
        case Step::kChunk:
        case Step::kDone:
        case Step::kBad: return;
    }
}

void HttpReader::take_start(std::string_view line) {
    started_ = true;
    const auto first = line.find(' ');
    const auto second = first == std::string_view::npos ? first : line.find(' ', first + 1);
    std::string_view version;
    if (kind_ == Kind::kRequest) {
        if (second == std::string_view::npos || line.find(' ', second + 1) != std::string_view::npos) {
            return bad(400, "no request line");
        }
        method_ = line.substr(0, first);
        target_ = line.substr(first + 1, second - first - 1);
        version = line.substr(second + 1);
        if (!is_token(method_) || target_.empty()) return bad(400, "no request line");
    } else {
        version = line.substr(0, std::min(first, line.size()));
        std::size_t status = 0;
        const auto code = first == std::string_view::npos ? "" : line.substr(first + 1, 3);
        if (!to_size(code, 10, status) || status < 100) return bad(400, "no status line");
        status_ = static_cast<int>(status);
    }
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        return bad(version.starts_with("HTTP/") ? 505 : 400, "not HTTP/1.1");
    }
    minor_version_ = version.back() - '0';
    go(Step::kHeaders);
}

void HttpReader::take_header(std::string_view line) {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
        return bad(400, "a malformed header");
    }
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(), lower);
    const std::string value(trimmed(line.substr(colon + 1)));
    const auto [at, is_new] = headers_.emplace(name, value);
    if (is_new) return;
    // Conflicting lengths would let two parsers see different messages (request smuggling).
    if (name == "content-length" && at->second != value) return bad(400, "contradictory lengths");
    if (name != "content-length") at->second += ", " + value;
}

void HttpReader::end_head() {
    head_bytes_ = 0;
    const auto* coding = header("transfer-encoding");
    const auto* length = header("content-length");
    if (kind_ == Kind::kResponse && (status_ < 200 || status_ == 204 || status_ == 304)) {
        return go(Step::kDone);
    }
    if (coding != nullptr) {
        if (length != nullptr || minor_version_ == 0) return bad(400, "contradictory lengths");
        if (!same_word(*coding, "chunked")) return bad(501, "an unknown transfer coding");
        return go(Step::kChunkSize);
    }
    if (length == nullptr) {
        if (kind_ == Kind::kResponse) return bad(400, "a body without a length");
        return go(Step::kDone);
    }
    if (!to_size(*length, 10, left_)) return bad(400, "a malformed length");
    if (left_ > bounds_.body) return bad(413, "the body is too large");
    go(left_ == 0 ? Step::kDone : Step::kLength);
}

void HttpReader::take_chunk_size(std::string_view line) {
    const auto size = trimmed(line.substr(0, std::min(line.find(';'), line.size())));
    if (!to_size(size, 16, left_)) return bad(400, "a malformed chunk size");
    if (left_ > bounds_.body) return bad(413, "the body is too large");
    head_bytes_ = 0;
    go(left_ == 0 ? Step::kTrailers : Step::kChunk);
}

std::size_t HttpReader::take_body_bytes(std::string_view bytes) {
    const auto piece = bytes.substr(0, std::min(left_, bytes.size()));
    body_bytes_ += piece.size();
    body_ += piece;
    left_ -= piece.size();
    // A streaming response has no final size, so the limit applies only to the bytes not yet taken.
    const auto held = kind_ == Kind::kRequest ? body_bytes_ : body_.size();
    if (held > bounds_.body)
        bad(413, "the body is too large");
    else if (left_ == 0)
        go(step_ == Step::kLength ? Step::kDone : Step::kChunkEnd);
    return piece.size();
}

void HttpReader::bad(int status, const char* why) {
    fault_ = status;
    why_ = why;
    go(Step::kBad);
}

void HttpReader::go(Step step) {
    step_ = step;
    if (step == Step::kDone)
        state_ = State::kDone;
    else if (step == Step::kBad)
        state_ = State::kBad;
    else
        state_ = step == Step::kStart || step == Step::kHeaders ? State::kHead : State::kBody;
}

const std::string* HttpReader::header(const std::string& lower_case_name) const {
    const auto it = headers_.find(lower_case_name);
    return it == headers_.end() ? nullptr : &it->second;
}

bool HttpReader::keeps_open() const {
    const auto* connection = header("connection");
    if (connection != nullptr && has_word(*connection, "close")) return false;
    return minor_version_ == 1 || (connection != nullptr && has_word(*connection, "keep-alive"));
}

bool HttpReader::expects_continue() const {
    const auto* expect = header("expect");
    return expect != nullptr && same_word(*expect, "100-continue");
}

std::string http_answer(int status, std::string_view headers, std::string_view body, bool close) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + ' ' + reason(status) + "\r\n";
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
