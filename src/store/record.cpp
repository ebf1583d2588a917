#include "store/record.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace pinedoor::store {
namespace {

constexpr std::array<std::string_view, 5> kFates{"", "answered", "answered-in-part", "refused", "failed"};

template <class Number>
void put(std::string& out, Number number) {
    auto rest = static_cast<std::uint64_t>(number);
    for (std::size_t i = 0; i < sizeof number; ++i, rest >>= 8U)
        out.push_back(static_cast<char>(rest & 0xffU));
}

void put(std::string& out, const std::string& text) {
    put(out, static_cast<std::uint32_t>(text.size()));
    out += text;
}

void put(std::string& out, const RecordId& id) {
    put(out, id.node);
    put(out, id.incarnation);
    put(out, id.number);
}

class Bytes {  // reads in order; once something is missing, all that follows is
public:
    explicit Bytes(std::string_view bytes) : rest_(bytes) {}

    template <class Number>
    void get(Number& number) {
        std::uint64_t value = 0;
        if (!has(sizeof number)) return;
        for (std::size_t i = sizeof number; i-- > 0;)
            value = value << 8U | static_cast<unsigned char>(rest_[i]);
        rest_.remove_prefix(sizeof number);
        number = static_cast<Number>(value);
    }
    void get(std::string& text) {
        std::uint32_t size = 0;
        get(size);
        if (!has(size)) return;
        text.assign(rest_.substr(0, size));
        rest_.remove_prefix(size);
    }
    void get(RecordId& id) {
        get(id.node);
        get(id.incarnation);
        get(id.number);
    }
    bool used_up() const { return good_ && rest_.empty(); }

private:
    bool has(std::size_t count) { return good_ = good_ && rest_.size() >= count; }

    std::string_view rest_;
    bool good_ = true;
};

}  // namespace

std::string_view name_of(Fate fate) { return kFates.at(static_cast<std::size_t>(fate)); }

std::optional<Fate> fate_named(std::string_view name) {
    for (std::size_t i = 1; i < kFates.size(); ++i) {
        if (kFates[i] == name) return static_cast<Fate>(i);
    }
    return std::nullopt;
}

std::string encode(const Entry& entry) {
    std::string out;
    if (const auto* intent = std::get_if<Intent>(&entry)) {
        out.push_back('I');
        put(out, intent->id);
        put(out, intent->op_type);
        put(out, intent->tenant);
        put(out, intent->client);
        put(out, intent->key);
        put(out, intent->fingerprint);
        put(out, intent->asked);
        put(out, intent->not_after);
        put(out, intent->parts);
        return out;
    }
    const auto& outcome = std::get<Outcome>(entry);
    out.push_back('O');
    put(out, outcome.id);
    put(out, outcome.tenant);
    put(out, outcome.key);
    put(out, static_cast<std::uint8_t>(outcome.fate));
    put(out, static_cast<std::uint8_t>(outcome.frees_key));
    put(out, outcome.ended);
    put(out, outcome.parts);
    put(out, outcome.note);
    put(out, outcome.answer);
    return out;
}

std::optional<Entry> decode(std::string_view bytes) {
    if (bytes.empty()) return std::nullopt;
    Bytes in(bytes.substr(1));
    if (bytes[0] == 'I') {
        Intent intent;
        in.get(intent.id);
        in.get(intent.op_type);
        in.get(intent.tenant);
        in.get(intent.client);
        in.get(intent.key);
        in.get(intent.fingerprint);
        in.get(intent.asked);
        in.get(intent.not_after);
        in.get(intent.parts);
        if (in.used_up()) return intent;
    } else if (bytes[0] == 'O') {
        Outcome outcome;
        std::uint8_t fate = 0;
        in.get(outcome.id);
        in.get(outcome.tenant);
        in.get(outcome.key);
        in.get(fate);
        std::uint8_t frees_key = 0;
        in.get(frees_key);
        outcome.frees_key = frees_key != 0;
        in.get(outcome.ended);
        in.get(outcome.parts);
        in.get(outcome.note);
        in.get(outcome.answer);
        outcome.fate = static_cast<Fate>(fate);
        if (in.used_up() && fate >= 1 && fate < kFates.size()) return outcome;
    }
    return std::nullopt;
}

std::string fingerprint_of(std::string_view op_type, std::string_view asked) {
    std::string whole(op_type);
    whole.push_back('\0');
    whole += asked;
    const auto hash = XXH3_128bits(whole.data(), whole.size());
    std::array<char, 33> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return hex.data();
}

std::string print_parts(const PartFates& parts) {
    std::string out;
    for (const auto& [shard, fate] : parts) {
        if (!out.empty()) out.push_back(' ');
        out += std::to_string(shard);
        out.push_back(static_cast<char>(fate));
    }
    return out;
}

}  // namespace pinedoor::store
