#include "carobfall/entry/membership.h"

#include "carobfall/base/log_fields.h"
#include "carobfall/entry/rendezvous.h"
#include "carobfall/entry/view_rules.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>

namespace carobfall {
namespace {

// Each restart of an entry during a long partition adds a view to the history. The limit keeps the
// row small; beyond it a restarted entry can join only after the partition has ended or after
// `entry forget`.
constexpr std::size_t max_history_views = 64;

bool same_members(const rpc::entry_view& left, const rpc::entry_view& right)
{
    return left.members_size() == right.members_size() &&
           std::all_of(left.members().begin(), left.members().end(),
                       [&](const auto& member) { return find_member(right, member) != nullptr; });
}

// Resets the flag on return, so that the next tick may run.
class flag_guard {
public:
    explicit flag_guard(std::atomic<bool>& flag) : flag_(flag) {}
    ~flag_guard() { flag_ = false; }
    flag_guard(const flag_guard&) = delete;
    flag_guard& operator=(const flag_guard&) = delete;

private:
    std::atomic<bool>& flag_;
};

} // namespace

membership::membership(membership_settings settings, table_service& table, membership_hooks hooks)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      row_(table, settings_.region),
      state_(settings_.self),
      monitor_(settings_.monitor, hooks_.channels, hooks_.run_parallel)
{}

bool membership::wait_for_change(std::uint64_t view_number, absl::Duration timeout) const
{
    return state_.wait_for_change(view_number, timeout);
}

void membership::send_heartbeats(absl::Time now)
{
    rpc::view_proposal known = state_.effective();
    const rpc::view_proposal effective = known;
    {
        const absl::MutexLock lock(&mutex_);
        if (last_row_) {
            *known.add_history() = last_row_->proposal.view();
            known.mutable_history()->MergeFrom(last_row_->proposal.history());
        }
    }
    rpc::entry_beat_request request;
    *request.mutable_member() = self();
    request.set_view_number(effective.view().number());
    request.set_configuration_version(hooks_.configuration_version());
    hooks_.add_agents(request, now);
    const std::vector<peer_reply> replies = monitor_.send_heartbeats(others(known), request, now);
    hooks_.on_heartbeat_replies(now, effective.view(), replies);
    const auto in_view = std::count_if(replies.begin(), replies.end(), [&](const auto& reply) {
        return reply.view_number == effective.view().number() && !reply.in_transition &&
               find_member(effective.view(), reply.member) != nullptr;
    });
    if (2 * (in_view + 1) > effective.view().members_size()) {
        state_.confirm(effective.view().number(), now);
    }

    // Resends a lost activation; this works also while the table service is down.
    std::vector<rpc::entry_member> behind;
    for (const peer_reply& reply : replies) {
        if (reply.view_number < effective.view().number()) {
            behind.push_back(reply.member);
        }
    }
    send_activation(effective, behind);
}

void membership::tick(absl::Time now)
{
    if (ticking_.exchange(true)) {
        return;
    }
    const flag_guard guard(ticking_);
    auto stored = row_.read();
    if (!stored) {
        LOG_EVERY_N(WARNING, 60)
            << log_fields("view_row_read_failed").add("error", to_string(stored.error()));
    } else if (!stored.value()) {
        create_first_view(now);
    } else {
        {
            const absl::MutexLock lock(&mutex_);
            last_row_ = stored.value();
        }
        apply_stored_proposal(*stored.value(), now);
    }
    end_if_superseded(now);
}

void membership::create_first_view(absl::Time now)
{
    if (leaving_) {
        return;
    }
    if (state_.acknowledged_view_number() != 0) {
        LOG_EVERY_N(ERROR, 60) << log_fields("view_row_missing")
                                      .add("key", row_.key())
                                      .add("remedy", "restore the row of the table service");
        return;
    }
    rpc::view_proposal proposal;
    proposal.mutable_view()->set_number(1);
    proposal.mutable_view()->set_region(settings_.region);
    *proposal.mutable_view()->add_members() = self();
    // Without a history the view takes effect at once. If the response is lost, the next tick reads
    // this view, or that of another entry, from the row.
    if (row_.replace(proposal, 0)) {
        install_view(proposal, now);
    }
}

void membership::apply_stored_proposal(const stored_proposal& stored, absl::Time now)
{
    const std::uint64_t number = stored.proposal.view().number();
    const std::uint64_t in_effect = state_.effective().view().number();
    if (number < in_effect) {
        LOG_EVERY_N(ERROR, 60) << log_fields("view_row_older_than_view")
                                      .add("row", number)
                                      .add("in_effect", in_effect)
                                      .add("remedy", "restore the row of the table service");
        return;
    }
    if (number > in_effect) {
        complete_proposal(stored.proposal, now);
    }
    propose_change(stored, now);
}

bool membership::complete_proposal(const rpc::view_proposal& proposal, absl::Time now)
{
    if (!state_.acknowledge(proposal)) {
        return false;
    }
    collect_acknowledgements(proposal);
    const bool effective = takes_effect(
        proposal, [this](const auto& member) { return has_acknowledged(member); },
        [&](const auto& member) { return is_dead(proposal, member); });
    if (!effective) {
        LOG_EVERY_N(WARNING, 60)
            << log_fields("view_not_acknowledged").add("number", proposal.view().number());
        return false;
    }
    install_view(proposal, now);
    send_activation(proposal, others(proposal));
    return true;
}

void membership::collect_acknowledgements(const rpc::view_proposal& proposal)
{
    const std::uint64_t number = proposal.view().number();
    {
        const absl::MutexLock lock(&mutex_);
        if (collecting_view_ != number) {
            collecting_view_ = number;
            acknowledged_by_.clear();
        }
        acknowledged_by_.insert(member_id(self()));
    }
    rpc::prepare_view_request request;
    *request.mutable_proposal() = proposal;
    std::vector<std::function<void()>> calls;
    for (const rpc::entry_member& member : others(proposal)) {
        if (has_acknowledged(member)) {
            continue;
        }
        calls.emplace_back([this, member, number, &request] {
            const auto reply =
                hooks_.channels(member)->prepare_view(request, settings_.call_timeout);
            const absl::MutexLock lock(&mutex_);
            if (reply && reply.value().acknowledged() && collecting_view_ == number) {
                acknowledged_by_.insert(member_id(member));
            }
        });
    }
    hooks_.run_parallel(calls);
}

void membership::install_view(const rpc::view_proposal& proposal, absl::Time now)
{
    if (!state_.activate(proposal, now)) {
        return;
    }
    const bool member = find_member(proposal.view(), self()) != nullptr;
    {
        const absl::MutexLock lock(&mutex_);
        if (was_member_ && !member && !leaving_) {
            superseded_since_ = std::min(superseded_since_, now);
        }
        was_member_ = was_member_ || member;
    }
    LOG(INFO) << log_fields("view_in_effect")
                     .add("number", proposal.view().number())
                     .add("members", proposal.view().members_size())
                     .add("is_member", member);
}

void membership::send_activation(const rpc::view_proposal& proposal,
                                 const std::vector<rpc::entry_member>& receivers)
{
    rpc::activate_view_request request;
    *request.mutable_proposal() = proposal;
    std::vector<std::function<void()>> calls;
    calls.reserve(receivers.size());
    for (const rpc::entry_member& member : receivers) {
        calls.emplace_back([this, &member, &request] {
            // A lost activation is resent after the next heartbeat.
            (void)hooks_.channels(member)->activate_view(request, settings_.call_timeout);
        });
    }
    hooks_.run_parallel(calls);
}

void membership::propose_change(const stored_proposal& stored, absl::Time now)
{
    const rpc::entry_view& present = stored.proposal.view();
    const bool is_member = find_member(present, self()) != nullptr;
    const std::uint64_t in_effect = state_.effective().view().number();
    const bool pending = present.number() > in_effect;
    // A pending view that contains this entry is completed before another one is proposed.
    if ((pending && is_member) || (!is_member && !may_join())) {
        return;
    }
    rpc::view_proposal next;
    *next.mutable_view() = desired_view(present, now);
    if (same_members(next.view(), present) || next.view().members().empty()) {
        return;
    }
    next.mutable_view()->set_number(present.number() + 1);
    for (rpc::entry_view& view : views_possibly_in_effect(stored.proposal, in_effect)) {
        *next.add_history() = std::move(view);
    }
    if (static_cast<std::size_t>(next.history_size()) > max_history_views ||
        (!is_member && !is_reached_by_all(present, next, now)) || !can_take_effect(next, now)) {
        return;
    }
    // After a conflict or a lost response the next tick continues from the content of the row.
    if (row_.replace(next, stored.row_version)) {
        complete_proposal(next, now);
    }
}

rpc::entry_view membership::desired_view(const rpc::entry_view& present, absl::Time now) const
{
    rpc::entry_view desired;
    desired.set_region(settings_.region);
    for (const rpc::entry_member& member : present.members()) {
        if (member.name() != self().name() && !is_forgotten(member) &&
            !monitor_.has_failed(member, now)) {
            *desired.add_members() = member;
        }
    }
    if (!leaving_) {
        *desired.add_members() = self();
    }
    return desired;
}

bool membership::may_join() const
{
    const absl::MutexLock lock(&mutex_);
    return !was_member_ && !leaving_;
}

bool membership::is_reached_by_all(const rpc::entry_view& present, const rpc::view_proposal& next,
                                   absl::Time now) const
{
    const auto& members = present.members();
    const auto missing = std::find_if(members.begin(), members.end(), [&](const auto& member) {
        return !monitor_.has_two_way_contact(member, now) && !is_dead(next, member);
    });
    if (missing == members.end()) {
        return true;
    }
    LOG_EVERY_N(INFO, 60) << log_fields("join_waits").add("for", missing->name());
    return false;
}

// A proposal that can't collect enough acknowledgements would only block the view in effect.
bool membership::can_take_effect(const rpc::view_proposal& proposal, absl::Time now) const
{
    return takes_effect(
        proposal,
        [&](const auto& member) {
            return same_incarnation(member, self()) || monitor_.is_responsive(member, now);
        },
        [&](const auto& member) { return is_dead(proposal, member); });
}

bool membership::is_dead(const rpc::view_proposal& proposal, const rpc::entry_member& member) const
{
    return is_replaced(proposal.view(), member) || is_forgotten(member) ||
           monitor_.is_gone(member) || hooks_.connection_refused(member.address());
}

bool membership::has_acknowledged(const rpc::entry_member& member) const
{
    const absl::MutexLock lock(&mutex_);
    return acknowledged_by_.contains(member_id(member));
}

bool membership::is_forgotten(const rpc::entry_member& member) const
{
    const absl::MutexLock lock(&mutex_);
    return forgotten_.contains(member_id(member));
}

std::vector<rpc::entry_member> membership::others(const rpc::view_proposal& proposal) const
{
    std::vector<rpc::entry_member> members = all_members(proposal);
    members.erase(
        std::remove_if(members.begin(), members.end(),
                       [this](const auto& member) { return same_incarnation(member, self()); }),
        members.end());
    return members;
}

bool membership::has_left() const
{
    const rpc::entry_view view = state_.effective().view();
    // The last member stays in the view, so that an entry started later doesn't treat the region as
    // new.
    return find_member(view, self()) == nullptr || view.members_size() == 1;
}

result<void> membership::leave(absl::Time now)
{
    leaving_ = true;
    const absl::Time end = now + settings_.leave_timeout;
    while (!has_left() && now < end) {
        tick(now);
        if (!has_left()) {
            hooks_.sleep(settings_.heartbeat_interval);
            now += settings_.heartbeat_interval;
        }
    }
    if (!has_left()) {
        return failure(error_kind::unavailable, "the view without this entry is not in effect",
                       "none needed: the other entries remove it when it stops responding");
    }
    for (; !hooks_.claims_transferred(state_.effective().view()) && now < end;
         now += settings_.heartbeat_interval) {
        hooks_.sleep(settings_.heartbeat_interval);
    }
    return success();
}

result<void> membership::forget(const std::string& name)
{
    if (name == self().name()) {
        return failure(error_kind::invalid_request, absl::StrCat(name, " is this entry"),
                       "send the request to another entry");
    }
    rpc::view_proposal known = state_.effective();
    const absl::MutexLock lock(&mutex_);
    if (last_row_) {
        *known.add_history() = last_row_->proposal.view();
        known.mutable_history()->MergeFrom(last_row_->proposal.history());
    }
    bool found = false;
    for (const rpc::entry_member& member : all_members(known)) {
        if (member.name() == name) {
            forgotten_.insert(member_id(member));
            found = true;
        }
    }
    if (!found) {
        return failure(error_kind::not_found, absl::StrCat("no entry named ", name),
                       "list the members of the view in the state dump");
    }
    return success();
}

rpc::prepare_view_reply membership::prepare(const rpc::prepare_view_request& request)
{
    rpc::prepare_view_reply reply;
    reply.set_acknowledged(request.proposal().view().number() > 0 &&
                           state_.acknowledge(request.proposal()));
    reply.set_view_number(state_.acknowledged_view_number());
    return reply;
}

rpc::activate_view_reply membership::activate(const rpc::activate_view_request& request,
                                              absl::Time now)
{
    install_view(request.proposal(), now);
    rpc::activate_view_reply reply;
    reply.set_view_number(state_.effective().view().number());
    return reply;
}

rpc::entry_beat_reply membership::handle_heartbeat(const rpc::entry_beat_request& request)
{
    rpc::entry_beat_reply reply;
    *reply.mutable_member() = self();
    reply.set_view_number(state_.effective().view().number());
    reply.set_configuration_version(hooks_.configuration_version());
    reply.set_in_transition(state_.snapshot().in_transition);
    reply.set_reached(monitor_.record_sender(request.member()));
    return reply;
}

std::optional<join_permission> membership::may_record_joins() const
{
    const std::uint64_t acknowledged = state_.acknowledged_view_number();
    const std::uint64_t in_effect = state_.effective().view().number();
    const absl::MutexLock lock(&mutex_);
    if (!last_row_ || last_row_->proposal.view().number() != acknowledged ||
        acknowledged != in_effect) {
        return std::nullopt;
    }
    return join_permission{{row_.key(), last_row_->row_version}, in_effect};
}

void membership::end_if_superseded(absl::Time now)
{
    {
        const absl::MutexLock lock(&mutex_);
        if (superseded_since_ > now - settings_.superseded_grace) {
            return;
        }
    }
    hooks_.on_superseded();
}

} // namespace carobfall
