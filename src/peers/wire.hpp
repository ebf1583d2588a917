// Wire format of the messages between members: one CBOR array of numbers and strings (RFC 8949,
// nlohmann-json), followed by its keyed BLAKE2b hash (libsodium) if a secret is configured. Every field is
// bounded and checked.
//
//   "pinedoor", version, cluster, kind, sequence, from, address, port, target, address, port, then for each
//   member record: name, incarnation, state, instance ID, address, port, zone, reported by
//
// Gossip messages have a kind of 50 or more, followed by:
//   from, address, port, the digest as bytes if the kind has one, then for each published record:
//   origin, topic, epoch, instance ID, version, value as bytes, lifetime, age (both in units of 0.1 ms)
// Direct messages have the kind 70, followed by: from, topic, payload as bytes.
// Full states have the kind 100, followed by member records.
//
// A message of another version or another cluster is rejected with that reason, whatever its other fields
// are.
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

// Why a received message was rejected.
enum class RejectReason { kSize, kSecret, kNoMessage, kVersion, kCluster, kField };
const char* name_of(RejectReason reason);

struct DirectMessage {  // from one member to another, on a topic
    std::string from, topic;
    std::string payload;  // at most kMaxValueBytes
};

// Encodes and decodes the messages of one cluster.
class Wire {
public:
    Wire(std::string cluster, std::string_view secret);

    std::string write(const Message& message) const;
    std::string write(const GossipMessage& message) const;
    std::string write(const DirectMessage& message) const;
    std::string encode_state(const std::vector<MemberRecord>& records) const;
    std::variant<Message, GossipMessage, DirectMessage, RejectReason> decode(std::string_view bytes) const;
    std::variant<std::vector<MemberRecord>, RejectReason> decode_state(std::string_view bytes) const;

private:
    // Message authentication; both pass the bytes through if there is no secret.
    std::string append_mac(std::string bytes) const;
    std::optional<std::string_view> verify_mac(std::string_view bytes) const;

    const std::string cluster_;
    std::string key_;  // derived from the secret; empty: no secret
};

}  // namespace pinedoor::peers
