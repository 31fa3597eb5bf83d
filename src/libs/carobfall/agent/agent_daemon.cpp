#include "carobfall/agent/agent_daemon.h"

#include "carobfall/agent/agent_dump.h"
#include "carobfall/backend/http_task_runner.h"
#include "carobfall/base/ids.h"
#include "carobfall/base/log_fields.h"
#include "carobfall/base/status_routes.h"
#include "carobfall/config/ip_endpoint.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace carobfall {
namespace {

/// Interval at which queued tasks that can't start any more are refused.
constexpr absl::Duration sweep_interval = absl::Milliseconds(50);

/// Interval at which expired records are dropped.
constexpr absl::Duration expire_interval = absl::Seconds(1);

/// Default interval of heartbeats to entries other than the lease entry, as a multiple of the
/// interval for the lease entry.
constexpr int standby_interval_factor = 2;

/// Interval at which a shutdown checks whether all tasks have finished and reports are delivered.
constexpr absl::Duration drain_check_interval = absl::Milliseconds(10);

/// Operators and monitoring systems send few requests to an agent, and none with a body.
constexpr std::size_t operator_threads = 4;
constexpr absl::Duration operator_keep_alive = absl::Seconds(1);
constexpr std::size_t max_operator_body_bytes = 1024;

/// Parses ip:port. A malformed address gives an empty endpoint, which `start` refuses.
ip_endpoint endpoint_of(const std::string& address)
{
    return parse_ip_endpoint(address).value_or(ip_endpoint{});
}

http_server_settings operator_http_settings(const std::string& address)
{
    const ip_endpoint endpoint = endpoint_of(address);
    return {.host = endpoint.ip,
            .port = endpoint.port,
            .threads = operator_threads,
            .max_body_bytes = max_operator_body_bytes,
            .keep_alive = operator_keep_alive};
}

bool is_loopback(const std::string& ip)
{
    return ip.starts_with("127.") || ip == "::1";
}

std::string with_port(const std::string& address, std::uint16_t port)
{
    return absl::StrCat(address.substr(0, address.rfind(':')), ":", port);
}

} // namespace

agent_daemon::agent_daemon(agent_settings settings, agent_limits limits,
                           entry_channel_factory make_channel, clock_function clock)
    : settings_(std::move(settings)),
      limits_(limits),
      clock_(std::move(clock)),
      incarnation_(random_id()),
      ledger_({.agent_incarnation = incarnation_,
               .data_centre = settings_.data_centre,
               .queue_per_slot = static_cast<double>(settings_.queue_per_slot),
               .max_records = settings_.ledger.max_records,
               .max_result_bytes = settings_.ledger.max_result_bytes},
              lease_),
      registration_(limits_.backend_validity,
                    {.announced = [this](const announcement& backend,
                                         absl::Time until) { handle_announcement(backend, until); },
                     .left = [this] { ledger_.remove_backend(); }}),
      announcement_server_(registration_, clock_, endpoint_of(settings_.announce_address).ip,
                           endpoint_of(settings_.announce_address).port),
      environment_(make_environment()),
      sessions_(settings_.entry_addresses, std::move(make_channel), environment_),
      executor_(
          ledger_,
          [this] {
              return std::make_unique<http_task_runner>([this] { return registration_.port(); },
                                                        limits_.max_task_result_bytes, clock_);
          },
          [this](pending_report report) { post(std::move(report)); }, metrics_, clock_),
      server_(ledger_,
              {.tasks_queued = [this](std::size_t tasks) { executor_.notify(tasks); },
               .refused_data_centre_out =
                   [this](std::uint64_t version) { fetch_configuration(version); },
               .heartbeat_requested = [this] { sessions_.request_heartbeat(); }},
              metrics_, clock_),
      operator_server_("operator_request", operator_http_settings(settings_.operator_address))
{
    add_status_routes(operator_server_,
                      {.readiness = [this] { return unready_reasons(); },
                       .metrics_text = [this] { return metrics_text(); },
                       .state = [this] { return state(); }},
                      [](http_handler handler) { return handler; });
}

agent_daemon::~agent_daemon()
{
    operator_server_.stop();
    announcement_server_.stop();
    server_.stop();
    executor_.stop();
    sessions_.stop();
    if (maintenance_.joinable()) {
        stopped_ = true;
        maintenance_.join();
    }
}

