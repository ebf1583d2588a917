// Measures the cost and the accuracy of membership in simulated time: this implementation, plain SWIM (no
// local health, no shortening by confirmation, no last look) and plain heartbeats. Run with
// `./dev bench peers [SECONDS [MEMBERS [FROM]]]`; with MEMBERS above 300 only the first table is printed, for
// FROM members and more.
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "peers/simulated.hpp"

namespace {

using namespace pinedoor::test;

constexpr Time kSecond = 10'000;

struct Row {
    double known_after = -1;         // seconds until all members know of a death, median of three
    double false_per_hour = 0;       // live members declared dead, per hour of the fleet
    double bytes = 0, messages = 0;  // per member and second, after the initial exchange of full states
};

// Waits until the announcements of the joins have subsided; their duration grows with the number of members.
void wait_for_quiet(SimulatedPeers& fleet, int count) {
    constexpr double kQuietRate = 1'000;  // bytes per member and second
    const auto bytes = [&] {
        std::uint64_t sum = 0;
        for (int i = 0; i < count; ++i) sum += fleet.node(i).bytes;
        return static_cast<double>(sum);
    };
    double rate = kQuietRate;
    for (int steps = 0; rate >= kQuietRate && steps < 60; ++steps) {
        const auto before = bytes();
        fleet.run(5 * kSecond);
        rate = (bytes() - before) / 5 / count;
        std::fprintf(stderr, "%.0f s: %.0f bytes per member and second\n",
                     static_cast<double>(fleet.now()) / kSecond, rate);
    }
}

Row play(int count, double loss, bool suspensions, MembershipConfig terms, Time length) {
    Row row;
    std::vector<double> detection_times;
    SimulatedPeers fleet(count, 7, terms, {0, 1, 2});
    fleet.start_all();
    if (!fleet.run_until(120 * kSecond, [&] { return fleet.all_know(static_cast<std::size_t>(count)); }))
        return row;
    fleet.loss = loss;
    fleet.run((count > 300 ? 60 : 150) * kSecond);  // skips the initial exchanges
    if (count > 300) wait_for_quiet(fleet, count);
    std::uint64_t sent = 0, bytes = 0;
    for (int i = 0; i < count; ++i) sent += fleet.node(i).sent, bytes += fleet.node(i).bytes;
    const auto before = fleet.false_deaths;
    const Time end = fleet.now() + length;
    for (int member = 5; fleet.now() < end; member = (member + 7) % count) {
        if (!suspensions) {
            fleet.run(std::min(10 * kSecond, end - fleet.now()));
            continue;
        }
        fleet.stop(member);  // suspended for 3 s of every 10 s
        fleet.run(3 * kSecond);
        fleet.wake(member);
        fleet.run(7 * kSecond);
    }
    std::uint64_t sent_after = 0, bytes_after = 0;
    for (int i = 0; i < count; ++i) sent_after += fleet.node(i).sent, bytes_after += fleet.node(i).bytes;
    const auto member_seconds = static_cast<double>(length) / kSecond * count;
    row.messages = static_cast<double>(sent_after - sent) / member_seconds;
    row.bytes = static_cast<double>(bytes_after - bytes) / member_seconds;
    row.false_per_hour = static_cast<double>(fleet.false_deaths - before) / std::max(1, count - 1) /
                         (static_cast<double>(length) / kSecond) * 3'600;
    for (int member = 3; member < 6; ++member) {
        fleet.kill(member);
        const Time from = fleet.now();
        const auto name = SimulatedPeers::name(member);
        if (fleet.run_until(200 * kSecond, [&] { return fleet.count_seeing_member(name) == 0; }))
            detection_times.push_back(static_cast<double>(fleet.now() - from) / kSecond);
    }
    std::sort(detection_times.begin(), detection_times.end());
    if (detection_times.size() == 3) row.known_after = detection_times[1];
    return row;
}

// Baseline, computed rather than simulated: every member sends to every other member each second, and a
// member is declared dead after five seconds without a message. False deaths come from message loss alone:
// five consecutive losses between a pair of members.
Row heartbeats(int count, double loss) {
    Row row;
    row.known_after = 5.5;
    row.messages = count - 1;
    row.bytes = row.messages * 60;
    double five_losses = 1;
    for (int i = 0; i < 5; ++i) five_losses *= loss;
    row.false_per_hour = five_losses * (1 - loss) * 3'600 * count * (count - 1) / std::max(1, count - 1);
    return row;
}

void print(const char* method, int count, double loss, bool suspensions, const Row& row) {
    std::printf("%-12s %6d %5.0f%% %-11s %8.1f s %12.1f %10.0f %9.1f\n", method, count, 100 * loss,
                suspensions ? "3 of 10 s" : "none", row.known_after, row.false_per_hour, row.bytes,
                row.messages);
}

}  // namespace

int main(int count, char** arguments) {
    const Time length = (count > 1 ? std::atoi(arguments[1]) : 120) * kSecond;
    const int max_members = count > 2 ? std::atoi(arguments[2]) : 300;  // members; 3000 takes half an hour
    const int min_members = count > 3 ? std::atoi(arguments[3]) : 0;
    MembershipConfig plain_swim;
    plain_swim.local_health = plain_swim.dynamic_suspicion = false;
    std::printf("%-12s %6s %6s %-11s %10s %12s %10s %9s\n", "who", "nodes", "loss", "standstill", "known",
                "false/hour", "bytes/s", "messages/s");
    for (const int nodes : {10, 100, 300, 1'000, 3'000}) {
        if (nodes > max_members) break;
        if (nodes < min_members) continue;
        print("this", nodes, 0, false,
              play(nodes, 0, false, {}, nodes > 300 ? std::min(length, 30 * kSecond) : length));
        std::fflush(stdout);
    }
    if (max_members > 300) return 0;
    for (const double loss : {0.0, 0.1, 0.2, 0.3}) {
        for (const bool suspensions : {false, true}) {
            print("this", 50, loss, suspensions, play(50, loss, suspensions, {}, 3 * length));
            print("plain SWIM", 50, loss, suspensions, play(50, loss, suspensions, plain_swim, 3 * length));
        }
        print("heartbeats", 50, loss, false, heartbeats(50, loss));
    }
}
