#include "carobfall/jobs/short_notice.h"
#include "carobfall/jobs/worker_ledger.h"

#include <doctest/doctest.h>

using namespace carobfall;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

absl::Time after(int milliseconds)
{
    return start + absl::Milliseconds(milliseconds);
}

/// A worker with one run that announces after 350 ms that it drains.
struct draining_worker {
    explicit draining_worker(absl::Duration remaining)
    {
        worker.id = "i-1";
        ledger.announce(worker);
        fleet::task_order order;
        order.set_job_id("aa");
        order.set_expected_run_ms(3600);
        order.set_late_start_by_ms(8000);
        order.set_give_up_ms(16000);
        ledger.add(1, order, start);
        number = ledger.begin_next(start, [](session_number) { return true; }).value();
        ledger.on_start_reply(number, {start_outcome::started, std::nullopt}, start);
        announce(worker_state::draining, remaining, after(350));
    }
    void announce(worker_state state, absl::Duration remaining, absl::Time now)
    {
        worker.state = state;
        worker.drain_remaining = remaining;
        ++worker.sequence;
        REQUIRE(ledger.announce(worker, now));
    }
    /// Whether the run has to stop after a report at `now`.
    bool stops(int percent, absl::Time now = after(360))
    {
        worker_report report;
        report.active.push_back({{"aa", 0, 1}, percent});
        ledger.on_report(report, now, now);
        return ledger.begin_stop() == number;
    }

    worker_announcement worker;
    worker_ledger ledger;
    worker_ledger::record_number number{0};
};

} // namespace

// Load pattern: a worker leaves 1.8 s after its notice. Guards against a run that is lost with the
// worker, and against a report of its end that is not proven or is repeated.
TEST_CASE("a run that can't end before its worker leaves is stopped and reported once")
{
    draining_worker test(absl::Milliseconds(1800));
    REQUIRE(test.stops(10));
    const std::vector<ledger_decision> decisions = test.ledger.take_decisions();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].expected == absl::Milliseconds(3240));
    CHECK(decisions[0].limit == absl::Milliseconds(1790));
    CHECK_FALSE(test.ledger.has_events());
    test.ledger.on_stop_reply(test.number, true, after(365));
    worker_report report;
    report.ends.push_back({1, {"aa", 0, 1}, run_end_kind::stopped});
    test.ledger.on_report(report, after(366), after(410));
    test.ledger.on_report(report, after(411), after(420));
    const std::vector<session_event> events = test.ledger.take_events();
    REQUIRE(events.size() == 1);
    CHECK(events[0].event.kind() == fleet::task_ended);
    CHECK(events[0].event.reason() == "worker_leaves_first");
}

// Guards against discarding work that would have been completed.
TEST_CASE("a run goes on if it may end before its worker leaves, or if the time is unknown")
{
    CHECK_FALSE(draining_worker(absl::Milliseconds(1800)).stops(25));
    CHECK_FALSE(draining_worker(absl::Milliseconds(3000)).stops(10));
    CHECK_FALSE(draining_worker(absl::Milliseconds(1800)).stops(2));
    draining_worker test(absl::InfiniteDuration());
    CHECK_FALSE(test.stops(10));
    // A heartbeat that was sent before the notice does not revoke it.
    test.announce(worker_state::draining, absl::Milliseconds(1800), after(361));
    test.announce(worker_state::ready, absl::InfiniteDuration(), after(362));
    CHECK(test.stops(10, after(365)));
}

// Guards against a stop that costs more than the loss of the run, and against one after which the
// task can't end in time elsewhere.
TEST_CASE("a run is stopped only if its loss is clear")
{
    const auto stops = [](int percent, double slowness, int serves_until, int now, int give_up) {
        const run_progress run{start, absl::Seconds(4), after(give_up), percent};
        return worker_leaves_first(run, slowness, after(serves_until), after(now));
    };
    CHECK(stops(20, 1, 3200, 1200, 8000));
    CHECK_FALSE(stops(20, 1, 1700, 1200, 8000));
    CHECK_FALSE(stops(20, 1, 3200, 1200, 7000));
    // On a worker of usual speed the task takes half of the time.
    CHECK(stops(20, 2, 3200, 1200, 7000));
    // A worker that stays longer than it has stated may complete the run.
    CHECK(stops(10, 1, 155, 150, 8000));
    CHECK_FALSE(stops(10, 1, 145, 150, 8000));
}
