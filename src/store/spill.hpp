// The spill: a bounded journal on the node's local disk for entries that the store cannot take at the moment.
// They are replayed in order and removed once the store has them.
//
// The spill is a folder of files `spill-NNNNNNNN.journal` with ascending numbers. Each file has a header of
// 16 bytes ("PDSPILL", the format version 1, eight zero bytes) and then entries: the length in four bytes,
// the XXH3-64 over the length bytes and the payload in eight bytes (both little-endian), and the payload (see
// record.hpp). An append writes a batch of entries with one write and one fsync. Progress is not stored: a
// file is removed once all of its entries are in the store, and until then a restart writes them again, which
// is idempotent.
//
// After a crash the end of a file may be torn: the file is cut after its last whole entry. Invalid bytes that
// are followed by a whole entry are corrupt: they are counted and skipped, and the file is kept with the
// suffix `.corrupt` once its entries are in the store.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "store/files.hpp"
#include "store/record.hpp"

namespace pinedoor::store {

class Spill {
public:
    struct RecoveryResult {  // result of recover()
        bool usable = true;
        std::size_t torn_bytes = 0;
        std::size_t corrupt_regions = 0;
        std::size_t corrupt_bytes = 0;
        std::string error;  // set if not usable
    };

    Spill(Files& files, std::string folder, std::size_t file_bytes)
        : files_(files), folder_(std::move(folder)), file_bytes_(file_bytes) {}

    RecoveryResult recover();  // call once, before any other function
    // Returns true if all payloads are durable. After a failure none of them counts as written, and the next
    // append starts a new file.
    bool append(const std::vector<std::string>& payloads);
    std::vector<Entry> next(std::size_t max_entries);  // the oldest entries; they stay until done()
    void done(std::size_t count);                      // the oldest `count` entries are in the store
    // Moves the oldest entry into `refused.journal`, for an operator.
    bool set_aside_front();

    std::size_t entries() const { return entries_; }
    std::size_t bytes() const { return bytes_; }

private:
    struct Segment {
        std::string name;
        std::size_t entries = 0;  // not in the store yet
        std::size_t bytes = 0;    // on disk
        bool corrupt = false;
    };
    struct ScanResult {
        std::deque<Entry> entries;
        std::size_t valid_end = 0;  // end of the last whole entry
        std::size_t corrupt_regions = 0;
        std::size_t corrupt_bytes = 0;
    };

    static ScanResult scan(std::string_view bytes);
    std::string path(const std::string& name) const { return folder_ + '/' + name; }
    bool start_segment();
    void load_front();
    void remove_finished();

    Files& files_;
    const std::string folder_;
    const std::size_t file_bytes_;
    std::deque<Segment> segments_;       // oldest first; only the last is appended to
    std::unique_ptr<File> append_file_;  // null: the next append starts a new file
    std::uint64_t last_file_number_ = 0;
    std::deque<Entry> front_entries_;  // of the oldest segment, not in the store yet
    bool front_loaded_ = false;
    std::size_t entries_ = 0;
    std::size_t bytes_ = 0;
};

std::string frame_payload(std::string_view payload);  // an entry as encoded in a file

}  // namespace pinedoor::store
