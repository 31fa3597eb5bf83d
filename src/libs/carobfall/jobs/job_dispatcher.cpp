#include "carobfall/jobs/job_dispatcher.h"

#include "carobfall/base/boot_clock.h"
#include "carobfall/base/spawn.h"
#include "carobfall/jobs/admission_record.h"
#include "carobfall/jobs/run_bounds.h"
#include "carobfall/jobs/task_order.h"
#include "carobfall/jobs/task_placement.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace carobfall {

namespace asio = boost::asio;

namespace {

// Maximum number of orders for one task. A task that an agent refuses for lack of room is ordered
// from other agents until then.
constexpr std::uint32_t max_orders_per_task = 10;
// Delay before placement is retried for a task that no agent can take at present.
constexpr absl::Duration placement_retry_delay = absl::Milliseconds(20);
// Time allowed for agents to return waiting tasks, so that the answer can be `not_run`.
constexpr absl::Duration withdrawal_timeout = absl::Milliseconds(100);
constexpr absl::Duration predecessor_poll_interval = absl::Milliseconds(10);
// Longest interval between two checks of the deadlines of a job.
constexpr absl::Duration max_check_interval = absl::Milliseconds(250);

bool is_open(const job_task& task)
{
    return task.phase == job_task_phase::ordered || task.phase == job_task_phase::lost;
}

bool has_open_tasks(const active_job& job)
{
    return std::any_of(job.tasks.begin(), job.tasks.end(), is_open);
}

bool all_done(const active_job& job)
{
    return std::all_of(job.tasks.begin(), job.tasks.end(),
                       [](const job_task& task) { return task.phase == job_task_phase::done; });
}

bool is_unplaced(const job_task& task)
{
    return task.phase == job_task_phase::unplaced;
}

bool any_unplaced(const active_job& job)
{
    return std::any_of(job.tasks.begin(), job.tasks.end(), is_unplaced);
}

} // namespace

job_dispatcher::job_dispatcher(const asio::any_io_executor& executor, entry_service& agents,
                               event_log& log, metrics_registry& metrics,
                               placement_settings settings)
    : executor_(executor),
      agents_(agents),
      log_(log),
      metrics_(metrics),
      settings_(settings),
      job_log_(log, metrics, agents)
{
    entry_service::hooks hooks;
    hooks.on_event = [this](const std::string& agent, const fleet::task_event& event) {
        on_event(agent, event);
    };
    hooks.on_lost = [this](const std::string& agent, absl::Time last_frame_at) {
        on_lost(agent, last_frame_at);
    };
    hooks.on_past_runs_ended = [this](const std::string& agent) { on_past_runs_ended(agent); };
    agents_.set_hooks(std::move(hooks));
}

std::shared_ptr<active_job> job_dispatcher::create(job_request request)
{
    auto job = std::make_shared<active_job>(executor_, std::move(request));
    job->arrival = boot_now();
    job->expected_run = run_times_.expected(job->request.route, job->request.declared_run_time);
    job->timing = timing_of(job->request, job->expected_run, job->arrival);
    job->tasks.resize(job->request.task_count);
    return job;
}

