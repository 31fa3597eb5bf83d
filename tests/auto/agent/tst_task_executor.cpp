#include "ledger_fixture.h"

#include "backend_standin.h"
#include "carobfall/agent/task_executor.h"
#include "carobfall/backend/http_task_runner.h"

#include <absl/time/clock.h>
#include <doctest/doctest.h>

#include <future>

using namespace carobfall;

namespace {

/// Passes the request to the test without running a task.
struct recording_runner : task_runner {
    explicit recording_runner(std::promise<run_request>& received) : received(received) {}

    run_outcome run(const run_request& request, absl::Time /*now*/) override
    {
        received.set_value(request);
        return {};
    }

    std::promise<run_request>& received;
};

} // namespace

// Guards against a backend server that can't detect that the lease has ended when a task arrives.
TEST_CASE("a task carries the end of the lease as a time of the system clock")
{
    ledger_fixture f;
    f.start(0);
    f.now += absl::Milliseconds(500);
    std::promise<run_request> received;
    metrics_registry metrics;
    task_executor executor(
        f.ledger, [&] { return std::make_unique<recording_runner>(received); },
        [](const pending_report&) {}, metrics, [&] { return f.now; });
    const absl::Time before = absl::Now();
    executor.ensure_threads(1);
    const run_request request = received.get_future().get();
    // 1.5 s of the lease of 2 s are left.
    CHECK(request.start_before >= before + absl::Milliseconds(1500));
    CHECK(request.start_before <= absl::Now() + absl::Milliseconds(1500));
}

// Guards against a start by an agent that was paused between its last check and the request to the
// backend server, for example while its data centre was taken out.
TEST_CASE("a task that reaches the backend server after the end of the lease does not start")
{
    backend_standin backend({});
    REQUIRE(backend.start());
    http_task_runner runner([&] { return static_cast<std::uint16_t>(backend.port()); }, 1000,
                            monotonic_now);
    run_request request;
    request.key = ledger_fixture::key(0);
    request.request_path = "/v1/run";
    request.deadline_unix_ms = to_unix_ms(monotonic_now() + absl::Seconds(20));
    request.start_before = absl::Now() - absl::Milliseconds(1);
    CHECK(runner.run(request, monotonic_now()).refusal == rpc::refusal_no_lease);
    CHECK(backend.starts().empty());
    request.start_before = absl::Now() + absl::Seconds(20);
    CHECK(runner.run(request, monotonic_now()).result.success());
}
