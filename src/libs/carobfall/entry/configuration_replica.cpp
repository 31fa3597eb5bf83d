#include "carobfall/entry/configuration_replica.h"

#include "carobfall/base/log_fields.h"
#include "carobfall/entry/rendezvous.h"
#include "carobfall/entry/view_rules.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <atomic>

namespace carobfall {
namespace {

constexpr absl::Duration push_timeout = absl::Seconds(2);
constexpr absl::Duration beat_timeout = absl::Milliseconds(400);
constexpr absl::Duration publish_interval = absl::Milliseconds(100);

} // namespace

configuration_replica::configuration_replica(const ownership& views,
                                             configuration_replica_hooks hooks)
    : views_(views), hooks_(std::move(hooks)), current_(std::make_shared<const configuration>())
{}

configuration_ptr configuration_replica::current() const
{
    const absl::MutexLock lock(&mutex_);
    return current_;
}

absl::Duration configuration_replica::fresh_for(absl::Time now) const
{
    const absl::MutexLock lock(&mutex_);
    return std::max(confirmed_at_ + configuration_freshness - now, absl::ZeroDuration());
}

void configuration_replica::poll(absl::Time now)
{
    const ownership_snapshot snapshot = views_.snapshot();
    const std::uint64_t version = current()->version;
    const auto changes = hooks_.read_changes(version);
    if (!changes) {
        LOG_EVERY_N(WARNING, 60)
            << log_fields("configuration_read_failed").add("error", to_string(changes.error()));
        return;
    }
    if (!apply_push(changes.value())) {
        return;
    }
    const absl::MutexLock lock(&mutex_);
    confirmed_at_ = std::max(confirmed_at_, now);
    confirmed_view_ = std::max(confirmed_view_, snapshot.view.number());
}

// Applies a push; returns true if its version or a higher one is held afterwards.
bool configuration_replica::apply_push(const rpc::push_configuration_request& push)
{
    const absl::MutexLock apply_lock(&apply_mutex_);
    rpc::push_configuration_request applicable;
    configuration_ptr base;
    {
        const absl::MutexLock lock(&mutex_);
        if (push.version() <= log_.version()) {
            return true;
        }
        applicable = log_.applicable_changes(push);
        base = current_;
    }
    if (applicable.version() == 0) {
        return false;
    }
    auto applied = hooks_.apply(base, applicable);
    if (!applied) {
        LOG(ERROR) << log_fields("configuration_not_applied")
                          .add("version", push.version())
                          .add("error", to_string(applied.error()));
        return false;
    }
    const absl::MutexLock lock(&mutex_);
    current_ = std::move(applied).value();
    log_.append(applicable);
    return log_.version() >= push.version();
}

rpc::push_configuration_reply
configuration_replica::receive(const rpc::push_configuration_request& request)
{
    apply_push(request);
    rpc::push_configuration_reply reply;
    reply.set_version(current()->version);
    return reply;
}

std::uint64_t configuration_replica::reported_version() const
{
    const ownership_snapshot snapshot = views_.snapshot();
    const absl::MutexLock lock(&mutex_);
    const bool confirmed = snapshot.usable() && confirmed_view_ == snapshot.view.number();
    return confirmed ? current_->version : unconfirmed_version;
}

bool configuration_replica::is_confirmed_in(std::uint64_t view_number) const
{
    const ownership_snapshot snapshot = views_.snapshot();
    const absl::MutexLock lock(&mutex_);
    return snapshot.usable() && snapshot.view.number() == view_number &&
           confirmed_view_ == view_number;
}

void configuration_replica::on_heartbeat_replies(absl::Time sent, const rpc::entry_view& view,
                                                 const std::vector<peer_reply>& replies)
{
    forget_former_members(view);
    for (const peer_reply& reply : replies) {
        note_version(reply.member, reply.configuration_version);
    }
    if (!is_confirmed_in(view.number())) {
        return;
    }
    const absl::MutexLock lock(&mutex_);
    const auto confirming =
        1 + std::count_if(replies.begin(), replies.end(), [&](const peer_reply& reply) {
            return find_member(view, reply.member) != nullptr &&
                   reply.view_number == view.number() &&
                   reply.configuration_version <= current_->version;
        });
    if (2 * confirming > view.members_size()) {
        confirmed_at_ = std::max(confirmed_at_, sent);
    }
}

void configuration_replica::forget_former_members(const rpc::entry_view& view)
{
    absl::flat_hash_set<std::string> members;
    for (const rpc::entry_member& member : view.members()) {
        members.insert(member_id(member));
    }
    const absl::MutexLock lock(&mutex_);
    absl::erase_if(versions_, [&](const auto& held) { return !members.contains(held.first); });
}

void configuration_replica::note_version(const rpc::entry_member& member, std::uint64_t version)
{
    const absl::MutexLock lock(&mutex_);
    versions_[member_id(member)] = version;
}

std::uint64_t configuration_replica::version_at(const rpc::entry_member& member) const
{
    const absl::MutexLock lock(&mutex_);
    const auto known = versions_.find(member_id(member));
    return known == versions_.end() ? 0 : known->second;
}

std::vector<rpc::entry_member> configuration_replica::members_behind() const
{
    const rpc::entry_view view = views_.snapshot().view;
    const std::uint64_t version = current()->version;
    std::vector<rpc::entry_member> behind;
    for (const rpc::entry_member& member : view.members()) {
        if (!same_incarnation(member, views_.self()) && version_at(member) < version) {
            behind.push_back(member);
        }
    }
    return behind;
}

void configuration_replica::push_to_others()
{
    push_to(members_behind());
}

void configuration_replica::push_to(const std::vector<rpc::entry_member>& members)
{
    std::vector<std::function<void()>> calls;
    calls.reserve(members.size());
    for (const rpc::entry_member& member : members) {
        calls.emplace_back([this, &member] {
            rpc::push_configuration_request request;
            {
                const std::uint64_t version = version_at(member);
                const absl::MutexLock lock(&mutex_);
                request = log_.since(version);
            }
            const auto reply = hooks_.channels(member)->push_configuration(request, push_timeout);
            if (reply) {
                note_version(member, reply.value().version());
            }
        });
    }
    hooks_.run_parallel(calls);
}

result<void> configuration_replica::publish(std::uint64_t version, absl::Duration timeout)
{
    const absl::Time end = hooks_.clock() + timeout;
    for (;;) {
        if (current()->version < version) {
            poll(hooks_.clock());
        }
        if (current()->version >= version) {
            push_to_others();
            if (is_held_by_majority(version)) {
                return success();
            }
        }
        if (hooks_.clock() >= end) {
            return failure(
                error_kind::outcome_unknown,
                absl::StrCat("version ", version,
                             " is committed, but a majority of the entries has not confirmed it"),
                "don't repeat the change; check whether the entries report this version");
        }
        hooks_.sleep(publish_interval);
    }
}

bool configuration_replica::is_held_by_majority(std::uint64_t version)
{
    const rpc::entry_view view = views_.snapshot().view;
    rpc::entry_beat_request request;
    *request.mutable_member() = views_.self();
    request.set_view_number(view.number());
    request.set_configuration_version(reported_version());
    std::atomic<int> holders{0};
    std::vector<std::function<void()>> calls;
    for (const rpc::entry_member& member : view.members()) {
        if (same_incarnation(member, views_.self())) {
            continue;
        }
        calls.emplace_back([&, this] {
            const auto reply = hooks_.channels(member)->entry_beat(request, beat_timeout);
            if (reply && same_incarnation(reply.value().member(), member) &&
                reply.value().view_number() == view.number() &&
                reply.value().configuration_version() != unconfirmed_version &&
                reply.value().configuration_version() >= version) {
                ++holders;
            }
        });
    }
    hooks_.run_parallel(calls);
    return is_confirmed_in(view.number()) && 2 * (holders + 1) > view.members_size();
}

} // namespace carobfall
