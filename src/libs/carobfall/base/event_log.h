#pragma once

#include "carobfall/base/log_fields.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace carobfall {

/// Writes structured log lines to standard output without blocking. Lines that don't fit into the
/// buffer are dropped, and the next line that fits states their number. Not thread-safe.
class event_log {
public:
    /// `process` and `data_centre` are added to each line.
    event_log(std::string_view process, std::string_view data_centre);

    /// Buffers the line with a sequence number and `now` in milliseconds.
    void write(const log_fields& fields, absl::Time now);
    /// Writes as much of the buffer as standard output accepts without blocking.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const { return dropped_total_; }

private:
    const std::string suffix_;
    std::string buffer_;
    std::uint64_t sequence_{0};
    std::uint64_t dropped_{0};
    std::uint64_t dropped_total_{0};
};

} // namespace carobfall
