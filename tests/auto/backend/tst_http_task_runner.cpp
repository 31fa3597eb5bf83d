#include "carobfall/backend/http_task_runner.h"
#include "carobfall/base/http_server.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <future>
#include <map>
#include <mutex>

using namespace carobfall;

namespace {

constexpr std::size_t max_result_bytes = 1000;

/// Responds according to the request path, counts the requests and records the last one.
struct fake_backend {
    fake_backend()
    {
        add("/v1/run", [](httplib::Response& reply) { reply.set_content("done", "text/plain"); });
        add("/fail", [](httplib::Response& reply) { reply.status = 500; });
        add("/late", [](httplib::Response& reply) {
            reply.status = 412;
            reply.set_header("X-Carobfall-Not-Started", "true");
        });
        add("/condition", [](httplib::Response& reply) { reply.status = 412; });
        add("/long", [](httplib::Response& reply) {
            reply.set_content(std::string(max_result_bytes + 1, 'x'), "text/plain");
        });
        add("/hang", [this](httplib::Response&) { released_future.wait(); });
        REQUIRE(server.start());
    }

    ~fake_backend() { released.set_value(); }

    void add(const char* path, std::function<void(httplib::Response&)> handler)
    {
        server.add_route("POST", path, [this, handler = std::move(handler)](http_call& call) {
            {
                const std::lock_guard lock(mutex);
                ++requests;
                last = call.request;
                last.body = call.read_body().value();
                ++ports[call.request.remote_port];
            }
            handler(call.response);
        });
    }

    [[nodiscard]] std::uint16_t port() const { return static_cast<std::uint16_t>(server.port()); }

    std::promise<void> released;
    std::shared_future<void> released_future{released.get_future()};
    std::mutex mutex;
    int requests{0};
    httplib::Request last;
    std::map<int, int> ports;
    http_server server{"backend_request", {.threads = 4}};
};

run_request request_of(const std::string& path, absl::Duration timeout)
{
    run_request request;
    request.key = {{"dambi", "s-1"}, 7};
    request.attempt = 2;
    request.request_path = path;
    request.deadline_unix_ms = to_unix_ms(monotonic_now() + timeout);
    request.start_before = from_unix_ms(1'800'000'000'000);
    request.parameters_json = R"({"rate":3})";
    request.payload = R"({"age":71})";
    return request;
}

run_outcome run(http_task_runner& runner, const std::string& path,
                absl::Duration timeout = absl::Seconds(5))
{
    return runner.run(request_of(path, timeout), monotonic_now());
}

} // namespace

// Guards against requests without the identity of the task, and against a new connection for each
// task.
TEST_CASE("a task is posted with its identity over one connection")
{
    fake_backend backend;
    http_task_runner runner([&] { return backend.port(); }, max_result_bytes, monotonic_now);
    for (int i = 0; i < 3; ++i) {
        const run_outcome outcome = run(runner, "/v1/run");
        CHECK(outcome.refusal == rpc::refusal_none);
        CHECK(outcome.result.success());
        CHECK(outcome.result.body() == "done");
    }
    const std::lock_guard lock(backend.mutex);
    CHECK(backend.ports.size() == 1);
    CHECK(backend.last.get_header_value("X-Carobfall-Account") == "dambi");
    CHECK(backend.last.get_header_value("X-Carobfall-Submission") == "s-1");
    CHECK(backend.last.get_header_value("X-Carobfall-Task") == "7");
    CHECK(backend.last.get_header_value("X-Carobfall-Attempt") == "2");
    CHECK(backend.last.has_header("X-Carobfall-Deadline-Unix-Ms"));
    CHECK(backend.last.get_header_value("X-Carobfall-Start-Before-Unix-Ms") == "1800000000000");
    CHECK(backend.last.body == R"({"parameters":{"rate":3},"task":{"age":71}})");
}

// Guards against failures that are reported as success, and against requests that are sent twice.
TEST_CASE("failures are reported with their reason and not retried")
{
    fake_backend backend;
    http_task_runner runner([&] { return backend.port(); }, max_result_bytes, monotonic_now);
    const run_outcome failed = run(runner, "/fail");
    CHECK(failed.refusal == rpc::refusal_none);
    CHECK_FALSE(failed.result.success());
    CHECK(failed.result.backend_status() == 500);

    CHECK(run(runner, "/late").refusal == rpc::refusal_no_lease);
    const run_outcome condition = run(runner, "/condition");
    CHECK(condition.refusal == rpc::refusal_none);
    CHECK(condition.result.backend_status() == 412);

    const run_outcome too_long = run(runner, "/long");
    CHECK_FALSE(too_long.result.success());
    CHECK(too_long.result.body().empty());
    CHECK(too_long.result.error_message().find("raise") != std::string::npos);

    const absl::Time begin = monotonic_now();
    const run_outcome hung = run(runner, "/hang", absl::Milliseconds(200));
    CHECK(monotonic_now() - begin < absl::Seconds(2));
    CHECK(hung.refusal == rpc::refusal_none);
    CHECK_FALSE(hung.result.success());
    CHECK(hung.result.run_ms() >= 150);

    CHECK(run(runner, "/v1/run").result.success());
    const std::lock_guard lock(backend.mutex);
    CHECK(backend.requests == 6);
}

// Guards against a task that is reported as run although no backend server can have received it.
TEST_CASE("a task is refused if no connection can be made")
{
    std::uint16_t closed_port = 0;
    {
        const fake_backend backend;
        closed_port = backend.port();
    }
    http_task_runner refused([=] { return closed_port; }, max_result_bytes, monotonic_now);
    CHECK(run(refused, "/v1/run").refusal == rpc::refusal_backend_unavailable);
    http_task_runner unannounced([] { return std::uint16_t{0}; }, max_result_bytes, monotonic_now);
    CHECK(run(unannounced, "/v1/run").refusal == rpc::refusal_backend_unavailable);
    CHECK(run(refused, "/v1/run", -absl::Seconds(1)).refusal == rpc::refusal_deadline);
}

// Guards against tasks that are sent to the former port of a restarted backend server.
TEST_CASE("a new port is used from the next task on")
{
    fake_backend first;
    fake_backend second;
    std::atomic<std::uint16_t> port = first.port();
    http_task_runner runner([&] { return port.load(); }, max_result_bytes, monotonic_now);
    CHECK(run(runner, "/v1/run").result.success());
    port = second.port();
    CHECK(run(runner, "/v1/run").result.success());
    const std::lock_guard lock(second.mutex);
    CHECK(second.requests == 1);
}
