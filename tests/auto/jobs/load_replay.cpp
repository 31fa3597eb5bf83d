#include "load_replay.h"

#include "replayed_run.h"

#include "carobfall/jobs/admission_shares.h"
#include "carobfall/jobs/agent_table.h"
#include "carobfall/jobs/job_timing.h"
#include "carobfall/jobs/run_time_estimator.h"
#include "carobfall/jobs/task_order.h"
#include "carobfall/jobs/worker_ledger.h"
#include "carobfall/jobs/worker_status.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace carobfall {
namespace {

// The spreads are standard deviations of the logarithm and describe the declared mix of jobs. The
// objective is 1.6 times the longest run time of a task plus 60 ms. Callers wait for 1.5 s plus
// about four times the run time.
constexpr double declared_spread = 0.4;
constexpr double run_spread = 0.4;
constexpr double task_spread = 0.15;
constexpr double width_spread = 0.4;
constexpr double demand_spread = 0.2;
constexpr double slack_factor = 1.6;
const absl::Duration target = absl::Milliseconds(60);
const absl::Duration base_time_limit = absl::Milliseconds(1500);
constexpr double time_limit_factor = 4;
const absl::Duration message_delay = absl::Milliseconds(2);
const absl::Duration expiry_interval = absl::Milliseconds(25);
// Share of the jobs of a kind that count as wide: the jobs with the most tasks.
constexpr double wide_job_share = 0.1;

struct replayed_job {
    std::size_t kind{0};
    std::size_t entry{0};
    job_request request;
    job_timing timing;
    absl::Time arrival;
    std::vector<absl::Duration> work; ///< run time of each task on a worker of slowness 1
    std::vector<std::size_t> agents;
    std::vector<std::uint32_t> attempts;
    absl::Duration expected;
    std::size_t done{0};
    std::size_t near{0};
    std::size_t away{0};
    bool ended{false};
    bool on_time{false};
    bool late{false};
    bool refused{false};
    bool waited_too_long{false};
    std::size_t moves{0};
    std::set<std::size_t> avoided; ///< agents that have returned a waiting task

    [[nodiscard]] absl::Duration objective() const
    {
        return slack_factor * *std::max_element(work.begin(), work.end()) + target;
    }
};

struct replayed_agent {
    worker_ledger ledger;
    std::vector<replayed_run> active;
    std::uint64_t ends{0};
    absl::Time reported_at;
    std::vector<std::uint64_t> orders_received; ///< number of orders received from each entry
};

struct replayed_entry {
    agent_table table{[](std::string_view) { return false; }};
    run_time_estimator run_times;
    admission_shares shares;
    absl::Time last_immediate_start;
};

class simulation {
public:
    explicit simulation(const load_pattern& load)
        : load_(load),
          generator_(load.seed),
          choices_(load.seed),
          agents_(load.workers.size()),
          entries_(load.entries)
    {
        for (replayed_entry& entry : entries_) {
            entry.shares.configure(load.admission);
        }
    }

    std::vector<replayed_result> run()
    {
        announce_workers();
        for (std::size_t kind = 0; kind < load_.kinds.size(); ++kind) {
            schedule_arrival(kind);
        }
        while (!events_.empty()) {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            next.action();
        }
        return summarize();
    }

private:
    struct event {
        absl::Time at;
        std::uint64_t number{0};
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    void at(absl::Time time, std::function<void()> action)
    {
        events_.push({time, ++event_count_, std::move(action)});
    }
    /// Random number of a decision. Decisions and arrivals have separate generators, so that the
    /// same jobs arrive whatever is decided.
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(choices_); }
    /// Random factor with mean 1.
    double factor(double spread)
    {
        return std::lognormal_distribution<double>(-spread * spread / 2, spread)(generator_);
    }
    [[nodiscard]] bool is_generating_load() const { return now_ < start_ + load_.length; }

