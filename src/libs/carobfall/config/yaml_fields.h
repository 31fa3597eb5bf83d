#pragma once

#include "carobfall/base/ids.h"
#include "carobfall/config/ip_endpoint.h"
#include "carobfall/config/yaml_schema.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace carobfall {

/// Value of a YAML node; nullopt if the node has another type.
[[nodiscard]] std::optional<std::uint64_t> read_unsigned(const YAML::Node& node);
[[nodiscard]] std::optional<double> read_number(const YAML::Node& node);
[[nodiscard]] std::optional<bool> read_bool(const YAML::Node& node);
[[nodiscard]] std::optional<absl::Duration> read_duration(const YAML::Node& node);
[[nodiscard]] std::optional<std::string> read_string(const YAML::Node& node);
/// Value of a sequence of strings, or of one comma-separated string as in environment variables.
[[nodiscard]] std::optional<std::vector<std::string>> read_string_list(const YAML::Node& node);

/// Returns the member of a `T` that a field reads and writes.
template <typename T, typename V>
using member_access = std::function<V&(T&)>;

template <typename T, typename V>
const V& read_member(const member_access<T, V>& access, const T& source)
{
    return access(const_cast<T&>(source)); // NOLINT(cppcoreguidelines-pro-type-const-cast)
}

/// A whole number from `minimum` to `maximum`.
template <typename T, typename V>
yaml_field<T> integer_field(std::string key, member_access<T, V> access, std::uint64_t minimum,
                            std::uint64_t maximum)
{
    return {std::move(key),
            "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum),
            [=](T& target, const YAML::Node& node) {
                const std::optional<std::uint64_t> value = read_unsigned(node);
                if (!value || *value < minimum || *value > maximum) {
                    return false;
                }
                access(target) = static_cast<V>(*value);
                return true;
            },
            [=](const T& source) { return read_member(access, source); }};
}

/// A number from `minimum` to `maximum`.
template <typename T>
yaml_field<T> number_field(std::string key, member_access<T, double> access, double minimum,
                           double maximum)
{
    return {std::move(key),
            "a number from " + nlohmann::json(minimum).dump() + " to " +
                nlohmann::json(maximum).dump(),
            [=](T& target, const YAML::Node& node) {
                const std::optional<double> value = read_number(node);
                if (!value || *value < minimum || *value > maximum) {
                    return false;
                }
                access(target) = *value;
                return true;
            },
            [=](const T& source) -> nlohmann::ordered_json {
                const double value = read_member(access, source);
                const auto whole = static_cast<std::int64_t>(value);
                if (static_cast<double>(whole) == value) {
                    return whole;
                }
                return value;
            }};
}

template <typename T>
yaml_field<T> bool_field(std::string key, member_access<T, bool> access)
{
    return {std::move(key), "true or false",
            [=](T& target, const YAML::Node& node) {
                const std::optional<bool> value = read_bool(node);
                access(target) = value.value_or(false);
                return value.has_value();
            },
            [=](const T& source) { return read_member(access, source); }};
}

/// A duration with its unit, from `minimum` to `maximum`.
template <typename T>
yaml_field<T> duration_field(std::string key, member_access<T, absl::Duration> access,
                             absl::Duration minimum, absl::Duration maximum)
{
    return {std::move(key),
            "a duration from " + absl::FormatDuration(minimum) + " to " +
                absl::FormatDuration(maximum) + ", for example 250ms or 2s",
            [=](T& target, const YAML::Node& node) {
                const std::optional<absl::Duration> value = read_duration(node);
                if (!value || *value < minimum || *value > maximum) {
                    return false;
                }
                access(target) = *value;
                return true;
            },
            [=](const T& source) { return absl::FormatDuration(read_member(access, source)); }};
}

/// A string for which `is_valid` holds.
template <typename T>
yaml_field<T> string_field(std::string key, member_access<T, std::string> access,
                           std::function<bool(std::string_view)> is_valid, std::string expected)
{
    return {std::move(key), std::move(expected),
            [=](T& target, const YAML::Node& node) {
                std::optional<std::string> value = read_string(node);
                if (!value || !is_valid(*value)) {
                    return false;
                }
                access(target) = std::move(*value);
                return true;
            },
            [=](const T& source) { return read_member(access, source); }};
}

/// A list of different strings for each of which `is_valid` holds.
template <typename T>
yaml_field<T> string_list_field(std::string key, member_access<T, std::vector<std::string>> access,
                                std::function<bool(std::string_view)> is_valid,
                                std::string expected)
{
    return {std::move(key), std::move(expected),
            [=](T& target, const YAML::Node& node) {
                std::optional<std::vector<std::string>> values = read_string_list(node);
                if (!values || std::set(values->begin(), values->end()).size() != values->size()) {
                    return false;
                }
                for (const std::string& value : *values) {
                    if (!is_valid(value)) {
                        return false;
                    }
                }
                access(target) = std::move(*values);
                return true;
            },
            [=](const T& source) { return read_member(access, source); }};
}

/// A name that `is_valid_name` accepts.
template <typename T>
yaml_field<T> name_field(std::string key, member_access<T, std::string> access)
{
    return string_field<T>(std::move(key), std::move(access), is_valid_name,
                           "a name of 1 to 128 letters, digits, dots, hyphens or underscores that "
                           "doesn't begin with a dot");
}

/// An address that other processes connect to, or that is bound and announced to them.
template <typename T>
yaml_field<T> endpoint_field(std::string key, member_access<T, std::string> access)
{
    return string_field<T>(std::move(key), std::move(access), is_ip_endpoint,
                           "an address as ip:port, for example 10.0.0.1:7000; host names and the "
                           "unspecified address are not accepted");
}

template <typename T>
yaml_field<T> required(yaml_field<T> field)
{
    field.required = true;
    return field;
}

template <typename T>
yaml_field<T> secret(yaml_field<T> field)
{
    field.secret = true;
    return field;
}

/// Refuses an empty list.
template <typename T>
yaml_field<T> nonempty(yaml_field<T> field)
{
    field.read = [read = std::move(field.read)](T& target, const YAML::Node& node) {
        return !read_string_list(node).value_or(std::vector<std::string>()).empty() &&
               read(target, node);
    };
    return field;
}

} // namespace carobfall
