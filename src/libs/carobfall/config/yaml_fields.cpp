#include "carobfall/config/yaml_fields.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <cmath>

namespace carobfall {

std::optional<std::uint64_t> read_unsigned(const YAML::Node& node)
{
    std::uint64_t value = 0;
    // SimpleAtoi reads decimal digits only; yaml-cpp would read a leading zero as octal.
    if (!node.IsScalar() || node.Scalar().starts_with('-') ||
        !absl::SimpleAtoi(node.Scalar(), &value)) {
        return std::nullopt;
    }
    return value;
}

std::optional<double> read_number(const YAML::Node& node)
{
    double value = 0;
    if (!node.IsScalar() || !absl::SimpleAtod(node.Scalar(), &value) || !std::isfinite(value)) {
        return std::nullopt;
    }
    return value;
}

std::optional<bool> read_bool(const YAML::Node& node)
{
    if (!node.IsScalar() || (node.Scalar() != "true" && node.Scalar() != "false")) {
        return std::nullopt;
    }
    return node.Scalar() == "true";
}

std::optional<absl::Duration> read_duration(const YAML::Node& node)
{
    absl::Duration value;
    if (!node.IsScalar() || !absl::ParseDuration(node.Scalar(), &value)) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::string> read_string(const YAML::Node& node)
{
    return node.IsScalar() ? std::optional(node.Scalar()) : std::nullopt;
}

std::optional<std::vector<std::string>> read_string_list(const YAML::Node& node)
{
    std::vector<std::string> strings;
    if (node.IsScalar()) {
        for (const auto item : absl::StrSplit(node.Scalar(), ',', absl::SkipWhitespace())) {
            strings.emplace_back(absl::StripAsciiWhitespace(item));
        }
        return strings;
    }
    if (!node.IsSequence()) {
        return std::nullopt;
    }
    for (const YAML::Node& item : node) {
        if (!item.IsScalar()) {
            return std::nullopt;
        }
        strings.push_back(item.Scalar());
    }
    return strings;
}

} // namespace carobfall
