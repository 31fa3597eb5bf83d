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

using end_name = std::pair<run_end_kind, std::string_view>;

constexpr std::array end_names{
    end_name{run_end_kind::done, "done"},       end_name{run_end_kind::failed, "failed"},
    end_name{run_end_kind::stopped, "stopped"}, end_name{run_end_kind::lapsed, "lease_lapsed"},
    end_name{run_end_kind::broken, "broken"},
};

template <typename Value, std::size_t Count>
std::string_view find_name(const std::array<std::pair<Value, std::string_view>, Count>& names,
                           Value value)
{
    const auto found = std::find_if(names.begin(), names.end(),
                                    [value](const auto& entry) { return entry.first == value; });
    return found == names.end() ? "unknown" : found->second;
}

} // namespace

bool is_same_incarnation(const worker_announcement& first, const worker_announcement& second)
{
    return first.id == second.id && first.started_unix_ms == second.started_unix_ms;
}

bool is_same_description(const worker_announcement& first, const worker_announcement& second)
{
    return first.service == second.service && first.labels == second.labels &&
           first.rack == second.rack && first.capacity == second.capacity;
}

bool is_later(const worker_announcement& announcement, const worker_announcement& present)
{
    if (!is_same_incarnation(announcement, present)) {
        return announcement.started_unix_ms >= present.started_unix_ms;
    }
    const bool begins_to_drain =
        announcement.state == worker_state::draining && present.state != worker_state::draining;
    return begins_to_drain || announcement.sequence > present.sequence;
}

bool is_unanswered(renewal_outcome outcome)
{
    return outcome == renewal_outcome::gone || outcome == renewal_outcome::unreachable ||
           outcome == renewal_outcome::no_answer;
}

std::string_view name_of(start_outcome outcome)
{
    return find_name(outcome_names, outcome);
}

std::string_view name_of(run_end_kind kind)
{
    return find_name(end_names, kind);
}

} // namespace carobfall
