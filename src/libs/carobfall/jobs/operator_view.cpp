#include "carobfall/jobs/operator_view.h"

#include "carobfall/base/strings.h"

#include <absl/strings/str_cat.h>
#include <boost/crc.hpp>

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

/// Digest that is the same in all processes, unlike the hashes of Abseil.
std::uint64_t digest_of(const std::string& content)
{
    constexpr std::uint64_t ecma_182 = 0x42F0E1EBA9EA3693;
    boost::crc_optimal<64, ecma_182> crc;
    crc.process_bytes(content.data(), content.size());
    return crc.checksum();
}

} // namespace

bool operator_view::adopt(fleet::operator_state state, absl::Time now)
{
    if (state.version() <= version()) {
        return false;
    }
    const std::uint64_t version = state.version();
    state.clear_version();
    std::string content = state.SerializeAsString();
    state.set_version(version);
    const std::uint64_t digest = digest_of(content);
    return replace(std::move(state), std::move(content), digest, now);
}

bool operator_view::adopt_content(const std::string& content, const operator_state_stamp& stamp,
                                  absl::Time now)
{
    fleet::operator_state state;
    if (stamp.version <= version() || digest_of(content) != stamp.digest ||
        !state.ParseFromString(content)) {
        return false;
    }
    state.set_version(stamp.version);
    return replace(std::move(state), content, stamp.digest, now);
}

bool operator_view::replace(fleet::operator_state state, std::string content, std::uint64_t digest,
                            absl::Time now)
{
    if (version() > 0 && digest == digest_) {
        state_.set_version(state.version());
        update_behind();
        return false;
    }
    state_ = std::move(state);
    content_ = std::move(content);
    digest_ = digest;
    adopted_after_ = behind_for(now);
    update_behind();
    index_routes();
    for (const listener& changed : listeners_) {
        changed();
    }
    return true;
}

void operator_view::confirm(const operator_state_stamp& peer)
{
    if (version() > 0 && peer.digest == digest_) {
        state_.set_version(std::max(version(), peer.version));
        update_behind();
    }
}

void operator_view::observe(const operator_state_stamp& peer, absl::Time now)
{
    if (needs(peer)) {
        latest_known_ = std::max(latest_known_, peer.version);
        behind_since_ = std::min(behind_since_, now);
    }
}

void operator_view::update_behind()
{
    if (version() >= latest_known_) {
        behind_since_ = absl::InfiniteFuture();
    }
}

absl::Duration operator_view::behind_for(absl::Time now) const
{
    return std::max(now - behind_since_, absl::ZeroDuration());
}

bool operator_view::needs(const operator_state_stamp& peer) const
{
    return peer.version > version() && (version() == 0 || peer.digest != digest_);
}

void operator_view::record_adoption(std::string_view source, event_log& log,
                                    metrics_registry& metrics, absl::Time now) const
{
    const double behind_ms = absl::ToDoubleMilliseconds(adopted_after_);
    log.write(log_fields("operator_state")
                  .add("source", source)
                  .add("version", state_.version())
                  .add("configuration", state_.configuration_version())
                  .add("routes", state_.routes_size())
                  .add("data_centres_out", state_.data_centres_out_size())
                  .add("behind_ms", static_cast<std::int64_t>(behind_ms)),
              now);
    metrics.distribution("operator_state_behind_ms").record(behind_ms);
}

std::string operator_view::state_text(absl::Time now) const
{
    return absl::StrCat(
        "configuration_version ", state_.configuration_version(), "\noperator_version ", version(),
        "\nroutes ", state_.routes_size(), "\ndata_centres_out ", state_.data_centres_out_size(),
        "\noperator_state_behind_for_ms ", absl::ToInt64Milliseconds(behind_for(now)), "\n");
}

void operator_view::index_routes()
{
    routes_by_host_.clear();
    for (int i = 0; i < state_.routes_size(); ++i) {
        routes_by_host_[state_.routes(i).host()].push_back(i);
    }
    for (auto& [host, positions] : routes_by_host_) {
        std::stable_sort(positions.begin(), positions.end(), [this](int left, int right) {
            return state_.routes(left).prefix().size() > state_.routes(right).prefix().size();
        });
    }
}

bool operator_view::is_out(std::string_view data_centre) const
{
    const auto& out = state_.data_centres_out();
    return std::find(out.begin(), out.end(), data_centre) != out.end();
}

const fleet::route* operator_view::find_route(std::string_view host, std::string_view path) const
{
    const auto found = routes_by_host_.find(to_absl(host));
    if (found == routes_by_host_.end()) {
        return nullptr;
    }
    for (const int position : found->second) {
        const fleet::route& route = state_.routes(position);
        if (path.substr(0, route.prefix().size()) == route.prefix()) {
            return &route;
        }
    }
    return nullptr;
}

} // namespace carobfall
