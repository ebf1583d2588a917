#include "store/spill.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace pinedoor::store {
namespace {

constexpr std::string_view kHead("PDSPILL\1\0\0\0\0\0\0\0\0", 16);
constexpr std::size_t kFrameHead = 12;
constexpr std::size_t kLargestPayload = std::size_t{4} << 20U;
constexpr std::string_view kPrefix = "spill-";
constexpr std::string_view kSuffix = ".journal";

void put(std::string& out, std::uint64_t number, std::size_t bytes) {
    for (std::size_t i = 0; i < bytes; ++i, number >>= 8U) out.push_back(static_cast<char>(number & 0xffU));
}

std::uint64_t get(std::string_view bytes) {
    std::uint64_t number = 0;
    for (std::size_t i = bytes.size(); i-- > 0;) number = number << 8U | static_cast<unsigned char>(bytes[i]);
    return number;
}

std::uint64_t checksum(std::string_view length, std::string_view payload) {
    return XXH3_64bits_withSeed(payload.data(), payload.size(), get(length));
}

// The whole entry that begins there, or nothing.
std::string_view whole_entry(std::string_view bytes) {
    if (bytes.size() < kFrameHead) return {};
    const auto length = get(bytes.substr(0, 4));
    if (length == 0 || length > kLargestPayload || length > bytes.size() - kFrameHead) return {};
    const auto payload = bytes.substr(kFrameHead, length);
    if (checksum(bytes.substr(0, 4), payload) != get(bytes.substr(4, 8))) return {};
    return payload;
}

}  // namespace

std::string frame(std::string_view payload) {
    std::string out;
    put(out, payload.size(), 4);
    put(out, checksum(out, payload), 8);
    out += payload;
    return out;
}

Spill::Scanned Spill::scan(std::string_view bytes) {
    Scanned scanned;
    std::size_t at = std::min(bytes.size(), kHead.size());
    std::size_t bad_since = 0;
    // A head that cannot be read is corrupt bytes like others.
    if (!bytes.starts_with(kHead)) at = 0;
    if (at != 0) scanned.good_end = at;
    bool bad = at == 0 && !bytes.empty();
    while (at < bytes.size()) {
        const auto payload = whole_entry(bytes.substr(at));
        auto entry = payload.empty() ? std::nullopt : decode(payload);
        if (!entry) {
            if (!bad) bad_since = at;
            bad = true;
            ++at;
            continue;
        }
        if (std::exchange(bad, false)) {
            ++scanned.corrupt_places;
            scanned.corrupt_bytes += at - bad_since;
        }
        at += kFrameHead + payload.size();
        scanned.good_end = at;
        scanned.entries.push_back(std::move(*entry));
    }
    return scanned;
}

Spill::Found Spill::recover() {
    Found found;
    const auto names = files_.list(folder_);
    if (!names) return {false, 0, 0, 0, "cannot list '" + folder_ + "'"};
    for (const auto& name : *names) {
        if (!name.starts_with(kPrefix) || !name.ends_with(kSuffix)) continue;
        std::uint64_t number = 0;
        std::from_chars(name.data() + kPrefix.size(), name.data() + name.size() - kSuffix.size(), number);
        last_number_ = std::max(last_number_, number);
        const auto file = files_.open(path(name));
        const auto bytes = file ? file->read() : std::nullopt;
        if (!bytes) return {false, 0, 0, 0, "cannot read '" + path(name) + "'"};
        const auto scanned = scan(*bytes);
        if (scanned.good_end < bytes->size()) {
            found.torn_bytes += bytes->size() - scanned.good_end;
            if (!file->cut(scanned.good_end) || !file->sync())
                return {false, 0, 0, 0, "cannot cut '" + path(name) + "'"};
        }
        found.corrupt_places += scanned.corrupt_places;
        found.corrupt_bytes += scanned.corrupt_bytes;
        segments_.push_back({name, scanned.entries.size(), scanned.good_end, scanned.corrupt_places > 0});
        entries_ += scanned.entries.size();
        bytes_ += scanned.good_end;
    }
    finish_first();
    return found;
}

bool Spill::begin_segment() {
    std::array<char, 32> name{};
    std::snprintf(name.data(), name.size(), "spill-%08llu.journal",
                  static_cast<unsigned long long>(++last_number_));
    last_ = files_.open(path(name.data()));
    if (!last_) return false;
    segments_.push_back({name.data(), 0, 0, false});
    if (!last_->append(kHead) || !files_.sync_folder(folder_)) {
        last_.reset();
        return false;
    }
    segments_.back().bytes = kHead.size();
    bytes_ += kHead.size();
    return true;
}

bool Spill::append(const std::vector<std::string>& payloads) {
    if (last_ && segments_.back().bytes >= file_bytes_) last_.reset();
    if (!last_ && !begin_segment()) return false;
    std::string bytes;
    for (const auto& payload : payloads) bytes += frame(payload);
    auto& segment = segments_.back();
    if (!last_->append(bytes) || !last_->sync()) {
        // What of it is there after a crash is read back then, which is harmless; in this process it counts
        // as not written. An fsync that failed once says nothing when it succeeds later: the file is left.
        last_->cut(segment.bytes);
        last_.reset();
        return false;
    }
    segment.bytes += bytes.size();
    segment.entries += payloads.size();
    bytes_ += bytes.size();
    entries_ += payloads.size();
    if (is_loaded_ && segments_.size() == 1) {
        for (const auto& payload : payloads) loaded_.push_back(*decode(payload));
    }
    return true;
}

void Spill::load_first() {
    if (is_loaded_ || segments_.empty()) return;
    const auto& first = segments_.front();
    const auto file = files_.open(path(first.name));
    const auto bytes = file ? file->read() : std::nullopt;
    if (!bytes) return;  // asked again next time
    loaded_ = scan(std::string_view(*bytes).substr(0, first.bytes)).entries;
    is_loaded_ = true;
}

std::vector<Entry> Spill::next(std::size_t most) {
    load_first();
    std::vector<Entry> entries;
    for (std::size_t i = 0; i < std::min(most, loaded_.size()); ++i) entries.push_back(loaded_[i]);
    return entries;
}

void Spill::done(std::size_t count) {
    count = std::min(count, loaded_.size());
    loaded_.erase(loaded_.begin(), loaded_.begin() + static_cast<std::ptrdiff_t>(count));
    segments_.front().entries -= count;
    entries_ -= count;
    finish_first();
}

// Removes the oldest files while all of their entries are in the store.
void Spill::finish_first() {
    while (!segments_.empty() && segments_.front().entries == 0) {
        const auto first = std::move(segments_.front());
        segments_.pop_front();
        if (segments_.empty()) last_.reset();
        if (first.corrupt)
            files_.rename(path(first.name), path(first.name + ".corrupt"));
        else
            files_.remove(
                path(first.name));  // if that fails, its entries are written once more after a restart
        bytes_ -= first.bytes;
        loaded_.clear();
        is_loaded_ = false;
    }
    if (segments_.empty()) bytes_ = 0;
}

bool Spill::set_aside_first() {
    load_first();
    if (loaded_.empty()) return false;
    const auto file = files_.open(path("refused.journal"));
    if (!file || !file->append(frame(encode(loaded_.front()))) || !file->sync()) return false;
    done(1);
    return true;
}

}  // namespace pinedoor::store
