#include "store/record.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace pinedoor::store {
namespace {

constexpr std::array<std::string_view, 5> kOutcomeNames{"", "answered", "answered-in-part", "refused",
                                                        "failed"};

template <class Number>
void append(std::string& out, Number number) {
    auto rest = static_cast<std::uint64_t>(number);
    for (std::size_t i = 0; i < sizeof number; ++i, rest >>= 8U)
        out.push_back(static_cast<char>(rest & 0xffU));
}

void append(std::string& out, const std::string& text) {
    append(out, static_cast<std::uint32_t>(text.size()));
    out += text;
}

void append(std::string& out, const RecordId& id) {
    append(out, id.node);
    append(out, id.incarnation);
    append(out, id.number);
}

// Decodes fields in order; after a field that is incomplete, all further reads fail.
class ByteReader {
public:
    explicit ByteReader(std::string_view bytes) : rest_(bytes) {}

    template <class Number>
    void get(Number& number) {
        std::uint64_t value = 0;
        if (!require(sizeof number)) return;
        for (std::size_t i = sizeof number; i-- > 0;)
            value = value << 8U | static_cast<unsigned char>(rest_[i]);
        rest_.remove_prefix(sizeof number);
        number = static_cast<Number>(value);
    }
    void get(std::string& text) {
        std::uint32_t size = 0;
        get(size);
        if (!require(size)) return;
        text.assign(rest_.substr(0, size));
        rest_.remove_prefix(size);
    }
    void get(RecordId& id) {
        get(id.node);
        get(id.incarnation);
        get(id.number);
    }
    bool at_end() const { return ok_ && rest_.empty(); }

private:
    bool require(std::size_t count) { return ok_ = ok_ && rest_.size() >= count; }

    std::string_view rest_;
    bool ok_ = true;
};

}  // namespace

std::string_view name_of(OutcomeKind fate) { return kOutcomeNames.at(static_cast<std::size_t>(fate)); }

std::optional<OutcomeKind> parse_outcome_kind(std::string_view name) {
    for (std::size_t i = 1; i < kOutcomeNames.size(); ++i) {
        if (kOutcomeNames[i] == name) return static_cast<OutcomeKind>(i);
    }
    return std::nullopt;
}

std::string encode(const Entry& entry) {
    std::string out;
    if (const auto* intent = std::get_if<Intent>(&entry)) {
        out.push_back('I');
        append(out, intent->id);
        append(out, intent->op_type);
        append(out, intent->tenant);
        append(out, intent->request_name);
        append(out, intent->key);
        append(out, intent->fingerprint);
        append(out, intent->requested_at);
        append(out, intent->deadline);
        append(out, intent->part_count);
        return out;
    }
    const auto& outcome = std::get<Outcome>(entry);
    out.push_back('O');
    append(out, outcome.id);
    append(out, outcome.tenant);
    append(out, outcome.key);
    append(out, static_cast<std::uint8_t>(outcome.fate));
    append(out, static_cast<std::uint8_t>(outcome.frees_key));
    append(out, outcome.ended);
    append(out, outcome.parts);
    append(out, outcome.note);
    append(out, outcome.answer);
    return out;
}

std::optional<Entry> decode(std::string_view bytes) {
    if (bytes.empty()) return std::nullopt;
    ByteReader reader(bytes.substr(1));
    if (bytes[0] == 'I') {
        Intent intent;
        reader.get(intent.id);
        reader.get(intent.op_type);
        reader.get(intent.tenant);
        reader.get(intent.request_name);
        reader.get(intent.key);
        reader.get(intent.fingerprint);
        reader.get(intent.requested_at);
        reader.get(intent.deadline);
        reader.get(intent.part_count);
        if (reader.at_end()) return intent;
    } else if (bytes[0] == 'O') {
        Outcome outcome;
        std::uint8_t fate = 0;
        reader.get(outcome.id);
        reader.get(outcome.tenant);
        reader.get(outcome.key);
        reader.get(fate);
        std::uint8_t frees_key = 0;
        reader.get(frees_key);
        outcome.frees_key = frees_key != 0;
        reader.get(outcome.ended);
        reader.get(outcome.parts);
        reader.get(outcome.note);
        reader.get(outcome.answer);
        outcome.fate = static_cast<OutcomeKind>(fate);
        if (reader.at_end() && fate >= 1 && fate < kOutcomeNames.size()) return outcome;
    }
    return std::nullopt;
}

std::string fingerprint_of(std::string_view op_type, std::string_view body) {
    std::string input(op_type);
    input.push_back('\0');
    input += body;
    const auto hash = XXH3_128bits(input.data(), input.size());
    std::array<char, 33> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return hex.data();
}

std::string format_part_outcomes(const PartOutcomes& parts) {
    std::string out;
    for (const auto& [shard, fate] : parts) {
        if (!out.empty()) out.push_back(' ');
        out += std::to_string(shard);
        out.push_back(static_cast<char>(fate));
    }
    return out;
}

}  // namespace pinedoor::store
