#include "carobfall/daemon/configuration_service.h"

#include "carobfall/config/configuration_builder.h"
#include "carobfall/config/declarations.h"
#include "carobfall/entry/rendezvous.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <utility>

namespace carobfall {
namespace {

// An accepted change has to be in force within 5 s, of which `configuration_freshness` takes 2 s.
constexpr absl::Duration publish_timeout = absl::Seconds(3);
constexpr absl::Duration retry_now_timeout = absl::Seconds(1);

using change_map = std::map<std::string, rpc::configuration_change>;

change_map by_key(const rpc::push_configuration_request& snapshot)
{
    change_map rows;
    for (const rpc::configuration_change& change : snapshot.changes()) {
        rows[change.key()] = change;
    }
    return rows;
}

// Whether the row is shown to operators. Rows of data centres in service are hidden, and so are
// deadline bounds, which aren't declared.
bool is_listed(const rpc::configuration_change& change)
{
    return !change.deleted() && change.value() != data_centre_in &&
           !change.key().starts_with(deadline_bound_prefix);
}

row_change compare(const change_map& stored, const rpc::configuration_change& wanted)
{
    row_change row;
    row.key = wanted.key();
    const auto found = stored.find(wanted.key());
    if (found != stored.end() && is_listed(found->second)) {
        row.before = found->second.value();
    }
    if (is_listed(wanted)) {
        row.after = wanted.value();
    }
    if (row.before == row.after) {
        row.action = change_action::unchanged;
    } else if (row.before.empty()) {
        row.action = change_action::created;
    } else {
        row.action = row.after.empty() ? change_action::removed : change_action::updated;
    }
    return row;
}

// Only accounts and templates are declared; data centres are taken out of service and back in.
result<rpc::configuration_change> make_removal(const std::string& key)
{
    if (!key.starts_with(account_prefix) && !key.starts_with(template_prefix)) {
        return failure(error_kind::invalid_request, key + " is not an account or a template",
                       "name it account/<client account> or template/<client account>/<name>");
    }
    rpc::configuration_change change;
    change.set_key(key);
    change.set_deleted(true);
    return canonical_change(change);
}

result<void> check_expected(const change_options& options, std::uint64_t version)
{
    if (options.expected_version && *options.expected_version != version) {
        return failure(error_kind::conflict,
                       absl::StrCat("the configuration has version ", version, ", not ",
                                    *options.expected_version),
                       "read the configuration again, compare, and apply to the present version");
    }
    return success();
}

backend_status status_of(const agent_state& agent, const backend_backoff& backoff)
{
    const rpc::backend_server_info& server = agent.info->backend_server();
    return {.agent = agent.info->name(),
            .backend_server = server.name(),
            .data_centre = agent.info->data_centre(),
            .rack = agent.info->rack(),
            .slots = server.slots(),
            .running = agent.load.running(),
            .queued = agent.load.queued(),
            .available = agent.backend_available && !agent.leaving,
            .leaving = agent.leaving,
            .backoff = backoff.remaining,
            .backoff_reason = backoff.kind ? std::string(name_of(*backoff.kind)) : ""};
}

} // namespace

configuration_service::configuration_service(operator_service_components components)
    : components_(std::move(components))
{}

result<declared_row> configuration_service::find_declaration(const std::string& key)
{
    BOOST_OUTCOME_TRY(const auto snapshot, components_.store.load());
    for (const rpc::configuration_change& change : snapshot.changes()) {
        if (change.key() == key && is_listed(change)) {
            return declared_row{key, change.value(), change.version()};
        }
    }
    return failure(error_kind::not_found, "nothing is declared as " + key,
                   "list the declarations, or apply one with this name");
}

result<std::vector<declared_row>>
configuration_service::list_declarations(const std::string& prefix)
{
    BOOST_OUTCOME_TRY(const auto snapshot, components_.store.load());
    std::vector<declared_row> rows;
    for (const rpc::configuration_change& change : snapshot.changes()) {
        if (change.key().rfind(prefix, 0) == 0 && is_listed(change)) {
            rows.push_back({change.key(), change.value(), change.version()});
        }
    }
    std::sort(rows.begin(), rows.end(),
              [](const auto& left, const auto& right) { return left.key < right.key; });
    return rows;
}

std::uint64_t configuration_service::configuration_version()
{
    return components_.replica.current()->version;
}

result<change_report> configuration_service::apply(const std::string& yaml,
                                                   const std::string& only_key,
                                                   const change_options& options)
{
    std::vector<rpc::configuration_change> changes;
    if (!yaml.empty() || options.remove.empty()) {
        BOOST_OUTCOME_TRY(const auto declarations, parse_declarations(yaml, "request"));
        for (const declaration& declared : declarations) {
            changes.push_back(to_change(declared));
        }
    }
    for (const std::string& key : options.remove) {
        BOOST_OUTCOME_TRY(rpc::configuration_change removal, make_removal(key));
        changes.push_back(std::move(removal));
    }
    if (!only_key.empty() && (changes.size() != 1 || changes.front().key() != only_key)) {
        return failure(error_kind::invalid_request, "the text doesn't declare " + only_key,
                       "send exactly the document that the path names");
    }
    return commit(std::move(changes), options);
}

result<change_report> configuration_service::remove(const std::string& key,
                                                    const change_options& options)
{
    BOOST_OUTCOME_TRY(find_declaration(key));
    BOOST_OUTCOME_TRY(rpc::configuration_change removal, make_removal(key));
    return commit({std::move(removal)}, options);
}

result<change_report> configuration_service::set_data_centre(const std::string& name, bool out,
                                                             const change_options& options)
{
    return commit({data_centre_change(name, out)}, options);
}

result<change_report> configuration_service::commit(std::vector<rpc::configuration_change> changes,
                                                    const change_options& options)
{
    BOOST_OUTCOME_TRY(const auto snapshot, components_.store.load());
    BOOST_OUTCOME_TRY(check_expected(options, snapshot.version()));
    change_report report;
    report.change_id = options.change_id;
    report.version = snapshot.version();
    const change_map stored = by_key(snapshot);
    for (const rpc::configuration_change& change : changes) {
        report.rows.push_back(compare(stored, change));
    }
    if (options.dry_run) {
        return report;
    }
    BOOST_OUTCOME_TRY(report.version,
                      components_.store.apply({.changes = std::move(changes),
                                               .change_id = options.change_id,
                                               .expected_version = options.expected_version}));
    report.committed = true;
    components_.replica.poll(components_.clock());
    report.in_force_everywhere =
        components_.replica.publish(report.version, publish_timeout).has_value();
    return report;
}

result<std::vector<data_centre_status>> configuration_service::data_centres()
{
    std::map<std::string, data_centre_status> centres;
    const configuration_ptr configuration = components_.replica.current();
    for (const std::string& name : configuration->data_centres_out) {
        centres[name].out = true;
    }
    const rpc::entry_view view = components_.members.snapshot().view;
    for (const rpc::entry_member& member : view.members()) {
        centres[member.data_centre()];
    }
    for (const agent_state& agent : components_.agents.agents()) {
        data_centre_status& centre = centres[agent.info->data_centre()];
        ++centre.agents;
        centre.slots += agent.info->backend_server().slots();
        centre.running += agent.load.running();
    }
    std::vector<data_centre_status> list;
    for (auto& [name, centre] : centres) {
        centre.name = name;
        list.push_back(centre);
    }
    return list;
}

result<std::vector<backend_status>> configuration_service::backends()
{
    std::vector<backend_status> list;
    const absl::Time now = components_.clock();
    for (const agent_state& agent : components_.agents.agents()) {
        list.push_back(status_of(agent, components_.health.backoff(agent.info->name(), now)));
    }
    std::sort(list.begin(), list.end(),
              [](const auto& left, const auto& right) { return left.agent < right.agent; });
    return list;
}

result<void> configuration_service::forget_entry(const std::string& name)
{
    return components_.members.forget(name);
}

result<std::uint32_t> configuration_service::retry_now(const std::string& agent)
{
    std::uint32_t cleared = components_.submissions.retry_now(agent, components_.clock());
    rpc::retry_now_request request;
    request.set_agent(agent);
    const rpc::entry_view view = components_.members.snapshot().view;
    for (const rpc::entry_member& member : view.members()) {
        if (same_incarnation(member, components_.members.self())) {
            continue;
        }
        const auto reply = components_.entries(member)->retry_now(request, retry_now_timeout);
        cleared += reply ? reply.value().cleared() : 0;
    }
    return cleared;
}

} // namespace carobfall
