#pragma once

#include "carobfall/base/boot_clock.h"
#include "carobfall/jobs/agent_service.h"
#include "carobfall/jobs/entry_service.h"
#include "carobfall/jobs/job_dispatcher.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace carobfall::test {

namespace asio = boost::asio;

inline asio::ip::tcp::endpoint free_endpoint(asio::io_context& context)
{
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address_v4("127.0.0.1"), 0});
    return acceptor.local_endpoint();
}

/// Counts the concurrent runs of each task over all workers.
class run_counter {
public:
    void on_start(const task_run& run)
    {
        max_concurrent_ = std::max(max_concurrent_, ++active_[{run.job_id, run.index}]);
    }
    void on_end(const task_run& run) { --active_[{run.job_id, run.index}]; }
    /// Returns the highest number of concurrent runs of one task.
    [[nodiscard]] std::size_t max_concurrent_runs() const { return max_concurrent_; }

private:
    std::map<std::pair<std::string, std::uint32_t>, std::size_t> active_;
    std::size_t max_concurrent_{0};
};

/// Worker in memory. Each run takes `run_time` and then ends as `end_kind`, or as lapsed if the
/// lease ends earlier.
class fake_worker : public worker_orders {
public:
    explicit fake_worker(asio::io_context& context, run_counter* counter = nullptr)
        : context_(context), counter_(counter)
    {}

    asio::awaitable<start_reply> start(const start_order& order) override
    {
        if (refuse_connections) {
            co_return start_reply{start_outcome::not_sent, std::nullopt};
        }
        if (unreachable) {
            ++unanswered_starts;
            co_return start_reply{start_outcome::no_answer, std::nullopt};
        }
        if (order.lease_end <= clock()) {
            co_return start_reply{start_outcome::lease_over, clock()};
        }
        ++starts;
        lease_end_ = std::max(lease_end_, order.lease_end);
        active_[order.task.index] = order.task;
        max_concurrent_runs = std::max(max_concurrent_runs, active_.size());
        if (counter_ != nullptr) {
            counter_->on_start(order.task);
        }
        asio::co_spawn(context_, finish(order.task), asio::detached);
        co_return start_reply{start_outcome::started, clock()};
    }
    asio::awaitable<bool> stop(const task_run& task, std::int64_t) override
    {
        ++stops;
        if (ignore_stops || refuse_connections) {
            asio::steady_timer pause(context_, timer_duration(absl::Milliseconds(20)));
            co_await pause.async_wait(asio::use_awaitable);
            co_return false;
        }
        end(task, run_end_kind::stopped);
        co_return true;
    }
    asio::awaitable<renewal_reply> renew(const renewal_order& order) override
    {
        asio::steady_timer pause(context_, timer_duration(absl::Milliseconds(5)));
        co_await pause.async_wait(asio::use_awaitable);
        renewal_reply reply;
        if (refuse_connections) {
            reply.outcome = renewal_outcome::gone;
            co_return reply;
        }
        if (unreachable) {
            co_return reply;
        }
        if (!id.empty() && !order.worker_id.empty() && order.worker_id != id) {
            reply.outcome = renewal_outcome::other_incarnation;
            co_return reply;
        }
        if (active_.size() > 0 && lost_renewals > 0) {
            --lost_renewals;
            pause.expires_after(timer_duration(renewal_timeout));
            co_await pause.async_wait(asio::use_awaitable);
            co_return reply;
        }
        if (order.lease_end) {
            lease_end_ = std::max(lease_end_, *order.lease_end);
        }
        reply.outcome = renewal_outcome::renewed;
        reply.clock = clock();
        reply.report.started_unix_ms = started_unix_ms;
        for (const auto& [index, run] : active_) {
            reply.report.active.push_back({run, 50});
        }
        for (const run_end& end : ends_) {
            if (end.number > order.acknowledged_end) {
                reply.report.ends.push_back(end);
            }
        }
        co_return reply;
    }
    void set_target(const worker_announcement&) override {}

