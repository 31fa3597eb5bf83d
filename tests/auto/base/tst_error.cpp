#include "carobfall/base/error.h"

#include <doctest/doctest.h>

using namespace carobfall;

// Guards against a new error kind without a row in the table, which would be reported as internal.
TEST_CASE("every error kind has a name that maps back to it")
{
    for (int value = 0; value <= static_cast<int>(error_kind::internal); ++value) {
        const auto kind = static_cast<error_kind>(value);
        CHECK(error_kind_from_name(name_of(kind)) == kind);
        CHECK(http_status_of(kind) >= 400);
    }
    CHECK_FALSE(error_kind_from_name("no_such_kind").has_value());
}
