#include "carobfall/daemon/entry_state_dump.h"

namespace carobfall {
namespace {

nlohmann::json to_json(const rpc::entry_member& member)
{
    return {{"name", member.name()},
            {"incarnation", member.incarnation()},
            {"address", member.address()},
            {"data_centre", member.data_centre()}};
}

nlohmann::json view_section(const membership& members)
{
    const ownership_snapshot snapshot = members.snapshot();
    nlohmann::json list = nlohmann::json::array();
    for (const rpc::entry_member& member : snapshot.view.members()) {
        list.push_back(to_json(member));
    }
    return {{"self", to_json(members.self())},
            {"number", snapshot.view.number()},
            {"members", list},
            {"effective_since", absl::FormatTime(snapshot.effective_since, absl::UTCTimeZone())},
            {"in_transition", snapshot.in_transition},
            {"complete", snapshot.complete},
            {"is_member", snapshot.is_member}};
}

nlohmann::json claims_section(const claim_store& claims)
{
    nlohmann::json list = nlohmann::json::array();
    for (const rpc::claim& claim : claims.all()) {
        list.push_back({{"client_account", claim.submission().client_account()},
                        {"submission_id", claim.submission().submission_id()},
                        {"coordinator", claim.coordinator().name()},
                        {"deadline_unix_ms", claim.deadline_unix_ms()},
                        {"tasks", claim.task_count()},
                        {"planned_agents", claim.planned_agents_size()},
                        {"answered", claim.answered()}});
    }
    return list;
}

nlohmann::json configuration_section(const configuration_replica& replica,
                                     const std::string& region, absl::Time now)
{
    const configuration_ptr configuration = replica.current();
    nlohmann::json bounds = nlohmann::json::object();
    for (const auto& [account, bound] : configuration->deadline_bounds) {
        bounds[account] =
            absl::FormatDuration(configuration->longest_time_to_deadline(account, region, now));
    }
    return {{"version", configuration->version},
            {"deadline_bounds", bounds},
            {"fresh_for_ms", absl::ToInt64Milliseconds(replica.fresh_for(now))},
            {"client_accounts", configuration->accounts.size()},
            {"templates", configuration->templates.size()},
            {"data_centres_out", configuration->data_centres_out}};
}

nlohmann::json agents_section(const agent_registry& agents, absl::Time now)
{
    nlohmann::json list = nlohmann::json::array();
    for (const agent_state& agent : agents.agents()) {
        list.push_back({{"name", agent.info->name()},
                        {"incarnation", agent.info->incarnation()},
                        {"address", agent.info->address()},
                        {"data_centre", agent.info->data_centre()},
                        {"slots", agent.info->backend_server().slots()},
                        {"running", agent.load.running()},
                        {"queued", agent.load.queued()},
                        {"outstanding", agent.outstanding},
                        {"leaving", agent.leaving},
                        {"backend_available", agent.backend_available},
                        {"heartbeat_age_ms", absl::ToInt64Milliseconds(now - agent.last_beat)}});
    }
    return list;
}

} // namespace

void add_entry_sections(state_dump& dump, const membership& members, const claim_store& claims,
                        const configuration_replica& replica, const agent_registry& agents,
                        const coordinator& submissions, const std::string& region,
                        const clock_function& clock)
{
    dump.add("view", [&members] { return view_section(members); });
    dump.add("claims", [&claims] { return claims_section(claims); });
    dump.add("configuration",
             [&replica, region, clock] { return configuration_section(replica, region, clock()); });
    dump.add("agents", [&agents, clock] { return agents_section(agents, clock()); });
    dump.add("submissions", [&submissions] {
        return nlohmann::json{{"running", submissions.running_jobs()}};
    });
}

} // namespace carobfall
