#pragma once

#include "carobfall/caller/submission_codec.h"
#include "carobfall/config/configuration.h"

#include <absl/time/time.h>

namespace carobfall {

/// Checks a decoded submission against its template and the current time. The time until the
/// deadline may exceed neither the template's max_deadline nor `max_deadline`. Errors: `not_found`
/// for an unknown template, `deadline_exceeded` for a deadline that has passed, `payload_too_large`
/// for a task over the template's limit, else `invalid_request`.
[[nodiscard]] result<void> validate_submission(const decoded_submission& submission,
                                               const configuration& declared,
                                               absl::Duration max_deadline, absl::Time now);

} // namespace carobfall
