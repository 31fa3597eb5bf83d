#include "carobfall/entry/peer_monitor.h"

#include "carobfall/entry/rendezvous.h"
#include "carobfall/entry/view_rules.h"

#include <algorithm>
#include <optional>

namespace carobfall {
namespace {

// Heartbeats come from the other members and from entries that are joining.
constexpr std::size_t max_senders = 256;

} // namespace

peer_monitor::peer_monitor(peer_monitor_settings settings, entry_channel_factory channels,
                           parallel_runner run_parallel)
    : settings_(settings), channels_(std::move(channels)), run_parallel_(std::move(run_parallel))
{}

void peer_monitor::update_monitored(const std::vector<rpc::entry_member>& peers, absl::Time now)
{
    const absl::MutexLock lock(&mutex_);
    // If this process was paused, missing replies don't show that the others have failed.
    const bool was_paused = now - last_round_ > settings_.failure_timeout / 2;
    last_round_ = now;
    absl::flat_hash_map<std::string, peer_state> monitored;
    for (const rpc::entry_member& peer : peers) {
        const std::string id = member_id(peer);
        const auto known = peers_.find(id);
        peer_state times = known == peers_.end() ? peer_state{now} : known->second;
        times.monitored_since = was_paused ? now : times.monitored_since;
        monitored.emplace(id, times);
    }
    peers_ = std::move(monitored);
}

std::vector<peer_reply> peer_monitor::send_heartbeats(const std::vector<rpc::entry_member>& peers,
                                                      const rpc::entry_beat_request& request,
                                                      absl::Time now)
{
    const std::vector<rpc::entry_member> receivers = with_senders(peers, now);
    update_monitored(receivers, now);
    std::vector<std::optional<peer_reply>> replies(peers.size());
    std::vector<std::function<void()>> calls;
    for (std::size_t i = 0; i < receivers.size(); ++i) {
        calls.emplace_back([&, i] {
            const auto reply = channels_(receivers[i])->entry_beat(request, settings_.call_timeout);
            if (!reply) {
                return;
            }
            record_reply(receivers[i], reply.value(), now);
            if (i < peers.size() && same_incarnation(reply.value().member(), peers[i])) {
                replies[i] = {peers[i], reply.value().view_number(),
                              reply.value().configuration_version(), reply.value().in_transition()};
            }
        });
    }
    run_parallel_(calls);
    std::vector<peer_reply> received;
    for (auto& reply : replies) {
        if (reply) {
            received.push_back(std::move(*reply));
        }
    }
    return received;
}

void peer_monitor::record_reply(const rpc::entry_member& peer, const rpc::entry_beat_reply& reply,
                                absl::Time now)
{
    const absl::MutexLock lock(&mutex_);
    const auto known = peers_.find(member_id(peer));
    if (known == peers_.end()) {
        return;
    }
    if (same_incarnation(peer, reply.member())) {
        known->second.last_reply = now;
        known->second.last_two_way = reply.reached() ? now : known->second.last_two_way;
    } else {
        known->second.gone = true;
    }
}

// Adds the entries that are joining. Such an entry joins only if it learns that it replies to the
// heartbeats of the members, so the members have to send it heartbeats.
std::vector<rpc::entry_member> peer_monitor::with_senders(std::vector<rpc::entry_member> peers,
                                                          absl::Time now)
{
    const absl::MutexLock lock(&mutex_);
    absl::erase_if(senders_, [&](const auto& item) {
        return now - item.second.last_heartbeat > settings_.failure_timeout;
    });
    for (const auto& item : senders_) {
        const rpc::entry_member& sender = item.second.member;
        const bool listed = std::any_of(peers.begin(), peers.end(), [&](const auto& peer) {
            return same_incarnation(peer, sender);
        });
        if (!listed) {
            peers.push_back(sender);
        }
    }
    return peers;
}

bool peer_monitor::record_sender(const rpc::entry_member& sender)
{
    const absl::MutexLock lock(&mutex_);
    const std::string id = member_id(sender);
    if (senders_.contains(id) || senders_.size() < max_senders) {
        senders_[id] = {sender, last_round_};
    }
    const auto known = peers_.find(id);
    return known != peers_.end() && !known->second.gone &&
           last_round_ - known->second.last_reply <= settings_.failure_timeout;
}

bool peer_monitor::has_two_way_contact(const rpc::entry_member& peer, absl::Time now) const
{
    const absl::MutexLock lock(&mutex_);
    const auto known = peers_.find(member_id(peer));
    return known != peers_.end() && !known->second.gone &&
           now - known->second.last_two_way <= settings_.failure_timeout;
}

bool peer_monitor::is_gone(const rpc::entry_member& peer) const
{
    const absl::MutexLock lock(&mutex_);
    const auto known = peers_.find(member_id(peer));
    return known != peers_.end() && known->second.gone;
}

bool peer_monitor::has_failed(const rpc::entry_member& peer, absl::Time now) const
{
    const absl::MutexLock lock(&mutex_);
    const auto known = peers_.find(member_id(peer));
    if (known == peers_.end() || now - last_round_ > settings_.failure_timeout / 2) {
        return false;
    }
    if (known->second.gone) {
        return true;
    }
    const absl::Time since = std::max(known->second.last_reply, known->second.monitored_since);
    return now - since > settings_.failure_timeout;
}

bool peer_monitor::is_responsive(const rpc::entry_member& peer, absl::Time now) const
{
    const absl::MutexLock lock(&mutex_);
    const auto known = peers_.find(member_id(peer));
    return known != peers_.end() && !known->second.gone &&
           now - known->second.last_reply <= settings_.failure_timeout;
}

} // namespace carobfall
