#include "carobfall/agent/entry_session_set.h"

#include "carobfall/base/ids.h"
#include "carobfall/base/log_fields.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace carobfall {
namespace {

/// A report-only session is ended after this time without a new report.
constexpr absl::Duration report_only_idle_timeout = absl::Seconds(10);

/// Addresses of the members in the order in which they are preferred as lease entry: members in the
/// agent's data centre first, then by rendezvous hash of member and agent name.
std::vector<std::string> lease_order(const rpc::entry_view& view, const session_environment& agent)
{
    std::vector<std::tuple<bool, std::uint64_t, std::string>> scored;
    for (const rpc::entry_member& member : view.members()) {
        scored.emplace_back(member.data_centre() != agent.data_centre,
                            stable_hash(absl::StrCat(member.name(), "\n", agent.name)),
                            member.address());
    }
    std::sort(scored.begin(), scored.end());
    std::vector<std::string> order;
    order.reserve(scored.size());
    for (auto& [distant, score, address] : scored) {
        order.push_back(std::move(address));
    }
    return order;
}

} // namespace

entry_session_set::entry_session_set(std::vector<std::string> seed_addresses,
                                     entry_channel_factory make_channel,
                                     const session_environment& environment)
    : seeds_(seed_addresses.begin(), seed_addresses.end()),
      make_channel_(std::move(make_channel)),
      environment_(environment)
{}

entry_session_set::~entry_session_set()
{
    stop();
}

void entry_session_set::start()
{
    const std::lock_guard lock(mutex_);
    for (const std::string& address : seeds_) {
        add(address, false);
    }
}

void entry_session_set::add(const std::string& address, bool report_only)
{
    if (stopped_) {
        return;
    }
    sessions_[address] = std::make_unique<entry_session>(
        address, make_channel_(address), environment_, report_only,
        session_hooks{.grant_changed = [this] { choose_lease_entry(); },
                      .renewing_entry = [this, address] { return lease_entry_for(address); }});
}

lease_entry entry_session_set::lease_entry_for(const std::string& address) const
{
    const std::lock_guard lock(mutex_);
    if (lease_address_.empty()) {
        return {};
    }
    if (address != lease_address_) {
        return {advertised_lease_entry_, false};
    }
    return {incarnations_.at(address), true};
}

void entry_session_set::choose_lease_entry()
{
    const std::lock_guard lock(mutex_);
    choose_lease_entry_locked();
}

void entry_session_set::choose_lease_entry_locked()
{
    const auto chosen = std::find_if(lease_order_.begin(), lease_order_.end(), [&](const auto& to) {
        const auto session = sessions_.find(to);
        return session != sessions_.end() && session->second->grant() != lease_grant::none;
    });
    const bool found = chosen != lease_order_.end();
    lease_address_ = found ? *chosen : "";
    for (const auto& [address, session] : sessions_) {
        session->set_renews_lease(!found || address == lease_address_);
    }
    // The lease entry monitors this agent only after it has replied to a heartbeat that named it.
    // Before that, it isn't advertised, because the other entries must not rely on it.
    const bool acknowledged =
        found && sessions_.at(lease_address_)->grant() == lease_grant::renewing;
    const std::uint64_t advertised = acknowledged ? incarnations_[lease_address_] : 0;
    if (std::exchange(advertised_lease_entry_, advertised) == advertised || advertised == 0) {
        return;
    }
    for (const auto& [address, session] : sessions_) {
        if (address != lease_address_) {
            session->request_heartbeat();
        }
    }
}

entry_session_set::session_map::iterator entry_session_set::retire(session_map::iterator session)
{
    session->second->request_stop();
    retired_.push_back(std::move(session->second));
    return sessions_.erase(session);
}

bool entry_session_set::adopt_view(const rpc::entry_view& view)
{
    const std::lock_guard lock(mutex_);
    if (view.number() <= view_number_) {
        return false;
    }
    view_number_ = view.number();
    lease_order_ = lease_order(view, environment_);
    std::set<std::string> wanted = seeds_;
    incarnations_.clear();
    for (const rpc::entry_member& member : view.members()) {
        wanted.insert(member.address());
        incarnations_[member.address()] = stable_hash(member.incarnation());
    }
    for (auto session = sessions_.begin(); session != sessions_.end();) {
        const bool is_wanted = wanted.contains(session->first);
        if (is_wanted) {
            session->second->promote();
            session->second->set_renews_lease(false);
            // A new incarnation of the entry at the same address requires a new registration.
            session->second->request_heartbeat();
        }
        // The coordinator of a report-only session may be a member of a later view.
        const bool keep = is_wanted || session->second->state().report_only;
        session = keep ? std::next(session) : retire(session);
    }
    for (const std::string& address : wanted) {
        if (!sessions_.contains(address)) {
            add(address, false);
        }
    }
    // The lease entry may have left the view, or have been replaced by another incarnation at the
    // same address.
    choose_lease_entry_locked();
    LOG(INFO) << log_fields("view_adopted").add("view", view.number());
    return true;
}

void entry_session_set::post(pending_report report)
{
    const std::string address = report.coordinator.address();
    const std::lock_guard lock(mutex_);
    if (!sessions_.contains(address)) {
        add(address, true);
    }
    if (const auto session = sessions_.find(address); session != sessions_.end()) {
        session->second->post(std::move(report));
    }
}

void entry_session_set::reap_sessions(absl::Time now)
{
    std::vector<std::unique_ptr<entry_session>> ended;
    {
        const std::lock_guard lock(mutex_);
        for (auto session = sessions_.begin(); session != sessions_.end();) {
            const session_state state = session->second->state();
            const bool idle = state.report_only && state.pending_reports == 0 &&
                              now - session->second->last_post() > report_only_idle_timeout;
            session = idle ? retire(session) : std::next(session);
        }
        ended.swap(retired_);
    }
}

void entry_session_set::request_heartbeat()
{
    const std::lock_guard lock(mutex_);
    for (const auto& [address, session] : sessions_) {
        session->request_heartbeat();
    }
}

void entry_session_set::stop()
{
    session_map sessions;
    std::vector<std::unique_ptr<entry_session>> retired;
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        for (const auto& [address, session] : sessions_) {
            session->request_stop();
        }
        sessions.swap(sessions_);
        retired.swap(retired_);
    }
}

std::size_t entry_session_set::pending_reports() const
{
    const std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (const auto& [address, session] : sessions_) {
        count += session->pending_reports();
    }
    return count;
}

std::vector<session_state> entry_session_set::states() const
{
    const std::lock_guard lock(mutex_);
    std::vector<session_state> states;
    for (const auto& [address, session] : sessions_) {
        states.push_back(session->state());
    }
    return states;
}

std::uint64_t entry_session_set::view_number() const
{
    const std::lock_guard lock(mutex_);
    return view_number_;
}

} // namespace carobfall
