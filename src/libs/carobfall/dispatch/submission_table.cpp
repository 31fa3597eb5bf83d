#include "carobfall/dispatch/submission_table.h"

#include "carobfall/base/clock.h"
#include "carobfall/entry/claim_store.h"

#include <utility>

namespace carobfall {
namespace {

std::size_t bytes_of(const submission_table::state_type& state)
{
    const auto* answer = std::get_if<submission_table::answer_ptr>(&state);
    return answer == nullptr ? 0 : (*answer)->ByteSizeLong();
}

} // namespace

error expired_answer_error()
{
    return {error_kind::answer_expired, "the submission was answered; its answer is no longer held",
            "the tasks don't run again under this id; request the answer sooner"};
}

submission_table::submission_table(std::size_t max_answer_bytes)
    : max_answer_bytes_(max_answer_bytes)
{}

std::optional<submission_table::entry> submission_table::find(const submission_key& key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(key);
    return found == entries_.end() ? std::nullopt : std::optional(found->second);
}

std::shared_ptr<job> submission_table::find_job(const submission_key& key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return nullptr;
    }
    const auto* held = std::get_if<std::shared_ptr<job>>(&found->second.state);
    return held == nullptr ? nullptr : *held;
}

std::optional<submission_table::entry> submission_table::open(const std::shared_ptr<job>& opened)
{
    const std::lock_guard lock(mutex_);
    const auto [held, inserted] =
        entries_.try_emplace(opened->key(), entry{opened->body_hash(), opened->deadline(), opened});
    if (!inserted) {
        return held->second;
    }
    ++running_;
    return std::nullopt;
}

void submission_table::record(const std::shared_ptr<job>& finished, rpc::submission_answer answer)
{
    close(finished, std::make_shared<const rpc::submission_answer>(answer));
    finished->finish(std::move(answer));
}

void submission_table::record_expired(const std::shared_ptr<job>& answered)
{
    close(answered, expired_answer{});
    answered->finish(boost::outcome_v2::failure(expired_answer_error()));
}

void submission_table::close(const std::shared_ptr<job>& finished, state_type state)
{
    const std::lock_guard lock(mutex_);
    const auto held = entries_.find(finished->key());
    if (held == entries_.end()) {
        return;
    }
    held->second.state = std::move(state);
    --running_;
    if (std::holds_alternative<answer_ptr>(held->second.state)) {
        answer_bytes_ += bytes_of(held->second.state);
        answered_.push_back(finished->key());
        drop_oldest_answers();
    }
}

void submission_table::discard(const std::shared_ptr<job>& refused,
                               const result<rpc::submission_answer>& answer)
{
    {
        const std::lock_guard lock(mutex_);
        running_ -= entries_.erase(refused->key());
    }
    refused->finish(answer);
}

void submission_table::remove(const std::shared_ptr<job>& moved)
{
    const std::lock_guard lock(mutex_);
    const auto held = entries_.find(moved->key());
    const auto* running =
        held == entries_.end() ? nullptr : std::get_if<std::shared_ptr<job>>(&held->second.state);
    if (running != nullptr && *running == moved) {
        entries_.erase(held);
    }
}

void submission_table::finish_removed(const std::shared_ptr<job>& moved,
                                      const result<rpc::submission_answer>& answer)
{
    {
        const std::lock_guard lock(mutex_);
        --running_;
    }
    moved->finish(answer);
}

void submission_table::expire(absl::Time now)
{
    const std::lock_guard lock(mutex_);
    absl::erase_if(entries_, [&](const auto& item) {
        const entry& held = item.second;
        // Running jobs are kept until they have been answered.
        if (std::holds_alternative<std::shared_ptr<job>>(held.state) ||
            held.deadline + record_retention >= now) {
            return false;
        }
        answer_bytes_ -= bytes_of(held.state);
        return true;
    });
    while (!answered_.empty() && !entries_.contains(answered_.front())) {
        answered_.pop_front();
    }
}

std::size_t submission_table::running() const
{
    const std::lock_guard lock(mutex_);
    return running_;
}

std::size_t submission_table::answer_bytes() const
{
    const std::lock_guard lock(mutex_);
    return answer_bytes_;
}

std::size_t submission_table::size() const
{
    const std::lock_guard lock(mutex_);
    return entries_.size();
}

void submission_table::drop_oldest_answers()
{
    while (answer_bytes_ > max_answer_bytes_ && !answered_.empty()) {
        const auto oldest = entries_.find(answered_.front());
        answered_.pop_front();
        if (oldest != entries_.end()) {
            answer_bytes_ -= bytes_of(oldest->second.state);
            oldest->second.state = expired_answer{};
        }
    }
}

} // namespace carobfall
