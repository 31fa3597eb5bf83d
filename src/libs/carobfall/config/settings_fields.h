#pragma once

#include "carobfall/config/settings_sources.h"
#include "carobfall/config/yaml_fields.h"

namespace carobfall {

/// Range of the intervals between heartbeats or polls. Start leases and the confirmation of the
/// configuration last 2 s and would expire with a longer interval.
inline constexpr absl::Duration min_interval = absl::Milliseconds(10);
inline constexpr absl::Duration max_interval = absl::Seconds(1);

template <typename T>
using field_list = std::vector<yaml_field<T>>;

template <typename T>
field_list<T> joined(std::initializer_list<field_list<T>> groups)
{
    field_list<T> all;
    for (const field_list<T>& group : groups) {
        all.insert(all.end(), group.begin(), group.end());
    }
    return all;
}

template <typename T>
yaml_field<T> required_name(std::string key, std::string T::*member)
{
    return required(name_field<T>(
        std::move(key), [member](T & target) -> auto& { return target.*member; }));
}

template <typename T>
yaml_field<T> required_endpoint(std::string key, std::string T::*member)
{
    return required(endpoint_field<T>(
        std::move(key), [member](T & target) -> auto& { return target.*member; }));
}

/// The settings of every program: its name and location, and the addresses that it binds.
template <typename T>
field_list<T> common_fields()
{
    return {
        required_name("name", &T::name),
        required_name("region", &T::region),
        required_name("data_centre", &T::data_centre),
        required_endpoint("rpc_address", &T::rpc_address),
        required_endpoint("operator_address", &T::operator_address),
    };
}

template <typename T>
result<T> load_settings(const yaml_schema<T>& schema, const settings_sources& sources,
                        std::string_view variable_prefix)
{
    BOOST_OUTCOME_TRY(const std::vector<yaml_value> values,
                      collect_values(sources, schema.keys(), variable_prefix));
    return schema.read(values, sources.source);
}

} // namespace carobfall
