#pragma once

#include "carobfall/platform/table_service.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <functional>
#include <map>
#include <utility>

namespace carobfall::testing {

enum class table_operation { read, scan, commit };

/// In-memory table service with fault injection. Thread-safe. The hook runs before each operation
/// without the lock held, so that it can call the service itself or change the faults.
class fake_table_service : public table_service {
public:
    /// `key` is the key of a read, the prefix of a scan, and empty for a commit.
    using hook = std::function<void(table_operation operation, std::string_view key)>;

    void set_hook(hook callback)
    {
        const absl::MutexLock lock(&mutex_);
        hook_ = std::move(callback);
    }

    /// Every operation fails with `unavailable`.
    void set_outage(bool outage)
    {
        const absl::MutexLock lock(&mutex_);
        outage_ = outage;
    }

    [[nodiscard]] bool outage() const
    {
        const absl::MutexLock lock(&mutex_);
        return outage_;
    }

    /// The next `count` commits whose conditions hold take effect and report `outcome_unknown`.
    void lose_answers(int count)
    {
        const absl::MutexLock lock(&mutex_);
        lost_answers_ = count;
    }

    [[nodiscard]] int answers_to_lose() const
    {
        const absl::MutexLock lock(&mutex_);
        return lost_answers_;
    }

    /// The next `count` commits have no effect and report `outcome_unknown`.
    void lose_commits(int count)
    {
        const absl::MutexLock lock(&mutex_);
        lost_commits_ = count;
    }

    /// The next `count` commits report `outcome_unknown` and are delayed, as by a slow network.
    void delay_commits(int count)
    {
        const absl::MutexLock lock(&mutex_);
        delayed_commits_ = count;
    }

    /// Applies the delayed commits whose conditions still hold.
    void release_commits()
    {
        const absl::MutexLock lock(&mutex_);
        for (const table_transaction& transaction : std::exchange(delayed_transactions_, {})) {
            apply_if_conditions_hold(transaction);
        }
    }

    /// The next `count` operations fail with `overloaded`.
    void throttle(int count)
    {
        const absl::MutexLock lock(&mutex_);
        throttled_ = count;
    }

    /// Writes a row directly, without faults.
    void put(const std::string& key, std::string value)
    {
        const absl::MutexLock lock(&mutex_);
        apply({key, std::move(value)});
    }

    [[nodiscard]] std::map<std::string, table_row, std::less<>> rows() const
    {
        const absl::MutexLock lock(&mutex_);
        return rows_;
    }

    /// Number of reads, scans and commits that were called, failed ones included.
    [[nodiscard]] std::size_t operations() const
    {
        const absl::MutexLock lock(&mutex_);
        return operations_;
    }

    result<std::optional<table_row>> read(std::string_view key) override
    {
        call_hook(table_operation::read, key);
        const absl::MutexLock lock(&mutex_);
        BOOST_OUTCOME_TRY(admit());
        const auto found = rows_.find(key);
        return found == rows_.end() ? std::nullopt : std::optional(found->second);
    }

    result<std::vector<table_row>> scan(std::string_view prefix) override
    {
        call_hook(table_operation::scan, prefix);
        const absl::MutexLock lock(&mutex_);
        BOOST_OUTCOME_TRY(admit());
        std::vector<table_row> found;
        for (auto row = rows_.lower_bound(prefix);
             row != rows_.end() && row->first.starts_with(prefix); ++row) {
            found.push_back(row->second);
        }
        return found;
    }

    result<void> commit(const table_transaction& transaction) override
    {
        call_hook(table_operation::commit, "");
        const absl::MutexLock lock(&mutex_);
        BOOST_OUTCOME_TRY(admit());
        if (consume_one(lost_commits_)) {
            return failure(error_kind::outcome_unknown, "reply lost", "read the rows");
        }
        if (consume_one(delayed_commits_)) {
            delayed_transactions_.push_back(transaction);
            return failure(error_kind::outcome_unknown, "reply lost", "read the rows");
        }
        if (!apply_if_conditions_hold(transaction)) {
            return failure(error_kind::conflict, "a condition does not hold", "read the rows");
        }
        if (consume_one(lost_answers_)) {
            return failure(error_kind::outcome_unknown, "reply lost", "read the rows");
        }
        return success();
    }

private:
    void call_hook(table_operation operation, std::string_view key)
    {
        hook callback;
        {
            const absl::MutexLock lock(&mutex_);
            ++operations_;
            callback = hook_;
        }
        if (callback) {
            callback(operation, key);
        }
    }

    result<void> admit() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        if (outage_) {
            return failure(error_kind::unavailable, "outage", "retry later");
        }
        if (consume_one(throttled_)) {
            return failure(error_kind::overloaded, "throttled", "retry later");
        }
        return success();
    }

    static bool consume_one(int& count)
    {
        if (count == 0) {
            return false;
        }
        --count;
        return true;
    }

    bool apply_if_conditions_hold(const table_transaction& transaction)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        for (const table_condition& condition : transaction.conditions) {
            const auto found = rows_.find(condition.key);
            const std::uint64_t version = found == rows_.end() ? 0 : found->second.version;
            if (version != condition.version) {
                return false;
            }
        }
        for (const table_write& write : transaction.writes) {
            apply(write);
        }
        return true;
    }

    void apply(const table_write& write) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        if (write.value) {
            rows_[write.key] = {write.key, *write.value, ++last_version_};
        } else {
            rows_.erase(write.key);
        }
    }

    mutable absl::Mutex mutex_;
    hook hook_ ABSL_GUARDED_BY(mutex_);
    std::map<std::string, table_row, std::less<>> rows_ ABSL_GUARDED_BY(mutex_);
    /// Shared by all rows, so that a row that is deleted and created again has a higher version.
    std::uint64_t last_version_ ABSL_GUARDED_BY(mutex_){0};
    std::size_t operations_ ABSL_GUARDED_BY(mutex_){0};
    bool outage_ ABSL_GUARDED_BY(mutex_){false};
    int lost_answers_ ABSL_GUARDED_BY(mutex_){0};
    int lost_commits_ ABSL_GUARDED_BY(mutex_){0};
    int delayed_commits_ ABSL_GUARDED_BY(mutex_){0};
    std::vector<table_transaction> delayed_transactions_ ABSL_GUARDED_BY(mutex_);
    int throttled_ ABSL_GUARDED_BY(mutex_){0};
};

} // namespace carobfall::testing
