#include "carobfall/agent/agent_dump.h"

#include "carobfall/base/clock.h"

#include <nlohmann/json.hpp>

namespace carobfall {
namespace {

using nlohmann::json;

/// Milliseconds from `now` to `time`, negative if it has passed; null for a time never set.
json remaining_ms(absl::Time time, absl::Time now)
{
    return time == absl::InfinitePast() ? json() : json(absl::ToInt64Milliseconds(time - now));
}

json agent_json(const rpc::agent_info& agent)
{
    const rpc::backend_server_info& backend = agent.backend_server();
    return {{"name", agent.name()},
            {"incarnation", agent.incarnation()},
            {"address", agent.address()},
            {"region", agent.region()},
            {"data_centre", agent.data_centre()},
            {"rack", agent.rack()},
            {"backend_server",
             {{"name", backend.name()},
              {"slots", backend.slots()},
              {"processors", backend.processors()},
              {"memory_mib", backend.memory_mib()},
              {"accelerators", backend.accelerators()}}}};
}

json statistics_json(const ledger_statistics& statistics, absl::Time now)
{
    return {{"running", statistics.load.running()},
            {"queued", statistics.load.queued()},
            {"free_slots", statistics.load.free_slots()},
            {"slots", statistics.slots},
            {"view_number", statistics.view_number},
            {"records", statistics.records},
            {"result_bytes", statistics.result_bytes},
            {"results_dropped", statistics.results_dropped},
            {"mean_run_ms", absl::ToDoubleMilliseconds(statistics.mean_run)},
            {"backend_remaining_ms", remaining_ms(statistics.backend_valid_until, now)},
            {"leaving", statistics.leaving}};
}

json record_json(const ledger_dump_entry& entry)
{
    const rpc::record_summary& summary = entry.summary;
    return {{"client_account", summary.submission().client_account()},
            {"submission_id", summary.submission().submission_id()},
            {"index", summary.index()},
            {"attempt", summary.attempt()},
            {"state", rpc::task_state_Name(summary.state())},
            {"reason", rpc::refusal_reason_Name(entry.reason)},
            {"deadline_unix_ms", summary.deadline_unix_ms()},
            {"result_bytes", entry.result_bytes}};
}

json session_json(const session_state& session, absl::Time now)
{
    return {{"address", session.address},
            {"registered", session.registered},
            {"report_only", session.report_only},
            {"pending_reports", session.pending_reports},
            {"failed_calls", session.failed_calls},
            {"last_contact_ms", remaining_ms(session.last_contact, now)},
            {"last_error", session.last_error}};
}

} // namespace

json to_json(const agent_dump& state, const start_lease& lease, absl::Time now)
{
    json records = json::array();
    for (const ledger_dump_entry& entry : state.records) {
        records.push_back(record_json(entry));
    }
    json sessions = json::array();
    for (const session_state& session : state.sessions) {
        sessions.push_back(session_json(session, now));
    }
    return {{"now_unix_ms", to_unix_ms(now)},
            {"agent", agent_json(state.agent)},
            {"lease",
             {{"valid", lease.is_valid(now)},
              {"remaining_ms", remaining_ms(lease.valid_until(), now)},
              {"configuration_version", lease.configuration_version()},
              {"data_centres_out", lease.data_centres_out()}}},
            {"ledger", statistics_json(state.statistics, now)},
            {"sessions", std::move(sessions)},
            {"records", std::move(records)}};
}

} // namespace carobfall
