#include "exit_code.h"

#include <algorithm>

namespace carobfall::tool {
namespace {

bool nothing_ran(const nlohmann::json& document)
{
    const auto tasks = document.find("tasks");
    return tasks != document.end() && tasks->is_array() && !tasks->empty() &&
           std::all_of(tasks->begin(), tasks->end(), [](const nlohmann::json& task) {
               return task.is_object() && task.value("outcome", std::string()) == "not_run";
           });
}

} // namespace

exit_code exit_code_of(error_kind kind)
{
    switch (kind) {
    case error_kind::invalid_request:
    case error_kind::payload_too_large:
        return exit_code::invalid_input;
    case error_kind::outcome_unknown:
    case error_kind::recovering:
    case error_kind::answer_expired:
    case error_kind::internal:
        return exit_code::outcome_unknown;
    case error_kind::task_failed:
    case error_kind::task_lost:
        return exit_code::failed_answer;
    default:
        return exit_code::refused;
    }
}

std::optional<error_kind> error_kind_of(const nlohmann::json& document)
{
    if (!document.is_object() || !document.contains("error") || !document["error"].is_object()) {
        return std::nullopt;
    }
    const nlohmann::json& kind = document["error"].value("kind", nlohmann::json());
    return error_kind_from_name(kind.is_string() ? kind.get<std::string>() : std::string())
        .value_or(error_kind::internal);
}

exit_code exit_code_of(const nlohmann::json& document)
{
    const std::optional<error_kind> kind = error_kind_of(document);
    if (!kind) {
        return exit_code::ok;
    }
    if (!document.contains("state")) {
        return exit_code_of(*kind);
    }
    return nothing_ran(document) ? exit_code::refused : exit_code::failed_answer;
}

} // namespace carobfall::tool
