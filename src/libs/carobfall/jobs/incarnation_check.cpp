#include "carobfall/jobs/incarnation_check.h"

#include <array>
#include <utility>

namespace carobfall {
namespace {

constexpr std::array<std::pair<incarnation_check, std::string_view>, 3> names{{
    {incarnation_check::confirmed, "confirmed"},
    {incarnation_check::refuted, "refuted"},
    {incarnation_check::unanswered, "unanswered"},
}};

} // namespace

std::string_view name_of(incarnation_check check)
{
    for (const auto& [value, name] : names) {
        if (value == check) {
            return name;
        }
    }
    return "unknown";
}

incarnation_check check_announcement(const worker_announcement& announcement,
                                     const renewal_reply& reply, bool id_in_use)
{
    switch (reply.outcome) {
    case renewal_outcome::renewed: {
        const std::int64_t started = reply.report.started_unix_ms;
        const bool same_start = started == announcement.started_unix_ms;
        // Without a start time in the report the id alone has to identify the incarnation.
        return same_start || (started == 0 && !id_in_use) ? incarnation_check::confirmed
                                                          : incarnation_check::refuted;
    }
    case renewal_outcome::fenced:
        // The worker with this id has answered, but not with a report.
        return id_in_use ? incarnation_check::unanswered : incarnation_check::confirmed;
    case renewal_outcome::other_incarnation:
        return incarnation_check::refuted;
    case renewal_outcome::refused:
    case renewal_outcome::gone:
    case renewal_outcome::unreachable:
    case renewal_outcome::no_answer:
        break;
    }
    return incarnation_check::unanswered;
}

} // namespace carobfall
