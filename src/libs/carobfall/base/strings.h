#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace carobfall {

/// Debian builds Abseil with its own string_view type, which std::string_view doesn't convert to.
[[nodiscard]] inline absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace carobfall
