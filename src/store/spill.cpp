#include "store/spill.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace pinedoor::store {
namespace {

constexpr std::string_view kFileHeader("PDSPILL\1\0\0\0\0\0\0\0\0", 16);
constexpr std::size_t kFrameHeaderBytes = 12;
constexpr std::size_t kMaxPayloadBytes = std::size_t{4} << 20U;
constexpr std::string_view kFilePrefix = "spill-";
constexpr std::string_view kFileSuffix = ".journal";

void append_le(std::string& out, std::uint64_t number, std::size_t bytes) {
    for (std::size_t i = 0; i < bytes; ++i, number >>= 8U) out.push_back(static_cast<char>(number & 0xffU));
}

std::uint64_t read_le(std::string_view bytes) {
    std::uint64_t number = 0;
    for (std::size_t i = bytes.size(); i-- > 0;) number = number << 8U | static_cast<unsigned char>(bytes[i]);
    return number;
}

std::uint64_t checksum(std::string_view length, std::string_view payload) {
    return XXH3_64bits_withSeed(payload.data(), payload.size(), read_le(length));
}

// Returns the payload of the whole entry at the start of `bytes`, or an empty view.
std::string_view parse_frame(std::string_view bytes) {
    if (bytes.size() < kFrameHeaderBytes) return {};
    const auto length = read_le(bytes.substr(0, 4));
    if (length == 0 || length > kMaxPayloadBytes || length > bytes.size() - kFrameHeaderBytes) return {};
    const auto payload = bytes.substr(kFrameHeaderBytes, length);
    if (checksum(bytes.substr(0, 4), payload) != read_le(bytes.substr(4, 8))) return {};
    return payload;
}

}  // namespace

std::string frame_payload(std::string_view payload) {
    std::string out;
    append_le(out, payload.size(), 4);
    append_le(out, checksum(out, payload), 8);
    out += payload;
    return out;
}

Spill::ScanResult Spill::scan(std::string_view bytes) {
    ScanResult result;
    std::size_t offset = std::min(bytes.size(), kFileHeader.size());
    std::size_t corrupt_start = 0;
    // An unreadable file header counts as corrupt bytes.
    if (!bytes.starts_with(kFileHeader)) offset = 0;
    if (offset != 0) result.valid_end = offset;
    bool in_corrupt_region = offset == 0 && !bytes.empty();
    while (offset < bytes.size()) {
        const auto payload = parse_frame(bytes.substr(offset));
        auto entry = payload.empty() ? std::nullopt : decode(payload);
        if (!entry) {
            if (!in_corrupt_region) corrupt_start = offset;
            in_corrupt_region = true;
            ++offset;
            continue;
        }
        if (std::exchange(in_corrupt_region, false)) {
            ++result.corrupt_regions;
            result.corrupt_bytes += offset - corrupt_start;
        }
        offset += kFrameHeaderBytes + payload.size();
        result.valid_end = offset;
        result.entries.push_back(std::move(*entry));
    }
    return result;
}

Spill::RecoveryResult Spill::recover() {
    RecoveryResult result;
    const auto names = files_.list(folder_);
    if (!names) return {false, 0, 0, 0, "cannot list '" + folder_ + "'"};
    for (const auto& name : *names) {
        if (!name.starts_with(kFilePrefix) || !name.ends_with(kFileSuffix)) continue;
        std::uint64_t number = 0;
        std::from_chars(name.data() + kFilePrefix.size(), name.data() + name.size() - kFileSuffix.size(),
                        number);
        last_file_number_ = std::max(last_file_number_, number);
        const auto file = files_.open(path(name));
        const auto bytes = file ? file->read_all() : std::nullopt;
        if (!bytes) return {false, 0, 0, 0, "cannot read '" + path(name) + "'"};
        const auto scanned = scan(*bytes);
        if (scanned.valid_end < bytes->size()) {
            result.torn_bytes += bytes->size() - scanned.valid_end;
            if (!file->truncate(scanned.valid_end) || !file->sync())
                return {false, 0, 0, 0, "cannot truncate '" + path(name) + "'"};
        }
        result.corrupt_regions += scanned.corrupt_regions;
        result.corrupt_bytes += scanned.corrupt_bytes;
        segments_.push_back({name, scanned.entries.size(), scanned.valid_end, scanned.corrupt_regions > 0});
        entries_ += scanned.entries.size();
        bytes_ += scanned.valid_end;
    }
    remove_finished();
    return result;
}

