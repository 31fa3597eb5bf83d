#pragma once

#include "carobfall/backend/task_runner.h"
#include "carobfall/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace httplib {
class Client;
} // namespace httplib

namespace carobfall {

/// Port of the backend server on the loopback address; 0 if none has announced itself.
using backend_port_function = std::function<std::uint16_t()>;

/// Runs tasks by HTTP requests over a persistent connection.
class http_task_runner : public task_runner {
public:
    /// `max_result_bytes` bounds the body of a response; a longer one fails the task.
    http_task_runner(backend_port_function port, std::size_t max_result_bytes,
                     clock_function clock);
    ~http_task_runner() override;
    http_task_runner(const http_task_runner&) = delete;
    http_task_runner& operator=(const http_task_runner&) = delete;

    run_outcome run(const run_request& request, absl::Time now) override;

private:
    void prepare_client(std::uint16_t port, absl::Time now, absl::Duration timeout);

    const backend_port_function port_;
    const std::size_t max_result_bytes_;
    const clock_function clock_;
    std::unique_ptr<httplib::Client> client_;
    std::uint16_t connected_port_{0};
    absl::Time last_use_;
};

} // namespace carobfall
