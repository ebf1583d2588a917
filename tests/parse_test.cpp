#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "parse/frame.hpp"
#include "parse/http.hpp"
#include "parse/json.hpp"

namespace {

using namespace pinedoor::parse;
using Reader = HttpParser;

// Feeds a message whole, then in pieces of each size up to 7; checks that all give the same result.
std::string read_request(const std::string& text, HttpLimits bounds = {}) {
    std::string first;
    for (std::size_t piece = 0; piece < 8; ++piece) {
        Reader reader(Reader::Kind::kRequest, bounds);
        const auto size = piece == 0 ? text.size() : piece;
        std::size_t used = 0;
        for (std::size_t at = 0; at < text.size() && used == at; at += size) {
            used += reader.feed(std::string_view(text).substr(at, size));
        }
        std::string outcome;
        switch (reader.state()) {
            case Reader::State::kBad: outcome = std::to_string(reader.fault()) + ' ' + reader.why(); break;
            case Reader::State::kDone: {
                const auto* host = reader.header("host");
                outcome = reader.method() + ' ' + reader.target() + " host=" + (host ? *host : "-") +
                          " body=" + reader.take_body() + " left=" + text.substr(used) +
                          (reader.keep_alive() ? "" : " close");
                break;
            }
            default: outcome = "more";
        }
        if (piece == 0)
            first = outcome;
        else
            CHECK(outcome == first);
    }
    return first;
}

TEST_CASE("requests are parsed alike in pieces of any size") {
    CHECK(read_request("POST /a HTTP/1.1\r\nhOsT:  x \r\nContent-Length: 3\r\n\r\nabcNEXT") ==
          "POST /a host=x body=abc left=NEXT");
    CHECK(read_request("\r\nGET /up HTTP/1.1\r\n\r\n") == "GET /up host=- body= left=");
    CHECK(read_request("POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n"
                       "2;x=y\r\nab\r\n01\r\nc\r\n0\r\nTrailer: t\r\n\r\nNEXT") ==
          "POST / host=- body=abc left=NEXT");
    CHECK(read_request("GET / HTTP/1.0\r\n\r\n") == "GET / host=- body= left= close");
    CHECK(read_request("GET / HTTP/1.0\nConnection: foo, Keep-Alive\n\n") == "GET / host=- body= left=");
    CHECK(read_request("GET / HTTP/1.1\r\nConnection: Close\r\n\r\n") == "GET / host=- body= left= close");
    CHECK(read_request("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab") == "more");
}

TEST_CASE("a request costs no more memory than its limits say, however it is put") {
    std::string head = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 100; ++i) head += std::to_string(i) + ":\r\n";
    CHECK(read_request(head + "\r\n") == "GET / host=- body= left=");
    CHECK(read_request(head + "x:\r\n\r\n") == "431 too many header fields");
    std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string byte = "1\r\nx\r\n", padded = "1;" + std::string(900, 'p') + "\r\nx\r\n";
    std::string small = chunked, large = chunked;
    for (int i = 0; i < 2'000; ++i) small += byte;
    for (int i = 0; i < 2'000; ++i) large += padded;
    CHECK(read_request(small + "0\r\n\r\n") == "POST / host=- body=" + std::string(2'000, 'x') + " left=");
    CHECK(read_request(large + "0\r\n\r\n") == "413 the chunks are too many");
    Reader reader(Reader::Kind::kRequest);
    reader.feed("POST / HTTP/1.1\r\nContent-Length: 65536\r\n\r\n");
    for (int i = 0; i < 655; ++i) reader.feed(std::string(100, 'b'));
    CHECK(reader.memory() <= 64 * 1024 + 1024);
    std::string values = "[1";
    while (values.size() < 60'000) values += ",1";
    CHECK_THROWS_AS(parse_json(values + "]"), JsonError);
}

TEST_CASE("trailers of over 16 KB are refused, in one line or in many") {
    const std::string body = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
    std::string lines;
    while (lines.size() < 17 * 1024) lines += "t: 0123456789\r\n";
    CHECK(read_request(body + lines).starts_with("431 "));
    CHECK(read_request(body + "t: " + std::string(17 * 1024, 'x')).starts_with("431 "));
    CHECK(read_request(body + "t: " + std::string(1'000, 'x') + "\r\n\r\n") == "POST / host=- body=x left=");
}

TEST_CASE("malformed, contradictory and oversized requests are rejected with distinct errors") {
    CHECK(read_request("GET /\r\n\r\n") == "400 no request line");
    CHECK(read_request("G(T / HTTP/1.1\r\n\r\n") == "400 no request line");
    CHECK(read_request("GET / HTTP/2.0\r\n\r\n") == "505 not HTTP/1.1");
    CHECK(read_request("\x16\x03\x01\n") == "400 no request line");
    CHECK(read_request("GET / HTTP/1.1\r\nno colon\r\n\r\n") == "400 a malformed header");
    CHECK(read_request("GET / HTTP/1.1\r\nspace : x\r\n\r\n") == "400 a malformed header");
    CHECK(read_request("GET / HTTP/1.1\r\nA: b\rc\r\n\r\n") == "400 a stray control character");
    const std::string post = "POST / HTTP/1.1\r\n";
    CHECK(read_request(post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n") ==
          "400 contradictory lengths");
    CHECK(read_request(post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n") ==
          "400 contradictory lengths");
    CHECK(read_request(post + "transfer-encoding:chunked\r\ncontent-length:3\r\n\r\n") ==
          "400 contradictory lengths");
    CHECK(read_request("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n") ==
          "400 contradictory lengths");
    CHECK(read_request(post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n") ==
          "501 an unknown transfer coding");
    CHECK(read_request(post + "Content-Length: 3, 3\r\n\r\n") == "400 a malformed length");
    CHECK(read_request(post + "Content-Length: 0x3\r\n\r\n") == "400 a malformed length");
    CHECK(read_request(post + "A: b\r\n Content-Length: 3\r\n\r\n") == "400 a malformed header");
    CHECK(read_request(post + "Content-Length: -3\r\n\r\n") == "400 a malformed length");
    CHECK(read_request(post + "Content-Length: 99999999999999999999999\r\n\r\n") == "400 a malformed length");
    CHECK(read_request(post + "Content-Length: 65537\r\n\r\n") == "413 the body is too large");
    CHECK(read_request(post + "Transfer-Encoding: gzip\r\n\r\n") == "501 an unknown transfer coding");
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    CHECK(read_request(chunked + "xyz\r\n") == "400 a malformed chunk size");
    CHECK(read_request(chunked + "2\r\nabc\r\n") == "400 a chunk is longer than its size");
    CHECK(read_request(chunked + "2\r\nab\r\n2\r\ncd\r\n", {1000, 3}) == "413 the body is too large");
    CHECK(read_request("GET / HTTP/1.1\r\nA: " + std::string(200, 'a') + "\r\n\r\n", {100, 10}) ==
          "431 the head is too large");
    CHECK(read_request(chunked + "0\r\n" + std::string(200, 'a'), {100, 10}) == "431 the head is too large");
}

TEST_CASE("a streamed response returns its body as it arrives, without a limit on its total size") {
    Reader reader(Reader::Kind::kResponse, {1000, 8});
    std::string got;
    const std::string text =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nline 1\r\n7\r\n\nline 2\r\n";
    for (const char c : text) {
        reader.feed({&c, 1});
        got += reader.take_body();
    }
    CHECK(got == "line 1\nline 2");
    CHECK(reader.state() == Reader::State::kBody);
    Reader failed(Reader::Kind::kResponse);
    failed.feed("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    CHECK(failed.state() == Reader::State::kDone);
    CHECK(failed.status() == 503);
}

// Prints a value in a compact form.
std::string print(const Json& json) {
    if (const auto* members = json.members()) {
        std::string out = "{";
        for (const auto& [name, value] : *members) out += name + ':' + print(value) + ' ';
        return out + '}';
    }
    if (const auto* list = json.list()) {
        std::string out = "[";
        for (const auto& value : *list) out += print(value) + ' ';
        return out + ']';
    }
    if (const auto* text = json.string()) return '\'' + *text + '\'';
    if (const auto* number = json.number()) return std::to_string(number->value);
    if (const auto* boolean = json.boolean()) return *boolean ? "yes" : "no";
    return "null";
}

// Parses the text byte by byte and whole, checks that both agree, and prints the value or the error.
std::string read_json(const std::string& text, JsonLimits bounds = {}) {
    try {
        JsonParser in_bytes(bounds);
        for (const char c : text) in_bytes.feed({&c, 1});
        const auto outcome = print(in_bytes.finish());
        CHECK(print(parse_json(text, bounds)) == outcome);
        return outcome;
    } catch (const JsonError& error) {
        CHECK_THROWS_WITH(parse_json(text, bounds), error.what());
        return error.what();
    }
}

TEST_CASE("JSON values of every type are parsed") {
    CHECK(read_json(R"( {"a":[1,-2.5e1,true,false,null,"x"],"b":{},"c":[]} )") ==
          "{a:[1.000000 -25.000000 yes no null 'x' ] b:{} c:[] }");
    CHECK(read_json(R"("\"\\\/\n\u0041\u00e4\u20ac\ud83d\ude00")") == "'\"\\/\nA\u00e4\u20ac\U0001f600'");
    CHECK(read_json("12") == "12.000000");
}

TEST_CASE("JSON that is malformed, too deep or too long is rejected at the offending byte") {
    for (const std::string text : {"",
                                   "{",
                                   "[1,]",
                                   "{\"a\"}",
                                   "{\"a\":1,}",
                                   "[1 2]",
                                   "{1:2}",
                                   "]",
                                   "[}",
                                   "01",
                                   "1.",
                                   "-",
                                   "+1",
                                   ".5",
                                   "1e",
                                   "nul",
                                   "True",
                                   "\"a",
                                   "\"\\x\"",
                                   "\"\\u12g4\"",
                                   "\"\\ud800\"",
                                   "\"\\udc00\"",
                                   "\"\\ud800x\"",
                                   "\"\t\"",
                                   "1e999",
                                   "[1]2",
                                   "{\"a\":1 \"b\":2}",
                                   "{\"a\":1,\"a\":2}",
                                   "'a'",
                                   "\"\\ud800\\n\""}) {
        CAPTURE(text);
        CHECK(read_json(text).starts_with("JSON, byte "));
    }
    CHECK(read_json(std::string(17, '[')) == "JSON, byte 17: nested too deep");
    CHECK(read_json(std::string(200'000, '[')) == "JSON, byte 17: nested too deep");
    CHECK(read_json("[1,2,3]", {5, 4}) == "JSON, byte 6: too long");
}

TEST_CASE("a written string is parsed back unchanged") {
    std::string all;
    for (int c = 1; c < 256; ++c) all.push_back(static_cast<char>(c));
    std::string out;
    append_json_string(out, all);
    CHECK(*parse_json(out).string() == all);
}

TEST_CASE("incomplete frames need more bytes, and invalid lengths are rejected") {
    const std::string bytes = std::string("\x07\0\0\0Rid d -", 11) + "next";
    for (std::size_t size = 0; size < 11; ++size) {
        CHECK(scan_frame(std::string_view(bytes).substr(0, size), 100).state == FrameScan::State::kMore);
    }
    const auto frame = scan_frame(bytes, 100);
    CHECK(frame.state == FrameScan::State::kFrame);
    CHECK(frame.letter == 'R');
    CHECK(frame.rest == "id d -");
    CHECK(frame.size == 11);
    CHECK(scan_frame(bytes, 6).state == FrameScan::State::kBad);
    CHECK(scan_frame(std::string_view("\0\0\0\0R", 5), 100).state == FrameScan::State::kBad);
    CHECK(scan_frame("\xff\xff\xff\xff", 100).state == FrameScan::State::kBad);
}

TEST_CASE("results are parsed as the index servers write them") {
    const auto result = parse_result("9b1f.3 done 1840277719 inflight=7,util=0.61\nv\u00e4lue");
    REQUIRE(result);
    CHECK(result->id == "9b1f.3");
    CHECK(result->end == ResultStatus::kDone);
    CHECK(result->report == "inflight=7,util=0.61");
    CHECK(result->value == "v\u00e4lue");
    CHECK(parse_result("a.1 full 0 -\n")->end == ResultStatus::kFull);
    CHECK(parse_result("a.1 failed 0 -\n")->report.empty());
    CHECK(parse_result("a.1 done 0\n")->report.empty());
    CHECK(parse_result("a.1 done 0 much, and more\nx")->value == "x");
    for (const char* text :
         {"", "a.1 done 0 -", "a.1 done\n", "a.1 finished 0 -\n", " done 0 -\n", "a.1 done 0 -\nva\nlue"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_result(text));
    }
}

TEST_CASE("text is UTF-8 without control characters") {
    for (const char* text : {"", "plain \"\\", "\u00e4\u20ac", "\U0001f600", "\xef\xbf\xbd"}) {
        CAPTURE(text);
        CHECK(is_printable_utf8(text));
    }
    for (const char* text : {"\n", "\x7f", "\x80", "\xc3", "\xc0\xaf", "\xe0\x80\xaf", "\xed\xa0\x80",
                             "\xf4\x90\x80\x80", "\xff", "a\xe2\x82"}) {
        CAPTURE(text);
        CHECK_FALSE(is_printable_utf8(text));
    }
}

TEST_CASE("a call is written in the protocol's format") {
    auto frame = begin_frame('S');
    append_part(frame, "9b1f03aa5c7e2d41.3", 3, 240, "c41e77d0");
    append_part(frame, "x.9", 9, 1, "");
    end_frame(frame);
    CHECK(frame == std::string("\x32\0\0\0", 4) + "S9b1f03aa5c7e2d41.3 3 d=240 8\nc41e77d0x.9 9 d=1 0\n");
}

}  // namespace
