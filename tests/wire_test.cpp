// Tests of the simulator's wire protocol, and of the settings in its text form.
#include <doctest/doctest.h>

#include <sstream>
#include <string>

#include "stated/stated.hpp"
#include "wire/frame.hpp"

namespace {

using namespace pinedoor;

std::string bytes(const std::string& hex) {
    std::string out;
    std::string digits;
    for (const char c : hex) {
        if (c == ' ') continue;
        digits.push_back(c);
        if (digits.size() < 2) continue;
        out.push_back(static_cast<char>(std::stoi(digits, nullptr, 16)));
        digits.clear();
    }
    return out;
}

std::string frame(int records, const std::string& hex) {
    const auto body = bytes(hex);
    std::string out;
    for (const std::size_t n : {body.size() + 20})
        out += {static_cast<char>(n), static_cast<char>(n >> 8U), 0, 0};
    out += bytes("00000000206ec040");
    out += {static_cast<char>(records), 0, 0, 0, 12, 0, 0, 0};
    return out + body;
}

std::string error_of(const std::string& text) {
    try {
        wire::BatchDecoder().decode(text);
    } catch (const wire::ProtocolError& error) {
        return error.what();
    }
    return "none";
}

const std::string kArrival =
    "12 31000000 0300 c4913a5d 00000000 00000000 0000000000002840 0000 01 640ad2557c3bf091 00005643 "
    "0000000020e6c040 0000003e";
const std::string kList =
    "1a 38000000 00000000 02000000 0000 0a124a07 2b23 0000 00 01 0000803f 0000000000000000 "
    "0100 0a9011f2 5423 0000 00 01 0000c03f 0000000000d4b740";

TEST_CASE("a batch of events is decoded") {
    wire::BatchDecoder decoder;
    const auto batch = decoder.decode(
        frame(4, kList + "11 0b000000 0300 29000000 00000000 03" + kArrival + "16 06000000 0300 4d000000"));
    CHECK(batch.clock == 84123);
    REQUIRE(batch.records.size() == 3);
    const auto& update = std::get<wire::DiscoveryUpdate>(batch.records[0].content);
    CHECK(update.kind == ListUpdateKind::kSaved);
    REQUIRE(update.entries.size() == 2);
    CHECK(update.entries[1].server == ServerId{0x0a9011f2, 9044});
    CHECK(update.entries[1].started == 6100'0);
    const auto& arrival = std::get<wire::Arrival>(batch.records[1].content);
    CHECK(arrival.is_part);
    CHECK(arrival.part.id == 0x5d3a91c4);
    CHECK(arrival.part.weight == doctest::Approx(0.125));
    CHECK(arrival.part.cost_hint == 12'0);
    CHECK(std::get<TimerFired>(batch.records[2].content).token == 77);
}

TEST_CASE("each event gets the numbered list as defined before it, even within one batch") {
    const std::string empty = "1a 08000000 00000000 00000000";
    const std::string refer = "11 0b000000 0300 29000000 00000000 02";
    const auto batch = wire::BatchDecoder().decode(frame(4, kList + refer + empty + refer));
    CHECK(std::get<wire::DiscoveryUpdate>(batch.records[0].content).entries.size() == 2);
    CHECK(std::get<wire::DiscoveryUpdate>(batch.records[1].content).entries.empty());
}

TEST_CASE("actions are encoded as the protocol defines") {
    wire::ReplyEncoder reply;
    reply.add(3, Send{0x5d3a91c4, {0x0a124a07, 9003}, 80'0});
    reply.add(3, SetTimer{500'0, 77});
    CHECK(reply.finish(12) ==
          bytes("02000000 38000000 0c000000 16 14000000 0300 c4913a5d 0a124a07 2b23 0000000000005440"
                "11 0e000000 0300 0000000000407f40 4d000000"));
}

TEST_CASE("invalid frames are rejected with a message that names the record and field") {
    CHECK(error_of(frame(1, "63 02000000 0300")) == "record 0 (code 99): unknown code");
    CHECK(error_of(frame(1, "16 05000000 0300 4d0000")) == "record 0 (code 22): field nonce is truncated");
    CHECK(error_of(frame(1, "16 07000000 0300 4d000000 00")) == "record 0 (code 22): 1 trailing bytes");
    CHECK(error_of(frame(1, "16 ffffff7f 0300")) ==
          "record 0 (code 22): claims 2147483647 bytes, but holds fewer");
    CHECK(error_of(frame(2, "16 06000000 0300 4d000000")) == "frame header: field record head is truncated");
    CHECK(error_of(frame(1, "1a 08000000 00000000 ffffffff")) ==
          "record 0 (code 26): claims 4294967295 entries, but holds fewer");
    CHECK(error_of(frame(1, "11 0b000000 0300 29000000 07000000 02")) ==
          "record 0 (code 17): refers to an unknown list");
    CHECK(error_of(frame(0, "") + "x") == "frame header: length does not match the frame");
}

TEST_CASE("input that ends inside a frame or claims too great a length is rejected") {
    std::string result;
    std::istringstream truncated(frame(1, kArrival).substr(0, 30));
    CHECK_THROWS_WITH(wire::read_frame(truncated, result), "frame: truncated by the end of input");
    std::istringstream too_long(bytes("ffffffff"));
    CHECK_THROWS_AS(wire::read_frame(too_long, result), wire::ProtocolError);
    std::istringstream none("");
    CHECK_FALSE(wire::read_frame(none, result));
}

TEST_CASE("settings text: unknown keys are ignored, errors name the key and the value") {
    CHECK(stated::Settings::from_text("family_info.places=12\nfamily_info.width=3\nfamily_info.per_call=8\n"
                                      "family_info.overhead_ms=45.0\nwhat.is.this=x\n")
              .shard_ring()
              .call_overhead == 45'0);
    CHECK_THROWS_WITH(stated::Settings::from_text("me=x").node_place(), "settings: me is not a number: 'x'");
    CHECK_THROWS_WITH(stated::Settings::from_text("").node_place(), "settings: me is missing");
    CHECK_THROWS_WITH(stated::Settings::from_text("discovery=maybe").server_list_config(),
                      "settings: discovery is unknown: 'maybe'");
}

}  // namespace
