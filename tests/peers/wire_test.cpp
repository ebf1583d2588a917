// Wire format: valid messages survive a round trip and all others are rejected.
#include "peers/wire.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace {

using namespace pinedoor::peers;

Message example_message() {
    MemberRecord record{
        "n1", 1'700'000'000'000, MemberState::kSuspect, 0xfedcba9876543210U, {0x7f000001, 7946}, 2, "n7"};
    return {Message::Kind::kPingRequest, 77, "n0", {0x7f000001, 1}, "n1", {0x7f000001, 2}, {record, record}};
}

RejectReason reject_reason(const Wire& wire, std::string_view bytes) {
    return std::get<RejectReason>(wire.decode(bytes));
}

TEST_CASE("messages survive a round trip, with and without a secret") {
    for (const char* secret : {"", "sixteen letters!"}) {
        const Wire wire("here", secret);
        const auto bytes = wire.write(example_message());
        const auto decoded = std::get<Message>(wire.decode(bytes));
        CHECK(wire.write(decoded) == bytes);
        CHECK(decoded.sequence == 77);
        CHECK(decoded.records.at(1).life == 0xfedcba9876543210U);
        const auto records = std::get<std::vector<MemberRecord>>(
            wire.decode_state(wire.encode_state(example_message().records)));
        CHECK(records.size() == 2);
        CHECK(records[0].reported_by == "n7");
    }
}

TEST_CASE("another cluster, version or secret and too large a message are each rejected with their reason") {
    const Wire wire("here", "");
    CHECK(reject_reason(wire, Wire("there", "").write(example_message())) == RejectReason::kCluster);
    CHECK(reject_reason(Wire("here", "sixteen letters!"), wire.write(example_message())) ==
          RejectReason::kSecret);
    CHECK(reject_reason(Wire("here", "sixteen letters!"),
                        Wire("here", "sixteen letters?").write(example_message())) == RejectReason::kSecret);
    auto newer = wire.write(example_message());
    newer[newer.find("pinedoor") + 8] = 2;  // the version, which CBOR encodes as one byte
    CHECK(reject_reason(wire, newer) == RejectReason::kVersion);
    CHECK(reject_reason(wire, std::string(kMaxDatagramBytes + 1, 'x')) == RejectReason::kSize);
    CHECK(reject_reason(wire, "") == RejectReason::kNoMessage);
    CHECK(reject_reason(wire, wire.encode_state({})) == RejectReason::kField);
    auto bad = example_message();
    bad.records[0].name = "a b";
    CHECK(reject_reason(wire, wire.write(bad)) == RejectReason::kField);
    bad = example_message();
    bad.records[0].name = std::string(65, 'x');
    CHECK(reject_reason(wire, wire.write(bad)) == RejectReason::kNoMessage);
    // Nested arrays are rejected at the second level.
    CHECK(reject_reason(wire, std::string(1'000, '\x81')) == RejectReason::kNoMessage);
    CHECK(std::holds_alternative<RejectReason>(wire.decode_state(std::string(kMaxStateBytes, '\x81'))));
}

TEST_CASE("a truncated or corrupted message is rejected with a secret, and does no harm without one") {
    const Wire unsealed("here", ""), sealed("here", "sixteen letters!");
    const auto plain = unsealed.write(example_message()), sealed_bytes = sealed.write(example_message());
    for (std::size_t i = 0; i < sealed_bytes.size(); ++i) {
        auto changed = sealed_bytes;
        changed[i] = static_cast<char>(changed[i] ^ 0x10);
        CHECK(reject_reason(sealed, changed) == RejectReason::kSecret);
        CHECK(std::holds_alternative<RejectReason>(sealed.decode(sealed_bytes.substr(0, i))));
        if (i < plain.size()) unsealed.decode(plain.substr(0, i));
    }
    CHECK(rc::check("changed bytes", [&] {
        auto changed = plain;
        for (int n = *rc::gen::inRange(1, 6); n > 0; --n)
            changed[*rc::gen::inRange<std::size_t>(0, changed.size())] = *rc::gen::arbitrary<char>();
        const auto decoded = unsealed.decode(changed);
        if (const auto* message = std::get_if<Message>(&decoded)) {
            RC_ASSERT(message->from.size() <= kMaxNameBytes);
            for (const auto& record : message->records) RC_ASSERT(!record.name.empty() && record.zone >= 0);
        }
    }));
}

}  // namespace