session_environment agent_daemon::make_environment()
{
    return {.agent = [this] { return agent_info(); },
            .heartbeat = [this] { return make_heartbeat(); },
            .heartbeat_reply_received =
                [this](const rpc::beat_reply& reply, absl::Time send_time) {
                    handle_heartbeat_reply(reply, send_time);
                },
            .view_received = [this](const rpc::entry_view& view) { handle_view(view); },
            .report =
                [this](const pending_report& report) {
                    return ledger_.report_of(report.key, report.attempt);
                },
            .clock = clock_,
            .name = settings_.name,
            .data_centre = settings_.data_centre,
            .heartbeat_interval = settings_.heartbeat,
            .standby_interval = standby_interval_factor * settings_.heartbeat};
}

result<void> agent_daemon::start()
{
    if (!parse_ip_endpoint(settings_.operator_address) ||
        !is_loopback(endpoint_of(settings_.announce_address).ip)) {
        return failure(error_kind::invalid_request,
                       "the operator address is malformed, or the announce address isn't on the "
                       "loopback interface",
                       "give operator_address as ip:port and announce_address as 127.0.0.1:port");
    }
    BOOST_OUTCOME_TRY(server_.listen(settings_.rpc_address));
    BOOST_OUTCOME_TRY(announcement_server_.start());
    BOOST_OUTCOME_TRY(operator_server_.start());
    maintenance_ = std::thread([this] { maintain(); });
    sessions_.start();
    LOG(INFO) << log_fields("agent_started")
                     .add("name", settings_.name)
                     .add("incarnation", incarnation_)
                     .add("grpc_port", grpc_port())
                     .add("operator_port", operator_port())
                     .add("announcement_port", announcement_port());
    return success();
}

std::optional<rpc::agent_info> agent_daemon::agent_info() const
{
    const std::optional<announcement> backend = registration_.current();
    if (!backend) {
        return std::nullopt;
    }
    rpc::agent_info info;
    info.set_name(settings_.name);
    info.set_incarnation(incarnation_);
    info.set_address(with_port(settings_.rpc_address, grpc_port()));
    info.set_region(settings_.region);
    info.set_data_centre(settings_.data_centre);
    info.set_rack(settings_.rack);
    *info.mutable_backend_server() = backend->info;
    return info;
}

rpc::beat_request agent_daemon::make_heartbeat() const
{
    rpc::beat_request heartbeat;
    heartbeat.mutable_agent()->set_name(settings_.name);
    heartbeat.mutable_agent()->set_incarnation(incarnation_);
    *heartbeat.mutable_load() = ledger_.load();
    heartbeat.set_leaving(ledger_.leaving());
    heartbeat.set_backend_available(ledger_.backend_available(clock_()));
    // The ledger's view number isn't used: a start or a fence raises it without the list of
    // members.
    heartbeat.set_view_number(sessions_.view_number());
    heartbeat.set_configuration_version(lease_.configuration_version());
    heartbeat.set_keeps_data_centres_out(true);
    if (heartbeat.leaving()) {
        // An entry records a clean leave once the load is zero. Undelivered results are counted as
        // running tasks, so that entries still request the records of this agent until the reports
        // are delivered.
        heartbeat.mutable_load()->set_running(
            heartbeat.load().running() + static_cast<std::uint32_t>(sessions_.pending_reports()));
    }
    return heartbeat;
}

void agent_daemon::handle_heartbeat_reply(const rpc::beat_reply& reply, absl::Time send_time)
{
    const bool was_valid = lease_.is_valid(clock_());
    const bool renewed = lease_.renew(reply, send_time);
    if (renewed && !was_valid) {
        executor_.notify(ledger_.load().queued());
    }
}

void agent_daemon::handle_view(const rpc::entry_view& view)
{
    if (view.region() != settings_.region) {
        LOG_EVERY_N(WARNING, 100)
            << log_fields("view_of_another_region").add("region", view.region());
        return;
    }
    ledger_.raise_view_number(view.number());
    sessions_.adopt_view(view);
}

