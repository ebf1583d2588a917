// The simulator's wire protocol: decodes frames of little-endian records into events, and encodes actions. No
// decision is made here.
#pragma once

#include <array>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "logic.hpp"

namespace pinedoor::wire {

// Input that violates the protocol; the message names the record and the field.
struct ProtocolError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Reads fields from the front of a record. A field that is truncated or invalid raises a ProtocolError that
// names the record and the field.
class FieldReader {
public:
    FieldReader(std::string_view bytes, std::string record) : bytes_(bytes), record_(std::move(record)) {}
    // Unsigned little-endian integer of `width` bytes.
    std::uint64_t read_uint(int width, const char* field);
    double read_f64(const char* field);
    // Raises a ProtocolError if the number is not finite.
    double read_f32(const char* field);
    // A number of milliseconds.
    Time read_time(const char* field);
    ServerId read_server();
    std::string_view read_bytes(std::size_t size, const char* field);
    std::vector<double> read_load_report();
    [[noreturn]] void fail(const std::string& reason) const;
    // Raises a ProtocolError if bytes are left.
    void expect_end() const;
    std::size_t remaining() const { return bytes_.size(); }

private:
    std::string_view bytes_;
    std::string record_;
};

// Starts a front node, with the seed and the settings text.
struct Hello {
    std::uint64_t seed = 0;
    std::string settings;
};
// Ends a front node.
struct Destroy {};
// A query (multiget) or one of its parts. The parts follow their query, and carry a shard.
struct Arrival {
    MultigetArrival multiget;  // without its parts
    PartArrival part;
    bool is_part = false;
    std::uint32_t query_no = 0;
};
// An update of the server list.
struct DiscoveryUpdate {
    ListUpdateKind kind = ListUpdateKind::kFailed;
    std::vector<ListEntry> entries;  // of the numbered list, as defined at this record
};
// The head of a reply was received. Carries no information for the decisions.
struct HeadReceived {};
using RecordContent = std::variant<Hello, Destroy, Arrival, DiscoveryUpdate, HeadReceived, SendEnded,
                                   ProbeEnded, ClientDisconnected, TimerFired, PeerMessage>;
struct Record {
    int instance = 0;  // number of the front node
    RecordContent content;
};

struct Batch {
    Time clock = 0;
    std::uint32_t number = 0;
    std::vector<Record> records;
};

// Decodes frames. Numbered server lists stay valid from frame to frame and apply to all front nodes of the
// process.
class BatchDecoder {
public:
    Batch decode(std::string_view frame);

private:
    std::array<std::vector<ListEntry>, 16> lists_;
    std::array<bool, 16> is_known_{};
};

// Reads one frame, with its length prefix. Returns false at the end of the input between two frames.
bool read_frame(std::istream& in, std::string& frame);

// Collects the actions of a batch and encodes them as a reply frame.
class ReplyEncoder {
public:
    void add(int instance, const Action& action);
    std::string finish(std::uint32_t batch_number);

private:
    std::string records_;
    std::uint32_t count_ = 0;
};

}  // namespace pinedoor::wire
