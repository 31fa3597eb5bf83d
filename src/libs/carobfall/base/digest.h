#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace carobfall {

/// Number of characters of a SHA-256 digest in hexadecimal.
inline constexpr std::size_t sha256_hex_length = 64;

/// SHA-256 of the text in lower-case hexadecimal.
[[nodiscard]] std::string sha256_hex(std::string_view text);

} // namespace carobfall
