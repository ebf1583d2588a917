#include "wire/frame.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <istream>

namespace pinedoor::wire {
namespace {

constexpr std::size_t kBatchHeader = 20;
constexpr std::size_t kLargestFrame = std::size_t{256} << 20U;
constexpr std::size_t kEntrySize = 24;
constexpr double kTicksPerMs = 10.0;
constexpr double kLongestMs = 1e12;

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
        default: reader.reject("unknown outcome code " + std::to_string(verdict));
    }
}

std::vector<ListEntry> read_entries(FieldReader& in) {
    const auto count = in.whole(4, "number of entries");
    if (count > in.left() / kEntrySize) in.reject("says " + std::to_string(count) + " entries, holds fewer");
    std::vector<ListEntry> entries(count);
    for (auto& entry : entries) {
        entry.zone = static_cast<int>(in.whole(2, "rack_zone"));
        entry.server = in.server();
        entry.place = static_cast<int>(in.whole(2, "set_no"));
        in.whole(1, "kind");
        const auto health = in.whole(1, "health");
        if (health > 2) in.reject("unknown health code " + std::to_string(health));
        entry.state = static_cast<ServerState>(health);
        entry.size = in.f32("share");
        entry.started = in.time("started_at_ms");
    }
    return entries;
}

Arrival read_arrival(FieldReader& in) {
    Arrival arrival;
    const auto id = static_cast<Id>(in.whole(4, "handle"));
    const auto tenant = static_cast<int>(in.whole(4, "realm"));
    const double shard = in.f32("slab");
    const double hint = in.f64("work_hint_ms");
    const auto op_type = static_cast<int>(in.whole(2, "lane"));
    const auto flags = in.whole(1, "attrs");
    const auto key = in.whole(8, "resource");
    const double query_no = in.f32("query_no");
    if (query_no < 0 || query_no > 4e9) in.reject("query_no is out of range");
    arrival.query_no = static_cast<std::uint32_t>(query_no);
    const Time not_after = in.time("not_after_ms");
    const double amount = in.f32("heft");
    arrival.is_part = shard >= 0;
    if (arrival.is_part) {
        if (shard > 1e6 || shard != std::floor(shard)) in.reject("slab is no shard number");
        const bool hinted = (flags & 1U) != 0 && std::isfinite(hint) && hint > 0 && hint < kLongestMs;
        arrival.part = {id, static_cast<int>(shard), amount, key, hinted ? to_time(hint) : 0};
    } else {
        if (amount < 0 || amount > 1e6) in.reject("heft is no number of parts");
        arrival.multiget = {id, arrival.query_no, op_type, tenant, (flags & 2U) != 0, not_after, {}};
    }
    return arrival;
}