    void announce_workers()
    {
        for (std::size_t i = 0; i < agents_.size(); ++i) {
            worker_announcement worker;
            worker.id = absl::StrCat("i-", i);
            worker.service = "adviser";
            worker.rack = load_.workers[i].rack;
            worker.capacity = {load_.workers[i].cpu_millicores, 262144, 0};
            worker.started_unix_ms = 1;
            worker.sequence = 1;
            agents_[i].ledger.announce(worker);
            agents_[i].orders_received.resize(entries_.size());
            fleet::agent_status description;
            description.set_name(absl::StrCat(i));
            describe_worker(agents_[i].ledger, description);
            for (replayed_entry& entry : entries_) {
                entry.table.describe(description);
            }
            // The reports of different agents are not synchronised.
            at(start_ + load_.report_interval * (uniform() - 1), [this, i] { report(i); });
            at(start_, [this, i] { expire(i); });
        }
    }

    void schedule_arrival(std::size_t kind)
    {
        const double rate = load_.kinds[kind].jobs_per_s;
        const absl::Duration pause =
            absl::Seconds(std::exponential_distribution<double>(rate)(generator_));
        if (now_ + pause < start_ + load_.length) {
            at(now_ + pause, [this, kind] {
                accept(kind);
                schedule_arrival(kind);
            });
        }
    }

    std::shared_ptr<replayed_job> draw(std::size_t kind)
    {
        const replayed_kind& kind_pattern = load_.kinds[kind];
        auto job = std::make_shared<replayed_job>();
        job->kind = kind;
        job->entry = generator_() % entries_.size();
        job->arrival = now_;
        const double width = kind_pattern.mean_tasks * factor(width_spread);
        const auto count = static_cast<std::uint32_t>(
            std::clamp<double>(std::round(width), 1, kind_pattern.max_tasks));
        const absl::Duration run = kind_pattern.mean_run * factor(run_spread);
        for (std::uint32_t i = 0; i < count; ++i) {
            job->work.push_back(run * factor(task_spread));
        }
        job_request& request = job->request;
        request.id = absl::StrCat(jobs_.size());
        request.task_count = count;
        request.demand = {
            static_cast<std::int64_t>(static_cast<double>(load_.mean_task_millicores) *
                                      factor(demand_spread)),
            64, 0};
        request.declared_run_time = run * factor(declared_spread);
        request.route = kind_pattern.name;
        request.service = "adviser";
        request.priority = kind_pattern.priority;
        request.slack_factor = slack_factor;
        request.target = target;
        request.time_limit = base_time_limit + time_limit_factor * run;
        if (!load_.data_shares.empty()) {
            request.data_rack = rack_name(std::discrete_distribution<std::size_t>(
                load_.data_shares.begin(), load_.data_shares.end())(generator_));
        }
        jobs_.push_back(job);
        return job;
    }

    void accept(std::size_t kind)
    {
        const std::shared_ptr<replayed_job> job = draw(kind);
        replayed_entry& entry = entries_[job->entry];
        const absl::Duration expected =
            entry.run_times.expected(job->request.route, job->request.declared_run_time);
        job->timing = timing_of(job->request, expected, now_);
        const task_time time = make_task_time(job->request, job->timing, expected, now_);
        const job_placement placement = place_tasks(
            entry.table.views(), job->request, time, job->request.task_count, {},
            [this] { return uniform(); }, settings_, now_);
        if (placement.longest_wait <= absl::ZeroDuration()) {
            entry.last_immediate_start = now_;
        }
        job->refused =
            placement.agents.size() < job->request.task_count ||
            !entry.shares
                 .decide(job->request, job->timing,
                         {expected, placement.longest_wait, now_ - entry.last_immediate_start},
                         now_, uniform())
                 .admitted;
        if (job->refused) {
            job->ended = true;
            return;
        }
        job->expected = expected;
        job->agents.resize(job->request.task_count);
        job->attempts.resize(job->request.task_count);
        for (std::uint32_t index = 0; index < job->request.task_count; ++index) {
            order(job, index, placement, index);
        }
    }

    /// Places a task again after its agent has returned it.
    void place_again(const std::shared_ptr<replayed_job>& job, std::uint32_t index)
    {
        const replayed_entry& entry = entries_[job->entry];
        const task_time time = make_task_time(job->request, job->timing, job->expected, now_);
        placement_limits limits;
        for (const agent_view& agent : entry.table.views()) {
            limits.avoided.push_back(job->avoided.contains(std::stoul(agent.name)));
        }
        const job_placement placement = place_tasks(
            entry.table.views(), job->request, time, 1, limits, [this] { return uniform(); },
            settings_, now_);
        order(job, index, placement, 0);
    }

