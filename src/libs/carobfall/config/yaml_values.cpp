#include "carobfall/config/yaml_values.h"

#include "carobfall/base/strings.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace carobfall {
namespace {

using nlohmann::ordered_json;

constexpr std::size_t indent_width = 2;
/// Tag that yaml-cpp gives to quoted scalars.
constexpr std::string_view quoted_tag = "!";

bool is_section(const std::vector<std::string>& keys, const std::string& path)
{
    const std::string prefix = path + ".";
    return std::any_of(keys.begin(), keys.end(),
                       [&](const std::string& key) { return key.starts_with(prefix); });
}

std::string known_members(const std::vector<std::string>& keys, const std::string& prefix)
{
    std::vector<std::string> members;
    for (const std::string& key : keys) {
        if (!key.starts_with(prefix)) {
            continue;
        }
        std::string member = key.substr(prefix.size());
        member.erase(std::min(member.find('.'), member.size()));
        if (members.empty() || members.back() != member) {
            members.push_back(std::move(member));
        }
    }
    return absl::StrJoin(members, ", ");
}

class flattener {
public:
    flattener(const std::vector<std::string>& keys, std::string_view source)
        : keys_(keys), source_(source)
    {}

    result<void> visit(const YAML::Node& mapping, const std::string& prefix)
    {
        if (!mapping.IsMap()) {
            return failure(error_kind::invalid_request,
                           absl::StrCat(position_of(mapping, source_), ": ", name_of(prefix),
                                        " is not a mapping"),
                           absl::StrCat("write `key: value` lines with the keys ",
                                        known_members(keys_, prefix)));
        }
        std::set<std::string> seen;
        for (const auto& member : mapping) {
            const std::string path = prefix + member.first.as<std::string>("");
            if (!seen.insert(path).second) {
                return failure(error_kind::invalid_request,
                               absl::StrCat(position_of(member.first, source_), ": the key ", path,
                                            " is repeated"),
                               "keep one of the two");
            }
            BOOST_OUTCOME_TRY(visit_member(member.first, member.second, path, prefix));
        }
        return success();
    }

    std::vector<yaml_value> take() { return std::move(values_); }

private:
    static std::string name_of(const std::string& prefix)
    {
        return prefix.empty() ? "the document" : prefix.substr(0, prefix.size() - 1);
    }

    result<void> visit_member(const YAML::Node& key, const YAML::Node& value,
                              const std::string& path, const std::string& prefix)
    {
        if (std::find(keys_.begin(), keys_.end(), path) != keys_.end()) {
            values_.push_back({path, value, position_of(key, source_)});
            return success();
        }
        if (is_section(keys_, path)) {
            return visit(value, path + ".");
        }
        return failure(error_kind::invalid_request,
                       absl::StrCat(position_of(key, source_), ": unknown key ", path),
                       absl::StrCat("use one of ", known_members(keys_, prefix)));
    }

    const std::vector<std::string>& keys_;
    std::string_view source_;
    std::vector<yaml_value> values_;
};

/// yaml-cpp reads a number with a leading zero as octal, which would change its value.
bool has_leading_zero(std::string_view text)
{
    text.remove_prefix(text.starts_with('-') || text.starts_with('+') ? 1 : 0);
    return text.size() > 1 && text[0] == '0' &&
           absl::ascii_isdigit(static_cast<unsigned char>(text[1]));
}

/// Value of a plain scalar by YAML's core schema. `yes`, `no` and the like are strings.
ordered_json plain_scalar(const std::string& text)
{
    const YAML::Node node(text);
    std::int64_t integer = 0;
    std::uint64_t large = 0;
    double number = 0;
    if (text == "true" || text == "false") {
        return text == "true";
    }
    if (has_leading_zero(text)) {
        return text;
    }
    if (YAML::convert<std::int64_t>::decode(node, integer)) {
        return integer;
    }
    if (YAML::convert<std::uint64_t>::decode(node, large)) {
        return large;
    }
    if (YAML::convert<double>::decode(node, number) && std::isfinite(number)) {
        return number;
    }
    return text;
}

class json_builder {
public:
    std::optional<ordered_json> build(const YAML::Node& node)
    {
        ordered_json value = convert(node);
        return valid_ ? std::optional(std::move(value)) : std::nullopt;
    }

private:
    static constexpr std::size_t max_values = 10'000;

