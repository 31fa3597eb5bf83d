#pragma once

#include "carobfall/config/yaml_schema.h"

#include <map>

namespace carobfall {

/// Where a program's settings come from. Later members override earlier ones.
struct settings_sources {
    std::string text;                               ///< YAML text of the settings file
    std::string source{"settings"};                 ///< name of the file, for messages
    std::map<std::string, std::string> environment; ///< by full variable name
    std::vector<std::string> overrides;             ///< "key=value" from the command line
};

/// Sources with the text of the file; an empty path gives no text. Errors: `not_found`.
[[nodiscard]] result<settings_sources> read_settings_file(const std::string& path);

/// Variables of the process environment whose names begin with `prefix`.
[[nodiscard]] std::map<std::string, std::string> environment_with_prefix(std::string_view prefix);

/// The values of all sources in the order in which they apply. The variable of the key
/// "limits.max_body_bytes" is the prefix followed by LIMITS_MAX_BODY_BYTES.
[[nodiscard]] result<std::vector<yaml_value>> collect_values(const settings_sources& sources,
                                                             const std::vector<std::string>& keys,
                                                             std::string_view prefix);

} // namespace carobfall
