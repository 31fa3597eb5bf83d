#pragma once

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>

namespace carobfall::tool {

/// Prints the explanation of an entry (docs/design/where.md) as text. Missing fields and
/// fields of other types are printed as "-".
void print_placement(const std::string& address, const nlohmann::json& document, std::ostream& out);

} // namespace carobfall::tool
