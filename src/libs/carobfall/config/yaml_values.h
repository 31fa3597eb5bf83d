#pragma once

#include "carobfall/base/error.h"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobfall {

/// One value of a YAML document or of an override.
struct yaml_value {
    std::string key; ///< dotted path, for example "limits.max_body_bytes"
    YAML::Node node;
    std::string where; ///< "file:line", or the name of the environment variable or flag
};

/// All documents of the text, without empty ones. Errors: `invalid_request` with the line.
[[nodiscard]] result<std::vector<YAML::Node>> parse_yaml(std::string_view text,
                                                         std::string_view source);

/// "file:line" of a node.
[[nodiscard]] std::string position_of(const YAML::Node& node, std::string_view source);

/// The values of a document by dotted path. `keys` are the paths that the document may have.
/// Errors: `invalid_request` for an unknown or repeated key, or for a scalar in place of a mapping.
[[nodiscard]] result<std::vector<yaml_value>> flatten_yaml(const YAML::Node& document,
                                                           const std::vector<std::string>& keys,
                                                           std::string_view source);

/// Block-style YAML text of a JSON object, with the members in their order. Equal objects give
/// equal text.
[[nodiscard]] std::string to_yaml_text(const nlohmann::ordered_json& object);

/// JSON value of a node: quoted scalars are strings, plain ones have the type of YAML's core
/// schema. Nullopt if a mapping repeats a key, or if there are more than 10,000 values, to which
/// a short text with aliases can expand.
[[nodiscard]] std::optional<nlohmann::ordered_json> to_json(const YAML::Node& node);

} // namespace carobfall
