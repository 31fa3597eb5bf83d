#pragma once

#include "carobfall/platform/configuration_rows.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <cstddef>
#include <functional>

namespace carobfall {

/// Number of versions whose log rows and change ids are kept. A reader further behind loads a
/// snapshot; a request repeated after this many later versions is no longer recognised.
inline constexpr std::uint64_t kept_versions = 1000;

/// Maximum number of changes in one transaction.
inline constexpr std::size_t max_changes_at_once = 200;

/// Changes that are applied atomically.
struct configuration_change_set {
    /// Each has a key, a value and `deleted`; the store assigns the version and the change id.
    std::vector<rpc::configuration_change> changes;
    /// Idempotency key of the request: it stays the same when the request is repeated.
    std::string change_id;
    /// Version that the change is based on. Default: the version that the call reads first.
    std::optional<std::uint64_t> expected_version;
};

/// Exponential backoff with jitter: each pause is a random 50% to 100% of its step.
struct store_retry_policy {
    int attempts{8};
    absl::Duration first_pause{absl::Milliseconds(50)};
    absl::Duration longest_pause{absl::Seconds(1)};
};

/// The operators' configuration in the table service. Thread-safe. A call blocks at most for
/// all attempts of the retry policy and the pauses between them.
///
/// Errors of all calls: `overloaded` if the service still throttles after the last attempt,
/// `unavailable` during an outage, `internal` for a row that can't be read.
class configuration_store {
public:
    using sleep_function = std::function<void(absl::Duration)>;

    explicit configuration_store(table_service& table, store_retry_policy policy = {},
                                 sleep_function sleep = absl::SleepFor);

    /// Returns a snapshot of the whole configuration.
    result<rpc::push_configuration_request> load();

    /// Returns the changes after `version`, or a snapshot if the log no longer has them all.
    /// Without changes, this is a single read of the table service.
    result<rpc::push_configuration_request> changes_since(std::uint64_t version);

    /// Commits the changes that differ from the stored rows and returns the version with them.
    /// Idempotent: a request that is repeated with its change id is applied at most once.
    ///
    /// Errors: `conflict` if a row was changed to another value after the expected version, or if
    /// the change id was used for other changes; `invalid_request`; `outcome_unknown` if the
    /// changes may have been committed or may yet be committed. `unavailable` and `overloaded`
    /// describe only this call: an earlier unknown outcome stays unknown.
    result<std::uint64_t> apply(const configuration_change_set& request);

private:
    result<configuration_head> read_head();
    result<rpc::push_configuration_request> load_once();
    result<rpc::push_configuration_request> changes_once(std::uint64_t version);
    /// Appends the log rows from `first` to `last`. Returns false if one is missing.
    result<bool> append_log(std::uint64_t first, std::uint64_t last,
                            rpc::push_configuration_request& update);
    void pause(int attempt);

    template <typename T>
    result<T> retry_while_throttled(const std::function<result<T>()>& call);

    table_service& table_;
    store_retry_policy policy_;
    sleep_function sleep_;
};

} // namespace carobfall
