#include "carobfall/jobs/worker_ledger.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace carobfall;

namespace {

/// Minimal model of a worker. It refuses a run if the same or a higher run number of the task was
/// stopped or has ended, and it may carry out orders late.
class model_worker {
public:
    bool start(const task_run& run)
    {
        const auto key = std::make_pair(run.job_id, run.index);
        if (run.run <= highest_[key]) {
            return false;
        }
        if (active_.contains(key) && active_[key] != run.run) {
            overlapped = true;
        }
        active_[key] = run.run;
        return true;
    }
    void stop(const task_run& run)
    {
        const auto key = std::make_pair(run.job_id, run.index);
        highest_[key] = std::max(highest_[key], run.run);
        if (active_.contains(key) && active_[key] <= run.run) {
            end(key, run_end_kind::stopped);
        }
    }
    void end_one(std::size_t position, run_end_kind kind)
    {
        if (!active_.empty()) {
            end(std::next(active_.begin(), static_cast<long>(position % active_.size()))->first,
                kind);
        }
    }
    [[nodiscard]] bool runs(const std::string& job, std::uint32_t index) const
    {
        return active_.contains({job, index});
    }
    [[nodiscard]] std::size_t active() const { return active_.size(); }
    [[nodiscard]] worker_report report(std::uint64_t acknowledged) const
    {
        worker_report report;
        for (const auto& [key, run] : active_) {
            report.active.push_back({{key.first, key.second, run}, 50});
        }
        for (const run_end& end : ends_) {
            if (end.number > acknowledged) {
                report.ends.push_back(end);
            }
        }
        return report;
    }

    bool overlapped{false};

private:
    using key = std::pair<std::string, std::uint32_t>;

    void end(key task, run_end_kind kind)
    {
        const std::uint32_t run = active_.at(task);
        highest_[task] = std::max(highest_[task], run);
        ends_.push_back({ends_.size() + 1, {task.first, task.second, run}, kind});
        active_.erase(task);
    }

    std::map<key, std::uint32_t> active_;
    std::map<key, std::uint32_t> highest_;
    std::vector<run_end> ends_;
};

constexpr std::uint32_t task_count = 4;
const std::string job_id = "00000000000000aa";

/// Runs the ledger against the model with random orders, lost answers and late deliveries.
class ledger_simulation {
public:
    ledger_simulation()
    {
        worker_announcement worker;
        worker.id = "i-1";
        worker.service = "adviser";
        worker.capacity = {20000, 1000, 0};
        worker.sequence = 1;
        ledger.announce(worker);
    }

    void step(int action, int choice)
    {
        now += absl::Milliseconds(5);
        switch (action) {
        case 0:
            order(static_cast<std::uint32_t>(choice) % task_count);
            break;
        case 1:
            start(choice % 3);
            break;
        case 2:
            stop(choice % 2 == 0);
            break;
        case 3:
            model.end_one(static_cast<std::size_t>(choice),
                          choice % 2 == 0 ? run_end_kind::done : run_end_kind::failed);
            break;
        case 4:
            report();
            break;
        case 5:
            if (!delayed_starts.empty()) {
                model.start(delayed_starts.front());
                delayed_starts.erase(delayed_starts.begin());
            }
            break;
        case 6:
            ledger.drop_session(session, now);
            open_attempts.clear();
            ++session;
            break;
        default:
            break;
        }
        check_events();
        RC_ASSERT(!model.overlapped);
        RC_ASSERT(ledger.free_room().cpu_millicores >= 0);
    }

    /// Checks that every task is reported and all runs have ended once the worker answers all
    /// orders.
    void finish()
    {
        for (int round = 0; round < 40; ++round) {
            now += absl::Milliseconds(5);
            start(0);
            stop(true);
            model.end_one(0, run_end_kind::done);
            report();
            check_events();
        }
        RC_ASSERT(open_attempts.empty());
        RC_ASSERT(ledger.on_worker() == 0U);
    }

private:
    void order(std::uint32_t index)
    {
        if (open_attempts.contains(index)) {
            return;
        }
        fleet::task_order task;
        task.set_job_id(job_id);
        task.set_index(index);
        task.set_attempt(++attempt);
        task.set_cpu_millicores(6200);
        task.set_expected_run_ms(100);
        task.set_start_by_ms(1000000);
        task.set_late_start_by_ms(1000000);
        task.set_give_up_ms(1000000);
        task.set_service("adviser");
        open_attempts[index] = attempt;
        ledger.add(session, task, now);
    }

    /// `delivery`: 0: carried out and answered, 1: carried out later without an answer, otherwise
    /// carried out without an answer.
    void start(int delivery)
    {
        const auto number = ledger.begin_next(
            now, [this](session_number candidate) { return candidate == session; });
        if (!number) {
            return;
        }
        const task_run run = run_of(*ledger.find(*number));
        if (delivery == 0) {
            const bool started = model.start(run);
            ledger.on_start_reply(
                *number,
                {started ? start_outcome::started : start_outcome::superseded, std::nullopt}, now);
            return;
        }
        if (delivery == 1) {
            delayed_starts.push_back(run);
        } else {
            model.start(run);
        }
        ledger.on_start_reply(*number, {start_outcome::no_answer, std::nullopt}, now);
    }

    void stop(bool answered)
    {
        const auto number = ledger.begin_stop();
        if (!number) {
            return;
        }
        if (answered) {
            model.stop(run_of(*ledger.find(*number)));
        }
        ledger.on_stop_reply(*number, answered, now);
    }

    void report()
    {
        const worker_report result = model.report(ledger.acknowledged_end());
        ledger.on_report(result, now + absl::Milliseconds(1), now + absl::Milliseconds(2));
    }

    void check_events()
    {
        for (const session_event& event : ledger.take_events()) {
            // Events of a session that has ended are not delivered.
            if (event.session != session) {
                continue;
            }
            const std::uint32_t index = event.event.index();
            RC_ASSERT(open_attempts.contains(index));
            RC_ASSERT(open_attempts[index] == event.event.attempt());
            open_attempts.erase(index);
            // The receiver of the event may start the task elsewhere.
            RC_ASSERT(!model.runs(job_id, index));
        }
    }

    worker_ledger ledger;
    model_worker model;
    absl::Time now{absl::FromUnixSeconds(1000)};
    session_number session{1};
    std::uint32_t attempt{0};
    std::map<std::uint32_t, std::uint32_t> open_attempts;
    std::vector<task_run> delayed_starts;
};

} // namespace

// Guards against concurrent runs of a task and against tasks whose end is never reported, with
// random lost, late and stopped orders.
TEST_CASE("a task is reported as ended only after all its runs have ended")
{
    CHECK(rc::check([] {
        const auto actions = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 12)));
        ledger_simulation test;
        for (const auto& [action, choice] : actions) {
            test.step(action, choice);
        }
        test.finish();
    }));
}
