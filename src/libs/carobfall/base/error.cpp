#include "carobfall/base/error.h"

#include "carobfall/base/strings.h"

#include <absl/strings/str_cat.h>

#include <array>

namespace carobfall {
namespace {

struct error_kind_row {
    error_kind kind;
    std::string_view name;
    int http_status;
};

constexpr std::array error_kind_table{
    error_kind_row{error_kind::invalid_request, "invalid_request", 400},
    error_kind_row{error_kind::unauthenticated, "unauthenticated", 401},
    error_kind_row{error_kind::not_found, "not_found", 404},
    error_kind_row{error_kind::conflict, "conflict", 409},
    error_kind_row{error_kind::payload_too_large, "payload_too_large", 413},
    error_kind_row{error_kind::limit_exceeded, "limit_exceeded", 429},
    error_kind_row{error_kind::infeasible, "infeasible", 422},
    error_kind_row{error_kind::overloaded, "overloaded", 503},
    error_kind_row{error_kind::deadline_exceeded, "deadline_exceeded", 504},
    error_kind_row{error_kind::recovering, "recovering", 503},
    error_kind_row{error_kind::stale_configuration, "stale_configuration", 503},
    error_kind_row{error_kind::stale_view, "stale_view", 503},
    error_kind_row{error_kind::unavailable, "unavailable", 503},
    error_kind_row{error_kind::outcome_unknown, "outcome_unknown", 502},
    error_kind_row{error_kind::answer_expired, "answer_expired", 410},
    error_kind_row{error_kind::cancelled, "cancelled", 409},
    error_kind_row{error_kind::task_failed, "task_failed", 502},
    error_kind_row{error_kind::task_lost, "task_lost", 502},
    error_kind_row{error_kind::shutting_down, "shutting_down", 503},
    error_kind_row{error_kind::internal, "internal", 500},
};

const error_kind_row& row_of(error_kind kind)
{
    for (const error_kind_row& row : error_kind_table) {
        if (row.kind == kind) {
            return row;
        }
    }
    return error_kind_table.back();
}

} // namespace

std::string_view name_of(error_kind kind)
{
    return row_of(kind).name;
}

std::optional<error_kind> error_kind_from_name(std::string_view name)
{
    for (const error_kind_row& row : error_kind_table) {
        if (row.name == name) {
            return row.kind;
        }
    }
    return std::nullopt;
}

int http_status_of(error_kind kind)
{
    return row_of(kind).http_status;
}

std::string to_string(const error& failure)
{
    std::string text = absl::StrCat(to_absl(name_of(failure.kind)), ": ", failure.message);
    if (!failure.remedy.empty()) {
        absl::StrAppend(&text, " (", failure.remedy, ")");
    }
    return text;
}

} // namespace carobfall
