#pragma once

#include <string>
#include <string_view>

namespace carobfall {

/// SHA-256 of the text in lower-case hexadecimal (64 characters).
[[nodiscard]] std::string sha256_hex(std::string_view text);

} // namespace carobfall
