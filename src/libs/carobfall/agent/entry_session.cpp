#include "carobfall/agent/entry_session.h"

#include "carobfall/base/log_fields.h"

#include <glog/logging.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

/// Limits of one report call. gRPC receivers accept 4 MiB by default.
constexpr std::size_t max_batch_reports = 64;
constexpr std::size_t max_batch_bytes = std::size_t{2} * 1024 * 1024;

/// Longest sleep of a session thread that receives no notification.
constexpr absl::Duration max_sleep = absl::Minutes(1);

/// Longest heartbeat interval that an entry can set.
constexpr absl::Duration max_standby_interval = absl::Minutes(1);

constexpr absl::Duration min_delivery_backoff = absl::Milliseconds(50);
constexpr absl::Duration max_delivery_backoff = absl::Seconds(2);

bool is_same(const std::optional<rpc::agent_info>& left, const rpc::agent_info& right)
{
    return left && google::protobuf::util::MessageDifferencer::Equals(*left, right);
}

} // namespace

entry_session::entry_session(std::string address, std::unique_ptr<entry_channel> channel,
                             const session_environment& environment, bool report_only,
                             session_hooks hooks)
    : address_(std::move(address)),
      channel_(std::move(channel)),
      environment_(environment),
      hooks_(std::move(hooks)),
      standby_interval_(environment.standby_interval),
      last_post_(environment.clock())
{
    state_.address = address_;
    state_.report_only = report_only;
    thread_ = std::thread([this] { run(); });
}

entry_session::~entry_session()
{
    request_stop();
    thread_.join();
}

void entry_session::post(pending_report report)
{
    const absl::Time now = environment_.clock();
    const std::lock_guard lock(mutex_);
    last_post_ = now;
    outbox_.push_back(std::move(report));
    changed_.notify_one();
}

void entry_session::promote()
{
    const std::lock_guard lock(mutex_);
    state_.report_only = false;
    changed_.notify_one();
}

void entry_session::request_heartbeat()
{
    const std::lock_guard lock(mutex_);
    heartbeat_requested_ = true;
    changed_.notify_one();
}

void entry_session::set_renews_lease(bool renews)
{
    const std::lock_guard lock(mutex_);
    heartbeat_requested_ = heartbeat_requested_ || (renews && !state_.renews_lease);
    state_.renews_lease = renews;
    if (!renews && grant_ == lease_grant::renewing) {
        grant_ = lease_grant::standby;
    }
    changed_.notify_one();
}

lease_grant entry_session::grant() const
{
    const std::lock_guard lock(mutex_);
    return grant_;
}

void entry_session::request_stop()
{
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_one();
}

std::size_t entry_session::pending_reports() const
{
    const std::lock_guard lock(mutex_);
    return outbox_.size();
}

session_state entry_session::state() const
{
    const std::lock_guard lock(mutex_);
    session_state state = state_;
    state.pending_reports = outbox_.size();
    return state;
}

absl::Time entry_session::last_post() const
{
    const std::lock_guard lock(mutex_);
    return last_post_;
}

bool entry_session::stopping() const
{
    const std::lock_guard lock(mutex_);
    return stopping_;
}

void entry_session::run()
{
    while (!stopping()) {
        send_due_heartbeat(environment_.clock());
        deliver_reports(environment_.clock());
        wait_until_due();
    }
}

void entry_session::send_due_heartbeat(absl::Time now)
{
    {
        const std::lock_guard lock(mutex_);
        const bool requested = std::exchange(heartbeat_requested_, false);
        if (state_.report_only || (now < next_heartbeat() && !requested)) {
            return;
        }
    }
    last_heartbeat_ = now;
    if (ensure_registered(now)) {
        send_heartbeat(environment_.clock());
    } else {
        update_grant(lease_grant::none);
    }
}

/// Heartbeats to an entry that is unreachable or grants no lease are sent at the shorter interval,
/// so that the entry is notified in time when the agent leaves.
absl::Time entry_session::next_heartbeat() const
{
    const bool frequent = state_.renews_lease || grant_ == lease_grant::none;
    return last_heartbeat_ + (frequent ? environment_.heartbeat_interval : standby_interval_);
}

void entry_session::update_grant(lease_grant grant)
{
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(grant_, grant) == grant) {
            return;
        }
    }
    hooks_.grant_changed();
}

bool entry_session::ensure_registered(absl::Time now)
{
    const std::optional<rpc::agent_info> agent = environment_.agent();
    if (!agent) {
        return false;
    }
    if (is_same(registered_as_, *agent)) {
        return true;
    }
    rpc::register_request request;
    *request.mutable_agent() = *agent;
    const result<rpc::register_reply> reply =
        channel_->register_agent(request, environment_.call_timeout);
    if (!reply) {
        record_failure(reply.error());
        return false;
    }
    record_success(now);
    if (reply.value().view().number() != 0) {
        environment_.view_received(reply.value().view());
    }
    if (!reply.value().registered()) {
        return false;
    }
    registered_as_ = agent;
    LOG(INFO) << log_fields("registered").add("entry", address_);
    return true;
}

