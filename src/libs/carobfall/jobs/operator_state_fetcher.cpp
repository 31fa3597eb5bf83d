#include "carobfall/jobs/operator_state_fetcher.h"

#include "carobfall/base/strings.h"
#include "carobfall/jobs/state_transfer_bounds.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <random>
#include <utility>
#include <vector>

namespace carobfall {

std::string_view name_of(state_part_outcome outcome)
{
    constexpr std::array<std::string_view, 6> names{"unexpected", "stored",   "adopted",
                                                    "refused",    "outdated", "malformed"};
    return names.at(static_cast<std::size_t>(outcome));
}

void count_sent_part(const fleet::state_part& part, std::string_view peer,
                     metrics_registry& metrics)
{
    metrics.add(
        absl::StrCat("operator_state_bytes_total{direction=\"sent\",peer=\"", to_absl(peer), "\"}"),
        part.content().size());
}

void count_received_part(const fleet::state_part& part, state_part_outcome outcome,
                         std::string_view peer, metrics_registry& metrics)
{
    metrics.add(absl::StrCat("operator_state_bytes_total{direction=\"received\",peer=\"",
                             to_absl(peer), "\"}"),
                part.content().size());
    metrics.add(
        absl::StrCat("operator_state_parts_total{outcome=\"", to_absl(name_of(outcome)), "\"}"));
}

operator_state_fetcher::position_source random_position()
{
    return [generator = std::mt19937_64(std::random_device{}())](std::size_t count) mutable {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(generator);
    };
}

operator_state_fetcher::operator_state_fetcher(operator_view& view, position_source choose)
    : view_(view), choose_(std::move(choose))
{}

void operator_state_fetcher::on_stamp(peer_number peer, const operator_state_stamp& stamp,
                                      absl::Time now)
{
    view_.confirm(stamp);
    view_.observe(stamp, now);
    if (view_.needs(stamp)) {
        sources_[peer] = stamp;
    }
}

void operator_state_fetcher::on_peer_lost(peer_number peer)
{
    sources_.erase(peer);
    awaits_part_ = awaits_part_ && asked_peer_ != peer;
}

peer_number operator_state_fetcher::select_source() const
{
    if (sources_.contains(asked_peer_)) {
        return asked_peer_;
    }
    const auto latest =
        std::max_element(sources_.begin(), sources_.end(), [](const auto& left, const auto& right) {
            return left.second.version < right.second.version;
        });
    std::vector<peer_number> holders;
    for (const auto& [peer, stamp] : sources_) {
        if (stamp.digest == latest->second.digest) {
            holders.push_back(peer);
        }
    }
    return holders[choose_(holders.size())];
}

void operator_state_fetcher::select_state(std::uint64_t digest)
{
    if (std::exchange(digest_, digest) != digest) {
        content_.clear();
    }
}

std::optional<state_fetch> operator_state_fetcher::next_request(absl::Time now)
{
    const bool is_waiting = awaits_part_ && now - asked_at_ < state_part_timeout;
    const absl::Duration precedence =
        view_.version() == 0 ? first_state_precedence : store_precedence;
    if (is_waiting || now < next_request_at_ || view_.behind_for(now) < precedence) {
        return std::nullopt;
    }
    if (awaits_part_) {
        on_peer_lost(asked_peer_); // it becomes a source again with its next frame
    }
    std::erase_if(sources_, [this](const auto& source) { return !view_.needs(source.second); });
    if (sources_.empty()) {
        return std::nullopt;
    }
    asked_peer_ = select_source();
    asked_at_ = now;
    awaits_part_ = true;
    select_state(sources_.at(asked_peer_).digest);
    state_fetch fetch;
    fetch.peer = asked_peer_;
    fetch.request.set_digest(digest_);
    fetch.request.set_offset(static_cast<std::uint32_t>(content_.size()));
    return fetch;
}

state_part_outcome operator_state_fetcher::on_part(peer_number peer, const fleet::state_part& part,
                                                   absl::Time now)
{
    if (!awaits_part_ || peer != asked_peer_) {
        return state_part_outcome::unexpected;
    }
    awaits_part_ = false;
    const state_part_outcome outcome = append(part, now);
    if (outcome == state_part_outcome::stored) {
        sources_[peer] = {part.version(), part.digest()};
    } else if (outcome != state_part_outcome::adopted) {
        on_peer_lost(peer);
        next_request_at_ = now + state_retry_pause;
    }
    return outcome;
}

state_part_outcome operator_state_fetcher::append(const fleet::state_part& part, absl::Time now)
{
    if (part.refused()) {
        return state_part_outcome::refused;
    }
    if (!view_.needs({part.version(), part.digest()})) {
        return state_part_outcome::outdated;
    }
    select_state(part.digest());
    const std::size_t size = content_.size() + part.content().size();
    const bool is_empty = part.content().empty() && part.size() > 0;
    if (part.size() > max_state_bytes || part.offset() != content_.size() || is_empty ||
        size > part.size()) {
        return state_part_outcome::malformed;
    }
    content_ += part.content();
    if (size < part.size()) {
        return state_part_outcome::stored;
    }
    const std::string content = std::exchange(content_, {});
    return view_.adopt_content(content, {part.version(), part.digest()}, now)
               ? state_part_outcome::adopted
               : state_part_outcome::malformed;
}

} // namespace carobfall
