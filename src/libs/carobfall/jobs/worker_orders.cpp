#include "carobfall/jobs/worker_orders.h"

#include <algorithm>
#include <array>
#include <utility>

namespace carobfall {
namespace {

using outcome_name = std::pair<start_outcome, std::string_view>;

constexpr std::array outcome_names{
    outcome_name{start_outcome::started, "started"},
    outcome_name{start_outcome::no_room, "no_room"},
    outcome_name{start_outcome::superseded, "superseded"},
    outcome_name{start_outcome::lease_over, "lease_over"},
    outcome_name{start_outcome::fenced, "fenced"},
    outcome_name{start_outcome::unhealthy, "unhealthy"},
    outcome_name{start_outcome::other_incarnation, "other_incarnation"},
    outcome_name{start_outcome::invalid, "invalid"},
    outcome_name{start_outcome::not_sent, "not_sent"},
    outcome_name{start_outcome::no_answer, "no_answer"},
};

} // namespace

std::string_view name_of(start_outcome outcome)
{
    const auto* const found =
        std::find_if(outcome_names.begin(), outcome_names.end(),
                     [outcome](const outcome_name& entry) { return entry.first == outcome; });
    return found == outcome_names.end() ? "unknown" : found->second;
}

std::string_view name_of(run_end_kind kind)
{
    switch (kind) {
    case run_end_kind::done:
        return "done";
    case run_end_kind::failed:
        return "failed";
    case run_end_kind::stopped:
        return "stopped";
    case run_end_kind::lapsed:
        return "lease_lapsed";
    case run_end_kind::broken:
        break;
    }
    return "broken";
}

} // namespace carobfall
