// Gossip: merging, expiry and digests; many members in simulated time with message loss and partitions.
#include "peers/gossip.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "peers/wire.hpp"

namespace {

using namespace pinedoor::peers;

constexpr Time kSecond = 10'000;

// Many members and the network between them in simulated time.
class SimulatedGossip {
public:
    SimulatedGossip(int count, std::uint64_t seed, GossipSettings settings = {})
        : settings_(settings), rng_(seed) {
        for (int i = 0; i < count; ++i) start(i, 1'000);
    }
    static std::string name(int index) { return "n" + std::to_string(index); }
    static At address(int index) { return {1, static_cast<std::uint16_t>(index + 1)}; }
    void start(int index, std::uint64_t epoch) {
        nodes_[index] =
            std::make_unique<Gossip>(name(index), address(index), epoch, rng_(), rng_(), settings_);
        for (auto& [other, gossip] : nodes_) {
            Gossip::Members others;
            for (const auto& [each, unused] : nodes_) {
                if (each != other) others.emplace_back(name(each), address(each));
            }
            gossip->set_members(std::move(others));
        }
    }
    Gossip& node(int index) { return *nodes_.at(index); }
    Time now() const { return now_; }
    double loss = 0, duplication = 0;
    std::function<bool(int, int)> cut;
    std::uint64_t sent = 0, bytes = 0;

    void run(Time length) {
        const Wire wire("here", "");
        for (const Time until = now_ + length; now_ < until; now_ += 50) {
            std::vector<std::pair<int, SendGossip>> out;
            for (auto& [index, gossip] : nodes_) {
                if (gossip->due() > now_) continue;
                for (auto& each : gossip->tick(now_)) out.emplace_back(index, std::move(each));
            }
            std::shuffle(in_flight_.begin(), in_flight_.end(), rng_);
            for (auto& [from, send] : std::exchange(in_flight_, {})) {
                const int to = send.to.port - 1;
                for (auto& each : nodes_.at(to)->take(now_, send.talk)) out.emplace_back(to, std::move(each));
            }
            for (auto& [from, send] : out) {
                const auto written = wire.write(send.talk);
                CHECK(written.size() <= kMaxDatagramBytes);
                ++sent;
                bytes += written.size();
                const int to = send.to.port - 1;
                if (!nodes_.contains(to) || (cut && cut(from, to)) || draw() < loss) continue;
                if (draw() < duplication) in_flight_.emplace_back(from, send);
                in_flight_.emplace_back(from, std::move(send));
            }
        }
    }
    int count_holding(const std::string& origin, const std::string& value) {
        int count = 0;
        for (const auto& [index, gossip] : nodes_) {
            for (const auto& record : gossip->facts(now_))
                count += record.origin == origin && record.value == value ? 1 : 0;
        }
        return count;
    }

private:
    double draw() { return static_cast<double>(rng_() % 10'000) / 10'000; }
    const GossipSettings settings_;
    std::mt19937_64 rng_;
    std::map<int, std::unique_ptr<Gossip>> nodes_;
    std::vector<std::pair<int, SendGossip>> in_flight_;
    Time now_ = kSecond;
};

TEST_CASE(
    "a record reaches all members within seconds, also with 30 % of the messages lost or duplicated, and its "
    "age is known") {
    for (const double loss : {0.0, 0.3}) {
        SimulatedGossip nodes(100, 3, {});
        nodes.run(2 * kSecond);
        nodes.loss = nodes.duplication = loss;
        nodes.node(7).publish(nodes.now(), "t", "here", 20 * kSecond);
        Time latency = 0;
        while (nodes.count_holding("n7", "here") < 100 && latency < 30 * kSecond)
            nodes.run(kSecond / 10), latency += kSecond / 10;
        MESSAGE("loss " << loss << ": known to all after " << static_cast<double>(latency) / kSecond << " s");
        CHECK(latency <= (loss > 0 ? 6 : 3) * kSecond);
        for (const auto& record : nodes.node(50).facts(nodes.now())) {
            CHECK(record.age <= latency + 50);
            CHECK(record.age >= latency - 2 * kSecond);  // at most the transit time is missing
        }
    }
}

TEST_CASE(
    "a new value replaces the old one, a withdrawn record disappears, and each record expires on all members "
    "at the end of its lifetime") {
    SimulatedGossip nodes(20, 5);
    nodes.node(0).publish(nodes.now(), "t", "one", 8 * kSecond);
    nodes.run(2 * kSecond);
    nodes.node(0).publish(nodes.now(), "t", "two", 8 * kSecond);
    nodes.node(1).publish(nodes.now(), "t", "other", 30 * kSecond);
    nodes.run(3 * kSecond);
    CHECK(nodes.count_holding("n0", "one") == 0);
    CHECK(nodes.count_holding("n0", "two") == 20);
    nodes.node(1).publish(nodes.now(), "t", "", 30 * kSecond);
    nodes.run(3 * kSecond);
    CHECK(nodes.count_holding("n1", "other") == 0);
    nodes.run(2 * kSecond + 500);  // a little more than 8 s after "two" was published
    CHECK(nodes.count_holding("n0", "two") == 0);
    nodes.run(40 * kSecond);
    for (int i = 0; i < 20; ++i) CHECK(nodes.node(i).size() == 0);  // expired records are removed
}

TEST_CASE("partitioned halves get each other's unexpired records after the partition ends") {
    SimulatedGossip nodes(20, 9);
    nodes.run(kSecond);
    nodes.cut = [](int a, int b) { return a % 2 != b % 2; };
    nodes.node(0).publish(nodes.now(), "long", "even", 100 * kSecond);
    nodes.node(1).publish(nodes.now(), "short", "odd", 5 * kSecond);
    nodes.run(10 * kSecond);
    CHECK(nodes.count_holding("n0", "even") == 10);
    nodes.cut = nullptr;
    nodes.run(10 * kSecond);
    CHECK(nodes.count_holding("n0", "even") == 20);
    CHECK(nodes.count_holding("n1", "odd") == 0);
}

// Guards against a restart with the wall clock set back, after which the new records would lose against those
// of the earlier instance.
TEST_CASE("a restarted member gets all records soon, and its new ones win, also with its clock set back") {
    SimulatedGossip nodes(30, 11);
    for (int i = 0; i < 30; ++i)
        nodes.node(i).publish(nodes.now(), "t", "first " + std::to_string(i), 60 * kSecond);
    nodes.run(6 * kSecond);
    nodes.start(4, 500);
    CHECK(nodes.node(4).behind());
    nodes.run(2 * kSecond);
    CHECK(nodes.node(4).size() == 30);  // its own earlier record too, as withdrawn
    CHECK(nodes.count_holding("n4", "first 4") == 0);
    CHECK(!nodes.node(4).behind());
    nodes.node(4).publish(nodes.now(), "t", "second", 60 * kSecond);
    nodes.run(5 * kSecond);
    CHECK(nodes.count_holding("n4", "second") == 30);
    CHECK(nodes.count_holding("n4", "first 4") == 0);
}

TEST_CASE("the traffic of a member grows neither with the number of records nor with the number of members") {
    for (const int count : {20, 80}) {
        SimulatedGossip nodes(count, 13);
        nodes.run(5 * kSecond);
        const auto idle = nodes.bytes;
        nodes.run(10 * kSecond);
        MESSAGE(count << " members, no records: " << (nodes.bytes - idle) / static_cast<unsigned>(10 * count)
                      << " bytes per second each");
        CHECK((nodes.bytes - idle) / static_cast<unsigned>(10 * count) < 800);
        for (const bool first : {true, false}) {
            const auto before = nodes.bytes;
            for (int second = 0; second < 10; ++second) {
                for (int i = 0; i < count; ++i)
                    nodes.node(i).publish(nodes.now(), "t", std::string(800, static_cast<char>('a' + second)),
                                          30 * kSecond);
                nodes.run(kSecond);
            }
            const auto each = (nodes.bytes - before) / static_cast<unsigned>(10 * count);
            MESSAGE(count << " members, 800 bytes from each every second: " << each
                          << " bytes per second each");
            // Includes message overhead, and a burst in the first ten seconds.
            CHECK(each < (first ? 28'000 : 18'000));
        }
    }
}

PublishedRecord any_record() {
    PublishedRecord record{"n" + std::to_string(*rc::gen::inRange(0, 3)),
                           "t" + std::to_string(*rc::gen::inRange(0, 2)),
                           0,
                           0,
                           0,
                           "",
                           0,
                           0};
    record.epoch = *rc::gen::inRange<std::uint64_t>(1, 3);
    record.instance_id = *rc::gen::inRange<std::uint64_t>(1, 3);
    record.version = *rc::gen::inRange<std::uint64_t>(1, 4);
    record.value =
        std::to_string(record.epoch) + std::to_string(record.instance_id) + std::to_string(record.version);
    record.lives = 100;
    record.age = *rc::gen::inRange<Time>(0, 110);
    return record;
}

TEST_CASE("merging gives the same records in any order, in any grouping and with duplicates") {
    CHECK(rc::check([] {
        const auto records = *rc::gen::container<std::vector<PublishedRecord>>(rc::gen::exec(any_record));
        const auto held = [](const std::vector<std::vector<PublishedRecord>>& groups) {
            Gossip gossip("me", {1, 1}, 1, 1, 1, {});
            for (const auto& group : groups)
                gossip.take(1'000, {GossipMessage::Kind::kRecords, "x", {1, 2}, {}, group});
            return gossip.facts(1'000);
        };
        auto shuffled = records;
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937(*rc::gen::arbitrary<unsigned>()));
        const auto whole = held({records});
        std::vector<std::vector<PublishedRecord>> each;
        for (const auto& record : shuffled) each.push_back({record, record});
        each.push_back(records);
        const auto other = held(each);
        RC_ASSERT(whole.size() == other.size());
        for (std::size_t i = 0; i < whole.size(); ++i) {
            RC_ASSERT(whole[i].value == other[i].value);
            RC_ASSERT(whole[i].age == other[i].age);
        }
    }));
}

TEST_CASE("the topics of one origin and the total number of records are bounded") {
    GossipSettings settings;
    settings.max_records = 10;
    Gossip gossip("me", {1, 1}, 1, 1, 1, settings);
    for (int i = 0; i < 20; ++i) {
        PublishedRecord record{"n0", "t" + std::to_string(i), 1, 1, 1, "v", 100, 0};
        gossip.take(1'000, {GossipMessage::Kind::kRumours, "x", {1, 2}, {}, {record}});
    }
    CHECK(gossip.size() == settings.max_topics_per_origin);
    for (int i = 0; i < 20; ++i) {
        PublishedRecord record{"m" + std::to_string(i), "t", 1, 1, 1, "v", 100, 0};
        gossip.take(1'000, {GossipMessage::Kind::kRumours, "x", {1, 2}, {}, {record}});
    }
    CHECK(gossip.size() == 10);
    CHECK(gossip.counts().rejected_full == 12 + 18);
}

TEST_CASE("gossip and direct messages are decoded as they were encoded; corrupted bytes do no harm") {
    const Wire wire("here", "");
    const auto direct =
        std::get<DirectMessage>(wire.decode(wire.write(DirectMessage{"n0", "t", std::string("x\0y", 3)})));
    CHECK(direct.payload.size() == 3);
    CHECK(std::holds_alternative<RejectReason>(
        wire.decode(wire.write(DirectMessage{"n0", "t", std::string(901, 'x')}))));
    GossipMessage message{GossipMessage::Kind::kDigestMismatch, "n0", {0x7f000001, 9}, {}, {}};
    message.digest[3] = 0xfedcba98;
    message.records.push_back({"n1", "t", 7, UINT64_MAX, 9, std::string("a\0b", 3), 10'000, 5});
    const auto bytes = wire.write(message);
    const auto decoded = std::get<GossipMessage>(wire.decode(bytes));
    CHECK(wire.write(decoded) == bytes);
    CHECK(decoded.digest == message.digest);
    CHECK(decoded.records.at(0).value.size() == 3);
    message.records[0].topic = std::string(kMaxTopicBytes + 1, 't');
    CHECK(std::get<RejectReason>(wire.decode(wire.write(message))) == RejectReason::kField);
    CHECK(rc::check("changed bytes", [&] {
        auto changed = bytes;
        for (int n = *rc::gen::inRange(1, 6); n > 0; --n)
            changed[*rc::gen::inRange<std::size_t>(0, changed.size())] = *rc::gen::arbitrary<char>();
        const auto decoded_changed = wire.decode(changed);
        if (const auto* valid = std::get_if<GossipMessage>(&decoded_changed)) {
            for (const auto& record : valid->records)
                RC_ASSERT(record.value.size() <= kLongestValue && record.lives >= 0);
        }
    }));
}

}  // namespace
