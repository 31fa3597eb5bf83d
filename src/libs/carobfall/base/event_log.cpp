#include "carobfall/base/event_log.h"
#include "carobfall/base/strings.h"

#include <absl/strings/str_cat.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace carobfall {
namespace {

// About one second of output at 1,000 lines per second.
constexpr std::size_t max_buffered_bytes = 256U << 10U;

bool is_output_writable()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
}

} // namespace

event_log::event_log(std::string_view process, std::string_view data_centre)
    : suffix_(
          absl::StrCat(" process=", to_absl(process), " data_centre=", to_absl(data_centre), "\n"))
{}

void event_log::write(const log_fields& fields, absl::Time now)
{
    ++sequence_;
    if (buffer_.size() + fields.text().size() > max_buffered_bytes) {
        ++dropped_;
        ++dropped_total_;
        return;
    }
    absl::StrAppend(&buffer_, "t=", absl::ToUnixMillis(now), " n=", sequence_, " ", fields.text());
    if (dropped_ > 0) {
        absl::StrAppend(&buffer_, " lines_dropped=", dropped_);
        dropped_ = 0;
    }
    absl::StrAppend(&buffer_, suffix_);
}

void event_log::flush()
{
    std::size_t written = 0;
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    while (written < buffer_.size() && is_output_writable()) {
        const std::size_t size = std::min<std::size_t>(buffer_.size() - written, PIPE_BUF);
        const ssize_t count = ::write(STDOUT_FILENO, buffer_.data() + written, size);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    buffer_.erase(0, written);
}

} // namespace carobfall
