#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace carobfall {

/// A store may hold changes back from its feed for about a second before it drops its history. Only
/// after this time an answer without rows proves that there were no changes before its version.
inline constexpr std::int64_t feed_settling_ms = 2000;
/// Shortest time for which the store keeps its history in normal operation.
inline constexpr std::int64_t store_history_ms = 20'000;

/// Upper bound of the age of a position in a feed whose calls wait `wait_ms` for a change. It grows
/// until an answer has settled and until the next one has.
constexpr std::int64_t oldest_feed_position_ms(std::int64_t wait_ms)
{
    return 2 * (feed_settling_ms + wait_ms);
}

/// Version of the store from which a process continues the feed of changes.
class change_feed_position {
public:
    /// Continues after a full read as of `version`, or after rows up to `version`.
    void move_to(std::uint64_t version);
    /// Handles an answer without rows as of `version`.
    void on_no_rows(std::uint64_t version, absl::Time now);
    [[nodiscard]] std::uint64_t value() const { return value_; }

private:
    struct unsettled_version {
        std::uint64_t version{0};
        absl::Time answered_at;
    };

    std::uint64_t value_{0};
    std::optional<unsettled_version> unsettled_;
};

} // namespace carobfall