void agent_daemon::handle_announcement(const announcement& backend, absl::Time valid_until)
{
    const bool was_available = ledger_.backend_available(clock_());
    ledger_.announce_backend(backend.info.slots(), valid_until);
    executor_.ensure_threads(backend.info.slots());
    if (!was_available) {
        LOG(INFO) << log_fields("backend_announced")
                         .add("name", backend.info.name())
                         .add("port", backend.port)
                         .add("slots", backend.info.slots());
        sessions_.request_heartbeat();
    }
}

/// Fetches a later configuration by an immediate heartbeat. After its data centre has returned to
/// service, the agent would otherwise refuse all starts until the next regular heartbeat.
void agent_daemon::fetch_configuration(std::uint64_t configuration_version)
{
    if (configuration_version > lease_.configuration_version()) {
        sessions_.request_heartbeat();
    }
}

void agent_daemon::post(pending_report report)
{
    metrics_.add("reports_total");
    sessions_.post(std::move(report));
}

/// The lock makes a shutdown wait until the maintenance thread has posted the reports of its sweep.
void agent_daemon::sweep()
{
    const std::lock_guard lock(sweep_mutex_);
    for (pending_report& report : ledger_.sweep(clock_())) {
        metrics_.add("tasks_handed_back_total");
        post(std::move(report));
    }
}

void agent_daemon::maintain()
{
    absl::Time next_expire = clock_() + expire_interval;
    bool was_available = false;
    while (!stopped_) {
        absl::SleepFor(sweep_interval);
        const absl::Time now = clock_();
        // Reports the loss at once: the next regular heartbeat to most entries may be seconds away.
        if (std::exchange(was_available, ledger_.backend_available(now)) &&
            !ledger_.backend_available(now)) {
            sessions_.request_heartbeat();
        }
        sweep();
        sessions_.reap_sessions(now);
        if (now >= next_expire) {
            ledger_.expire(now);
            next_expire = now + expire_interval;
        }
    }
}

nlohmann::json agent_daemon::state() const
{
    agent_dump dump;
    dump.agent = agent_info().value_or(rpc::agent_info());
    dump.statistics = ledger_.statistics();
    dump.records = ledger_.dump();
    dump.sessions = sessions_.states();
    return to_json(dump, lease_, clock_());
}

std::string agent_daemon::metrics_text() const
{
    const ledger_statistics statistics = ledger_.statistics();
    return absl::StrCat(
        metrics_.to_text(), "tasks_accepted_total ", statistics.accepted, "\ntasks_running ",
        statistics.load.running(), "\ntasks_queued ", statistics.load.queued(), "\nledger_records ",
        statistics.records, "\nledger_result_bytes ", statistics.result_bytes,
        "\nledger_results_dropped_total ", statistics.results_dropped, "\nlease_valid ",
        lease_.is_valid(clock_()) ? 1 : 0, "\nreports_pending ", sessions_.pending_reports(), "\n");
}

std::vector<std::string> agent_daemon::unready_reasons() const
{
    const absl::Time now = clock_();
    std::vector<std::string> reasons;
    if (ledger_.leaving()) {
        reasons.emplace_back("the agent is leaving");
    }
    if (!ledger_.backend_available(now)) {
        reasons.emplace_back("no announcement of a backend server is valid");
    }
    if (!lease_.is_valid(now)) {
        reasons.emplace_back("no entry has granted a lease; check the entries' /readyz");
    }
    return reasons;
}

void agent_daemon::drain()
{
    LOG(INFO) << log_fields("agent_leaving").add("name", settings_.name);
    ledger_.begin_leaving();
    sweep();
    sessions_.request_heartbeat();
    wait_for_idle();
    wait_for_reports();
    sessions_.request_heartbeat();
    absl::SleepFor(settings_.heartbeat);
    LOG(INFO) << log_fields("agent_left")
                     .add("name", settings_.name)
                     .add("undelivered_reports", sessions_.pending_reports());
}

/// Needs no timeout, because no task runs beyond its deadline.
void agent_daemon::wait_for_idle()
{
    while (ledger_.load().running() + ledger_.load().queued() > 0) {
        absl::SleepFor(drain_check_interval);
    }
    executor_.stop();
    sweep();
}

void agent_daemon::wait_for_reports()
{
    const absl::Time deadline = clock_() + limits_.report_timeout;
    while (sessions_.pending_reports() > 0 && clock_() < deadline) {
        absl::SleepFor(drain_check_interval);
    }
}

} // namespace carobfall
