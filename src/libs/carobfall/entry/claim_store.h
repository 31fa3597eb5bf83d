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
    /// Adds the claim, or unites it with the one held. Of two claims with different bodies only the
    /// one with the higher view number counts: the other was never held by its coordinator. With
    /// the same body, planned agents are united, the higher view number decides the coordinator,
    /// `answered` stays set, and `answered_complete` if no copy says otherwise. False if the claim
    /// held names another body and stays.
    bool put(const rpc::claim& claim);
    /// As `put`, for a copy that another entry delivered for `view`. With equal view numbers the
    /// coordinator named by the held claim stays if it is a member of the view.
    void merge(const rpc::claim& copy, const rpc::entry_view& view);
    /// Removes a claim that its coordinator never held, if the one held still has its coordinator,
    /// body and view number. Records of agents that belong to the key stay: they may come from the
    /// claim of a later owner that was lost with all its holders.
    bool withdraw(const rpc::claim& claim);
    /// Adds the record of an agent. If no claim is held, one is made that has only key, deadline
    /// and records.
    void learn(const rpc::record_summary& record);
    /// Marks the claim as answered if it is held.
    void note_answered(const rpc::answered_note& note);
    [[nodiscard]] std::optional<rpc::claim> find(const submission_key& key) const;
    [[nodiscard]] std::vector<rpc::claim> all() const;
    [[nodiscard]] std::size_t size() const;
    /// Drops claims whose deadline and retention have passed.
    void expire(absl::Time now);

private:
    bool put_locked(const rpc::claim& claim, const rpc::entry_view* view)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    mutable absl::Mutex mutex_;
    absl::flat_hash_map<submission_key, rpc::claim> claims_ ABSL_GUARDED_BY(mutex_);
};

} // namespace carobfall
