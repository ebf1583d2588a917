// Splitting a stream of text into JSON objects, in pieces of any size and over any number of lines.
#include "parse/json_objects.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace {

using pinedoor::parse::JsonObjectSplitter;

std::vector<std::string> all_of(JsonObjectSplitter& objects) {
    std::vector<std::string> found;
    while (auto object = objects.next()) found.push_back(std::move(*object));
    return found;
}

TEST_CASE("objects are returned one by one, with any content and layout") {
    const std::vector<std::string> written{"{}", "{\"a\":[1,2,{\"b\":\"}\"}]}",
                                           "{\n  \"a\" : \"\\\"{[\\\\\"\n}",
                                           "{\"revision\":3,\r\n\"members\":[]}"};
    std::string text = "\n \r\n";
    for (const auto& object : written) text += object + "\n\n";
    JsonObjectSplitter objects(100);
    objects.feed(text);
    CHECK(all_of(objects) == written);
    CHECK(!objects.bad());
}

TEST_CASE("any division of the text into pieces gives the same objects") {
    const std::string text = "{\"a\":\"\\\\\"}\n\n{ \"b\": [ { }, \"]\" ] }{\"c\":1}\n";
    JsonObjectSplitter whole(100);
    whole.feed(text);
    const auto expected = all_of(whole);
    REQUIRE(expected.size() == 3);
    CHECK(rc::check([&] {
        JsonObjectSplitter objects(100);
        std::vector<std::string> found;
        for (std::size_t position = 0; position < text.size();) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 9);
            objects.feed(std::string_view(text).substr(position, size));
            for (auto& object : all_of(objects)) found.push_back(std::move(object));
            position += size;
        }
        RC_ASSERT(found == expected);
    }));
}

TEST_CASE("text that is no object, and an object above the size limit, are errors") {
    JsonObjectSplitter trailing_text(100);
    trailing_text.feed("{}\nfine");
    CHECK(all_of(trailing_text).size() == 1);
    CHECK(trailing_text.bad());
    JsonObjectSplitter array(100);
    array.feed("[{}]");
    CHECK(all_of(array).empty());
    CHECK(array.bad());
    JsonObjectSplitter unterminated(20);
    unterminated.feed("{\"a\":\"" + std::string(30, 'x'));
    CHECK(all_of(unterminated).empty());
    CHECK(unterminated.bad());
}

}  // namespace
