// Start times of servers while the wall clock is stepped by seconds or by an hour in either direction.
#include "service/server_starts.hpp"

#include <doctest/doctest.h>

namespace {

using pinedoor::net::Moment;
using pinedoor::service::ServerStarts;

constexpr Moment kSecond = 10'000;
constexpr Moment kHour = 3'600 * kSecond;
constexpr Moment kBegin = 1'800'000'000 * kSecond;  // start of this process by both clocks

TEST_CASE("without clock steps a start time is the listed one, and never in the future") {
    ServerStarts starts;
    CHECK(starts.convert("a", 0, kBegin, kBegin) == 0);
    CHECK(starts.convert("a", kBegin - kSecond, kBegin, kBegin) == kBegin - kSecond);
    CHECK(starts.convert("b", kBegin + kHour, kBegin, kBegin) == kBegin);
}

// After the wall clock is stepped back, a server that started 2 s ago must not count as an hour old and
// receive the load of a warm one; after a step forward it must not stay cold for over an hour.
TEST_CASE("a start time received after a step of the wall clock keeps its age") {
    constexpr Moment kAgo = 2 * kSecond;
    const Moment now = kBegin + 60 * kSecond;
    for (const Moment step : {kHour, -kHour, 30 * kSecond, -30 * kSecond}) {
        CAPTURE(step);
        ServerStarts both;  // discovery's clock is stepped, too
        CHECK(both.convert("a", now + step - kAgo, now, now + step) == now - kAgo);
        ServerStarts own;  // only this machine's clock is stepped
        CHECK(own.convert("a", now - kAgo, now, now + step) == now - kAgo);
    }
}

// A list that names the same start time again after a clock step must not make the server look restarted,
// which would close its connections.
TEST_CASE("a start time received before a step does not change") {
    for (const Moment step : {kHour, -kHour, 5 * kSecond, -5 * kSecond}) {
        CAPTURE(step);
        ServerStarts starts;
        const Moment told = kBegin - 2 * kHour;
        REQUIRE(starts.convert("a", told, kBegin, kBegin) == told);
        const Moment now = kBegin + 60 * kSecond;
        CHECK(starts.convert("a", told, now, now + step) == told);
    }
}

TEST_CASE("a server that has left the list is new when it returns") {
    ServerStarts starts;
    starts.convert("a", kBegin - kHour, kBegin, kBegin);
    starts.convert("b", kBegin - kHour, kBegin, kBegin);
    starts.keep_only({"b"});
    const Moment now = kBegin + kSecond;
    CHECK(starts.convert("a", kBegin - kHour, now, now - kHour) == kBegin);
    CHECK(starts.convert("b", kBegin - kHour, now, now - kHour) == kBegin - kHour);
}

}  // namespace
