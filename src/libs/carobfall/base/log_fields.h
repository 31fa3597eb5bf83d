#pragma once

#include <absl/strings/str_cat.h>

#include <ostream>
#include <string>
#include <string_view>
#include <type_traits>

namespace carobfall {

/// Builds the `event=... key=value ...` text of a log line. Values with spaces are quoted. Task
/// payloads, results and tokens must not be added.
class log_fields {
public:
    explicit log_fields(std::string_view event);

    log_fields& add(std::string_view key, std::string_view value);

    template <typename Number>
    requires std::is_arithmetic_v<Number> log_fields& add(std::string_view key, Number value)
    {
        return add(key, std::string_view(absl::StrCat(value)));
    }

    [[nodiscard]] const std::string& text() const { return text_; }

private:
    std::string text_;
};

std::ostream& operator<<(std::ostream& stream, const log_fields& fields);

} // namespace carobfall
