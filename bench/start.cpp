// Measures the share of multigets that a newly started front node pushes back, answers in part or answers
// late although the servers are idle, in simulated time. Prints one row per load, for the first 2 s and the
// first 8 s. Run with `./dev bench start`.
#include <cstdio>

#include "closed_loop.hpp"

int main() {
    using pinedoor::test::ClosedLoop;
    std::printf("%8s %6s %6s %6s %12s | first 2 s: %6s %6s %6s %6s | 8 s: %6s %6s %6s\n", "clients", "parts",
                "least", "part", "front nodes", "ended", "pushed", "part", "late", "pushed", "part", "late");
    for (const int front_nodes : {1, 4}) {
        for (const double part_ms : {1.0, 5.0}) {
            for (const int clients : {8, 64}) {
                for (const int parts : {4, 12}) {
                    for (const double least : {1.0, 0.5}) {
                        ClosedLoop loop;
                        loop.clients = clients;
                        loop.parts = parts;
                        loop.part_ms = part_ms;
                        loop.min_share = least;
                        loop.front_nodes = front_nodes;
                        const auto first_2_s = loop.run(20'000), first_8_s = loop.run(80'000);
                        const auto percent = [](std::uint64_t count, std::uint64_t total) {
                            return 100 * static_cast<double>(count) / static_cast<double>(total);
                        };
                        std::printf(
                            "%8d %6d %6.1f %4.0fms %12d | %17llu %5.1f%% %5.1f%% %5.1f%% | %10.1f%% %5.1f%% "
                            "%5.1f%%\n",
                            clients, parts, least, part_ms, front_nodes,
                            static_cast<unsigned long long>(first_2_s.ended()),
                            percent(first_2_s.pushed_back, first_2_s.ended()),
                            percent(first_2_s.in_part, first_2_s.ended()),
                            percent(first_2_s.late, first_2_s.ended()),
                            percent(first_8_s.pushed_back, first_8_s.ended()),
                            percent(first_8_s.in_part, first_8_s.ended()),
                            percent(first_8_s.late, first_8_s.ended()));
                    }
                }
            }
        }
    }
}
