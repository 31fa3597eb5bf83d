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

void peer_monitor::update_watched(const std::vector<rpc::entry_member>& peers, absl::Time now)
{
    const absl::MutexLock lock(&mutex_);
    // After a pause of this process missing replies don't show that the others have failed.
    const bool paused = now - last_beat_ > settings_.failure_timeout / 2;
    last_beat_ = now;
    absl::flat_hash_map<std::string, peer_times> watched;
    for (const rpc::entry_member& peer : peers) {
        const std::string id = member_id(peer);
        const auto known = peers_.find(id);
        peer_times times = known == peers_.end() ? peer_times{now} : known->second;
        times.watched_since = paused ? now : times.watched_since;
        watched.emplace(id, times);
    }
    peers_ = std::move(watched);
}

std::vector<peer_answer> peer_monitor::beat(const std::vector<rpc::entry_member>& peers,
                                            const rpc::entry_beat_request& request, absl::Time now)
{
    const std::vector<rpc::entry_member> receivers = with_senders(peers, now);
    update_watched(receivers, now);
    std::vector<std::optional<peer_answer>> answers(peers.size());
    std::vector<std::function<void()>> calls;
    for (std::size_t i = 0; i < receivers.size(); ++i) {
        calls.emplace_back([&, i] {
            const auto reply = channels_(receivers[i])->entry_beat(request, settings_.call_limit);
            if (!reply) {
                return;
            }
            note_answer(receivers[i], reply.value(), now);
            if (i < peers.size() && same_incarnation(reply.value().member(), peers[i])) {
                answers[i] = {peers[i], reply.value().view_number(),
                              reply.value().configuration_version(), reply.value().in_transition()};
            }
        });
    }
    run_parallel_(calls);
    std::vector<peer_answer> received;
    for (auto& answer : answers) {
        if (answer) {
            received.push_back(std::move(*answer));
        }
    }
    return received;
}

void peer_monitor::note_answer(const rpc::entry_member& peer, const rpc::entry_beat_reply& reply,
                               absl::Time now)
{
    const absl::MutexLock lock(&mutex_);
    const auto known = peers_.find(member_id(peer));
    if (known == peers_.end()) {
        return;
    }
    if (same_incarnation(peer, reply.member())) {
        known->second.answered = now;
        known->second.reached = reply.reached() ? now : known->second.reached;
    } else {
        known->second.gone = true;
    }
}

// Adds the entries that are joining: an entry needs replies to its own heartbeats to find out
// whether the members can reach it.
std::vector<rpc::entry_member> peer_monitor::with_senders(std::vector<rpc::entry_member> peers,
                                                          absl::Time now)
{
    const absl::MutexLock lock(&mutex_);
    absl::erase_if(senders_, [&](const auto& item) {
        return now - item.second.heard > settings_.failure_timeout;
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

bool peer_monitor::note_sender(const rpc::entry_member& sender)
{
    const absl::MutexLock lock(&mutex_);
    const std::string id = member_id(sender);
    if (senders_.contains(id) || senders_.size() < max_senders) {
        senders_[id] = {sender, last_beat_};
    }
    const auto known = peers_.find(id);
    return known != peers_.end() && !known->second.gone &&
           last_beat_ - known->second.answered <= settings_.failure_timeout;
}

bool peer_monitor::is_mutual(const rpc::entry_member& peer, absl::Time now) const
{
    const absl::MutexLock lock(&mutex_);
    const auto known = peers_.find(member_id(peer));
    return known != peers_.end() && !known->second.gone &&
           now - known->second.reached <= settings_.failure_timeout;
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
    if (known == peers_.end() || now - last_beat_ > settings_.failure_timeout / 2) {
        return false;
    }
    if (known->second.gone) {
        return true;
    }
    const absl::Time since = std::max(known->second.answered, known->second.watched_since);
    return now - since > settings_.failure_timeout;
}

bool peer_monitor::answers(const rpc::entry_member& peer, absl::Time now) const
{
    const absl::MutexLock lock(&mutex_);
    const auto known = peers_.find(member_id(peer));
    return known != peers_.end() && !known->second.gone &&
           now - known->second.answered <= settings_.failure_timeout;
}

} // namespace carobfall