    void order(const std::shared_ptr<replayed_job>& job, std::uint32_t index,
               const job_placement& placement, std::size_t number)
    {
        const std::size_t agent =
            std::stoul(entries_[job->entry].table.views()[placement.agents[number]].name);
        job->agents[index] = agent;
        const fleet::task_order order =
            make_task_order(job->request, job->timing, job->expected * slowdown(*job, agent), index,
                            ++job->attempts[index], placement.worthwhile_waits[number], now_);
        entries_[job->entry].table.add_order(absl::StrCat(agent), order);
        at(now_ + message_delay, [this, agent, job, order] {
            ++agents_[agent].orders_received[job->entry];
            agents_[agent].ledger.add(job->entry + 1, order, now_);
            advance(agent);
        });
    }

    [[nodiscard]] double slowdown(const replayed_job& job, std::size_t agent) const
    {
        const std::string& data_rack = job.request.data_rack;
        return data_rack.empty() || data_rack == load_.workers[agent].rack ? 1
                                                                           : load_.remote_slowdown;
    }

    void advance(std::size_t agent)
    {
        worker_ledger& ledger = agents_[agent].ledger;
        while (const auto number = ledger.begin_next(now_, [](session_number) { return true; })) {
            const task_run run = run_of(*ledger.find(*number));
            replayed_job& job = *jobs_[std::stoul(run.job_id)];
            ++(slowdown(job, agent) > 1 ? job.away : job.near);
            const absl::Duration work = job.work[run.index] * slowdown(job, agent);
            const replayed_worker& worker = load_.workers[agent];
            const worker_pace pace{worker.slowness, worker.slow_factor, start_ + worker.slow_from,
                                   start_ + worker.slow_until};
            agents_[agent].active.push_back({run, now_ + message_delay, work, pace});
            at(now_ + message_delay, [this, agent, number] {
                agents_[agent].ledger.on_start_reply(*number,
                                                     {start_outcome::started, std::nullopt}, now_);
            });
            at(pace.end_of(work, now_ + message_delay),
               [this, agent, run] { end_run(agent, run, run_end_kind::done); });
        }
        while (const auto number = ledger.begin_stop()) {
            const task_run run = run_of(*ledger.find(*number));
            at(now_ + message_delay, [this, agent, number, run] {
                agents_[agent].ledger.on_stop_reply(*number, true, now_);
                end_run(agent, run, run_end_kind::stopped);
            });
        }
        deliver(agent);
    }

    void end_run(std::size_t agent, const task_run& run, run_end_kind kind)
    {
        replayed_agent& worker = agents_[agent];
        const auto found =
            std::find_if(worker.active.begin(), worker.active.end(),
                         [&](const replayed_run& active) { return active.task == run; });
        if (found == worker.active.end()) {
            return;
        }
        worker.active.erase(found);
        worker_report report;
        for (const replayed_run& active : worker.active) {
            report.active.push_back(active.at(now_));
        }
        report.ends.push_back({++worker.ends, run, kind});
        worker.ledger.on_report(report, worker.reported_at, now_);
        worker.reported_at = now_;
        advance(agent);
    }

    void deliver(std::size_t agent)
    {
        for (const session_event& event : agents_[agent].ledger.take_events()) {
            send_status(agent, event.session - 1);
            at(now_ + message_delay, [this, event = event.event] { on_event(event); });
        }
    }

    void on_event(const fleet::task_event& event)
    {
        const std::shared_ptr<replayed_job> shared = jobs_[std::stoul(event.job_id())];
        replayed_job& job = *shared;
        if (event.kind() == fleet::task_done && event.run_ms() > 0) {
            entries_[job.entry].run_times.record(job.request.route, job.request.declared_run_time,
                                                 absl::Milliseconds(event.run_ms()) /
                                                     slowdown(job, job.agents[event.index()]));
        }
        if (job.ended) {
            return;
        }
        if (event.kind() == fleet::task_done) {
            job.ended = ++job.done == job.work.size();
            job.on_time = job.ended && now_ - job.arrival <= job.objective();
            job.late = job.ended && !job.on_time;
            return;
        }
        const bool moved = event.reason() == "waited_too_long";
        if (moved) {
            job.avoided.insert(job.agents[event.index()]);
            ++job.moves;
        }
        if (moved || event.reason() == "queue_longer") {
            place_again(shared, event.index());
            return;
        }
        job.waited_too_long = event.reason() == "time_over";
        give_up(job);
    }

