#include "agent_process.h"

#include "simulated_region.h"

#include <algorithm>
#include <utility>

namespace carobfall::stateful {
namespace {

constexpr std::uint32_t backend_slots = 4;
constexpr absl::Duration announcement_validity = absl::Seconds(5);
constexpr absl::Duration base_run_time = absl::Milliseconds(20);
/// Run times differ by multiples of this value, depending on the task index, so that results arrive
/// out of order.
constexpr absl::Duration run_time_increment = absl::Milliseconds(40);
constexpr std::uint32_t run_time_variants = 4;
constexpr std::uint32_t max_lease_ms = 2000;
/// Added to the lease by the mutation `rule_removed::lease`, so that it doesn't expire.
constexpr absl::Duration lease_extension = absl::Hours(1);

rpc::agent_info make_info(const std::string& name, const std::string& incarnation,
                          const std::string& data_centre)
{
    rpc::agent_info info;
    info.set_name(name);
    info.set_incarnation(incarnation);
    info.set_address(name);
    info.set_region("r");
    info.set_data_centre(data_centre);
    info.mutable_backend_server()->set_name(name);
    info.mutable_backend_server()->set_slots(backend_slots);
    info.mutable_backend_server()->set_processors(64);
    return info;
}

} // namespace

agent_process::agent_process(simulated_region& region, const std::string& name,
                             std::string incarnation, std::string data_centre)
    : region_(region), info_(make_info(name, incarnation, data_centre))
{
    ledger_options options;
    options.agent_incarnation = std::move(incarnation);
    options.data_centre = std::move(data_centre);
    ledger_ = std::make_unique<task_ledger>(options, lease_);
    announce_backend();
}

void agent_process::announce_backend()
{
    if (backend_ == backend_state::present || region_.mutation() == rule_removed::leaving) {
        ledger_->announce_backend(backend_slots, region_.now() + announcement_validity);
    }
}

void agent_process::set_backend(backend_state next)
{
    backend_ = next;
    backend_left_at_ = next == backend_state::present ? absl::InfiniteFuture()
                                                      : std::min(backend_left_at_, region_.now());
    if (next == backend_state::leaves && region_.mutation() != rule_removed::leaving) {
        ledger_->remove_backend();
    }
}

void agent_process::leave()
{
    left_at_ = std::min(left_at_, region_.now());
    if (region_.mutation() != rule_removed::leaving) {
        ledger_->begin_leaving();
    }
}

bool agent_process::has_left() const
{
    const rpc::agent_load load = ledger_->load();
    const bool idle = load.running() + load.queued() == 0 && unsent_.empty();
    return left_at_ <= region_.now() && (idle || region_.mutation() == rule_removed::drain);
}

rpc::beat_request agent_process::make_heartbeat(absl::Time now) const
{
    rpc::beat_request beat;
    beat.mutable_agent()->set_name(info_.name());
    beat.mutable_agent()->set_incarnation(info_.incarnation());
    *beat.mutable_load() = ledger_->load();
    beat.set_leaving(ledger_->leaving());
    beat.set_backend_available(ledger_->backend_available(now));
    beat.set_view_number(ledger_->view_number());
    beat.set_configuration_version(lease_.configuration_version());
    beat.set_keeps_data_centres_out(true);
    beat.set_send_time_us(absl::ToUnixMicros(now));
    return beat;
}

void agent_process::maintain_sessions()
{
    for (const std::string& entry : region_.entry_names()) {
        if (!registered_.contains(entry)) {
            rpc::register_request request;
            *request.mutable_agent() = info_;
            const auto reply = region_.register_agent(*this, entry, request);
            if (!reply) {
                continue;
            }
            ledger_->raise_view_number(reply.value().view().number());
            if (!reply.value().registered()) {
                continue;
            }
            registered_.insert(entry);
        }
        beat(entry);
    }
}

void agent_process::beat(const std::string& entry)
{
    const absl::Time sent = region_.now();
    auto reply = region_.agent_beat(*this, entry, make_heartbeat(sent));
    if (!reply) {
        return;
    }
    if (region_.mutation() == rule_removed::out_list) {
        reply.value().clear_data_centres_out();
    }
    if (region_.mutation() == rule_removed::lease) {
        reply.value().set_lease_ms(max_lease_ms);
        reply.value().set_send_time_us(absl::ToUnixMicros(sent + lease_extension));
        lease_.renew(reply.value(), sent + lease_extension);
    } else {
        lease_.renew(reply.value(), sent);
    }
    ledger_->raise_view_number(reply.value().view().number());
    if (!reply.value().registered()) {
        registered_.erase(entry);
    }
}

void agent_process::take_tasks()
{
    while (auto task = ledger_->take_startable(region_.now())) {
        taken_.push_back(std::move(*task));
    }
}

void agent_process::confirm_tasks()
{
    for (startable_task& task : std::exchange(taken_, {})) {
        const absl::Time now = region_.now();
        if (!ledger_->confirm_start(task, now)) {
            continue;
        }
        if (backend_ == backend_state::gone) {
            ledger_->remove_backend();
            if (auto report = ledger_->refuse_unsent(task.key, task.attempt,
                                                     rpc::refusal_backend_unavailable, now)) {
                add_reports({*report});
            }
            continue;
        }
        region_.report_committed_changes();
        region_.claims().on_start(task);
        region_.checker().on_start(
            task.key, task.payload,
            {info_.incarnation(), info_.data_centre(), std::min(backend_left_at_, left_at_)}, now);
        const absl::Time end =
            now + base_run_time + run_time_increment * (task.key.index % run_time_variants);
        running_.push_back({std::move(task), end});
    }
}

void agent_process::finish_tasks()
{
    const absl::Time now = region_.now();
    std::vector<running_task> still_running;
    for (running_task& ran : running_) {
        if (ran.end > now) {
            still_running.push_back(std::move(ran));
            continue;
        }
        rpc::task_result result;
        result.set_success(!must_fail(ran.task.key));
        result.set_body(ran.task.payload);
        if (auto report = ledger_->finish(ran.task.key, ran.task.attempt, result, now)) {
            add_reports({*report});
        }
    }
    running_ = std::move(still_running);
    add_reports(ledger_->sweep(now));
    deliver_reports();
    ledger_->expire(now);
}

void agent_process::add_reports(const std::vector<pending_report>& reports)
{
    for (const pending_report& report : reports) {
        unsent_.push_back({report.key, report.attempt, report.coordinator});
    }
}

void agent_process::deliver_reports()
{
    std::vector<unsent_report> kept;
    for (const unsent_report& report : unsent_) {
        const auto content = ledger_->report_of(report.key, report.attempt);
        if (!content) {
            continue;
        }
        rpc::report_request request;
        request.mutable_agent()->set_name(info_.name());
        request.mutable_agent()->set_incarnation(info_.incarnation());
        *request.mutable_load() = ledger_->load();
        *request.add_reports() = *content;
        if (region_.mutation() == rule_removed::matching) {
            rpc::task_status& status = *request.mutable_reports(0)->mutable_status();
            status.set_index(status.index() ^ 1U);
        }
        if (!region_.report(*this, report.coordinator.name(), request)) {
            kept.push_back(report);
        }
    }
    unsent_ = std::move(kept);
}

void agent_process::step()
{
    announce_backend();
    maintain_sessions();
    take_tasks();
    confirm_tasks();
    finish_tasks();
}

} // namespace carobfall::stateful
