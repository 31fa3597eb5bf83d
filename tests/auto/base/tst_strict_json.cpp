#include "carobfall/base/strict_json.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace carobfall;

// Guards against a request whose values differ between this parser and that of the sender.
TEST_CASE("text that other JSON parsers may read differently is refused")
{
    for (const char* text :
         {"", " ", "{\"a\":1,\"a\":1}", "{\"b\":[{\"a\":1,\"\\u0061\":1}]}", "1 2", "NaN", "01",
          "18446744073709551616", "-9223372036854775809", "1e400", "\"\xc3\"", "[1,]", "//x\n1"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_strict_json(text));
    }
    CHECK(parse_strict_json("{\"a\":{\"a\":1},\"b\":[{\"a\":1},{\"a\":2}]}"));
}

// Guards against nesting that exhausts the stack.
TEST_CASE("nesting is accepted up to the limit only")
{
    CHECK(parse_strict_json("[[[1]]]", 3));
    CHECK_FALSE(parse_strict_json("[[[[1]]]]", 3));
    CHECK_FALSE(parse_strict_json(std::string(1000000, '[')));
}

// Guards against a canonical text that changes when it is read and written again.
TEST_CASE("parsing and writing a canonical text doesn't change it")
{
    CHECK(canonical_json(parse_strict_json(" {\"b\" : 1.50, \"a\" : \"\\u00e9\"} ").value()) ==
          "{\"a\":\"\xc3\xa9\",\"b\":1.5}");
    CHECK(rc::check([](double number, std::int64_t integer) {
        const nlohmann::json value{{"z", number}, {"a", {integer, nullptr, true}}};
        const std::string text = canonical_json(value);
        RC_ASSERT(canonical_json(parse_strict_json(text).value()) == text);
    }));
}