void entry_session::send_heartbeat(absl::Time now)
{
    rpc::beat_request request = environment_.heartbeat();
    request.set_send_time_us(absl::ToUnixMicros(now));
    const lease_entry renewing = hooks_.renewing_entry();
    request.set_lease_entry(renewing.incarnation_hash);
    const result<rpc::beat_reply> reply = channel_->beat(request, environment_.call_timeout);
    if (!reply) {
        record_failure(reply.error());
        update_grant(lease_grant::none);
        return;
    }
    record_success(now);
    environment_.heartbeat_reply_received(reply.value(), now);
    if (reply.value().view().number() != 0) {
        environment_.view_received(reply.value().view());
    }
    if (!reply.value().registered()) {
        registered_as_.reset();
    }
    const absl::Duration standby = absl::Milliseconds(reply.value().standby_ms());
    standby_interval_ = standby > absl::ZeroDuration() ? std::min(standby, max_standby_interval)
                                                       : environment_.standby_interval;
    const bool granted = reply.value().registered() && reply.value().lease_ms() > 0;
    const lease_grant kind = renewing.is_receiver ? lease_grant::renewing : lease_grant::standby;
    update_grant(granted ? kind : lease_grant::none);
}

void entry_session::deliver_reports(absl::Time now)
{
    if (now < next_delivery_) {
        return;
    }
    std::size_t taken = 0;
    const rpc::report_request request = next_batch(now, taken);
    if (request.reports().empty()) {
        remove_front(taken);
        return;
    }
    const result<rpc::report_reply> reply = channel_->report(request, environment_.call_timeout);
    if (reply) {
        remove_front(taken);
        delivery_backoff_ = absl::ZeroDuration();
        record_success(now);
        return;
    }
    record_failure(reply.error());
    delivery_backoff_ =
        std::clamp(delivery_backoff_ * 2, min_delivery_backoff, max_delivery_backoff);
    next_delivery_ = environment_.clock() + delivery_backoff_;
}

/// Sets `taken` to the number of reports at the front of the outbox that the batch covers, obsolete
/// ones included. Only this thread removes reports, so the batch stays at the front during a call.
rpc::report_request entry_session::next_batch(absl::Time now, std::size_t& taken)
{
    std::deque<pending_report> candidates;
    {
        const std::lock_guard lock(mutex_);
        const std::size_t count = std::min(outbox_.size(), max_batch_reports);
        candidates.assign(outbox_.begin(), outbox_.begin() + static_cast<std::ptrdiff_t>(count));
    }
    rpc::report_request request;
    std::size_t bytes = 0;
    for (const pending_report& candidate : candidates) {
        if (bytes >= max_batch_bytes) {
            break;
        }
        ++taken;
        std::optional<rpc::task_report> report =
            now < candidate.expires_at ? environment_.report(candidate) : std::nullopt;
        if (report) {
            bytes += report->ByteSizeLong();
            *request.add_reports() = std::move(*report);
        }
    }
    if (!request.reports().empty()) {
        rpc::beat_request heartbeat = environment_.heartbeat();
        request.mutable_agent()->Swap(heartbeat.mutable_agent());
        request.mutable_load()->Swap(heartbeat.mutable_load());
    }
    return request;
}

void entry_session::remove_front(std::size_t count)
{
    const std::lock_guard lock(mutex_);
    outbox_.erase(outbox_.begin(), outbox_.begin() + static_cast<std::ptrdiff_t>(count));
}

void entry_session::wait_until_due()
{
    const absl::Time now = environment_.clock();
    std::unique_lock lock(mutex_);
    absl::Time due = state_.report_only ? absl::InfiniteFuture() : next_heartbeat();
    if (!outbox_.empty()) {
        due = std::min(due, next_delivery_);
    }
    if (!stopping_ && !heartbeat_requested_ && due > now) {
        changed_.wait_for(lock, absl::ToChronoMicroseconds(std::min(due - now, max_sleep)));
    }
}

void entry_session::record_success(absl::Time now)
{
    const std::lock_guard lock(mutex_);
    state_.last_contact = now;
    state_.registered = registered_as_.has_value();
    state_.last_error.clear();
}

void entry_session::record_failure(const error& problem)
{
    const std::lock_guard lock(mutex_);
    ++state_.failed_calls;
    if (state_.last_error.empty()) {
        LOG(WARNING) << log_fields("entry_call_failed")
                            .add("entry", address_)
                            .add("error", to_string(problem));
    }
    state_.last_error = to_string(problem);
}

} // namespace carobfall
