#include "fakes.h"

#include "carobfall/dispatch/account_limits.h"
#include "carobfall/dispatch/attempt_accounting.h"
#include "carobfall/dispatch/backend_health.h"
#include "carobfall/dispatch/retry_budget.h"
#include "carobfall/dispatch/run_times.h"

#include <doctest/doctest.h>

using namespace carobfall;
using namespace carobfall::testing;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

backoff_table one_kind(failure_kind kind, backoff_steps steps)
{
    backoff_table table;
    table.at(static_cast<std::size_t>(kind)) = std::move(steps);
    return table;
}

rpc::task_result failed_result(std::uint32_t status, std::uint32_t run_ms)
{
    rpc::task_result result;
    result.set_backend_status(status);
    result.set_run_ms(run_ms);
    return result;
}

} // namespace

// Guards against a backend server that fails all tasks and still attracts new ones.
TEST_CASE("backoff grows with each failure, allows one probe at a time, and ends with a success")
{
    backend_health health(one_kind(failure_kind::failed, {absl::Seconds(1), absl::Seconds(4)}),
                          [] { return std::uint64_t{1} << 63U; });
    CHECK(health.permission("a1", start) == backend_permission::allowed);
    health.record_failure("a1", failure_kind::failed, start);
    // A second failure during the backoff doesn't extend it.
    health.record_failure("a1", failure_kind::failed, start + absl::Milliseconds(1));
    CHECK(health.permission("a1", start + absl::Milliseconds(990)) == backend_permission::denied);
    CHECK(health.backoff("a1", start).kind == failure_kind::failed);
    CHECK(absl::AbsDuration(health.backoff("a1", start).remaining - absl::Seconds(1)) <
          absl::Milliseconds(1));
    absl::Time now = start + absl::Milliseconds(1010);
    CHECK(health.permission("a1", now) == backend_permission::probe);
    CHECK(health.backoff("a1", now).remaining == absl::ZeroDuration());
    CHECK(health.backoff("a1", now).kind.has_value());
    CHECK(health.take_probe("a1", now));
    CHECK(!health.take_probe("a1", now));
    CHECK(health.permission("a1", now) == backend_permission::denied);
    health.record_failure("a1", failure_kind::failed, now);
    CHECK(health.permission("a1", now + absl::Milliseconds(3900)) == backend_permission::denied);
    now += absl::Milliseconds(4100);
    CHECK(health.take_probe("a1", now));
    health.release_probe("a1");
    CHECK(health.take_probe("a1", now));
    health.record_success("a1");
    CHECK(health.permission("a1", now) == backend_permission::allowed);
    CHECK_FALSE(health.backoff("a1", now).kind.has_value());
}

TEST_CASE("each failure kind has its own backoff steps, and retry_now clears the backoff")
{
    backend_health health(default_backoff_table(), seeded_random());
    health.record_failure("a1", failure_kind::failed, start);
    CHECK(health.permission("a1", start) == backend_permission::allowed);
    health.record_failure("a1", failure_kind::refused, start);
    health.record_failure("a2", failure_kind::refused, start);
    CHECK(health.permission("a1", start) == backend_permission::denied);
    CHECK(health.permission("a3", start) == backend_permission::allowed);
    CHECK(health.retry_now("a1") == 1);
    CHECK(health.permission("a1", start) == backend_permission::allowed);
    CHECK(health.retry_now("") == 1);
}

TEST_CASE("the failure kind of a backend server is derived from the result")
{
    CHECK(failure_kind_of(failed_result(0, 1)) == failure_kind::refused);
    CHECK(failure_kind_of(failed_result(0, 900)) == failure_kind::timed_out);
    CHECK(failure_kind_of(failed_result(504, 900)) == failure_kind::timed_out);
    CHECK(failure_kind_of(failed_result(500, 200)) == failure_kind::failed);
    CHECK(failure_kind_of(failed_result(500, 2)) == failure_kind::fast_failure);
    // A malformed task must not cause a backoff that affects other tasks.
    CHECK(!failure_kind_of(failed_result(422, 2)).has_value());
}

