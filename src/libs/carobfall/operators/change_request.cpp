#include "carobfall/operators/change_request.h"

#include "carobfall/base/ids.h"
#include "carobfall/base/strict_json.h"
#include "carobfall/base/strings.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>

namespace carobfall {
namespace {

using json = nlohmann::json;

constexpr std::array option_keys{"change_id", "dry_run", "expected_version"};

bool is_option(const std::string& key)
{
    return std::find(option_keys.begin(), option_keys.end(), key) != option_keys.end();
}

auto invalid(std::string message, std::string remedy)
{
    return failure(error_kind::invalid_request, std::move(message), std::move(remedy));
}

result<std::string> checked_change_id(std::string given)
{
    if (!is_valid_name(given)) {
        return invalid("change_id is not valid", "use 1 to 128 characters of A-Z a-z 0-9 . _ -");
    }
    return given;
}

result<std::vector<std::string>> keys_to_remove(const json& given)
{
    std::vector<std::string> keys;
    for (const json& key : given) {
        if (!key.is_string()) {
            return invalid("remove has an element that is not a string",
                           "send keys as GET /v1/configuration lists them");
        }
        keys.push_back(key.get<std::string>());
    }
    return keys;
}

} // namespace

result<change_options> options_from_query(const httplib::Request& request)
{
    change_options options{.change_id = random_id()};
    for (const auto& [key, value] : request.params) {
        if (!is_option(key) || request.get_param_value_count(key) != 1) {
            return invalid("the query has an unknown or repeated key",
                           "use change_id, expected_version and dry_run, each once");
        }
        if (key == "change_id") {
            BOOST_OUTCOME_TRY(options.change_id, checked_change_id(value));
        } else if (key == "dry_run") {
            if (value != "true" && value != "false") {
                return invalid("dry_run is not true or false", "send dry_run=true or leave it out");
            }
            options.dry_run = value == "true";
        } else if (std::uint64_t version = 0; absl::SimpleAtoi(value, &version)) {
            options.expected_version = version;
        } else {
            return invalid("expected_version is not a number", "send a configuration version");
        }
    }
    return options;
}

result<apply_request> decode_apply(std::string_view text)
{
    BOOST_OUTCOME_TRY(const json body, parse_strict_json(text));
    if (!body.is_object() || !body.contains("yaml") || !body["yaml"].is_string()) {
        return invalid("the body is not an object with a string yaml", "send {\"yaml\": \"...\"}");
    }
    apply_request request{body["yaml"].get<std::string>(), {.change_id = random_id()}};
    for (const auto& [key, value] : body.items()) {
        if (key == "change_id" && value.is_string()) {
            BOOST_OUTCOME_TRY(request.options.change_id,
                              checked_change_id(value.get<std::string>()));
        } else if (key == "dry_run" && value.is_boolean()) {
            request.options.dry_run = value.get<bool>();
        } else if (key == "expected_version" && value.is_number_unsigned()) {
            request.options.expected_version = value.get<std::uint64_t>();
        } else if (key == "remove" && value.is_array()) {
            BOOST_OUTCOME_TRY(request.options.remove, keys_to_remove(value));
        } else if (key != "yaml") {
            return invalid("the body has an unknown key or a value of the wrong type",
                           "send yaml and change_id as strings, remove as an array of keys, "
                           "dry_run as true or false and expected_version as a number");
        }
    }
    return request;
}

} // namespace carobfall
