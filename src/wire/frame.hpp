// The simulator's wire: frames of little-endian records, read and written without any decision.
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

struct ProtocolError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Takes fields off the front of a record and says what is missing when it runs out.
class FieldReader {
public:
    FieldReader(std::string_view bytes, std::string record) : bytes_(bytes), record_(std::move(record)) {}
    std::uint64_t read_uint(int width, const char* field);
    double read_f64(const char* field);
    double read_f32(const char* field);
    Time read_time(const char* field);
    ServerId read_server();
    std::string_view read_bytes(std::size_t size, const char* field);
    std::vector<double> read_load_report();
    [[noreturn]] void fail(const std::string& reason) const;
    void expect_end() const;
    std::size_t remaining() const { return bytes_.size(); }

private:
    std::string_view bytes_;
    std::string record_;
};

struct Hello {
    std::uint64_t seed = 0;
    std::string settings;
};
struct Destroy {};
// A record about a query; its parts carry a shard and follow it.
struct Arrival {
    MultigetArrival multiget;  // without its parts
    PartArrival part;
    bool is_part = false;
    std::uint32_t query_no = 0;
};
struct DiscoveryUpdate {
    ListKind kind = ListKind::kFailed;
    std::vector<ListEntry> entries;  // of the numbered list as it stood at this event
};
struct HeadReceived {};
using RecordContent = std::variant<Hello, Destroy, Arrival, DiscoveryUpdate, HeadReceived, SendEnded, Probed,
                                   ClientLeft, Bell, PeerWord>;
struct Record {
    int instance = 0;
    RecordContent content;
};

struct Batch {
    Time clock = 0;
    std::uint32_t number = 0;
    std::vector<Record> records;
};

// Numbered lists last from frame to frame and belong to the whole process.
class BatchDecoder {
public:
    Batch decode(std::string_view frame);

private:
    std::array<std::vector<ListEntry>, 16> lists_;
    std::array<bool, 16> is_known_{};
};

// False at a clean end of input.
bool read_frame(std::istream& in, std::string& frame);

class ReplyEncoder {
public:
    void add(int instance, const Action& action);
    std::string finish(std::uint32_t batch_number);

private:
    std::string records_;
    std::uint32_t count_ = 0;
};

}  // namespace pinedoor::wire
