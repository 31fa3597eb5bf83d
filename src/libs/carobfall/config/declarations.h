#pragma once

#include "carobfall/config/configuration.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <variant>

namespace carobfall {

/// Content of one YAML document of an operator: `kind: client_account` or `kind: template`.
using declaration = std::variant<client_account, dispatch_template>;

/// Parses the documents of a file. Errors: `invalid_request` with line, key and remedy for invalid
/// values, unknown or missing keys, and two documents with the same `key_of`.
[[nodiscard]] result<std::vector<declaration>> parse_declarations(std::string_view text,
                                                                  std::string_view source);

/// Canonical YAML text of one document: every key, in a fixed order, without comments.
/// `parse_declarations` reads it back. A client account's text includes its token.
[[nodiscard]] std::string to_yaml(const declaration& value);

/// Key of the configuration row: "account/<client account>" or "template/<client account>/<name>".
[[nodiscard]] std::string key_of(const declaration& value);

/// Change that sets the row of the declaration, without version and change id.
[[nodiscard]] rpc::configuration_change to_change(const declaration& value);

} // namespace carobfall
