#pragma once

#include "carobfall/base/error.h"
#include "carobfall/base/ids.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace carobfall::stateful {

/// Maximum time for which tasks still start in a data centre after the change that takes it out was
/// accepted.
inline constexpr absl::Duration data_centre_out_grace = absl::Seconds(5);

/// Maximum time for which tasks still start on a backend server after it or its agent began to
/// leave.
inline constexpr absl::Duration leave_grace = absl::Seconds(5);
/// Name of the template whose tasks may run again after the loss of their agent.
inline constexpr const char* rerun_template = "rerun";

/// Agent and data centre in which a task starts.
struct start_place {
    std::string agent_incarnation;
    std::string data_centre;
    absl::Time leaving_since; ///< when the agent or the backend server began to leave
};

/// One submit call of a client.
struct submit_call {
    rpc::submission_request request;
    bool is_answered{false};
    bool has_other_body{false}; ///< a task with another body had been started before
};

/// Test oracle: records the events observed by the fake backend servers, the clients and the
/// operators, and checks the rules between them. Thread-safe.
class oracle {
public:
    /// A backend server has received the task.
    void on_start(const task_key& task, const std::string& payload, const start_place& place,
                  absl::Time now);
    /// The process of the agent incarnation has ended.
    void on_agent_end(const std::string& incarnation);
    /// A process has shut down gracefully. `unfinished` is the number of tasks or calls in progress
    /// that it has interrupted.
    void on_graceful_end(const std::string& name, std::size_t unfinished);
    /// A client sends a request. Returns the number of the call.
    std::size_t on_submit(const rpc::submission_request& request);
    /// The call has returned an answer or an error.
    void on_answer(std::size_t call, const result<rpc::submission_answer>& answer);
    /// The connection of the call was lost.
    void on_lost(std::size_t call);
    /// A status request for the submission was answered.
    void on_status(const rpc::submission_request& request, const rpc::submission_answer& answer);

    /// The change was committed in the table service.
    void on_committed(std::uint64_t version, const std::string& data_centre, bool out);
    /// The change was reported to the operator as accepted.
    void on_accepted(std::uint64_t version, absl::Time now);
    /// The entry incarnation holds this version.
    void on_version(const std::string& incarnation, std::uint64_t version);

    /// Describes the first violation; empty if there is none.
    [[nodiscard]] std::string violation() const;
    [[nodiscard]] int starts(const submission_key& key, std::uint32_t index) const;
    [[nodiscard]] std::size_t total_starts() const;
    [[nodiscard]] std::size_t complete_answers() const;
    [[nodiscard]] std::uint64_t accepted_version() const;

private:
    struct change {
        std::string data_centre;
        bool out{false};
        absl::Time accepted_at{absl::InfiniteFuture()};
    };

    void report(const std::string& problem);
    void check_answer(const rpc::submission_request& request, const rpc::submission_answer& answer);
    void check_complete(const rpc::submission_request& request,
                        const rpc::submission_answer& answer);
    void check_failed(const rpc::submission_request& request, const rpc::submission_answer& answer);
    void check_data_centre(const std::string& data_centre, absl::Time now);
    [[nodiscard]] bool has_open_call(const submission_key& key) const;
    [[nodiscard]] std::size_t calls_for(const submission_key& key) const;
    [[nodiscard]] bool may_start_again(const task_key& task) const;
    [[nodiscard]] int starts_locked(const task_key& task) const;

    mutable std::mutex mutex_;
    std::string violation_;
    std::map<task_key, std::vector<std::string>> starts_; ///< agent incarnation of each start
    std::set<std::string> ended_agents_;
    std::set<submission_key> rerunnable_;
    std::map<submission_key, std::string> body_started_; ///< body of the started tasks
    std::vector<submit_call> calls_;
    /// Tasks reported as `not_run`, with the number of calls for their submission at that time.
    std::map<task_key, std::size_t> reported_not_run_;
    std::map<std::uint64_t, change> changes_;
    std::map<std::string, std::uint64_t> versions_;
    std::size_t complete_answers_{0};
    std::uint64_t accepted_version_{0};
};

/// True if the backend servers fail this task whenever it runs.
[[nodiscard]] bool must_fail(const task_key& task);
/// Payload that identifies the task and the body.
[[nodiscard]] std::string payload_of(const submission_key& key, const std::string& body,
                                     std::uint32_t index);

} // namespace carobfall::stateful