bool Spill::start_segment() {
    std::array<char, 32> name{};
    std::snprintf(name.data(), name.size(), "spill-%08llu.journal",
                  static_cast<unsigned long long>(++last_file_number_));
    append_file_ = files_.open(path(name.data()));
    if (!append_file_) return false;
    segments_.push_back({name.data(), 0, 0, false});
    if (!append_file_->append(kFileHeader) || !files_.sync_folder(folder_)) {
        append_file_.reset();
        return false;
    }
    segments_.back().bytes = kFileHeader.size();
    bytes_ += kFileHeader.size();
    return true;
}

bool Spill::append(const std::vector<std::string>& payloads) {
    if (append_file_ && segments_.back().bytes >= file_bytes_) append_file_.reset();
    if (!append_file_ && !start_segment()) return false;
    std::string bytes;
    for (const auto& payload : payloads) bytes += frame_payload(payload);
    auto& segment = segments_.back();
    if (!append_file_->append(bytes) || !append_file_->sync()) {
        // A part of the batch may be in the file. Recovery reads it after a crash, which is harmless; in this
        // process the batch counts as not written. After an fsync has failed, a later successful one proves
        // nothing, so the file gets no more appends.
        append_file_->truncate(segment.bytes);
        append_file_.reset();
        return false;
    }
    segment.bytes += bytes.size();
    segment.entries += payloads.size();
    bytes_ += bytes.size();
    entries_ += payloads.size();
    if (front_loaded_ && segments_.size() == 1) {
        for (const auto& payload : payloads) front_entries_.push_back(*decode(payload));
    }
    return true;
}

void Spill::load_front() {
    if (front_loaded_ || segments_.empty()) return;
    const auto& front = segments_.front();
    const auto file = files_.open(path(front.name));
    const auto bytes = file ? file->read_all() : std::nullopt;
    if (!bytes) return;  // retried by the next call
    front_entries_ = scan(std::string_view(*bytes).substr(0, front.bytes)).entries;
    front_loaded_ = true;
}

std::vector<Entry> Spill::next(std::size_t max_entries) {
    load_front();
    std::vector<Entry> entries;
    for (std::size_t i = 0; i < std::min(max_entries, front_entries_.size()); ++i)
        entries.push_back(front_entries_[i]);
    return entries;
}

void Spill::done(std::size_t count) {
    count = std::min(count, front_entries_.size());
    front_entries_.erase(front_entries_.begin(), front_entries_.begin() + static_cast<std::ptrdiff_t>(count));
    segments_.front().entries -= count;
    entries_ -= count;
    remove_finished();
}

// Removes the oldest files as long as all of their entries are in the store.
void Spill::remove_finished() {
    while (!segments_.empty() && segments_.front().entries == 0) {
        const auto finished = std::move(segments_.front());
        segments_.pop_front();
        if (segments_.empty()) append_file_.reset();
        if (finished.corrupt) files_.rename(path(finished.name), path(finished.name + ".corrupt"));
        // If the removal fails, the entries are written again after a restart.
        else
            files_.remove(path(finished.name));
        bytes_ -= finished.bytes;
        front_entries_.clear();
        front_loaded_ = false;
    }
    if (segments_.empty()) bytes_ = 0;
}

bool Spill::set_aside_front() {
    load_front();
    if (front_entries_.empty()) return false;
    const auto file = files_.open(path("refused.journal"));
    if (!file || !file->append(frame_payload(encode(front_entries_.front()))) || !file->sync()) return false;
    done(1);
    return true;
}

}  // namespace pinedoor::store
