#pragma once

#include "load_plan.h"
#include "load_statistics.h"

#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace carobfall::tool {

/// A submission that is to be sent now.
struct load_request {
    std::string submission_id;
    std::string body;
    absl::Time deadline;
};

/// Outcome of a submission as in its answer.
struct load_answer {
    std::string outcome; ///< "complete", or the name of the error kind
    std::map<std::string, std::uint64_t> ran_by_agent;
};

/// Sends the request and waits for the answer. Each sending thread has its own sender.
using load_sender = std::function<load_answer(const load_request& request)>;
using load_sender_factory = std::function<load_sender(std::size_t thread)>;

/// Sends the submissions of a plan at their intended times, independently of the answers (open
/// loop). While all threads are busy, submissions are sent late; their response times are measured
/// from the intended times.
class load_runner {
public:
    /// Every submission id begins with `id_prefix`.
    load_runner(const load_workload& workload, std::string id_prefix, std::size_t threads,
                load_sender_factory make_sender);

    /// Returns when all submissions are answered.
    [[nodiscard]] load_statistics run(const std::vector<planned_submission>& plan) const;

private:
    [[nodiscard]] load_request request_of(const planned_submission& planned, std::size_t number,
                                          absl::Time start) const;

    const load_workload& workload_;
    std::string id_prefix_;
    std::size_t threads_;
    load_sender_factory make_sender_;
};

} // namespace carobfall::tool
