#include "carobfall/base/ids.h"

#include <doctest/doctest.h>

using namespace carobfall;

// Guards against names that could break out of a table key, a path or a log line.
TEST_CASE("names are limited to safe characters")
{
    CHECK(is_valid_name("dambi-1.a_b"));
    CHECK_FALSE(is_valid_name(""));
    CHECK_FALSE(is_valid_name(".."));
    CHECK_FALSE(is_valid_name("a/b"));
    CHECK_FALSE(is_valid_name("a b"));
    CHECK_FALSE(is_valid_name(std::string(max_name_bytes + 1, 'a')));
}

// Guards against a token comparison that accepts a prefix or a repetition of the token.
TEST_CASE("constant-time comparison accepts equal texts only")
{
    CHECK(equal_constant_time("secret", "secret"));
    CHECK_FALSE(equal_constant_time("secret", "secre"));
    CHECK_FALSE(equal_constant_time("aa", "a"));
    CHECK_FALSE(equal_constant_time("a", "aa"));
    CHECK_FALSE(equal_constant_time("a", ""));
    CHECK(equal_constant_time("", ""));
}