    void give_up(replayed_job& job)
    {
        job.ended = true;
        for (std::uint32_t index = 0; index < job.agents.size(); ++index) {
            fleet::task_stop stop;
            stop.set_job_id(job.request.id);
            stop.set_index(index);
            stop.set_attempt(job.attempts[index]);
            const std::size_t agent = job.agents[index];
            at(now_ + message_delay, [this, agent, stop, session = job.entry + 1] {
                agents_[agent].ledger.request_stop(session, stop, now_);
                advance(agent);
            });
        }
    }

    void send_status(std::size_t agent, std::size_t entry)
    {
        fleet::agent_status status;
        status.set_accepting(true);
        status.set_orders_received(agents_[agent].orders_received[entry]);
        describe_load(agents_[agent].ledger, now_, status);
        at(now_ + message_delay, [this, agent, entry, status] {
            entries_[entry].table.report(absl::StrCat(agent), status, now_);
        });
    }

    void report(std::size_t agent)
    {
        for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
            send_status(agent, entry);
        }
        if (is_generating_load()) {
            at(now_ + load_.report_interval, [this, agent] { report(agent); });
        }
    }

    void expire(std::size_t agent)
    {
        agents_[agent].ledger.expire(now_);
        advance(agent);
        if (is_generating_load()) {
            at(now_ + expiry_interval, [this, agent] { expire(agent); });
        }
    }

    std::vector<replayed_result> summarize()
    {
        std::vector<replayed_result> results(load_.kinds.size());
        std::vector<std::vector<const replayed_job*>> by_kind(load_.kinds.size());
        for (const auto& job : jobs_) {
            replayed_result& result = results[job->kind];
            by_kind[job->kind].push_back(job.get());
            result.kind = load_.kinds[job->kind].name;
            ++result.jobs;
            result.near += job->near;
            result.away += job->away;
            result.on_time += job->on_time ? 1 : 0;
            result.late += job->late ? 1 : 0;
            result.refused += job->refused ? 1 : 0;
            result.waited_too_long += job->waited_too_long ? 1 : 0;
            result.moves += job->moves;
            result.given_up += !job->on_time && !job->late && !job->refused ? 1 : 0;
        }
        for (std::size_t kind = 0; kind < by_kind.size(); ++kind) {
            std::vector<const replayed_job*>& jobs = by_kind[kind];
            std::stable_sort(jobs.begin(), jobs.end(), [](const auto* left, const auto* right) {
                return left->work.size() > right->work.size();
            });
            jobs.resize(
                static_cast<std::size_t>(static_cast<double>(jobs.size()) * wide_job_share));
            results[kind].wide = jobs.size();
            results[kind].wide_on_time = static_cast<std::size_t>(std::count_if(
                jobs.begin(), jobs.end(), [](const auto* job) { return job->on_time; }));
        }
        return results;
    }

    const load_pattern& load_;
    const placement_settings settings_{load_.remote_slowdown};
    const absl::Time start_{absl::FromUnixSeconds(1000)};
    absl::Time now_{start_};
    std::mt19937_64 generator_;
    std::mt19937_64 choices_;
    std::vector<replayed_agent> agents_;
    std::vector<replayed_entry> entries_;
    std::vector<std::shared_ptr<replayed_job>> jobs_;
    std::priority_queue<event> events_;
    std::uint64_t event_count_{0};
};

} // namespace

replayed_result& replayed_result::operator+=(const replayed_result& other)
{
    kind = other.kind;
    jobs += other.jobs;
    on_time += other.on_time;
    late += other.late;
    refused += other.refused;
    given_up += other.given_up;
    waited_too_long += other.waited_too_long;
    moves += other.moves;
    near += other.near;
    away += other.away;
    wide += other.wide;
    wide_on_time += other.wide_on_time;
    return *this;
}

std::string rack_name(std::size_t number)
{
    return absl::StrCat("rack-", number);
}

std::vector<replayed_result> replay(const load_pattern& load)
{
    return simulation(load).run();
}

} // namespace carobfall
