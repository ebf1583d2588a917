// Compares the laboratory's data structures with standard ones, as ratios within one run. Prints the tables
// of docs/lab.md.
#include <algorithm>
#include <boost/histogram.hpp>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <queue>
#include <random>
#include <vector>

#include "lab/sim/event_wheel.hpp"
#include "lab/world/sketch.hpp"

namespace {

using namespace pinedoor;
using namespace pinedoor::lab;
using Clock = std::chrono::steady_clock;

double seconds_since(Clock::time_point start) {
    return std::chrono::duration<double>(Clock::now() - start).count();
}

struct QueuedEvent {  // same size as the simulation's events
    Time time = 0;
    std::uint64_t order = 0;
    std::uint32_t words[4] = {};
    bool operator<(const QueuedEvent& other) const {
        return time != other.time ? time > other.time : order > other.order;
    }
};

// Keeps `size` events queued and, a million times, pops the next and pushes another; returns ns per pair.
template <class Push, class Pop>
double ns_per_pop_push(std::size_t size, Push push, Pop pop) {
    std::mt19937_64 chance(1);
    const auto delay = [&chance] {  // mostly short delays, some as long as a timeout
        const auto draw = chance();
        return static_cast<Time>(draw % 8 == 0 ? 1 + draw / 8 % 8'000 : 1 + draw / 8 % 200);
    };
    for (std::size_t i = 0; i < size; ++i) push(delay());
    constexpr int kIterations = 1'000'000;
    const auto start = Clock::now();
    for (int i = 0; i < kIterations; ++i) push(pop() + delay());
    return seconds_since(start) / kIterations * 1e9;
}

void measure_wheel() {
    std::printf("\nPop the next event and push another, ns (median of 5, alternating)\n");
    std::printf("  %10s %12s %12s %8s\n", "held", "queue", "wheel", "ratio");
    for (const std::size_t size : {100U, 1'000U, 10'000U, 100'000U, 1'000'000U}) {
        std::vector<double> queues, wheels;
        for (int run = 0; run < 5; ++run) {
            std::priority_queue<QueuedEvent> queue;
            std::uint64_t order = 0;
            queues.push_back(ns_per_pop_push(
                size,
                [&](Time time) {
                    queue.push({time, ++order, {}});
                },
                [&] {
                    const auto time = queue.top().time;
                    queue.pop();
                    return time;
                }));
            EventWheel<QueuedEvent> wheel;
            wheels.push_back(ns_per_pop_push(
                size,
                [&](Time time) {
                    wheel.push(time, {time, ++order, {}});
                },
                [&] { return wheel.pop().time; }));
        }
        std::sort(queues.begin(), queues.end());
        std::sort(wheels.begin(), wheels.end());
        std::printf("  %10zu %12.1f %12.1f %8.2f\n", size, queues[2], wheels[2], queues[2] / wheels[2]);
    }
}

void measure_sketch() {
    std::printf("\nA million latencies added, then the 50th, 99th and 99.9th percentile read\n");
    std::printf("  %-28s %10s %10s %14s %12s\n", "way", "add, ns", "ask, us", "worst error", "bytes");
    std::mt19937_64 chance(1);
    std::lognormal_distribution<double> draw(2, 1.5);
    std::vector<double> times(1'000'000);
    for (auto& each : times) each = draw(chance);
    auto sorted = times;
    std::sort(sorted.begin(), sorted.end());
    const std::vector<double> quantiles{0.5, 0.99, 0.999};
    const auto exact_quantile = [&](double q) { return sorted[static_cast<std::size_t>(q * 999'999)]; };
    const auto print = [&](const char* method, double add_time, double read_time,
                           const std::vector<double>& results, std::size_t bytes) {
        double worst = 0;
        for (std::size_t i = 0; i < quantiles.size(); ++i)
            worst = std::max(
                worst, std::abs(results[i] - exact_quantile(quantiles[i])) / exact_quantile(quantiles[i]));
        std::printf("  %-28s %10.1f %10.1f %13.3f%% %12zu\n", method, add_time * 1e3, read_time * 1e6,
                    worst * 100, bytes);
    };
    {
        auto start = Clock::now();
        std::vector<double> samples;
        for (const double each : times) samples.push_back(each);
        const double add_time = seconds_since(start);
        start = Clock::now();
        std::sort(samples.begin(), samples.end());
        std::vector<double> results;
        for (const double q : quantiles) results.push_back(samples[static_cast<std::size_t>(q * 999'999)]);
        print("all samples, sorted", add_time, seconds_since(start), results,
              samples.capacity() * sizeof(double));
    }
    for (const double error : {0.01, 0.001}) {
        auto start = Clock::now();
        QuantileSketch sketch(error, 100'000);
        for (const double each : times) sketch.add(each);
        const double add_time = seconds_since(start);
        start = Clock::now();
        std::vector<double> results;
        for (const double q : quantiles) results.push_back(sketch.quantile(q));
        print(error == 0.01 ? "sketch, 1%" : "sketch, 0.1%", add_time, seconds_since(start), results,
              sketch.buckets() * 8);
    }
    {
        namespace bh = boost::histogram;
        auto start = Clock::now();
        // The logarithmic axis needs its bounds in advance: 0.001 ms to 1,000,000 ms, 1% wide.
        auto histogram =
            bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(1'036, 0.001, 1'000'000));
        for (const double each : times) histogram(each);
        const double add_time = seconds_since(start);
        start = Clock::now();
        std::vector<double> results;
        for (const double q : quantiles) {
            double cumulative = 0;
            for (const auto& cell : bh::indexed(histogram)) {
                cumulative += *cell;
                if (cumulative > q * 999'999) {
                    results.push_back((cell.bin().lower() + cell.bin().upper()) / 2);
                    break;
                }
            }
        }
        print("boost::histogram, log axis", add_time, seconds_since(start), results, histogram.size() * 8);
    }
}

}  // namespace

int main() {
    measure_wheel();
    measure_sketch();
}
