#pragma once

#include "carobfall/base/error.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace carobfall::tool {

struct api_request {
    std::string method; ///< GET, POST or DELETE
    std::string path;
    std::string body{};
    absl::Duration read_timeout{absl::Seconds(10)};
};

struct api_response {
    int status{0};
    nlohmann::json body;
};

/// Sends requests to one of several entries. All requests are idempotent, so they can be resent:
/// submissions have an id and changes a change id. Not thread-safe.
class api_client {
public:
    api_client(std::vector<std::string> entries, std::string token);

    /// Tries each entry once, beginning with the one that responded last. Errors: `unavailable` if
    /// none could be reached, `outcome_unknown` if one was reached but gave no valid response.
    result<api_response> call(const api_request& request);

    /// Begins the next call with the next entry.
    void prefer_next_entry();

private:
    [[nodiscard]] result<api_response> call_entry(const std::string& entry,
                                                  const api_request& request) const;

    std::vector<std::string> entries_;
    std::string token_;
    std::size_t preferred_{0};
};

} // namespace carobfall::tool
