#include "carobfall/jobs/entry_addresses.h"

#include <algorithm>

namespace carobfall {

bool entry_addresses::learn(const std::string& address, absl::Time now)
{
    const auto [known, added] = named_at_.try_emplace(address, now);
    known->second = std::max(known->second, now);
    revision_ += added ? 1 : 0;
    return added;
}

std::vector<std::string> entry_addresses::forget_old(absl::Time now)
{
    std::vector<std::string> old;
    for (const auto& [address, named_at] : named_at_) {
        if (now - named_at > address_retention) {
            old.push_back(address);
        }
    }
    for (const std::string& address : old) {
        named_at_.erase(address);
    }
    return old;
}

std::vector<std::string> entry_addresses::list() const
{
    std::vector<std::string> addresses;
    addresses.reserve(named_at_.size());
    for (const auto& [address, named_at] : named_at_) {
        addresses.push_back(address);
    }
    return addresses;
}

} // namespace carobfall
