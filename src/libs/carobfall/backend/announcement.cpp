#include "carobfall/backend/announcement.h"

#include "carobfall/base/ids.h"
#include "carobfall/base/strings.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <initializer_list>
#include <limits>

namespace carobfall {
namespace {

using nlohmann::json;

constexpr std::uint64_t max_memory_mib = std::uint64_t{1} << 30U;
constexpr std::uint64_t max_processors = 65'536;
constexpr std::uint64_t max_accelerators = 1'024;

auto invalid(std::string message, std::string remedy)
{
    return failure(error_kind::invalid_request, std::move(message), std::move(remedy));
}

result<json> parse_object(std::string_view body, std::initializer_list<std::string_view> members)
{
    json document = json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return invalid("the body is not a JSON object", "send a JSON object in UTF-8");
    }
    for (const auto& [member, value] : document.items()) {
        if (std::find(members.begin(), members.end(), member) == members.end()) {
            return invalid(absl::StrCat("unknown member '", member, "'"),
                           "remove it or correct its spelling");
        }
    }
    return document;
}

result<std::string> name_in(const json& document)
{
    const auto member = document.find("name");
    if (member == document.end() || !member->is_string() ||
        !is_valid_name(member->get_ref<const std::string&>())) {
        return invalid("'name' is missing or malformed",
                       absl::StrCat("give 1 to ", max_name_bytes,
                                    " characters of letters, digits, '.', '_' and '-'"));
    }
    return member->get<std::string>();
}

result<std::uint64_t> number_in(const json& document, const char* name, std::uint64_t least,
                                std::uint64_t most)
{
    const auto member = document.find(name);
    if (member == document.end() && least == 0) {
        return std::uint64_t{0};
    }
    if (member == document.end() || !member->is_number_unsigned() ||
        member->get<std::uint64_t>() < least || member->get<std::uint64_t>() > most) {
        return invalid(absl::StrCat("'", name, "' is missing or out of bounds"),
                       absl::StrCat("give a whole number from ", least, " to ", most));
    }
    return member->get<std::uint64_t>();
}

} // namespace

result<announcement> parse_announcement(std::string_view body)
{
    BOOST_OUTCOME_TRY(
        const json document,
        parse_object(body, {"name", "port", "slots", "processors", "memory_mib", "accelerators"}));
    BOOST_OUTCOME_TRY(const std::string name, name_in(document));
    BOOST_OUTCOME_TRY(const auto port,
                      number_in(document, "port", 1, std::numeric_limits<std::uint16_t>::max()));
    BOOST_OUTCOME_TRY(const auto slots, number_in(document, "slots", 1, max_backend_slots));
    BOOST_OUTCOME_TRY(const auto processors, number_in(document, "processors", 0, max_processors));
    BOOST_OUTCOME_TRY(const auto memory, number_in(document, "memory_mib", 0, max_memory_mib));
    BOOST_OUTCOME_TRY(const auto accelerators,
                      number_in(document, "accelerators", 0, max_accelerators));
    announcement parsed;
    parsed.port = static_cast<std::uint16_t>(port);
    parsed.info.set_name(name);
    parsed.info.set_slots(static_cast<std::uint32_t>(slots));
    parsed.info.set_processors(static_cast<std::uint32_t>(processors));
    parsed.info.set_memory_mib(memory);
    parsed.info.set_accelerators(static_cast<std::uint32_t>(accelerators));
    return parsed;
}

result<std::string> parse_leave(std::string_view body)
{
    BOOST_OUTCOME_TRY(const json document, parse_object(body, {"name"}));
    return name_in(document);
}

} // namespace carobfall
