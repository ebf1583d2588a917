#include "peers/wire.hpp"

#include <sodium.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace pinedoor::peers {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMacBytes = 16;
constexpr int kGossipKindBase = 50;  // added to GossipMessage::Kind
constexpr int kDirectMessageKind = 70;
constexpr int kStateKind = 100;
constexpr const char* kMagic = "pinedoor";
constexpr std::uint64_t kMaxZone = 1'000'000;
constexpr std::uint64_t kMaxLifetime = 36'000'000'000;  // 1,000 hours in units of 0.1 ms

struct Bytes {
    std::string data;
};
using Value = std::variant<std::uint64_t, std::string, Bytes>;

// Parses one flat array of unsigned numbers, strings and byte strings; any other CBOR is rejected while
// parsing.
class FlatArrayParser : public nlohmann::json_sax<Json> {
public:
    std::vector<Value> values;

    bool parse(std::string_view bytes) {
        return Json::sax_parse(bytes.begin(), bytes.end(), this, Json::input_format_t::cbor);
    }
    bool null() override { return false; }
    bool boolean(bool) override { return false; }
    bool number_integer(number_integer_t) override { return false; }
    bool number_unsigned(number_unsigned_t value) override { return append(value); }
    bool number_float(number_float_t, const string_t&) override { return false; }
    bool string(string_t& value) override {
        return value.size() <= kMaxNameBytes && append(std::move(value));
    }
    bool binary(binary_t& value) override {
        return value.size() <= kLongestValue && append(Bytes{{value.begin(), value.end()}});
    }
    bool start_object(std::size_t) override { return false; }
    bool key(string_t&) override { return false; }
    bool end_object() override { return false; }
    bool start_array(std::size_t) override { return !std::exchange(array_started_, true); }
    bool end_array() override { return true; }
    bool parse_error(std::size_t, const std::string&, const Json::exception&) override { return false; }

private:
    template <class T>
    bool append(T value) {
        if (!array_started_) return false;
        values.emplace_back(std::in_place_type<T>, std::move(value));
        return true;
    }
    bool array_started_ = false;
};

// Reads the fields of a parsed message in order. A missing or invalid field makes valid() false.
class FieldReader {
public:
    explicit FieldReader(const FlatArrayParser& parser) : values_(parser.values) {}

    std::uint64_t number(std::uint64_t max) {
        const auto* value = next<std::uint64_t>();
        if (value == nullptr || *value > max) return valid_ = false, 0;
        return *value;
    }
    std::string text() {
        const auto* value = next<std::string>();
        if (value == nullptr) return valid_ = false, "";
        for (const char c : *value) valid_ &= c > ' ' && c < 127;
        return *value;
    }
    At address() {
        const auto ip = static_cast<std::uint32_t>(number(UINT32_MAX));
        return {ip, static_cast<std::uint16_t>(number(UINT16_MAX))};
    }
    MemberRecord member_record() {
        MemberRecord record;
        record.name = text();
        record.incarnation = number(UINT64_MAX / 2);  // leaves room for raising it
        record.state = static_cast<MemberState>(number(static_cast<std::uint64_t>(MemberState::kLeft)));
        record.life = number(UINT64_MAX);
        record.at = address();
        record.zone = static_cast<int>(number(kMaxZone));
        record.reported_by = text();
        valid_ &= !record.name.empty();
        return record;
    }
    std::string bytes() {
        const auto* value = next<Bytes>();
        if (value == nullptr) return valid_ = false, "";
        return value->data;
    }
    PublishedRecord published_record() {
        PublishedRecord record;
        record.origin = text();
        record.topic = text();
        record.epoch = number(UINT64_MAX / 2);  // leaves room for raising it
        record.instance_id = number(UINT64_MAX);
        record.version = number(UINT64_MAX / 2);
        record.value = bytes();
        record.lives = static_cast<Time>(number(kMaxLifetime));
        record.age = static_cast<Time>(number(kMaxLifetime));
        valid_ &= !record.origin.empty() && !record.topic.empty() && record.topic.size() <= kMaxTopicBytes;
        return record;
    }
    Digest digest() {
        const auto data = bytes();
        Digest sums{};
        if (data.size() != 4 * sums.size()) return valid_ = false, sums;
        for (std::size_t i = 0; i < data.size(); ++i)
            sums[i / 4] |= std::uint32_t{static_cast<unsigned char>(data[i])} << (8 * (i % 4));
        return sums;
    }
    bool valid() const { return valid_; }
    bool at_end() const { return position_ == values_.size(); }

private:
    template <class T>
    const T* next() {
        return position_ < values_.size() ? std::get_if<T>(&values_[position_++]) : nullptr;
    }
    const std::vector<Value>& values_;
    std::size_t position_ = 0;
    bool valid_ = true;
};