    /// Simulates the end of the worker process: its runs end and connections are refused.
    void crash()
    {
        while (!active_.empty()) {
            end(task_run(active_.begin()->second), run_end_kind::broken);
        }
        refuse_connections = true;
    }

    /// Simulates a worker process that ends and starts again at once under its id.
    void restart()
    {
        while (!active_.empty()) {
            end(task_run(active_.begin()->second), run_end_kind::broken);
        }
        ends_.clear();
        ++started_unix_ms;
        clock_start = boot_now();
        lease_end_ = 0;
    }

    [[nodiscard]] std::size_t active() const { return active_.size(); }
    /// Time at which the lease of the active runs ends. On a busy machine the end of the runs may
    /// be recorded later.
    [[nodiscard]] absl::Time lease_end() const
    {
        return clock_start + absl::Milliseconds(lease_end_);
    }
    [[nodiscard]] bool has_ended(run_end_kind kind) const
    {
        return std::any_of(ends_.begin(), ends_.end(),
                           [kind](const run_end& end) { return end.kind == kind; });
    }

    std::string id; ///< answers only calls to this worker; empty: to any one
    std::int64_t started_unix_ms{1};
    absl::Duration run_time{absl::Milliseconds(30)};
    run_end_kind end_kind{run_end_kind::done};
    bool unreachable{false};                   ///< no call is answered or carried out
    bool refuse_connections{false};            ///< connections are refused while runs go on
    bool ignore_stops{false};                  ///< stop orders are neither answered nor carried out
    absl::Time clock_start{absl::UnixEpoch()}; ///< when the worker's clock was 0
    std::size_t lost_renewals{0};              ///< unanswered renewals while a run is active
    absl::Duration renewal_timeout{absl::Milliseconds(230)};
    std::size_t starts{0};
    std::size_t unanswered_starts{0};
    std::size_t stops{0};
    std::size_t max_concurrent_runs{0};

private:
    worker_time clock() const { return absl::ToInt64Milliseconds(boot_now() - clock_start); }

    asio::awaitable<void> finish(task_run run)
    {
        const absl::Time done_at = boot_now() + run_time;
        asio::steady_timer timer(context_);
        while (boot_now() < done_at) {
            if (clock() >= lease_end_) {
                end(run, run_end_kind::lapsed);
                co_return;
            }
            const absl::Duration lease_left = absl::Milliseconds(lease_end_ - clock());
            timer.expires_after(timer_duration(std::min(done_at - boot_now(), lease_left)));
            co_await timer.async_wait(asio::use_awaitable);
        }
        end(run, end_kind);
    }
    void end(const task_run& run, run_end_kind kind)
    {
        const auto found = active_.find(run.index);
        if (found != active_.end() && found->second == run) {
            active_.erase(found);
            ends_.push_back({ends_.size() + 1, run, kind});
            if (counter_ != nullptr) {
                counter_->on_end(run);
            }
        }
    }

    asio::io_context& context_;
    run_counter* counter_;
    worker_time lease_end_{0};
    std::map<std::uint32_t, task_run> active_;
    std::vector<run_end> ends_;
};

inline void announce_in_background(asio::io_context& context, agent_service& service,
                                   const worker_announcement& announcement)
{
    asio::co_spawn(context, service.announce(announcement), asio::detached);
}

/// Announces the worker and runs the loop until the agent has decided on it.
inline announcement_effect announce(asio::io_context& context, agent_service& service,
                                    const worker_announcement& announcement)
{
    std::optional<announcement_effect> effect;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> { effect = co_await service.announce(announcement); },
        asio::detached);
    const absl::Time end = boot_now() + absl::Seconds(5);
    while (!effect && boot_now() < end) {
        context.run_for(std::chrono::milliseconds(2));
    }
    return effect.value();
}

