#pragma once

#include "carobfall/base/clock.h"
#include "carobfall/base/histogram.h"
#include "carobfall/base/http_server.h"
#include "carobfall/config/configuration.h"
#include "carobfall/dispatch/submission_service.h"

#include <atomic>
#include <cstddef>
#include <string_view>

namespace carobfall {

/// Settings of the callers' interface.
struct caller_settings {
    /// Each open connection occupies a thread, also while its caller waits for an answer.
    http_server_settings http{.threads = 256, .max_body_bytes = std::size_t{8} * 1024 * 1024};
    /// Maximum number of callers that wait at once. Lower than the number of threads, so that
    /// status requests and cancels are served while this many submissions wait.
    std::size_t max_waiting{192};
    /// Longest time between a submission and its deadline, also if its template allows more.
    /// Records are kept for this long, so this limits memory use.
    absl::Duration max_deadline{absl::Seconds(300)};
};

/// HTTP server for callers (docs/api.md): submits, reports and cancels submissions for
/// authenticated client accounts.
class caller_server {
public:
    /// The references must outlive the server.
    caller_server(submission_service& service, const configuration_source& source,
                  metrics_registry& metrics, caller_settings settings,
                  clock_function clock = monotonic_now);

    /// Errors: `unavailable` if the address can't be bound, `invalid_request` if the settings
    /// leave no thread for cancels.
    result<void> start();
    [[nodiscard]] int port() const { return http_.port(); }
    /// Refuses new submissions with `shutting_down`. Status requests and cancels are still served.
    void begin_shutdown() { shutting_down_ = true; }
    /// Blocks until the requests in flight are answered.
    void stop() { http_.stop(); }

private:
    using operation = result<rpc::submission_answer> (submission_service::*)(const submission_key&,
                                                                             absl::Time);

    void submit(http_call& call);
    void run_operation(http_call& call, operation requested);
    [[nodiscard]] result<void> authenticate(const http_call& call) const;
    [[nodiscard]] result<rpc::submission_request> decode(http_call& call,
                                                         const submission_key& key) const;
    result<rpc::submission_answer> run(const rpc::submission_request& request);
    void respond(http_call& call, const submission_key& key,
                 const result<rpc::submission_answer>& outcome);
    void refuse(http_call& call, const error& reason);

    submission_service& service_;
    const configuration_source& source_;
    metrics_registry& metrics_;
    caller_settings settings_;
    clock_function clock_;
    std::atomic<bool> shutting_down_{false};
    std::atomic<std::size_t> waiting_{0};
    http_server http_; ///< last, so that its threads end before the rest is destroyed
};

} // namespace carobfall
