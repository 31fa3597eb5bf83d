#include "carobfall/jobs/entry_addresses.h"

#include <algorithm>

namespace carobfall {

bool entry_addresses::record(const std::string& address, absl::Time now)
{
    const auto [known, added] = recorded_at_.try_emplace(address, now);
    known->second = std::max(known->second, now);
    revision_ += added ? 1 : 0;
    return added;
}

std::vector<std::string> entry_addresses::remove_expired(absl::Time now)
{
    std::vector<std::string> expired;
    for (const auto& [address, recorded_at] : recorded_at_) {
        if (now - recorded_at > address_retention) {
            expired.push_back(address);
        }
    }
    for (const std::string& address : expired) {
        recorded_at_.erase(address);
    }
    return expired;
}

std::vector<std::string> entry_addresses::list() const
{
    std::vector<std::string> addresses;
    addresses.reserve(recorded_at_.size());
    for (const auto& [address, recorded_at] : recorded_at_) {
        addresses.push_back(address);
    }
    return addresses;
}

} // namespace carobfall