void append(Json& out, At address) {
    out.push_back(address.address);
    out.push_back(address.port);
}

void append(Json& out, const MemberRecord& record) {
    out.push_back(record.name);
    out.push_back(record.incarnation);
    out.push_back(static_cast<unsigned>(record.state));
    out.push_back(record.life);
    append(out, record.at);
    out.push_back(static_cast<unsigned>(record.zone));
    out.push_back(record.reported_by);
}

Json binary(const std::string& bytes) { return Json::binary({bytes.begin(), bytes.end()}); }

void append(Json& out, const PublishedRecord& record) {
    out.push_back(record.origin);
    out.push_back(record.topic);
    out.push_back(record.epoch);
    out.push_back(record.instance_id);
    out.push_back(record.version);
    out.push_back(binary(record.value));
    out.push_back(static_cast<std::uint64_t>(record.lives));
    out.push_back(static_cast<std::uint64_t>(record.age));
}

std::string bytes_of(const Digest& digest) {
    std::string bytes;
    for (const auto sum : digest) {
        for (unsigned shift = 0; shift < 32; shift += 8) bytes += static_cast<char>((sum >> shift) & 0xffU);
    }
    return bytes;
}

std::string to_cbor_bytes(const Json& json) {
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

// Reads the fields common to all messages. Returns the kind, or why the message is rejected.
std::variant<int, RejectReason> read_header(FieldReader& reader, const std::string& cluster) {
    if (reader.text() != kMagic || !reader.valid()) return RejectReason::kNoMessage;
    const auto version = reader.number(UINT32_MAX);
    if (!reader.valid() || version != static_cast<std::uint64_t>(kWireVersion)) return RejectReason::kVersion;
    if (reader.text() != cluster) return RejectReason::kCluster;
    const auto kind = reader.number(kStateKind);
    if (!reader.valid()) return RejectReason::kField;
    return static_cast<int>(kind);
}

}  // namespace

const char* name_of(RejectReason reason) {
    switch (reason) {
        case RejectReason::kSize: return "size";
        case RejectReason::kSecret: return "secret";
        case RejectReason::kNoMessage: return "no message";
        case RejectReason::kVersion: return "version";
        case RejectReason::kCluster: return "cluster";
        case RejectReason::kField: break;
    }
    return "field";
}

Wire::Wire(std::string cluster, std::string_view secret) : cluster_(std::move(cluster)) {
    if (secret.empty()) return;
    key_.resize(crypto_generichash_KEYBYTES);
    crypto_generichash(reinterpret_cast<unsigned char*>(key_.data()), key_.size(),
                       reinterpret_cast<const unsigned char*>(secret.data()), secret.size(), nullptr, 0);
}

std::string Wire::append_mac(std::string bytes) const {
    if (key_.empty()) return bytes;
    unsigned char hash[kMacBytes];
    crypto_generichash(hash, sizeof hash, reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                       reinterpret_cast<const unsigned char*>(key_.data()), key_.size());
    return bytes.append(reinterpret_cast<const char*>(hash), sizeof hash);
}

std::optional<std::string_view> Wire::verify_mac(std::string_view bytes) const {
    if (key_.empty()) return bytes;
    if (bytes.size() < kMacBytes) return std::nullopt;
    const auto body = bytes.substr(0, bytes.size() - kMacBytes);
    const auto with_mac = append_mac(std::string(body));
    if (sodium_memcmp(with_mac.data() + body.size(), bytes.data() + body.size(), kMacBytes) != 0)
        return std::nullopt;
    return body;
}

