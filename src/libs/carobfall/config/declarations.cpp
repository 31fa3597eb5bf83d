#include "carobfall/config/declarations.h"

#include "carobfall/base/digest.h"
#include "carobfall/base/strings.h"
#include "carobfall/config/deadline_bound.h"
#include "carobfall/config/yaml_fields.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cctype>
#include <set>
#include <type_traits>

namespace carobfall {
namespace {

using account = client_account;
using tmpl = dispatch_template;
using nlohmann::ordered_json;

constexpr std::size_t min_token_bytes = 16;
constexpr std::size_t max_token_bytes = 256;
constexpr std::size_t max_path_bytes = 256;
constexpr std::size_t max_parameter_bytes = 64ULL << 10U;
constexpr std::uint64_t max_message_bytes = 16ULL << 20U;
constexpr std::uint64_t max_count = 1'000'000;
constexpr std::uint64_t max_processors = 4096;
constexpr std::uint64_t max_memory_mib = 64ULL << 20U;

constexpr std::string_view account_kind = "client_account";
constexpr std::string_view template_kind = "template";

/// The characters that a bearer token may have in an HTTP header (RFC 6750).
bool is_token(std::string_view text)
{
    return text.size() >= min_token_bytes && text.size() <= max_token_bytes &&
           std::all_of(text.begin(), text.end(), [](unsigned char character) {
               return std::isalnum(character) != 0 ||
                      std::string_view("-._~+/=").find(static_cast<char>(character)) !=
                          std::string_view::npos;
           });
}

bool is_token_digest(std::string_view text)
{
    return text.starts_with(token_digest_prefix) &&
           text.size() == token_digest_prefix.size() + sha256_hex_length &&
           std::all_of(text.begin() + token_digest_prefix.size(), text.end(), [](char character) {
               return (character >= '0' && character <= '9') ||
                      (character >= 'a' && character <= 'f');
           });
}

bool is_token_or_digest(std::string_view text)
{
    return is_token(text) || is_token_digest(text);
}

bool is_request_path(std::string_view text)
{
    return text.starts_with('/') && text.size() <= max_path_bytes &&
           std::all_of(text.begin(), text.end(), [](unsigned char character) {
               return std::isgraph(character) != 0 && character != '#' && character != '?';
           });
}

/// Accepts any value, as `read_declaration` has checked the kind before.
template <typename T>
yaml_field<T> kind_field(std::string_view kind)
{
    return {"kind", std::string(kind), [](T&, const YAML::Node&) { return true; },
            [kind](const T&) { return kind; }};
}

bool read_parameters(tmpl& target, const YAML::Node& node)
{
    const std::optional<ordered_json> value = to_json(node);
    if (!node.IsMap() || !value) {
        return false;
    }
    try {
        // nlohmann::json sorts the keys, so that equal parameters give equal text.
        target.parameters_json = nlohmann::json(*value).dump();
    } catch (const nlohmann::json::type_error&) { // not valid UTF-8
        return false;
    }
    return target.parameters_json.size() <= max_parameter_bytes;
}

yaml_field<tmpl> parameters_field()
{
    return {"parameters", "a mapping without repeated keys of at most 64 KiB in UTF-8",
            read_parameters,
            [](const tmpl& source) { return ordered_json::parse(source.parameters_json); }};
}

std::vector<yaml_field<account>> account_fields()
{
    return {
        kind_field<account>(account_kind),
        required(name_field<account>(
            "name", [](account & a) -> auto& { return a.name; })),
        required(secret(string_field<account>(
            "token", [](account & a) -> auto& { return a.token; }, is_token_or_digest,
            "a token of 16 to 256 letters, digits and -._~+/=, or sha256: and the 64 lower-case "
            "hexadecimal digits of its digest"))),
        integer_field<account, std::uint32_t>(
            "limits.concurrent_tasks",
            [](account & a) -> auto& { return a.limits.concurrent_tasks; }, 0, max_count),
        number_field<account>(
            "limits.starts_per_second",
            [](account & a) -> auto& { return a.limits.starts_per_second; }, 0, max_count),
        integer_field<account, std::uint32_t>(
            "limits.queued_tasks", [](account & a) -> auto& { return a.limits.queued_tasks; }, 0,
            max_count),
        number_field<account>(
            "limits.weight", [](account & a) -> auto& { return a.limits.weight; }, 0.01, 1000),
    };
}

std::vector<yaml_field<tmpl>> request_fields()
{
    return {
        kind_field<tmpl>(template_kind),
        required(name_field<tmpl>(
            "client_account", [](tmpl & t) -> auto& { return t.client_account; })),
        required(name_field<tmpl>(
            "name", [](tmpl & t) -> auto& { return t.name; })),
        string_field<tmpl>(
            "request_path", [](tmpl & t) -> auto& { return t.request_path; }, is_request_path,
            "a path that begins with / and has neither spaces nor a query"),
        parameters_field(),
        string_list_field<tmpl>(
            "required_parameters", [](tmpl & t) -> auto& { return t.required_parameters; },
            is_valid_name, "a list of different parameter names"),
        bool_field<tmpl>(
            "idempotent", [](tmpl & t) -> auto& { return t.idempotent; }),
        bool_field<tmpl>(
            "rerun_lost", [](tmpl & t) -> auto& { return t.rerun_lost; }),
    };
}

std::vector<yaml_field<tmpl>> limit_fields()
{
    return {
        integer_field<tmpl, std::uint32_t>(
            "max_tasks", [](tmpl & t) -> auto& { return t.max_tasks; }, 1,
            max_tasks_per_submission),
        integer_field<tmpl, std::uint32_t>(
            "max_payload_bytes", [](tmpl & t) -> auto& { return t.max_payload_bytes; }, 1,
            max_message_bytes),
        integer_field<tmpl, std::uint32_t>(
            "max_result_bytes", [](tmpl & t) -> auto& { return t.max_result_bytes; }, 1,
            max_message_bytes),
        duration_field<tmpl>(
            "expected_run", [](tmpl & t) -> auto& { return t.expected_run; }, absl::Milliseconds(1),
            max_deadline),
        duration_field<tmpl>(
            "max_deadline", [](tmpl & t) -> auto& { return t.max_deadline; }, absl::Milliseconds(1),
            max_deadline),
        string_list_field<tmpl>(
            "data_centres", [](tmpl & t) -> auto& { return t.data_centres; }, is_valid_name,
            "a list of different data-centre names; an empty list means all"),
        integer_field<tmpl, std::uint32_t>(
            "requirements.processors", [](tmpl & t) -> auto& { return t.requirements.processors; },
            0, max_processors),
        integer_field<tmpl, std::uint64_t>(
            "requirements.memory_mib", [](tmpl & t) -> auto& { return t.requirements.memory_mib; },
            0, max_memory_mib),
        integer_field<tmpl, std::uint32_t>(
            "requirements.accelerators",
            [](tmpl & t) -> auto& { return t.requirements.accelerators; }, 0, max_processors),
    };
}

const yaml_schema<account>& account_schema()
{
    static const yaml_schema<account> instance(account_fields());
    return instance;
}

const yaml_schema<tmpl>& template_schema()
{
    static const yaml_schema<tmpl> instance = [] {
        std::vector<yaml_field<tmpl>> all = request_fields();
        const std::vector<yaml_field<tmpl>> limits = limit_fields();
        all.insert(all.end(), limits.begin(), limits.end());
        return yaml_schema<tmpl>(std::move(all));
    }();
    return instance;
}

std::string position_of_key(const std::vector<yaml_value>& values, std::string_view key)
{
    const auto found = std::find_if(values.begin(), values.end(),
                                    [&](const yaml_value& value) { return value.key == key; });
    return found == values.end() ? std::string() : found->where;
}

/// Rules that concern several keys of a template.
result<void> check_consistency(const tmpl& value, const std::vector<yaml_value>& values,
                               const std::string& where)
{
    if (value.rerun_lost && !value.idempotent) {
        return failure(error_kind::invalid_request,
                       position_of_key(values, "rerun_lost") +
                           ": rerun_lost needs idempotent: true",
                       "set idempotent: true if a second run does no harm, or remove rerun_lost");
    }
    if (value.expected_run > value.max_deadline) {
        return failure(error_kind::invalid_request,
                       where + ": expected_run is longer than max_deadline",
                       "raise max_deadline or lower expected_run; no task could finish in time");
    }
    return success();
}

template <typename T>
result<T> read_document(const yaml_schema<T>& schema, const YAML::Node& document,
                        std::string_view source)
{
    BOOST_OUTCOME_TRY(const std::vector<yaml_value> values,
                      flatten_yaml(document, schema.keys(), source));
    const std::string where = position_of(document, source);
    BOOST_OUTCOME_TRY(T value, schema.read(values, where));
    if constexpr (std::is_same_v<T, tmpl>) {
        BOOST_OUTCOME_TRY(check_consistency(value, values, where));
    }
    return value;
}

result<declaration> read_declaration(const YAML::Node& document, std::string_view source)
{
    const YAML::Node kind = document.IsMap() ? document["kind"] : YAML::Node();
    const std::string name = kind.IsDefined() && kind.IsScalar() ? kind.Scalar() : "";
    if (name == account_kind) {
        BOOST_OUTCOME_TRY(account value, read_document(account_schema(), document, source));
        return declaration(std::move(value));
    }
    if (name == template_kind) {
        BOOST_OUTCOME_TRY(tmpl value, read_document(template_schema(), document, source));
        return declaration(std::move(value));
    }
    return failure(error_kind::invalid_request,
                   absl::StrCat(position_of(document, source), ": the kind \"", name,
                                "\" of the document is not known"),
                   "write `kind: client_account` or `kind: template`");
}

} // namespace

result<std::vector<declaration>> parse_declarations(std::string_view text, std::string_view source)
{
    BOOST_OUTCOME_TRY(const std::vector<YAML::Node> documents, parse_yaml(text, source));
    std::vector<declaration> declarations;
    std::set<std::string> keys;
    for (const YAML::Node& document : documents) {
        BOOST_OUTCOME_TRY(declaration value, read_declaration(document, source));
        if (!keys.insert(key_of(value)).second) {
            return failure(error_kind::invalid_request,
                           absl::StrCat(position_of(document, source), ": ", key_of(value),
                                        " is declared twice"),
                           "keep one of the two documents");
        }
        declarations.push_back(std::move(value));
    }
    return declarations;
}

std::string to_yaml(const declaration& value)
{
    if (const auto* client = std::get_if<account>(&value)) {
        return to_yaml_text(account_schema().write(*client));
    }
    return to_yaml_text(template_schema().write(std::get<tmpl>(value)));
}

std::string key_of(const declaration& value)
{
    if (const auto* client = std::get_if<account>(&value)) {
        return "account/" + client->name;
    }
    const tmpl& target = std::get<tmpl>(value);
    return "template/" + target.client_account + "/" + target.name;
}

rpc::configuration_change to_change(const declaration& value)
{
    rpc::configuration_change change;
    change.set_key(key_of(value));
    change.set_value(to_yaml(value));
    return change;
}

} // namespace carobfall
