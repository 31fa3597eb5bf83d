#pragma once

#include "carobfall/base/ids.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace carobfall {

/// Time that claims, answers and task records are kept after the deadline. It covers differences
/// between the clocks of the instances.
inline constexpr absl::Duration record_retention = absl::Seconds(60);

/// Claims that this entry holds as coordinator or as witness. Thread-safe.
class claim_store {
public:
    /// Adds the claim, or extends the one held: planned agents are united and `answered` stays
    /// set. The body hash of a held claim never changes.
    void put(const rpc::claim& claim);
    [[nodiscard]] std::optional<rpc::claim> find(const submission_key& key) const;
    [[nodiscard]] std::vector<rpc::claim> all() const;
    [[nodiscard]] std::size_t size() const;
    /// Drops claims whose deadline and retention have passed.
    void expire(absl::Time now);

private:
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<submission_key, rpc::claim> claims_ ABSL_GUARDED_BY(mutex_);
};

} // namespace carobfall
