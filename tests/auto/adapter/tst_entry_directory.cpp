#include "platform/entry_directory.h"

#include <doctest/doctest.h>

using namespace carobfall::platform;

namespace {

constexpr std::int64_t now_ms = 10'000'000;
constexpr std::int64_t minute_ms = 60'000;

row_page page_with(const std::vector<std::string>& values)
{
    row_page page;
    page.outcome = read_outcome::ok;
    page.store_time_ms = now_ms;
    for (const std::string& value : values) {
        page.rows.push_back({"10.0.0." + std::to_string(page.rows.size()) + ":7000", value, false,
                             page.rows.size() + 1});
    }
    return page;
}

} // namespace

// Guards against rows of replaced machines that stay in the table for ever, so that the table grows
// and every agent keeps connecting to their addresses.
TEST_CASE("a row expires only if it is not refreshed within its lifetime")
{
    const row_page page =
        page_with({encode_entry_row(now_ms - minute_ms), encode_entry_row(now_ms - 11 * minute_ms),
                   encode_entry_row(now_ms - 9 * minute_ms)});
    const std::vector<store_row> expired = expired_entry_rows(page);
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].key == "10.0.0.1:7000");
    CHECK(expired[0].row_version == 2);
}

// Guards against the removal of live entries whose rows come from another version of the program or
// from another program, or were written before the store's time was known.
TEST_CASE("rows without a readable time are kept")
{
    CHECK(expired_entry_rows(page_with({"{}", "", "no json", R"({"written_ms":"1"})",
                                        encode_entry_row(0), R"({"written_ms":-5})"}))
              .empty());
    row_page untimed = page_with({encode_entry_row(now_ms)});
    untimed.store_time_ms = 0;
    CHECK(expired_entry_rows(untimed).empty());
}