// Guards against one account that exceeds its limits at the expense of the others.
TEST_CASE("running tasks, queued tasks and the start rate are limited")
{
    account_limits limits;
    account_limit_values values;
    values.concurrent_tasks = 4;
    values.queued_tasks = 10;
    CHECK(limits.enqueue("dambi", values, 10));
    CHECK(!limits.enqueue("dambi", values, 1));
    CHECK(limits.grant("dambi", values, 10, 100, start) == 4);
    CHECK(limits.grant("dambi", values, 6, 100, start) == 0);
    limits.release("dambi", 3);
    CHECK(limits.grant("dambi", values, 6, 100, start) == 3);

    values = {};
    values.starts_per_second = 2;
    CHECK(limits.enqueue("ombili", values, 10));
    CHECK(limits.grant("ombili", values, 10, 100, start) == 2);
    CHECK(limits.grant("ombili", values, 10, 100, start + absl::Milliseconds(400)) == 0);
    CHECK(limits.grant("ombili", values, 10, 100, start + absl::Milliseconds(600)) == 1);
    limits.requeue("ombili", 1, true);
    CHECK(limits.grant("ombili", values, 10, 100, start + absl::Milliseconds(600)) == 1);
}

// Guards against one account that occupies all slots, and against slots that stay unused.
TEST_CASE("accounts share busy slots by weight, and unused shares go to other accounts")
{
    account_limits limits;
    account_limit_values heavy;
    heavy.weight = 3;
    const account_limit_values light;
    CHECK(limits.enqueue("heavy", heavy, 100));
    CHECK(limits.grant("heavy", heavy, 100, 40, start) == 40);
    CHECK(limits.enqueue("light", light, 100));
    CHECK(limits.grant("light", light, 100, 40, start) == 10);
    CHECK(limits.grant("heavy", heavy, 60, 40, start) == 0);
    limits.release("heavy", 15);
    CHECK(limits.grant("heavy", heavy, 60, 40, start) == 5);
    limits.drop_queued("light", 90);
    limits.release("light", 7);
    CHECK(limits.grant("heavy", heavy, 60, 40, start) == 7);
}

// Guards against retries that multiply the load of an overloaded region.
TEST_CASE("retries are limited to a share of the first starts plus a small rate")
{
    retry_budget budget(0.2, 2);
    CHECK(budget.take(100, start) == 2);
    budget.add_first_starts(50);
    CHECK(budget.take(100, start) == 10);
    CHECK(budget.take(100, start + absl::Milliseconds(600)) == 1);
    CHECK(budget.take(100, start + absl::Seconds(60)) == 2);
}

// Guards against refusals due to a wrong declared run time. Also guards against a wrong average
// that refuses all tasks of its template, so that no new runs correct it.
TEST_CASE("measured run times replace the declared one, for a bounded number of templates")
{
    run_times runs(2);
    const absl::Duration declared = absl::Seconds(1);
    const absl::Duration measured = absl::Milliseconds(100);
    const auto expected = [&](const char* name, absl::Duration given, absl::Time now) {
        return runs.expected("dambi", name, given, now);
    };
    CHECK(expected("a", declared, start).run == declared);
    for (int i = 0; i < 9; ++i) {
        runs.record("dambi", "a", declared, measured, start);
    }
    CHECK(absl::AbsDuration(expected("a", declared, start).run - absl::Milliseconds(190)) <
          absl::Milliseconds(1));
    CHECK_FALSE(expected("a", declared, start).is_measured);
    for (int i = 0; i < 50; ++i) {
        runs.record("dambi", "a", declared, measured, start);
    }
    CHECK(expected("a", declared, start).run < absl::Milliseconds(110));
    CHECK(expected("a", declared, start).is_measured);
    CHECK(expected("a", 2 * declared, start).run == 2 * declared);
    CHECK(expected("a", declared, start + absl::Seconds(60)).run == declared);

    runs.record("dambi", "b", declared, measured, start + absl::Seconds(1));
    runs.record("dambi", "c", declared, measured, start + absl::Seconds(2));
    CHECK(runs.size() == 2);
    CHECK(expected("a", declared, start).run == declared);
}

TEST_CASE("account limits are divided among the entries")
{
    const account_limit_values part = limits_per_entry({10, 9, 0, 2}, 3);
    CHECK(part.concurrent_tasks == 4);
    CHECK(part.starts_per_second == doctest::Approx(3));
    CHECK(part.queued_tasks == 0);
    CHECK(part.weight == doctest::Approx(2));
}
