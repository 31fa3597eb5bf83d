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

/// True if the claim was reconstructed from agent records, because the entries that held the
/// original are gone.
[[nodiscard]] bool is_from_records(const rpc::claim& claim);

/// Stores the claims that this entry holds as coordinator or as witness. Thread-safe.
class claim_store {
public:
    /// Adds the claim, or merges it with the one held. Of two claims with different bodies only the
    /// one with the higher view number is kept: the other was never held by its coordinator. With
    /// the same body, the planned agents are merged, the coordinator of the higher view number is
    /// kept, `answered` is set if either copy has it, and `answered_complete` only if every
    /// answered copy has it. Returns false if the held claim has another body and is kept.
    bool put(const rpc::claim& claim);
    /// Like `put`, for a copy transferred from another entry for `view`. With equal view numbers
    /// the coordinator of the held claim is kept if it is a member of the view.
    void merge(const rpc::claim& copy, const rpc::entry_view& view);
    /// Removes the claim if the stored one has the same coordinator, body and view number. Called
    /// when the coordinator never held the claim. Agent records for the key are kept: they may
    /// belong to a claim of a later owner, all of whose holders were lost.
    bool withdraw(const rpc::claim& claim);
    /// Adds an agent's record. If no claim is held, creates one that has only key, deadline and
    /// records.
    void add_record(const rpc::record_summary& record);
    /// Marks the claim as answered if it is held.
    void note_answered(const rpc::answered_note& note);
    [[nodiscard]] std::optional<rpc::claim> find(const submission_key& key) const;
    [[nodiscard]] std::vector<rpc::claim> all() const;
    [[nodiscard]] std::size_t size() const;
    /// Removes the claims whose deadline and retention have passed.
    void expire(absl::Time now);

private:
    bool put_locked(const rpc::claim& claim, const rpc::entry_view* view)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    mutable absl::Mutex mutex_;
    absl::flat_hash_map<submission_key, rpc::claim> claims_ ABSL_GUARDED_BY(mutex_);
};

} // namespace carobfall
