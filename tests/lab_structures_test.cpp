// The laboratory's data structures, compared with simple reference implementations.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <queue>
#include <random>

#include "lab/sim/event_wheel.hpp"
#include "lab/world/sketch.hpp"

namespace {

using namespace pinedoor;
using namespace pinedoor::lab;

TEST_CASE("the event wheel pops in the order of a queue sorted by time and insertion, under any pushes") {
    CHECK(rc::check("wheel", [] {
        struct Event {
            Time at;
            int order;
            bool operator<(const Event& other) const {
                return at != other.at ? at > other.at : order > other.order;
            }
        };
        EventWheel<int> wheel;
        std::priority_queue<Event> reference;
        Time now = 0;
        int order = 0;
        const auto steps = *rc::gen::inRange(1, 400);
        for (int i = 0; i < steps; ++i) {
            if (reference.empty() || *rc::gen::inRange(0, 5) < 3) {
                // Times near now, equal, at the edge of the wheel's span, and far beyond it.
                const auto spans =
                    *rc::gen::element<Time>(0, 1, 3, 200, 16'383, 16'384, 16'385, 50'000, 3'000'000);
                const Time at = now + *rc::gen::inRange<Time>(spans / 2, spans + 1);
                reference.push({at, ++order});
                wheel.push(at, order);
            } else {
                const auto expected = reference.top();
                reference.pop();
                RC_ASSERT(wheel.next() == expected.at);
                RC_ASSERT(wheel.pop() == expected.order);
                now = expected.at;
            }
            RC_ASSERT(wheel.size() == reference.size());
        }
    }));
}

TEST_CASE("the quantile sketch keeps its error bound, merged or not, and its bucket limit") {
    std::mt19937_64 chance(5);
    std::lognormal_distribution<double> draw(1, 2);
    for (const double error : {0.005, 0.01, 0.05}) {
        QuantileSketch whole(error), first(error), second(error);
        std::vector<double> samples;
        for (int i = 0; i < 50'000; ++i) {
            const double value = i % 100 == 0 ? 0 : draw(chance);
            samples.push_back(value);
            whole.add(value);
            (i % 3 == 0 ? first : second).add(value);
        }
        first.merge(second);
        std::sort(samples.begin(), samples.end());
        for (const double q : {0.0, 0.005, 0.02, 0.5, 0.9, 0.99, 0.999, 1.0}) {
            CAPTURE(q);
            const double exact = samples[static_cast<std::size_t>(q * 49'999)];
            CHECK(std::abs(whole.quantile(q) - exact) <= exact * error * 1.000001);
            CHECK(first.quantile(q) == whole.quantile(q));
        }
        CHECK(first.count() == 50'000);
    }
    QuantileSketch small(0.01, 50);
    for (int i = 1; i <= 10'000; ++i) small.add(std::pow(1.01, i % 1'000));
    CHECK(small.buckets() <= 50);
    CHECK(small.quantile(0.999) == doctest::Approx(std::pow(1.01, 998)).epsilon(0.011));
    CHECK(QuantileSketch().quantile(0.5) == 0);
    CHECK_THROWS(QuantileSketch(0.01).merge(QuantileSketch(0.02)));
}

}  // namespace