std::string Wire::write(const Message& message) const {
    Json out = Json::array(
        {kMagic, kWireVersion, cluster_, static_cast<int>(message.kind), message.sequence, message.from});
    append(out, message.from_address);
    out.push_back(message.target);
    append(out, message.target_address);
    for (const auto& record : message.records) append(out, record);
    return append_mac(to_cbor_bytes(out));
}

std::string Wire::write(const GossipMessage& message) const {
    Json out = Json::array(
        {kMagic, kWireVersion, cluster_, kGossipKindBase + static_cast<int>(message.kind), message.from});
    append(out, message.from_address);
    if (message.has_digest()) out.push_back(binary(bytes_of(message.digest)));
    for (const auto& record : message.records) append(out, record);
    return append_mac(to_cbor_bytes(out));
}

std::string Wire::write(const DirectMessage& message) const {
    Json out = Json::array({kMagic, kWireVersion, cluster_, kDirectMessageKind, message.from, message.topic});
    out.push_back(binary(message.payload));
    return append_mac(to_cbor_bytes(out));
}

std::string Wire::encode_state(const std::vector<MemberRecord>& records) const {
    Json out = Json::array({kMagic, kWireVersion, cluster_, kStateKind});
    for (const auto& record : records) append(out, record);
    return append_mac(to_cbor_bytes(out));
}

std::variant<Message, GossipMessage, DirectMessage, RejectReason> Wire::decode(std::string_view bytes) const {
    if (bytes.size() > kMaxDatagramBytes) return RejectReason::kSize;
    const auto body = verify_mac(bytes);
    if (!body) return RejectReason::kSecret;
    FlatArrayParser parser;
    if (!parser.parse(*body)) return RejectReason::kNoMessage;
    FieldReader reader(parser);
    const auto header = read_header(reader, cluster_);
    if (const auto* reason = std::get_if<RejectReason>(&header)) return *reason;
    const int kind = std::get<int>(header);
    if (kind >= kGossipKindBase &&
        kind <= kGossipKindBase + static_cast<int>(GossipMessage::Kind::kRecords)) {
        GossipMessage message;
        message.kind = static_cast<GossipMessage::Kind>(kind - kGossipKindBase);
        message.from = reader.text();
        message.from_address = reader.address();
        if (message.has_digest()) message.digest = reader.digest();
        while (reader.valid() && !reader.at_end()) message.records.push_back(reader.published_record());
        if (!reader.valid() || message.from.empty()) return RejectReason::kField;
        return message;
    }
    if (kind == kDirectMessageKind) {
        DirectMessage message;
        message.from = reader.text();
        message.topic = reader.text();
        message.payload = reader.bytes();
        if (!reader.valid() || !reader.at_end() || message.from.empty()) return RejectReason::kField;
        return message;
    }
    if (kind > static_cast<int>(Message::Kind::kUpdates)) return RejectReason::kField;
    Message message;
    message.kind = static_cast<Message::Kind>(kind);
    message.sequence = static_cast<std::uint32_t>(reader.number(UINT32_MAX));
    message.from = reader.text();
    message.from_address = reader.address();
    message.target = reader.text();
    message.target_address = reader.address();
    while (reader.valid() && !reader.at_end()) message.records.push_back(reader.member_record());
    if (!reader.valid() || message.from.empty()) return RejectReason::kField;
    return message;
}

std::variant<std::vector<MemberRecord>, RejectReason> Wire::decode_state(std::string_view bytes) const {
    if (bytes.size() > kMaxStateBytes) return RejectReason::kSize;
    const auto body = verify_mac(bytes);
    if (!body) return RejectReason::kSecret;
    FlatArrayParser parser;
    if (!parser.parse(*body)) return RejectReason::kNoMessage;
    FieldReader reader(parser);
    const auto header = read_header(reader, cluster_);
    if (const auto* reason = std::get_if<RejectReason>(&header)) return *reason;
    if (std::get<int>(header) != kStateKind) return RejectReason::kField;
    std::vector<MemberRecord> records;
    while (reader.valid() && !reader.at_end()) records.push_back(reader.member_record());
    if (!reader.valid()) return RejectReason::kField;
    return records;
}

}  // namespace pinedoor::peers
