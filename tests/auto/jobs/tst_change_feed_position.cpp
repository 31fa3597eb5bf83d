#include "carobfall/jobs/change_feed_position.h"

#include <doctest/doctest.h>

using namespace carobfall;

namespace {

const absl::Time start = absl::UnixEpoch();

} // namespace

TEST_CASE("an answer without rows moves the feed only after it has settled")
{
    change_feed_position position;
    position.move_to(10);
    position.on_no_rows(12, start);
    position.on_no_rows(14, start + absl::Milliseconds(feed_settling_ms - 1));
    CHECK(position.value() == 10);
    position.on_no_rows(15, start + absl::Milliseconds(feed_settling_ms));
    CHECK(position.value() == 12);
    position.on_no_rows(16, start + absl::Milliseconds(2 * feed_settling_ms));
    CHECK(position.value() == 15);
}

// Guards against a position that moves past a change because of an earlier answer without rows.
TEST_CASE("rows and full reads restart the settling time")
{
    change_feed_position position;
    position.move_to(10);
    position.on_no_rows(20, start);
    position.move_to(15);
    position.on_no_rows(21, start + absl::Milliseconds(feed_settling_ms));
    CHECK(position.value() == 15);
}

// Guards against full reads in normal operation, because the position is older than the history.
TEST_CASE("the position of a regular feed stays within its bound")
{
    for (const std::int64_t wait_ms : {100, 1000, 7000}) {
        change_feed_position position;
        position.move_to(0);
        std::int64_t oldest = 0;
        // The version is the time of the answer in milliseconds.
        for (std::int64_t now = wait_ms; now < 60'000; now += wait_ms) {
            oldest = std::max(oldest, now - static_cast<std::int64_t>(position.value()));
            position.on_no_rows(static_cast<std::uint64_t>(now), start + absl::Milliseconds(now));
        }
        CHECK(oldest <= oldest_feed_position_ms(wait_ms));
        CHECK(oldest_feed_position_ms(wait_ms) < store_history_ms);
    }
}
