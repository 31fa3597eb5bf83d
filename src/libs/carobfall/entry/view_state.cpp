#include "carobfall/entry/view_state.h"

#include "carobfall/entry/rendezvous.h"

#include <algorithm>

namespace carobfall {
namespace {

// Larger than the usual distance between a proposal and the views in its history, which is rarely
// more than a few numbers.
constexpr std::size_t max_complete_views = 256;

} // namespace

view_state::view_state(rpc::entry_member self) : self_(std::move(self)) {}

bool view_state::acknowledge(const rpc::view_proposal& proposal)
{
    const absl::MutexLock lock(&mutex_);
    if (proposal.view().number() < acknowledged_.view().number()) {
        return false;
    }
    if (proposal.view().number() > acknowledged_.view().number()) {
        acknowledged_ = proposal;
    }
    return true;
}

bool view_state::activate(const rpc::view_proposal& proposal, absl::Time now)
{
    const absl::MutexLock lock(&mutex_);
    if (proposal.view().number() <= effective_.view().number()) {
        return false;
    }
    if (proposal.view().number() > acknowledged_.view().number()) {
        acknowledged_ = proposal;
    }
    effective_ = proposal;
    confirmed_until_ = absl::InfinitePast();
    const bool first = proposal.history().empty();
    effective_since_ = first ? now : now + superseded_view_grace;
    if (first) {
        complete_in_.insert(proposal.view().number());
    }
    return true;
}

void view_state::confirm(std::uint64_t number, absl::Time sent)
{
    const absl::MutexLock lock(&mutex_);
    if (number == effective_.view().number()) {
        confirmed_until_ = std::max(confirmed_until_, sent + view_confirmation);
    }
}

void view_state::set_complete(std::uint64_t number)
{
    const absl::MutexLock lock(&mutex_);
    if (number != effective_.view().number()) {
        return;
    }
    complete_in_.insert(number);
    while (complete_in_.size() > max_complete_views) {
        complete_in_.erase(complete_in_.begin());
    }
}

std::uint64_t view_state::acknowledged_view_number() const
{
    const absl::MutexLock lock(&mutex_);
    return acknowledged_.view().number();
}

rpc::view_proposal view_state::effective() const
{
    const absl::MutexLock lock(&mutex_);
    return effective_;
}

rpc::view_proposal view_state::acknowledged_proposal() const
{
    const absl::MutexLock lock(&mutex_);
    return acknowledged_;
}

bool view_state::was_complete_in(std::uint64_t number) const
{
    const absl::MutexLock lock(&mutex_);
    return complete_in_.contains(number);
}

ownership_snapshot view_state::snapshot() const
{
    const absl::MutexLock lock(&mutex_);
    return {effective_.view(),
            effective_since_,
            acknowledged_.view().number() > effective_.view().number(),
            complete_in_.contains(effective_.view().number()),
            find_member(effective_.view(), self_) != nullptr,
            effective_.view().members_size() == 1 ? absl::InfiniteFuture() : confirmed_until_};
}

bool view_state::wait_for_change(std::uint64_t view_number, absl::Duration timeout) const
{
    const absl::MutexLock lock(&mutex_);
    const auto changed = [this, view_number]() ABSL_SHARED_LOCKS_REQUIRED(mutex_) {
        return effective_.view().number() != view_number;
    };
    return mutex_.AwaitWithTimeout(absl::Condition(&changed), timeout);
}

} // namespace carobfall
