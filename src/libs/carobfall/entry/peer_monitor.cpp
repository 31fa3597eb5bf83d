#include "carobfall/entry/peer_monitor.h"

#include "carobfall/entry/rendezvous.h"
#include "carobfall/entry/view_rules.h"

#include <algorithm>
#include <optional>

namespace carobfall {

peer_monitor::peer_monitor(peer_monitor_settings settings, entry_channel_factory channels,
                           parallel_runner run_parallel)
    : settings_(settings), channels_(std::move(channels)), run_parallel_(std::move(run_parallel))
{}

void peer_monitor::update_watched(const std::vector<rpc::entry_member>& peers, absl::Time now)
{
    const absl::MutexLock lock(&mutex_);
    // After a pause of this process the silence of the others proves nothing about them.
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
    update_watched(peers, now);
    std::vector<std::optional<peer_answer>> answers(peers.size());
    std::vector<std::function<void()>> calls;
    for (std::size_t i = 0; i < peers.size(); ++i) {
        calls.emplace_back([&, i] {
            const auto reply = channels_(peers[i])->entry_beat(request, settings_.call_limit);
            if (!reply) {
                return;
            }
            note_answer(peers[i], reply.value().member(), now);
            if (same_incarnation(reply.value().member(), peers[i])) {
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

void peer_monitor::note_answer(const rpc::entry_member& peer, const rpc::entry_member& sender,
                               absl::Time now)
{
    const absl::MutexLock lock(&mutex_);
    const auto known = peers_.find(member_id(peer));
    if (known == peers_.end()) {
        return;
    }
    if (same_incarnation(peer, sender)) {
        known->second.answered = now;
    } else {
        known->second.gone = true;
    }
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
