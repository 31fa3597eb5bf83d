#pragma once

#include "command_context.h"
#include "load_statistics.h"

#include <cstddef>
#include <string>
#include <vector>

namespace carobfall::tool {

/// Flags of `carobfall load`.
struct load_options {
    std::string workload_file;
    std::vector<std::string> entries; ///< entries' addresses for callers, used in turn
    std::string token;
    std::size_t threads{256};   ///< maximum number of submissions that wait for an answer at once
    bool allow_remote{false};   ///< addresses other than loopback are refused without it
    std::string plot_file;      ///< SVG file of the latency distribution; empty: no plot
    std::string operator_entry; ///< address for operators; empty: data centres unknown
    std::string operator_token_file;
    std::vector<std::string> start_logs; ///< addresses of backend stand-ins with start logs
};

/// Errors: `invalid_request` if an address isn't on loopback and remote ones aren't allowed.
[[nodiscard]] result<void> check_load_addresses(const load_options& options);

/// Sends the workload and prints the report. Returns `failed_answer` if a task started more
/// than once, otherwise `ok` once the load was sent, even if submissions failed.
exit_code load(command_context& context, const load_options& options);

} // namespace carobfall::tool
