#include "carobfall/entry/agent_membership_table.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace carobfall {
namespace {

constexpr absl::Duration check_timeout = absl::Seconds(1);

// Maximum number of attempts: after a lost response or a concurrent write the row is read again.
constexpr int max_attempts = 3;

bool needs_another_read(const result<void>& outcome)
{
    return !outcome && (outcome.error().kind == error_kind::conflict ||
                        outcome.error().kind == error_kind::outcome_unknown);
}

bool is_lost(const agent_record& record, const std::string& incarnation)
{
    return std::any_of(record.lost.begin(), record.lost.end(), [&](const agent_member& member) {
        return member.info.incarnation() == incarnation;
    });
}

auto replaced(const std::string& name)
{
    return failure(error_kind::invalid_request,
                   absl::StrCat("this incarnation of agent ", name, " has left or was replaced"),
                   "restart the agent");
}

} // namespace

result<void> check_incarnation(agent_channel& channel, const rpc::agent_info& agent)
{
    // A fence request without a view has no effect; its reply contains the incarnation.
    const auto reply = channel.fence({}, check_timeout);
    if (!reply) {
        return failure(
            error_kind::unavailable,
            absl::StrCat("agent ", agent.name(), " doesn't respond at ", agent.address()),
            "check rpc_address in its settings; it registers again by itself");
    }
    if (reply.value().incarnation() != agent.incarnation()) {
        return replaced(agent.name());
    }
    return success();
}

agent_membership_table::agent_membership_table(
    table_service& table, std::string_view region,
    std::function<std::optional<join_permission>()> permission, incarnation_check check)
    : table_(table),
      prefix_(absl::StrCat("agent/", std::string(region), "/")),
      permission_(std::move(permission)),
      check_(std::move(check))
{}

result<void> agent_membership_table::record_join(const rpc::agent_info& agent, absl::Time now)
{
    if (is_known(agent)) {
        return success();
    }
    result<void> outcome = join_once(agent, now);
    for (int attempt = 1; attempt < max_attempts && needs_another_read(outcome); ++attempt) {
        outcome = join_once(agent, now);
    }
    if (outcome) {
        remember(agent.name(), agent.incarnation());
    }
    return outcome;
}

result<void> agent_membership_table::record_leave(const rpc::agent_ref& agent, absl::Time now)
{
    result<void> outcome = leave_once(agent, now);
    for (int attempt = 1; attempt < max_attempts && needs_another_read(outcome); ++attempt) {
        outcome = leave_once(agent, now);
    }
    if (outcome) {
        remember(agent.name(), "");
    }
    return outcome;
}

result<std::vector<agent_member>> agent_membership_table::members(absl::Time now)
{
    BOOST_OUTCOME_TRY(const auto rows, table_.scan(prefix_));
    std::vector<agent_member> members;
    for (const table_row& row : rows) {
        BOOST_OUTCOME_TRY(agent_record record, agent_record_from_json(row.value));
        trim_lost(record, now);
        if (!record.left) {
            members.push_back({record.current, false, absl::InfiniteFuture()});
        }
        members.insert(members.end(), record.lost.begin(), record.lost.end());
    }
    return members;
}

result<agent_membership_table::stored_record> agent_membership_table::read(const std::string& name)
{
    BOOST_OUTCOME_TRY(const auto row, table_.read(key_of(name)));
    if (!row) {
        return stored_record{};
    }
    BOOST_OUTCOME_TRY(agent_record record, agent_record_from_json(row->value));
    return stored_record{std::move(record), row->version};
}

result<void> agent_membership_table::join_once(const rpc::agent_info& agent, absl::Time now)
{
    const std::optional<join_permission> permission = permission_();
    if (!permission) {
        return failure(error_kind::unavailable, "the view of entries is changing",
                       "register again");
    }
    BOOST_OUTCOME_TRY(stored_record stored, read(agent.name()));
    agent_record& record = stored.record;
    const bool exists = stored.row_version != 0;
    if (exists && record.current.incarnation() == agent.incarnation()) {
        if (record.left) {
            return replaced(agent.name());
        }
        if (record.joined_in_view > permission->view_number) {
            return failure(error_kind::unavailable, "the agent has joined in a later view",
                           "register again");
        }
        return success();
    }
    if (is_lost(record, agent.incarnation())) {
        return replaced(agent.name());
    }
    BOOST_OUTCOME_TRYV(check_(agent));
    if (exists && !record.left) {
        record.lost.push_back({record.current, true, now});
    }
    trim_lost(record, now);
    record.current = agent;
    record.left = false;
    record.joined_in_view = permission->view_number;
    return table_.commit({{permission->condition, {key_of(agent.name()), stored.row_version}},
                          {{key_of(agent.name()), to_json(record)}}});
}

result<void> agent_membership_table::leave_once(const rpc::agent_ref& agent, absl::Time now)
{
    BOOST_OUTCOME_TRY(stored_record stored, read(agent.name()));
    agent_record& record = stored.record;
    if (stored.row_version == 0 || record.current.incarnation() != agent.incarnation() ||
        record.left) {
        return success();
    }
    record.left = true;
    record.lost.push_back({record.current, true, now});
    trim_lost(record, now);
    return table_.commit(
        {{{key_of(agent.name()), stored.row_version}}, {{key_of(agent.name()), to_json(record)}}});
}

std::string agent_membership_table::key_of(const std::string& name) const
{
    return absl::StrCat(prefix_, name);
}

bool agent_membership_table::is_known(const rpc::agent_info& agent) const
{
    const absl::MutexLock lock(&mutex_);
    const auto known = known_.find(agent.name());
    return known != known_.end() && known->second == agent.incarnation();
}

void agent_membership_table::remember(const std::string& name, const std::string& incarnation)
{
    const absl::MutexLock lock(&mutex_);
    known_[name] = incarnation;
}

} // namespace carobfall
