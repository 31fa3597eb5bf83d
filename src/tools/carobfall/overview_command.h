#pragma once

#include "exit_code.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace carobfall::tool {

/// Flags of `carobfall overview`.
struct overview_options {
    std::vector<std::string> addresses; ///< ip:port where processes serve /metrics
    bool json_output{false};
};

/// Metrics of one process.
struct process_sample {
    std::string address;
    bool responded{false};
    std::string name;                     ///< empty without a response
    std::string data_centre;              ///< empty without a response
    std::map<std::string, double> values; ///< by metric with its labels, without the prefix

    /// Returns no value if the process has no such metric.
    [[nodiscard]] std::optional<double> value(std::string_view metric) const;
};

/// Totals and problems of all processes.
struct fleet_overview {
    std::size_t processes{0};
    std::vector<std::string> unresponsive;  ///< addresses without a response
    std::map<std::string, double> outcomes; ///< jobs by "outcome, reason"
    std::map<std::string, double> refusals; ///< requests refused before they became jobs, by reason
    std::map<std::string, std::size_t> configurations; ///< processes by version
    std::vector<std::string> without_store;            ///< processes without a reply from the store
    std::vector<std::string> not_ready;                ///< entries that are not ready
    std::vector<std::string> degraded; ///< agents with their problems, for example "slow"
    double free_cores{0};              ///< sum over the agents
    double capacity_cores{0};
    double waiting_tasks{0};
    double running_tasks{0};
};

/// Reads the text of /metrics. Lines that aren't samples of carobfall are skipped.
[[nodiscard]] process_sample parse_metrics(std::string_view address, std::string_view text);

[[nodiscard]] fleet_overview summarize(const std::vector<process_sample>& samples);

/// Requests the metrics of all processes and prints the overview. Returns `unreachable` if none
/// responds and `invalid_input` for a malformed address.
exit_code overview(const overview_options& options, std::ostream& out, std::ostream& errors);

} // namespace carobfall::tool