/// The agent process of a worker.
struct agent_process {
    agent_process(asio::io_context& context, const std::string& name, std::string incarnation,
                  worker_orders& worker, const worker_announcement& announcement,
                  const std::string& entry)
        : log(name, "mapo"),
          service(context.get_executor(), {name, std::move(incarnation), "mapo"}, worker, operators,
                  log, metrics)
    {
        service.start();
        announce_in_background(context, service, announcement);
        service.add_entries({entry});
    }

    operator_view operators;
    event_log log;
    metrics_registry metrics;
    agent_service service;
};

inline worker_announcement announcement_of(const std::string& name)
{
    worker_announcement announcement;
    announcement.id = "i-" + name;
    announcement.service = "adviser";
    announcement.capacity = {64000, 262144, 0};
    announcement.started_unix_ms = 1;
    announcement.sequence = 1;
    return announcement;
}

/// An agent with its worker.
struct agent_fixture {
    agent_fixture(asio::io_context& context, const std::string& name, std::string incarnation,
                  const std::string& entry, run_counter* counter = nullptr)
        : worker(context, counter),
          announcement(announcement_of(name)),
          process(context, name, std::move(incarnation), worker, announcement, entry),
          operators(process.operators),
          service(process.service)
    {}

    fake_worker worker;
    worker_announcement announcement;
    agent_process process;
    operator_view& operators;
    agent_service& service;
};

/// Runs the loop until the condition holds. Returns false if it does not hold after `timeout`.
inline bool run_until(asio::io_context& context, const std::function<bool()>& condition,
                      absl::Duration timeout)
{
    const absl::Time end = boot_now() + timeout;
    while (!condition() && boot_now() < end) {
        context.run_for(std::chrono::milliseconds(2));
    }
    return condition();
}

/// An entry and its agents. Agents reach the entry at `address`.
struct region {
    region() : region(std::nullopt) {}

    /// `relay`: address that agents connect to instead of the address of the entry.
    explicit region(std::optional<asio::ip::tcp::endpoint> relay)
        : endpoint(free_endpoint(context)),
          address(absl::StrCat("127.0.0.1:", relay.value_or(endpoint).port())),
          log("entry", "mapo"),
          entry(context.get_executor(), "entry", address, operators, log, metrics),
          dispatcher(context.get_executor(), entry, log, metrics)
    {
        entry.start(endpoint);
    }

    agent_fixture& add_agent(const std::string& name)
    {
        agents.push_back(std::make_unique<agent_fixture>(context, name, "1", address, &counter));
        return *agents.back();
    }

    bool run_until(const std::function<bool()>& condition,
                   absl::Duration timeout = absl::Seconds(10))
    {
        return test::run_until(context, condition, timeout);
    }

    std::shared_ptr<active_job> submit(const std::string& id, std::uint32_t tasks,
                                       std::optional<job_answer>& answer,
                                       absl::Duration time_limit = absl::Seconds(5))
    {
        job_request request;
        request.id = id;
        request.task_count = tasks;
        request.demand = {6200, 64, 0};
        request.declared_run_time = absl::Milliseconds(30);
        request.route = "check";
        request.service = "adviser";
        request.slack_factor = 10;
        request.target = absl::Seconds(1);
        request.max_attempts = 3;
        request.time_limit = time_limit;
        const std::shared_ptr<active_job> job = dispatcher.create(std::move(request));
        asio::co_spawn(
            context,
            [this, job, &answer]() -> asio::awaitable<void> {
                answer = co_await dispatcher.run(job);
            },
            asio::detached);
        return job;
    }

    asio::io_context context{1};
    asio::ip::tcp::endpoint endpoint;
    std::string address;
    operator_view operators;
    event_log log;
    metrics_registry metrics;
    entry_service entry;
    job_dispatcher dispatcher;
    run_counter counter;
    std::vector<std::unique_ptr<agent_fixture>> agents;
};

} // namespace carobfall::test
