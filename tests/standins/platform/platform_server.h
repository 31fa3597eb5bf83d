#pragma once

#include "../server_thread.h"
#include "carobfall/base/error.h"
#include "carobfall/platform/table_service.h"
#include "change_journal.h"
#include "rate_limit.h"

#include <absl/time/time.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace carobfall::testing {

/// Faults that PUT /control/faults sets; docs/platform-protocol.md describes them.
struct platform_faults {
    bool outage{false};
    std::int64_t delay_ms{0};
    std::int64_t sync_ms{4};
    std::int64_t lost_answers{0};
    double writes_per_second{500};
    double reads_per_second{2000};

    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(platform_faults, outage, delay_ms, sync_ms,
                                                lost_answers, writes_per_second, reads_per_second)
};

/// Stand-in for the platform's table service and object store over HTTP. Holds its state in memory
/// and, with `open_data`, in a journal from which a later process restores it.
class platform_server {
public:
    platform_server();

    /// Restores the state from the directory and records every change there before it is
    /// acknowledged; call it before `start`.
    result<void> open_data(const std::string& directory);
    /// Binds and serves in a thread of its own; port 0 lets the kernel choose. Returns the port.
    result<std::uint16_t> start(const std::string& ip, std::uint16_t port);
    void stop() { thread_.stop(); }

    void set_faults(const platform_faults& faults);

private:
    using handler = nlohmann::json (platform_server::*)(const nlohmann::json& request);

    void add_table_routes();
    void add_object_routes();
    void add_control_routes();
    void serve(const httplib::Request& request, httplib::Response& response, bool is_write,
               handler function);
    void serve_object(const httplib::Request& request, httplib::Response& response);
    /// Applies the configured outage, rate limits and delays. False if the request was refused.
    bool admit(httplib::Response& response, bool is_write);
    bool take_lost_answer();

    /// Applies the change to the tables or objects; throws if it is malformed.
    void apply(const nlohmann::json& change);
    /// Records the change, then applies it. False if it could not be recorded.
    bool record(const nlohmann::json& change);

    nlohmann::json read(const nlohmann::json& request);
    nlohmann::json scan(const nlohmann::json& request);
    nlohmann::json commit(const nlohmann::json& request);

    httplib::Server server_;
    server_thread thread_{server_};
    /// Guards the members below. Not absl::Mutex: Debian builds it without ThreadSanitizer.
    std::mutex mutex_;
    platform_faults faults_;
    rate_limit reads_;
    rate_limit writes_;
    change_journal journal_;
    std::map<std::string, table_row, std::less<>> rows_;
    std::uint64_t last_version_{0};
    std::map<std::string, std::string> objects_;
};

} // namespace carobfall::testing
