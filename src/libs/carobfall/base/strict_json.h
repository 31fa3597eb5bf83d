#pragma once

#include "carobfall/base/error.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace carobfall {

/// Maximum nesting depth of arrays and objects that is accepted in input.
inline constexpr std::size_t max_json_depth = 32;

/// Parses one JSON value. Stricter than the library: refuses duplicate keys of an object,
/// nesting deeper than `max_depth`, integers that don't fit in 64 bits (they would be rounded),
/// invalid UTF-8 and trailing text. Errors: `invalid_request`, whose message doesn't
/// quote the input.
[[nodiscard]] result<nlohmann::json> parse_strict_json(std::string_view text,
                                                       std::size_t max_depth = max_json_depth);

/// Canonical text: keys in byte order, no white space. Equal values give equal text.
[[nodiscard]] std::string canonical_json(const nlohmann::json& value);

} // namespace carobfall
