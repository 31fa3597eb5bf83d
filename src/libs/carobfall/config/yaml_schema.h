#pragma once

#include "carobfall/config/yaml_values.h"

#include <functional>
#include <set>
#include <utility>

namespace carobfall {

/// One key of a YAML mapping that is read into a `T`.
template <typename T>
struct yaml_field {
    std::string key;      ///< dotted path
    std::string expected; ///< description of a valid value, for the remedy
    std::function<bool(T& target, const YAML::Node& node)> read; ///< false if the value is invalid
    std::function<nlohmann::ordered_json(const T& source)> write;
    bool required{false};
    bool secret{false}; ///< the value is not repeated in messages
};

/// The keys of a YAML mapping; reads a `T` from the mapping and writes it back.
template <typename T>
class yaml_schema {
public:
    explicit yaml_schema(std::vector<yaml_field<T>> fields) : fields_(std::move(fields))
    {
        for (const yaml_field<T>& field : fields_) {
            keys_.push_back(field.key);
        }
    }

    [[nodiscard]] const std::vector<std::string>& keys() const { return keys_; }

    /// Reads the values in their order, so that later ones override earlier ones. `where` is the
    /// position of the mapping, for messages about missing keys.
    [[nodiscard]] result<T> read(const std::vector<yaml_value>& values,
                                 const std::string& where) const
    {
        T target;
        std::set<std::string> present;
        for (const yaml_value& value : values) {
            BOOST_OUTCOME_TRY(read_value(target, value));
            present.insert(value.key);
        }
        for (const yaml_field<T>& field : fields_) {
            if (field.required && present.count(field.key) == 0) {
                return failure(error_kind::invalid_request,
                               where + ": the key " + field.key + " is missing",
                               "add it with " + field.expected);
            }
        }
        return target;
    }

    [[nodiscard]] nlohmann::ordered_json write(const T& source) const
    {
        nlohmann::ordered_json object = nlohmann::ordered_json::object();
        for (const yaml_field<T>& field : fields_) {
            nlohmann::ordered_json* parent = &object;
            std::size_t begin = 0;
            for (std::size_t dot = field.key.find('.'); dot != std::string::npos;
                 dot = field.key.find('.', begin)) {
                parent = &(*parent)[field.key.substr(begin, dot - begin)];
                begin = dot + 1;
            }
            (*parent)[field.key.substr(begin)] = field.write(source);
        }
        return object;
    }

private:
    [[nodiscard]] result<void> read_value(T& target, const yaml_value& value) const
    {
        for (const yaml_field<T>& field : fields_) {
            if (field.key != value.key) {
                continue;
            }
            if (field.read(target, value.node)) {
                return success();
            }
            const bool show = value.node.IsScalar() && !field.secret;
            return failure(error_kind::invalid_request,
                           value.where + ": the value " +
                               (show ? "\"" + value.node.Scalar() + "\" " : "") + "of " +
                               field.key + " is not valid",
                           "use " + field.expected);
        }
        return failure(error_kind::invalid_request, value.where + ": unknown key " + value.key,
                       "remove it");
    }

    std::vector<yaml_field<T>> fields_;
    std::vector<std::string> keys_;
};

} // namespace carobfall
