#pragma once

#include "carobfall/base/ids.h"
#include "carobfall/config/deadline_bound.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace carobfall {

/// The claim is made from the records of agents: the entries that held the real one are gone.
[[nodiscard]] bool is_from_records(const rpc::claim& claim);

/// Claims that this entry holds as coordinator or as witness. Thread-safe.
class claim_store {
public:
    /// Adds the claim, or extends the one held: planned agents are united, `answered` stays set,
    /// and `answered_complete` if no copy says otherwise. The body hash never changes.
    void put(const rpc::claim& claim);
    /// Adds a copy that another entry delivered for `view`, or unites it with the one held. The
    /// coordinator named by the held claim stays if it is a member of the view; otherwise the
    /// claim has been taken over and the copy may name the successor.
    void merge(const rpc::claim& copy, const rpc::entry_view& view);
    /// Makes a submission known of which no claim is held, from the record of an agent. The claim
    /// made for it has only key, deadline and records; a real claim replaces it.
    void learn(const rpc::record_summary& record);
    /// Marks the claim as answered if it is held.
    void note_answered(const rpc::answered_note& note);
    [[nodiscard]] std::optional<rpc::claim> find(const submission_key& key) const;
    [[nodiscard]] std::vector<rpc::claim> all() const;
    [[nodiscard]] std::size_t size() const;
    /// Drops claims whose deadline and retention have passed.
    void expire(absl::Time now);

private:
    void put_locked(const rpc::claim& claim, const rpc::entry_view* view)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    mutable absl::Mutex mutex_;
    absl::flat_hash_map<submission_key, rpc::claim> claims_ ABSL_GUARDED_BY(mutex_);
};

} // namespace carobfall
