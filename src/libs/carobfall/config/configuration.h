#pragma once

#include "carobfall/base/error.h"
#include "carobfall/config/deadline_bound.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carobfall {

/// Limits of a client account. A value of 0 means no limit.
struct account_limit_values {
    std::uint32_t concurrent_tasks{0};
    double starts_per_second{0};
    std::uint32_t queued_tasks{0};
    double weight{1}; ///< share of the slots when all are busy, relative to the other accounts
};

/// Prefix of a token that is declared as its digest only. A bearer token can't begin with it, as it
/// may not contain a colon.
inline constexpr std::string_view token_digest_prefix = "sha256:";

/// A client account with its token and limits.
struct client_account {
    std::string name;
    std::string token; ///< bearer token, or `token_digest_prefix` and its SHA-256 in hexadecimal
    account_limit_values limits;
};

/// Resources that a backend server needs to run a task of a template.
struct task_requirements {
    std::uint32_t processors{0};
    std::uint64_t memory_mib{0};
    std::uint32_t accelerators{0};
};

/// A kind of task of a client account, with its limits and the data centres where it may run.
struct dispatch_template {
    std::string client_account;
    std::string name;
    std::string request_path{"/v1/run"};
    std::string parameters_json{"{}"}; ///< defaults; a request's parameters override them
    std::vector<std::string> required_parameters;
    bool idempotent{false};
    bool rerun_lost{false}; ///< only with `idempotent`
    std::uint32_t max_tasks{670};
    std::uint32_t max_payload_bytes{64 * 1024};
    std::uint32_t max_result_bytes{64 * 1024};
    absl::Duration expected_run{absl::Milliseconds(200)};
    absl::Duration max_deadline{absl::Seconds(60)};
    std::vector<std::string> data_centres; ///< where it may run; empty: everywhere
    task_requirements requirements;
};

/// Immutable snapshot of the declarations and settings of operators at one version.
struct configuration {
    std::uint64_t version{0};
    std::map<std::string, client_account, std::less<>> accounts;
    std::map<std::pair<std::string, std::string>, dispatch_template> templates; ///< account, name
    std::set<std::string, std::less<>> data_centres_out;
    std::map<std::string, deadline_bound, std::less<>> deadline_bounds; ///< by client account

    [[nodiscard]] const client_account* find_account(std::string_view name) const;
    [[nodiscard]] const dispatch_template* find_template(const std::string& account,
                                                         const std::string& name) const;
    [[nodiscard]] bool is_out(std::string_view data_centre) const;
    /// Upper bound of the time from acceptance to deadline, for submissions of the account to the
    /// region with a deadline after `now`. `max_deadline` for an account without a stored bound,
    /// because the version of the program that wrote its rows had no bounds.
    [[nodiscard]] absl::Duration longest_time_to_deadline(std::string_view account,
                                                          std::string_view region,
                                                          absl::Time now) const;
};

using configuration_ptr = std::shared_ptr<const configuration>;

/// Provides the current configuration and the time for which it is confirmed.
class configuration_source {
public:
    virtual ~configuration_source() = default;

    /// Never null; version 0 before the first one is received.
    [[nodiscard]] virtual configuration_ptr current() const = 0;
    /// How long from `now` the configuration is confirmed as current; zero if it isn't.
    [[nodiscard]] virtual absl::Duration fresh_for(absl::Time now) const = 0;
};

} // namespace carobfall