asio::awaitable<void> job_dispatcher::wait_for_predecessor(active_job& job)
{
    asio::steady_timer timer(executor_);
    for (auto found = jobs_.find(job.request.id); found != jobs_.end();
         found = jobs_.find(job.request.id)) {
        // The caller has resubmitted the job: it no longer waits for the earlier answer, and two
        // runs of a task must not overlap.
        abandon(*found->second);
        timer.expires_after(timer_duration(predecessor_poll_interval));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

job_answer job_dispatcher::refuse(const active_job& job, std::string reason,
                                  absl::Duration retry_after)
{
    job_answer answer{job_outcome::not_run, std::move(reason), retry_after};
    job_log_.answered(job, answer, boot_now());
    return answer;
}

std::optional<job_answer> job_dispatcher::check_admission(const active_job& job,
                                                          const job_placement& placement,
                                                          absl::Time now)
{
    const job_admission admission =
        decide_admission(job.request, job.timing, job.expected_run, placement,
                         last_immediate_start_, shares_, now, [this] { return random(); });
    std::string reason(name_of(admission.reason));
    if (admission.reason == admission_reason::no_worker) {
        return refuse(job, std::move(reason), admission.decision.retry_after);
    }
    const absl::Duration wait = placement.longest_wait;
    if (wait <= absl::ZeroDuration()) {
        last_immediate_start_ = now;
    }
    if (shares_.enabled()) {
        shares_.count(job.request, job.timing, job.expected_run, admission.decision.admitted, now);
        count_admission(metrics_, job.request.route, room_of(job.request, job.expected_run),
                        admission.decision.admitted);
    }
    if (admission.decision.admitted) {
        return std::nullopt;
    }
    job_log_.refused(job, admission, wait, shares_.shares(now), now);
    return refuse(job, std::move(reason), admission.decision.retry_after);
}

asio::awaitable<job_answer> job_dispatcher::run(std::shared_ptr<active_job> job)
{
    co_await wait_for_predecessor(*job);
    absl::Time now = boot_now();
    job_placement placement = choose_agents(*job, now);
    bool planned = true;
    if (const std::optional<job_answer> refusal = check_admission(*job, placement, now)) {
        co_return *refusal;
    }
    jobs_[job->request.id] = job;
    while (true) {
        now = boot_now();
        release_lost_tasks(*job, now);
        if (all_done(*job)) {
            co_return co_await end(job, job_outcome::succeeded, "done");
        }
        if (job->caller_gone) {
            co_return co_await end(job, job_outcome::unknown, "caller_gone");
        }
        if (job->too_many_failures) {
            co_return co_await end(job, job_outcome::failed, "too_many_failures");
        }
        if (job->too_many_orders) {
            co_return co_await end(job, job_outcome::unknown, "too_many_orders");
        }
        if (job->run_too_long) {
            co_return co_await end(job, job_outcome::unknown, "tasks_too_long");
        }
        const bool too_late_to_start =
            any_unplaced(*job) && (now >= job->timing.late_start_by ||
                                   !can_still_end(job->expected_run, now, job->timing.give_up));
        if (now >= job->timing.give_up || too_late_to_start) {
            co_return co_await end(job, job_outcome::unknown, "time_over");
        }
        const bool outlives_limit =
            std::any_of(job->tasks.begin(), job->tasks.end(), [&](const job_task& task) {
                return task.phase == job_task_phase::lost && task.ended_by > job->timing.give_up;
            });
        if (outlives_limit) {
            co_return co_await end(job, job_outcome::unknown, "agent_lost");
        }
        if (now >= job->place_after && any_unplaced(*job)) {
            if (!std::exchange(planned, false)) {
                placement = choose_agents(*job, now);
            }
            place(*job, placement, now);
        }
        co_await job->changed.wait_for(timer_duration(next_check(*job) - boot_now()));
    }
}

absl::Time job_dispatcher::next_check(const active_job& job) const
{
    absl::Time next = std::min(job.timing.give_up, boot_now() + max_check_interval);
    for (const job_task& task : job.tasks) {
        if (task.phase == job_task_phase::lost) {
            next = std::min(next, task.ended_by);
        } else if (is_unplaced(task)) {
            next = std::min(next, job.place_after);
        }
    }
    return next;
}

job_placement job_dispatcher::choose_agents(const active_job& job, absl::Time now)
{
    const std::vector<agent_view>& agents = agents_.agents().views();
    placement_limits limits;
    for (const agent_view& agent : agents) {
        limits.avoided.push_back(job.avoided.contains(agent.name));
        if (job.request.max_tasks_per_agent > 0) {
            limits.tasks_of_job.push_back(static_cast<std::uint32_t>(
                std::count_if(job.tasks.begin(), job.tasks.end(), [&](const job_task& task) {
                    return is_open(task) && task.agent == agent.name;
                })));
        }
    }
    const auto unplaced = std::count_if(job.tasks.begin(), job.tasks.end(), is_unplaced);
    const task_time time = make_task_time(job.request, job.timing, job.expected_run, now);
    return place_tasks(
        agents, job.request, time, static_cast<std::size_t>(unplaced), std::move(limits),
        [this] { return random(); }, settings_, now);
}

placement_explanation job_dispatcher::explain(const job_request& request,
                                              const std::function<double()>& random,
                                              absl::Time now) const
{
    const placement_inputs inputs{
        agents_.agents().views(),
        run_times_.expected(request.route, request.declared_run_time),
        last_immediate_start_,
        shares_,
        settings_,
        [&](const std::string& agent) { return agents_.report_age(agent, now); },
        random};
    return explain_placement(inputs, request, now);
}

void job_dispatcher::place(active_job& job, const job_placement& placement, absl::Time now)
{
    std::vector<std::string> agents;
    for (const std::size_t position : placement.agents) {
        agents.push_back(agents_.agents().views()[position].name);
    }
    std::map<std::string, std::size_t> placed;
    std::size_t next = 0;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        if (!is_unplaced(job.tasks[index])) {
            continue;
        }
        if (next == agents.size() || !order_task(job, index, agents[next], placement, next, now)) {
            job.place_after = now + placement_retry_delay;
            break;
        }
        ++placed[agents[next++]];
    }
    if (placed.empty()) {
        return;
    }
    job_log_.placed(job, placed, placement, next, now);
}

bool job_dispatcher::order_task(active_job& job, std::uint32_t index, const std::string& agent,
                                const job_placement& placement, std::size_t next, absl::Time now)
{
    job_task& task = job.tasks[index];
    task.agent = agent;
    task.phase = job_task_phase::ordered;
    task.away = placement.away[next];
    ++task.attempt;
    const double slowdown = task.away ? settings_.remote_slowdown : 1;
    return agents_.order(agent, make_task_order(job.request, job.timing,
                                                job.expected_run * slowdown, index, task.attempt,
                                                placement.worthwhile_waits[next], now));
}

void job_dispatcher::on_event(const std::string& agent, const fleet::task_event& event)
{
    const auto found = jobs_.find(event.job_id());
    if (found == jobs_.end() || event.index() >= found->second->tasks.size()) {
        return;
    }
    active_job& job = *found->second;
    job_task& task = job.tasks[event.index()];
    if (!is_open(task) || task.agent != agent || task.attempt != event.attempt()) {
        return;
    }
    job.may_have_run = job.may_have_run || event.kind() != fleet::task_not_run;
    switch (event.kind()) {
    case fleet::task_done:
        task.phase = job_task_phase::done;
        if (event.run_ms() > 0) {
            run_times_.record(job.request.route, job.request.declared_run_time,
                              absl::Milliseconds(event.run_ms()) /
                                  (task.away ? settings_.remote_slowdown : 1));
        }
        break;
    case fleet::task_failed:
        task.phase = job_task_phase::unplaced;
        job.avoided.insert(agent);
        job.too_many_failures |= ++task.failures >= job.request.max_attempts;
        break;
    case fleet::task_ended:
        if (event.run_ms() > 0 && !task.away && !agents_.is_slow(agent)) {
            job.run_too_long = true;
        }
        [[fallthrough]];
    case fleet::task_not_run:
        task.phase = job_task_phase::unplaced;
        if (event.reason() == "waited_too_long") {
            job.avoided.insert(agent);
        }
        job.too_many_orders |= task.attempt >= max_orders_per_task;
        break;
    default:
        return;
    }
    if (is_unplaced(task)) {
        log_.write(log_fields("task_returned")
                       .add("job", job.request.id)
                       .add("task", event.index())
                       .add("attempt", event.attempt())
                       .add("agent", agent)
                       .add("kind", fleet::task_event_kind_Name(event.kind()))
                       .add("reason", event.reason()),
                   boot_now());
    }
    job.changed.notify();
}

void job_dispatcher::on_lost(const std::string& agent, absl::Time last_frame_at)
{
    const absl::Time now = boot_now();
    for (const auto& [id, job] : jobs_) {
        for (job_task& task : job->tasks) {
            if (task.phase == job_task_phase::ordered && task.agent == agent) {
                task.phase = job_task_phase::lost;
                task.lost_at = now;
                task.ended_by = last_frame_at + runs_ended_after;
                job->may_have_run = true;
                job->changed.notify();
            }
        }
    }
}

void job_dispatcher::on_past_runs_ended(const std::string& agent)
{
    for (const auto& [id, job] : jobs_) {
        for (job_task& task : job->tasks) {
            if (task.phase == job_task_phase::lost && task.agent == agent) {
                task.ended_by = absl::InfinitePast();
                job->changed.notify();
            }
        }
    }
}

void job_dispatcher::release_lost_tasks(active_job& job, absl::Time now)
{
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        job_task& task = job.tasks[index];
        if (task.phase == job_task_phase::lost && task.ended_by <= now) {
            task.phase = job_task_phase::unplaced;
            job_log_.released(job, index, now);
        }
    }
}

