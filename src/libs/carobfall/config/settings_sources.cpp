#include "carobfall/config/settings_sources.h"

#include "carobfall/base/strings.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace carobfall {
namespace {

std::string variable_of(const std::string& key, std::string_view prefix)
{
    return absl::StrCat(to_absl(prefix),
                        absl::AsciiStrToUpper(absl::StrReplaceAll(key, {{".", "_"}})));
}

result<void> add_file(std::vector<yaml_value>& values, const settings_sources& sources,
                      const std::vector<std::string>& keys)
{
    BOOST_OUTCOME_TRY(const std::vector<YAML::Node> documents,
                      parse_yaml(sources.text, sources.source));
    if (documents.size() > 1) {
        return failure(error_kind::invalid_request,
                       position_of(documents[1], sources.source) +
                           ": the file has a second document",
                       "keep one document in a settings file");
    }
    if (!documents.empty()) {
        BOOST_OUTCOME_TRY(values, flatten_yaml(documents.front(), keys, sources.source));
    }
    return success();
}

result<void> add_environment(std::vector<yaml_value>& values, const settings_sources& sources,
                             const std::vector<std::string>& keys, std::string_view prefix)
{
    for (const auto& entry : sources.environment) {
        const std::string& variable = entry.first;
        const auto key = std::find_if(keys.begin(), keys.end(), [&](const std::string& candidate) {
            return variable_of(candidate, prefix) == variable;
        });
        if (key == keys.end()) {
            return failure(error_kind::invalid_request,
                           absl::StrCat("unknown environment variable ", variable),
                           absl::StrCat("unset it; the settings are ", absl::StrJoin(keys, ", ")));
        }
        values.push_back({*key, YAML::Node(entry.second), variable});
    }
    return success();
}

result<void> add_overrides(std::vector<yaml_value>& values, const settings_sources& sources,
                           const std::vector<std::string>& keys)
{
    for (const std::string& text : sources.overrides) {
        const std::size_t equals = text.find('=');
        const std::string key = text.substr(0, equals);
        if (equals == std::string::npos || std::find(keys.begin(), keys.end(), key) == keys.end()) {
            return failure(
                error_kind::invalid_request, absl::StrCat("--set ", key, " is not a setting"),
                absl::StrCat("use --set key=value with a key of ", absl::StrJoin(keys, ", ")));
        }
        values.push_back({key, YAML::Node(text.substr(equals + 1)), absl::StrCat("--set ", key)});
    }
    return success();
}

} // namespace

result<settings_sources> read_settings_file(const std::string& path)
{
    settings_sources sources;
    if (path.empty()) {
        return sources;
    }
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return failure(error_kind::not_found, "the settings file " + path + " can't be read",
                       "check the path and the permissions");
    }
    sources.text = text.str();
    sources.source = path;
    return sources;
}

std::map<std::string, std::string> environment_with_prefix(std::string_view prefix)
{
    std::map<std::string, std::string> variables;
    for (char** entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
        const std::string_view text(*entry);
        const std::size_t equals = text.find('=');
        if (text.starts_with(prefix) && equals != std::string_view::npos) {
            variables.emplace(text.substr(0, equals), text.substr(equals + 1));
        }
    }
    return variables;
}

result<std::vector<yaml_value>> collect_values(const settings_sources& sources,
                                               const std::vector<std::string>& keys,
                                               std::string_view prefix)
{
    std::vector<yaml_value> values;
    BOOST_OUTCOME_TRY(add_file(values, sources, keys));
    BOOST_OUTCOME_TRY(add_environment(values, sources, keys, prefix));
    BOOST_OUTCOME_TRY(add_overrides(values, sources, keys));
    return values;
}

} // namespace carobfall
