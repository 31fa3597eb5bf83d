#include "carobfall/base/log_fields.h"

#include "carobfall/base/strings.h"

#include <absl/strings/escaping.h>

#include <ostream>

namespace carobfall {

log_fields::log_fields(std::string_view event) : text_(absl::StrCat("event=", to_absl(event))) {}

log_fields& log_fields::add(std::string_view key, std::string_view value)
{
    const bool plain =
        !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string_view::npos;
    if (plain) {
        absl::StrAppend(&text_, " ", to_absl(key), "=", to_absl(value));
    } else {
        absl::StrAppend(&text_, " ", to_absl(key), "=\"", absl::CEscape(to_absl(value)), "\"");
    }
    return *this;
}

std::ostream& operator<<(std::ostream& stream, const log_fields& fields)
{
    return stream << fields.text();
}

} // namespace carobfall