void job_dispatcher::abandon(active_job& job)
{
    job.caller_gone = true;
    job.changed.notify();
}

bool job_dispatcher::cancel(const std::string& id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return false;
    }
    abandon(*found->second);
    return true;
}

std::size_t job_dispatcher::pending(const std::string& route) const
{
    return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& job) {
        return job.second->request.route == route && !job.second->may_have_run &&
               any_unplaced(*job.second);
    }));
}

asio::awaitable<job_answer> job_dispatcher::end(std::shared_ptr<active_job> job,
                                                job_outcome outcome, std::string reason)
{
    for (std::uint32_t index = 0; index < job->tasks.size(); ++index) {
        job_task& task = job->tasks[index];
        if (task.phase == job_task_phase::ordered) {
            fleet::task_stop stop;
            stop.set_job_id(job->request.id);
            stop.set_index(index);
            stop.set_attempt(task.attempt);
            agents_.stop(task.agent, std::move(stop));
        }
    }
    const absl::Time withdrawn_by = boot_now() + withdrawal_timeout;
    while (outcome != job_outcome::succeeded && !job->may_have_run && has_open_tasks(*job) &&
           boot_now() < withdrawn_by) {
        co_await job->changed.wait_for(timer_duration(withdrawn_by - boot_now()));
    }
    const bool truly_not_run = !job->may_have_run && !has_open_tasks(*job);
    if (outcome != job_outcome::succeeded && truly_not_run) {
        outcome = job_outcome::not_run;
    }
    if (has_open_tasks(*job)) {
        spawn(executor_, remove_when_ended(job));
    } else {
        remove(job->request.id);
    }
    job_answer answer{outcome, std::move(reason),
                      outcome == job_outcome::not_run ? absl::Seconds(1 + random())
                                                      : absl::ZeroDuration()};
    job_log_.answered(*job, answer, boot_now());
    co_return answer;
}

asio::awaitable<void> job_dispatcher::remove_when_ended(std::shared_ptr<active_job> job)
{
    while (has_open_tasks(*job)) {
        co_await job->changed.wait_for(timer_duration(next_check(*job) - boot_now()));
        release_lost_tasks(*job, boot_now());
    }
    remove(job->request.id);
}

void job_dispatcher::remove(const std::string& id)
{
    jobs_.erase(id);
}

} // namespace carobfall
