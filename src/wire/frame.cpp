#include "wire/frame.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <istream>

namespace pinedoor::wire {
namespace {

constexpr std::size_t kBatchHeaderSize = 20;
constexpr std::size_t kMaxFrameSize = std::size_t{256} << 20U;
constexpr std::size_t kEntrySize = 24;
constexpr double kTicksPerMs = 10.0;
constexpr double kMaxMs = 1e12;

Time to_time(double ms) { return static_cast<Time>(std::llround(ms * kTicksPerMs)); }
double to_ms(Time t) { return static_cast<double>(t) / kTicksPerMs; }

Outcome outcome_of(std::uint64_t verdict, const FieldReader& reader) {
    switch (verdict) {
        case 0: return Outcome::kReturned;
        case 5: return Outcome::kError;
        case 11: return Outcome::kFull;
        case 104: return Outcome::kReset;
        case 110: return Outcome::kTimedOut;
        case 111: return Outcome::kNoConnection;
        case 114: return Outcome::kNeverSent;
        case 125: return Outcome::kCancelled;
        default: reader.fail("unknown outcome code " + std::to_string(verdict));
    }
}

std::vector<ListEntry> read_entries(FieldReader& in) {
    const auto count = in.read_uint(4, "number of entries");
    if (count > in.remaining() / kEntrySize)
        in.fail("claims " + std::to_string(count) + " entries, but holds fewer");
    std::vector<ListEntry> entries(count);
    for (auto& entry : entries) {
        entry.zone = static_cast<int>(in.read_uint(2, "rack_zone"));
        entry.server = in.read_server();
        entry.place = static_cast<int>(in.read_uint(2, "set_no"));
        in.read_uint(1, "kind");
        const auto health = in.read_uint(1, "health");
        if (health > 2) in.fail("unknown health code " + std::to_string(health));
        entry.state = static_cast<ServerState>(health);
        entry.size = in.read_f32("share");
        entry.started = in.read_time("started_at_ms");
    }
    return entries;
}

Arrival read_arrival(FieldReader& in) {
    Arrival arrival;
    const auto id = static_cast<Id>(in.read_uint(4, "handle"));
    const auto tenant = static_cast<int>(in.read_uint(4, "realm"));
    const double shard = in.read_f32("slab");
    const double hint = in.read_f64("work_hint_ms");
    const auto op_type = static_cast<int>(in.read_uint(2, "lane"));
    const auto flags = in.read_uint(1, "attrs");
    const auto key = in.read_uint(8, "resource");
    const double query_no = in.read_f32("query_no");
    if (query_no < 0 || query_no > 4e9) in.fail("query_no is out of range");
    arrival.query_no = static_cast<std::uint32_t>(query_no);
    const Time not_after = in.read_time("not_after_ms");
    const double amount = in.read_f32("heft");
    arrival.is_part = shard >= 0;
    if (arrival.is_part) {
        if (shard > 1e6 || shard != std::floor(shard)) in.fail("slab is not a shard number");
        const bool hinted = (flags & 1U) != 0 && std::isfinite(hint) && hint > 0 && hint < kMaxMs;
        arrival.part = {id, static_cast<int>(shard), amount, key, hinted ? to_time(hint) : 0};
    } else {
        if (amount < 0 || amount > 1e6) in.fail("heft is not a number of parts");
        arrival.multiget = {id, arrival.query_no, op_type, tenant, (flags & 2U) != 0, not_after, {}};
    }
    return arrival;
}

SendEnded read_outcome(FieldReader& in) {
    SendEnded ended;
    ended.part = static_cast<Id>(in.read_uint(4, "handle"));
    ended.send = static_cast<int>(in.read_uint(2, "trial"));
    ended.server = in.read_server();
    ended.took = in.read_time("delay_seen_ms");
    ended.outcome = outcome_of(in.read_uint(2, "verdict"), in);
    in.read_uint(1, "closed");
    ended.load = in.read_load_report();
    return ended;
}

void put(std::string& out, std::uint64_t value, int width) {
    for (int i = 0; i < width; ++i) out.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
}

void put_ms(std::string& out, Time t) { put(out, std::bit_cast<std::uint64_t>(to_ms(t)), 8); }

void put_server(std::string& out, ServerId server) {
    for (int shift = 24; shift >= 0; shift -= 8) put(out, (server.address >> shift) & 0xffU, 1);
    put(out, server.port, 2);
}

// Writes the fields of an action and returns the code of its record.
struct ActionWriter {
    std::string& out;

