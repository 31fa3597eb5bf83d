#pragma once

#include "carobfall/caller/submission_codec.h"
#include "carobfall/config/configuration.h"

#include <absl/time/time.h>

namespace carobfall {

/// Longest time between submission and deadline, whatever the template says. Records of tasks and
/// claims are kept for this long after a loss, so that it bounds memory.
inline constexpr absl::Duration max_deadline_ahead = absl::Seconds(300);

/// Checks a decoded submission against its template and the time. Errors: `not_found` for an
/// unknown template, `deadline_exceeded` for a deadline that has passed, `payload_too_large` for a
/// task over the template's limit, else `invalid_request`.
[[nodiscard]] result<void> validate_submission(const decoded_submission& submission,
                                               const configuration& declared, absl::Time now);

} // namespace carobfall
