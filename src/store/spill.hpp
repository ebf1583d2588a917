// The spill: a bounded journal on this node's disk for entries that the store cannot take just now. They are
// read back in their order and leave it once the store has them.
//
// A folder of files `spill-NNNNNNNN.journal`, numbered upwards. Each is 16 bytes of head, "PDSPILL" and the
// format's version (1), then eight bytes of 0, and then entries: a length in four bytes and the XXH3-64 of
// the length's bytes and the payload in eight (both least significant byte first), then the payload
// (record.hpp). An append is a group of entries in one write and one fsync. Progress is not written: a file
// is removed once all of it is in the store, and what was written from a file that is still there is written
// again, by name.
//
// After a crash the end of a file may be torn: from the first bytes on that begin no further whole entry it
// is cut. Bytes that are no entry with whole ones after them are corrupt: they are counted and stepped over,
// and the file is kept under `.corrupt` when its entries are in the store.
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
    struct RecoveryResult {  // at recovery
        bool usable = true;
        std::size_t torn_bytes = 0;
        std::size_t corrupt_regions = 0;
        std::size_t corrupt_bytes = 0;
        std::string error;  // not usable
    };

    Spill(Files& files, std::string folder, std::size_t file_bytes)
        : files_(files), folder_(std::move(folder)), file_bytes_(file_bytes) {}

    RecoveryResult recover();  // first of all, once
    // All of them are durable, or none counts: after a failure the next append begins a new file.
    bool append(const std::vector<std::string>& payloads);
    std::vector<Entry> next(std::size_t max_entries);  // the oldest, which stay until done()
    void done(std::size_t count);                      // those are in the store
    bool set_aside_front();  // into `refused.journal`, for a person; then it is done

    std::size_t entries() const { return entries_; }
    std::size_t bytes() const { return bytes_; }

private:
    struct Segment {
        std::string name;
        std::size_t entries = 0;  // not done yet
        std::size_t bytes = 0;    // on disk
        bool corrupt = false;
    };
    struct ScanResult {
        std::deque<Entry> entries;
        std::size_t valid_end = 0;  // behind the last whole entry
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
    std::unique_ptr<File> append_file_;  // open for appending; null: the next append begins a file
    std::uint64_t last_file_number_ = 0;
    std::deque<Entry> front_entries_;  // of the oldest segment, not done yet
    bool front_loaded_ = false;
    std::size_t entries_ = 0;
    std::size_t bytes_ = 0;
};

std::string frame_payload(std::string_view payload);  // an entry as it stands in a file

}  // namespace pinedoor::store
