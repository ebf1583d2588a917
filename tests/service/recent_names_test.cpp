// Names of requests that may have run.
#include "service/recent_names.hpp"

#include <doctest/doctest.h>

#include <string>

namespace {

using pinedoor::service::RecentNames;

TEST_CASE("a name is remembered for its lifetime and not longer") {
    RecentNames names(10, 1);
    names.add(1'000, "t", 1);
    CHECK(names.contains(1'000 + RecentNames::kLifetime - 1, "t"));
    CHECK_FALSE(names.contains(1'000, "u"));
    CHECK_FALSE(names.contains(1'000 + RecentNames::kLifetime, "t"));
    CHECK(names.size() == 0);
    CHECK(names.forgotten_early() == 0);
}

TEST_CASE("a client that invents names makes the others forget none") {
    RecentNames names(100, 1);
    for (int i = 0; i < 10; ++i) names.add(i, "ordinary" + std::to_string(i), static_cast<std::uint64_t>(i));
    for (int i = 0; i < 10'000; ++i) names.add(10 + i, "invented" + std::to_string(i), 99);
    for (int i = 0; i < 10; ++i) CHECK(names.contains(20'000, "ordinary" + std::to_string(i)));
    CHECK(names.contains(20'000, "invented9999"));
    CHECK_FALSE(names.contains(20'000, "invented0"));
    CHECK(names.size() == 100);
    CHECK(names.forgotten_early() == 9'910);
}

TEST_CASE("among clients with as many names each, the oldest name is forgotten first") {
    RecentNames names(3, 1);
    for (int i = 1; i <= 4; ++i) names.add(i, "t" + std::to_string(i), static_cast<std::uint64_t>(i));
    CHECK_FALSE(names.contains(5, "t1"));
    for (const char* name : {"t2", "t3", "t4"}) CHECK(names.contains(5, name));
}

}  // namespace