    ordered_json convert(const YAML::Node& node)
    {
        valid_ = valid_ && ++values_ <= max_values;
        if (!valid_ || node.IsNull() || !node.IsDefined()) {
            return nullptr;
        }
        if (node.IsScalar()) {
            return node.Tag() == quoted_tag ? ordered_json(node.Scalar())
                                            : plain_scalar(node.Scalar());
        }
        return node.IsMap() ? convert_mapping(node) : convert_sequence(node);
    }

    ordered_json convert_mapping(const YAML::Node& node)
    {
        ordered_json object = ordered_json::object();
        for (const auto& member : node) {
            const std::string key = member.first.IsScalar() ? member.first.Scalar() : "";
            valid_ = valid_ && !object.contains(key);
            object[key] = convert(member.second);
        }
        return object;
    }

    ordered_json convert_sequence(const YAML::Node& node)
    {
        ordered_json array = ordered_json::array();
        for (const YAML::Node& item : node) {
            array.push_back(convert(item));
        }
        return array;
    }

    std::size_t values_{0};
    bool valid_{true};
};

bool is_plain_text(const std::string& text)
{
    const bool safe = !text.empty() && absl::ascii_isalpha(static_cast<unsigned char>(text[0])) &&
                      std::all_of(text.begin(), text.end(), [](unsigned char character) {
                          return absl::ascii_isalnum(character) || character == '_' ||
                                 character == '-' || character == '.' || character == '/';
                      });
    // Other YAML parsers read words such as `yes` and `null` as values of another type.
    bool boolean = false;
    return safe && !YAML::convert<bool>::decode(YAML::Node(text), boolean) &&
           !absl::EqualsIgnoreCase(text, "null") && plain_scalar(text) == ordered_json(text);
}

std::string scalar_text(const ordered_json& value)
{
    if (value.is_string() && is_plain_text(value.get_ref<const std::string&>())) {
        return value.get<std::string>();
    }
    return value.dump();
}

std::string inline_text(const ordered_json& value)
{
    if (!value.is_array()) {
        return scalar_text(value);
    }
    std::vector<std::string> items;
    for (const ordered_json& item : value) {
        items.push_back(inline_text(item));
    }
    return absl::StrCat("[", absl::StrJoin(items, ", "), "]");
}

void append_members(std::string& text, const ordered_json& object, std::size_t indent)
{
    for (const auto& [key, value] : object.items()) {
        absl::StrAppend(&text, std::string(indent, ' '), scalar_text(key), ":");
        if (value.is_object() && !value.empty()) {
            text += '\n';
            append_members(text, value, indent + indent_width);
        } else {
            absl::StrAppend(&text, " ", inline_text(value), "\n");
        }
    }
}

} // namespace

result<std::vector<YAML::Node>> parse_yaml(std::string_view text, std::string_view source)
{
    std::vector<YAML::Node> documents;
    try {
        for (const YAML::Node& node : YAML::LoadAll(std::string(text))) {
            if (!node.IsNull()) {
                documents.push_back(node);
            }
        }
    } catch (const YAML::Exception& exception) {
        return failure(error_kind::invalid_request,
                       absl::StrCat(to_absl(source), ":", exception.mark.line + 1,
                                    ": not valid YAML: ", exception.msg),
                       "correct the syntax at this line");
    }
    return documents;
}

std::string position_of(const YAML::Node& node, std::string_view source)
{
    const int line = node.Mark().line;
    return line < 0 ? std::string(source) : absl::StrCat(to_absl(source), ":", line + 1);
}

result<std::vector<yaml_value>> flatten_yaml(const YAML::Node& document,
                                             const std::vector<std::string>& keys,
                                             std::string_view source)
{
    flattener visitor(keys, source);
    BOOST_OUTCOME_TRY(visitor.visit(document, ""));
    return visitor.take();
}

std::string to_yaml_text(const ordered_json& object)
{
    std::string text;
    append_members(text, object, 0);
    return text;
}

std::optional<ordered_json> to_json(const YAML::Node& node)
{
    return json_builder().build(node);
}

} // namespace carobfall