SendEnded read_outcome(FieldReader& in) {
    SendEnded ended;
    ended.part = static_cast<Id>(in.whole(4, "handle"));
    ended.send = static_cast<int>(in.whole(2, "trial"));
    ended.server = in.server();
    ended.took = in.time("delay_seen_ms");
    ended.outcome = outcome_of(in.whole(2, "verdict"), in);
    in.whole(1, "closed");
    ended.load = in.load_report();
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

struct ActionWriter {
    std::string& out;

    int operator()(const Send& a) const {
        put(out, a.part, 4);
        put_server(out, a.server);
        put_ms(out, a.try_for);
        return 22;
    }
    int operator()(const CallOff& a) const {
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
    int operator()(const SetBell& a) const {
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
    int operator()(const WatchList&) const {
        put(out, 1, 1);
        return 21;
    }
    int operator()(const FetchList&) const { return 25; }
    int operator()(const Probe& a) const {
        put_server(out, a.server);
        return 19;
    }
};

}  // namespace

void FieldReader::reject(const std::string& why) const { throw BadInput(record_ + ": " + why); }

std::string_view FieldReader::text(std::size_t size, const char* field) {
    if (size > bytes_.size()) reject(std::string("field ") + field + " is cut short");
    const auto taken = bytes_.substr(0, size);
    bytes_.remove_prefix(size);
    return taken;
}

std::uint64_t FieldReader::whole(int width, const char* field) {
    const auto bytes = text(static_cast<std::size_t>(width), field);
    std::uint64_t value = 0;
    for (int i = width - 1; i >= 0; --i) {
        value = (value << 8U) | static_cast<unsigned char>(bytes[static_cast<std::size_t>(i)]);
    }
    return value;
}

double FieldReader::f64(const char* field) { return std::bit_cast<double>(whole(8, field)); }

double FieldReader::f32(const char* field) {
    const double value = std::bit_cast<float>(static_cast<std::uint32_t>(whole(4, field)));
    if (!std::isfinite(value)) reject(std::string("field ") + field + " is not a finite number");
    return value;
}

Time FieldReader::time(const char* field) {
    const double ms = f64(field);
    if (!(std::abs(ms) <= kLongestMs)) reject(std::string("field ") + field + " is no time");
    return to_time(ms);
}

ServerId FieldReader::server() {
    const auto bytes = text(4, "server address");
    ServerId id;
    for (const char byte : bytes) id.address = (id.address << 8U) | static_cast<unsigned char>(byte);
    id.port = static_cast<std::uint16_t>(whole(2, "server port"));
    return id;
}

std::vector<double> FieldReader::load_report() {
    std::vector<double> values(whole(1, "size of the load report"));
    for (auto& value : values) value = f32("load report");
    return values;
}

void FieldReader::finish() const {
    if (!bytes_.empty()) reject(std::to_string(bytes_.size()) + " bytes left over");
}

Batch BatchDecoder::decode(std::string_view frame) {
    FieldReader in(frame, "frame header");
    if (in.whole(4, "length") != frame.size()) in.reject("length does not match the frame");
    Batch batch;
    batch.clock = in.time("clock");
    const auto count = in.whole(4, "number of records");
    batch.number = static_cast<std::uint32_t>(in.whole(4, "number of the batch"));
    for (std::uint64_t i = 0; i < count; ++i) {
        FieldReader head(in.text(5, "record head"), "record head");
        const auto code = head.whole(1, "code");
        const std::string name = "record " + std::to_string(i) + " (code " + std::to_string(code) + ")";
        const auto size = head.whole(4, "size");
        if (size > in.left()) throw BadInput(name + ": says " + std::to_string(size) + " bytes, holds fewer");
        FieldReader r(in.text(size, "fields"), name);
        if (code == 26) {
            const auto ref = r.whole(4, "ref");
            if (ref >= lists_.size()) r.reject("list number " + std::to_string(ref) + " is above 15");
            lists_.at(ref) = read_entries(r);
            known_.at(ref) = true;
            r.finish();
            continue;
        }
        Record record;
        record.instance = static_cast<int>(r.whole(2, "node"));
        switch (code) {
            case 16: {
                Hello hello;
                hello.seed = r.whole(8, "random_seed");
                hello.settings = r.text(r.whole(4, "settings"), "settings");
                record.what = std::move(hello);
                break;
            }
            case 17: {
                r.whole(4, "rev");
                const auto ref = r.whole(4, "ref");
                const auto how = r.whole(1, "how");
                if (how > 3) r.reject("unknown kind of list " + std::to_string(how));
                Discovery news{static_cast<ListKind>(how), {}};
                if (news.kind != ListKind::kFailed) {
                    if (ref >= lists_.size() || !known_.at(ref)) r.reject("names an unknown list");
                    news.entries = lists_.at(ref);
                }
                record.what = std::move(news);
                break;
            }
            case 18: record.what = read_arrival(r); break;
            case 19: {
                r.text(20, "head received");
                record.what = HeadReceived{};
                break;
            }
            case 20: record.what = read_outcome(r); break;
            case 21: record.what = ClientLeft{static_cast<Id>(r.whole(4, "handle"))}; break;
            case 22: record.what = Bell{static_cast<std::uint32_t>(r.whole(4, "nonce"))}; break;
            case 23: {
                Probed probed;
                probed.server = r.server();
                probed.ok = r.whole(2, "verdict") == 0;
                probed.took = r.time("delay_seen_ms");
                probed.load = r.load_report();
                record.what = std::move(probed);
                break;
            }
            case 24: {
                PeerWord word;
                word.from = static_cast<int>(r.whole(2, "neighbour"));
                const auto text = r.text(r.whole(2, "data"), "data");
                word.text.assign(text.begin(), text.end());
                record.what = std::move(word);
                break;
            }
            case 25: record.what = Destroy{}; break;
            default: r.reject("unknown code");
        }
        r.finish();
        batch.records.push_back(std::move(record));
    }
    in.finish();
    return batch;
}

bool read_frame(std::istream& in, std::string& frame) {
    constexpr std::size_t kPiece = std::size_t{1} << 20U;
    std::array<char, 4> head{};
    in.read(head.data(), head.size());
    if (in.gcount() == 0) return false;
    if (in.gcount() < 4) throw BadInput("frame header: cut short by the end of input");
    FieldReader reader({head.data(), head.size()}, "frame header");
    const auto size = reader.whole(4, "length");
    if (size < kBatchHeader)
        reader.reject("length " + std::to_string(size) + " is below a header's 20 bytes");
    if (size > kLargestFrame) reader.reject("length " + std::to_string(size) + " is above the largest frame");
    frame.assign(head.data(), head.size());
    while (frame.size() < size) {  // grow with what has come, not with what is promised
        const auto have = frame.size();
        const auto piece = std::min<std::size_t>(kPiece, size - have);
        frame.resize(have + piece);
        in.read(frame.data() + have, static_cast<std::streamsize>(piece));
        if (static_cast<std::size_t>(in.gcount()) < piece) {
            throw BadInput("frame: cut short by the end of input");
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
