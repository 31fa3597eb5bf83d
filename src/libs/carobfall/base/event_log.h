#pragma once

#include "carobfall/base/log_fields.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace carobfall {

/// Structured lines on standard output, written without ever waiting for the reader. Lines that
/// don't fit into the buffer are counted, and the count is written with the next line that does.
/// Used by one thread.
class event_log {
public:
    /// `process` and `data_centre` are on each line.
    event_log(std::string_view process, std::string_view data_centre);

    /// Adds the line, with a running number and `now` in milliseconds.
    void write(const log_fields& fields, absl::Time now);
    /// Hands over as much of the buffer as standard output takes at once.
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
