#include "carobfall/agent/record_table.h"

#include "carobfall/base/clock.h"
#include "carobfall/entry/claim_store.h"

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

std::size_t bytes_of(const rpc::task_result& result)
{
    return sizeof(rpc::task_result) + result.body().size() + result.error_message().size();
}

bool has_started_task(const record_table::submission_records& records)
{
    return std::any_of(records.tasks.begin(), records.tasks.end(), [](const auto& entry) {
        return entry.second->state == rpc::task_state_started;
    });
}

} // namespace

task_record* record_table::find(const task_key& key)
{
    return const_cast<task_record*>(std::as_const(*this).find(key));
}

const task_record* record_table::find(const task_key& key) const
{
    const auto submission = submissions_.find(key.submission);
    if (submission == submissions_.end()) {
        return nullptr;
    }
    const auto task = submission->second.tasks.find(key.index);
    return task == submission->second.tasks.end() ? nullptr : task->second.get();
}

task_record& record_table::find_or_create(const task_key& key, std::int64_t deadline_unix_ms)
{
    submission_records& records = submissions_[key.submission];
    records.deadline_unix_ms = std::max(records.deadline_unix_ms, deadline_unix_ms);
    std::unique_ptr<task_record>& record = records.tasks[key.index];
    if (!record) {
        record = std::make_unique<task_record>();
        ++size_;
    }
    return *record;
}

absl::Time record_table::expiry_of(const submission_key& key) const
{
    const auto submission = submissions_.find(key);
    if (submission == submissions_.end()) {
        return absl::InfinitePast();
    }
    return from_unix_ms(submission->second.deadline_unix_ms) + record_retention;
}

void record_table::store_result(const task_key& key, task_record& record, rpc::task_result result)
{
    result_bytes_ += bytes_of(result);
    record.result = std::make_unique<rpc::task_result>(std::move(result));
    results_.push_back(key);
    while (result_bytes_ > max_result_bytes_ && !results_.empty()) {
        drop_oldest_result();
        ++results_dropped_;
    }
}

void record_table::drop_oldest_result()
{
    task_record* record = find(results_.front());
    results_.pop_front();
    if (record == nullptr || !record->result) {
        return;
    }
    result_bytes_ -= bytes_of(*record->result);
    record->result.reset();
}

bool record_table::has_expired(std::int64_t deadline_unix_ms, absl::Time now)
{
    return from_unix_ms(deadline_unix_ms) + record_retention <= now;
}

std::size_t record_table::expire(absl::Time now)
{
    const std::size_t before = size_;
    for (auto it = submissions_.begin(); it != submissions_.end();) {
        if (!has_expired(it->second.deadline_unix_ms, now) || has_started_task(it->second)) {
            ++it;
            continue;
        }
        erase_tasks(it->second);
        submissions_.erase(it++);
    }
    if (size_ != before) {
        const auto expired = [this](const task_key& key) { return find(key) == nullptr; };
        results_.erase(std::remove_if(results_.begin(), results_.end(), expired), results_.end());
    }
    return before - size_;
}

void record_table::erase_tasks(submission_records& records)
{
    for (const auto& [index, record] : records.tasks) {
        if (record->result) {
            result_bytes_ -= bytes_of(*record->result);
        }
    }
    size_ -= records.tasks.size();
    records.tasks.clear();
}

} // namespace carobfall