    int operator()(const Send& a) const {
        put(out, a.part, 4);
        put_server(out, a.server);
        put_ms(out, a.try_for);
        return 22;
    }
    int operator()(const CancelSend& a) const {
        put(out, a.part, 4);
        put(out, static_cast<std::uint64_t>(a.send), 2);
        return 24;
    }
    int operator()(const Answer& a) const {
        put(out, a.multiget, 4);
        put(out, a.whole ? 1 : 0, 1);
        return 23;
    }
    int operator()(const PushBack& a) const {
        put(out, a.multiget, 4);
        put_ms(out, a.wait);
        return 27;
    }
    int operator()(const Fail& a) const {
        put(out, a.multiget, 4);
        return 26;
    }
    int operator()(const SetTimer& a) const {
        put_ms(out, a.after);
        put(out, a.token, 4);
        return 17;
    }
    int operator()(const LogLine& a) const {
        const auto text = std::string_view(a.text).substr(0, 0xffff);
        put(out, text.size(), 2);
        out += text;
        return 18;
    }
    int operator()(const WatchServerList&) const {
        put(out, 1, 1);
        return 21;
    }
    int operator()(const FetchServerList&) const { return 25; }
    int operator()(const Probe& a) const {
        put_server(out, a.server);
        return 19;
    }
};

}  // namespace

void FieldReader::fail(const std::string& reason) const { throw ProtocolError(record_ + ": " + reason); }

std::string_view FieldReader::read_bytes(std::size_t size, const char* field) {
    if (size > bytes_.size()) fail(std::string("field ") + field + " is truncated");
    const auto bytes = bytes_.substr(0, size);
    bytes_.remove_prefix(size);
    return bytes;
}

std::uint64_t FieldReader::read_uint(int width, const char* field) {
    const auto bytes = read_bytes(static_cast<std::size_t>(width), field);
    std::uint64_t value = 0;
    for (int i = width - 1; i >= 0; --i) {
        value = (value << 8U) | static_cast<unsigned char>(bytes[static_cast<std::size_t>(i)]);
    }
    return value;
}

double FieldReader::read_f64(const char* field) { return std::bit_cast<double>(read_uint(8, field)); }

double FieldReader::read_f32(const char* field) {
    const double value = std::bit_cast<float>(static_cast<std::uint32_t>(read_uint(4, field)));
    if (!std::isfinite(value)) fail(std::string("field ") + field + " is not a finite number");
    return value;
}

Time FieldReader::read_time(const char* field) {
    const double ms = read_f64(field);
    if (!(std::abs(ms) <= kMaxMs)) fail(std::string("field ") + field + " is not a valid time");
    return to_time(ms);
}

ServerId FieldReader::read_server() {
    const auto bytes = read_bytes(4, "server address");
    ServerId id;
    for (const char byte : bytes) id.address = (id.address << 8U) | static_cast<unsigned char>(byte);
    id.port = static_cast<std::uint16_t>(read_uint(2, "server port"));
    return id;
}

std::vector<double> FieldReader::read_load_report() {
    std::vector<double> values(read_uint(1, "size of the load report"));
    for (auto& value : values) value = read_f32("load report");
    return values;
}

void FieldReader::expect_end() const {
    if (!bytes_.empty()) fail(std::to_string(bytes_.size()) + " trailing bytes");
}

Batch BatchDecoder::decode(std::string_view frame) {
    FieldReader in(frame, "frame header");
    if (in.read_uint(4, "length") != frame.size()) in.fail("length does not match the frame");
    Batch batch;
    batch.clock = in.read_time("clock");
    const auto count = in.read_uint(4, "number of records");
    batch.number = static_cast<std::uint32_t>(in.read_uint(4, "number of the batch"));
    for (std::uint64_t i = 0; i < count; ++i) {
        FieldReader head(in.read_bytes(5, "record head"), "record head");
        const auto code = head.read_uint(1, "code");
        const std::string name = "record " + std::to_string(i) + " (code " + std::to_string(code) + ")";
        const auto size = head.read_uint(4, "size");
        if (size > in.remaining())
            throw ProtocolError(name + ": claims " + std::to_string(size) + " bytes, but holds fewer");
        FieldReader r(in.read_bytes(size, "fields"), name);
        if (code == 26) {
            const auto ref = r.read_uint(4, "ref");
            if (ref >= lists_.size()) r.fail("list number " + std::to_string(ref) + " is above 15");
            lists_.at(ref) = read_entries(r);
            is_known_.at(ref) = true;
            r.expect_end();
            continue;
        }
        Record record;
        record.instance = static_cast<int>(r.read_uint(2, "node"));
        switch (code) {
            case 16: {
                Hello hello;
                hello.seed = r.read_uint(8, "random_seed");
                hello.settings = r.read_bytes(r.read_uint(4, "settings"), "settings");
                record.content = std::move(hello);
                break;
            }
            case 17: {
                r.read_uint(4, "rev");
                const auto ref = r.read_uint(4, "ref");
                const auto kind = r.read_uint(1, "how");
                if (kind > 3) r.fail("unknown kind of list " + std::to_string(kind));
                DiscoveryUpdate update{static_cast<ListUpdateKind>(kind), {}};
                if (update.kind != ListUpdateKind::kFailed) {
                    if (ref >= lists_.size() || !is_known_.at(ref)) r.fail("refers to an unknown list");
                    update.entries = lists_.at(ref);
                }
                record.content = std::move(update);
                break;
            }
            case 18: record.content = read_arrival(r); break;
            case 19: {
                r.read_bytes(20, "head received");
                record.content = HeadReceived{};
                break;
            }
            case 20: record.content = read_outcome(r); break;
            case 21: record.content = ClientDisconnected{static_cast<Id>(r.read_uint(4, "handle"))}; break;
            case 22: record.content = TimerFired{static_cast<std::uint32_t>(r.read_uint(4, "nonce"))}; break;
            case 23: {
                ProbeEnded probe;
                probe.server = r.read_server();
                probe.ok = r.read_uint(2, "verdict") == 0;
                probe.took = r.read_time("delay_seen_ms");
                probe.load = r.read_load_report();
                record.content = std::move(probe);
                break;
            }
            case 24: {
                PeerMessage message;
                message.from = static_cast<int>(r.read_uint(2, "neighbour"));
                const auto text = r.read_bytes(r.read_uint(2, "data"), "data");
                message.text.assign(text.begin(), text.end());
                record.content = std::move(message);
                break;
            }
            case 25: record.content = Destroy{}; break;
            default: r.fail("unknown code");
        }
        r.expect_end();
        batch.records.push_back(std::move(record));
    }
    in.expect_end();
    return batch;
}

bool read_frame(std::istream& in, std::string& frame) {
    constexpr std::size_t kChunkSize = std::size_t{1} << 20U;
    std::array<char, 4> head{};
    in.read(head.data(), head.size());
    if (in.gcount() == 0) return false;
    if (in.gcount() < 4) throw ProtocolError("frame header: truncated by the end of input");
    FieldReader reader({head.data(), head.size()}, "frame header");
    const auto size = reader.read_uint(4, "length");
    if (size < kBatchHeaderSize)
        reader.fail("length " + std::to_string(size) + " is less than the 20 bytes of a header");
    if (size > kMaxFrameSize)
        reader.fail("length " + std::to_string(size) + " exceeds the maximum frame size");
    frame.assign(head.data(), head.size());
    while (frame.size() < size) {  // grows with the bytes received, not by the claimed length
        const auto have = frame.size();
        const auto chunk = std::min<std::size_t>(kChunkSize, size - have);
        frame.resize(have + chunk);
        in.read(frame.data() + have, static_cast<std::streamsize>(chunk));
        if (static_cast<std::size_t>(in.gcount()) < chunk) {
            throw ProtocolError("frame: truncated by the end of input");
        }
    }
    return true;
}

void ReplyEncoder::add(int instance, const Action& action) {
    std::string fields;
    put(fields, static_cast<std::uint64_t>(instance), 2);
    const int code = std::visit(ActionWriter{fields}, action);
    put(records_, static_cast<std::uint64_t>(code), 1);
    put(records_, fields.size(), 4);
    records_ += fields;
    ++count_;
}

std::string ReplyEncoder::finish(std::uint32_t batch_number) {
    std::string frame;
    put(frame, count_, 4);
    put(frame, records_.size() + 12, 4);
    put(frame, batch_number, 4);
    frame += records_;
    records_.clear();
    count_ = 0;
    return frame;
}

}  // namespace pinedoor::wire
