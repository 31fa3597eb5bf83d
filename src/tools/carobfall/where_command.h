#pragma once

#include "carobfall/base/error.h"
#include "exit_code.h"

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace carobfall::tool {

/// Flags of `carobfall where`.
struct where_options {
    std::vector<std::string> addresses; ///< ip:port where entries serve /metrics
    std::string host;
    std::string path;
    std::string file; ///< body of the job as callers submit it; replaces the options up to `limit`
    std::uint32_t tasks{1};
    std::int64_t cpu_millicores{0};
    std::int64_t memory_mib{0};
    double run_ms{0};
    std::string data_rack;
    std::string label;
    std::uint32_t limit{0};     ///< tasks per worker; 0: no limit
    double deadline_seconds{0}; ///< 0: the entry's default
    std::size_t rows{20};       ///< most candidates, and agents for each obstacle
    bool json_output{false};
};

/// Returns the body of a submission with the job of the options. Errors: `invalid_request` if the
/// file can't be read.
[[nodiscard]] result<std::string> body_of(const where_options& options);

/// Asks each entry what it would do with the job and prints the answers. Returns `unreachable` if
/// no entry responds, else the code of the first entry that refuses the request: `invalid_input`
/// for a malformed job, `refused` for an unknown route or a job that the entry doesn't support.
exit_code where(const where_options& options, std::ostream& out, std::ostream& errors);

} // namespace carobfall::tool
