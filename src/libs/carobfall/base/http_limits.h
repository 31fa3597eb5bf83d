#pragma once

#include "carobfall/base/error.h"

#include <httplib.h>

#include <cstddef>

namespace carobfall {

/// Maximum bytes of a decoded request path. Three names of 128 bytes and the fixed parts fit.
inline constexpr std::size_t max_path_bytes = 512;
/// Maximum number of header lines of a request, and of bytes in their names and values.
inline constexpr std::size_t max_header_lines = 64;
inline constexpr std::size_t max_header_bytes = 16 * 1024;

/// Checks path, headers and framing before the body is read. Errors: `invalid_request`,
/// `payload_too_large`.
[[nodiscard]] result<void> check_request_shape(const httplib::Request& request);

/// True if the request announces a body.
[[nodiscard]] bool has_body(const httplib::Request& request);

} // namespace carobfall
