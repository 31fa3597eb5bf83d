#pragma once

#include "carobfall/operators/operator_service.h"

#include <nlohmann/json.hpp>

#include <string>

namespace carobfall {

/// Returns the YAML text with the values of all `token` keys redacted; empty if it isn't YAML.
[[nodiscard]] std::string without_tokens(const std::string& yaml);

/// JSON as in docs/api.md. Tokens are removed from all YAML.
[[nodiscard]] nlohmann::json to_json(const declared_row& row);
[[nodiscard]] nlohmann::json to_json(const change_report& report, bool dry_run);
[[nodiscard]] nlohmann::json to_json(const data_centre_status& status);
[[nodiscard]] nlohmann::json to_json(const backend_status& status);

/// Converts each item to JSON and returns the array.
template <typename T>
[[nodiscard]] nlohmann::json to_json_array(const std::vector<T>& items)
{
    nlohmann::json array = nlohmann::json::array();
    for (const T& item : items) {
        array.push_back(to_json(item));
    }
    return array;
}

} // namespace carobfall
