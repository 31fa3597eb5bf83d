#include "carobfall/jobs/job_log.h"

#include "carobfall/base/strings.h"
#include "carobfall/jobs/admission_record.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace carobfall {
namespace {

std::string_view name_of(job_outcome outcome)
{
    constexpr std::array<std::string_view, 4> names = {"succeeded", "failed", "not_run", "unknown"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace

void job_log::refused(const active_job& job, const job_admission& admission, absl::Duration wait,
                      const std::vector<route_share>& shares, absl::Time now)
{
    log_fields fields("job_refused");
    fields.add("job", job.request.id)
        .add("wait_ms", absl::ToInt64Milliseconds(wait))
        .add("slack_ms", absl::ToInt64Milliseconds(job.timing.start_by - now))
        .add("queued_for_ms", absl::ToInt64Milliseconds(admission.queued_for))
        .add("usable_agents", agents_.usable_agents())
        .add("knowledge_ms", absl::ToInt64Milliseconds(agents_.oldest_report(now)));
    add_shares(fields, shares);
    log_.write(fields, now);
}

void job_log::placed(const active_job& job, const std::map<std::string, std::size_t>& placed,
                     const job_placement& placement, std::size_t ordered, absl::Time now)
{
    const auto agent_and_count = [](std::string* text, const auto& entry) {
        absl::StrAppend(text, entry.first, ":", entry.second);
    };
    const auto end = static_cast<std::ptrdiff_t>(ordered);
    const absl::Duration wait =
        *std::max_element(placement.waits.begin(), placement.waits.begin() + end);
    log_fields fields("tasks_placed");
    fields.add("job", job.request.id)
        .add("agents", absl::StrJoin(placed, ",", agent_and_count))
        .add("wait_ms", absl::ToInt64Milliseconds(wait))
        .add("slack_ms", absl::ToInt64Milliseconds(job.timing.start_by - now))
        .add("usable_agents", agents_.usable_agents())
        .add("knowledge_ms", absl::ToInt64Milliseconds(agents_.oldest_report(now)));
    if (!job.request.data_rack.empty()) {
        const auto away = static_cast<std::size_t>(
            std::count(placement.away.begin(), placement.away.begin() + end, true));
        fields.add("near", ordered - away)
            .add("away", away)
            .add("near_full_share", placement.near_full_share)
            .add("far_full_share", placement.far_full_share);
        metrics_.add("tasks_placed_total{data=\"near\"}", ordered - away);
        metrics_.add("tasks_placed_total{data=\"away\"}", away);
    }
    log_.write(fields, now);
}

void job_log::released(const active_job& job, std::size_t index, absl::Time now)
{
    const job_task& task = job.tasks[index];
    const bool agent_reported = task.ended_by == absl::InfinitePast();
    const std::string_view evidence = agent_reported ? "agent_settled" : "time_limit";
    log_.write(log_fields("task_released")
                   .add("job", job.request.id)
                   .add("task", index)
                   .add("attempt", task.attempt)
                   .add("agent", task.agent)
                   .add("evidence", evidence)
                   .add("lost_ms_ago", absl::ToInt64Milliseconds(now - task.lost_at)),
               now);
    metrics_.add(absl::StrCat("tasks_released_total{evidence=\"", to_absl(evidence), "\"}"));
}

void job_log::answered(const active_job& job, const job_answer& answer, absl::Time now)
{
    log_.write(log_fields("job_answered")
                   .add("job", job.request.id)
                   .add("route", job.request.route)
                   .add("outcome", name_of(answer.outcome))
                   .add("reason", answer.reason)
                   .add("tasks", job.tasks.size())
                   .add("declared_ms", absl::ToInt64Milliseconds(job.request.declared_run_time))
                   .add("expected_ms", absl::ToInt64Milliseconds(job.expected_run))
                   .add("objective_ms", absl::ToInt64Milliseconds(job.timing.objective))
                   .add("limit_ms", absl::ToInt64Milliseconds(job.request.time_limit))
                   .add("took_ms", absl::ToInt64Milliseconds(now - job.arrival))
                   .add("retry_after_ms", absl::ToInt64Milliseconds(answer.retry_after)),
               now);
    metrics_.add(absl::StrCat("jobs_total{outcome=\"", to_absl(name_of(answer.outcome)),
                              "\",reason=\"", answer.reason, "\"}"));
    metrics_.distribution("job_seconds").record(absl::ToDoubleSeconds(now - job.arrival));
}

} // namespace carobfall
