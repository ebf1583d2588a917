// Members' messages as bytes: one CBOR array of numbers and texts (RFC 8949), by nlohmann-json, and behind
// it, where a secret is stated, its keyed BLAKE2b hash by libsodium. Every field is bounded and checked.
//
//   "pinedoor", version, cluster, kind, number, from, address, port, target, address, port, then for each
//   claim name, incarnation, standing, life, address, port, zone, by
//
// What members talk of beside that has a kind of 50 and more, and behind it:
//   from, address, port, the digest as bytes where the kind has one, then for each fact
//   origin, topic, epoch, life, version, value as bytes, how long it lives, its age (tenths of a millisecond)
// A letter to one member has the kind 70, and behind it from, topic, what it says as bytes.
//
// A newer version or another cluster is refused by name, whatever else it holds.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "peers/decide.hpp"
#include "peers/gossip.hpp"

namespace pinedoor::peers {

inline constexpr int kWireVersion = 1;
inline constexpr std::size_t kMaxDatagramBytes = 1'400;
inline constexpr std::size_t kMaxStateBytes = std::size_t{1} << 20U;
inline constexpr std::size_t kMaxNameBytes = 64;

enum class RejectReason { kSize, kSecret, kNoMessage, kVersion, kCluster, kField };
const char* name_of(RejectReason reason);

struct DirectMessage {  // from one member to another, about a topic
    std::string from, topic;
    std::string payload;  // kLongestValue at most
};

class Wire {
public:
    Wire(std::string cluster, std::string_view secret);

    std::string write(const Message& message) const;
    std::string write(const Talk& message) const;
    std::string write(const DirectMessage& message) const;
    std::string encode_state(const std::vector<MemberRecord>& records) const;
    std::variant<Message, Talk, DirectMessage, RejectReason> decode(std::string_view bytes) const;
    std::variant<std::vector<MemberRecord>, RejectReason> decode_state(std::string_view bytes) const;

private:
    std::string append_mac(std::string bytes) const;
    std::optional<std::string_view> verify_mac(std::string_view bytes) const;

    const std::string cluster_;
    std::string key_;  // empty: no secret
};

}  // namespace pinedoor::peers
