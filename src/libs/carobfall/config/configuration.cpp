#include "carobfall/config/configuration.h"

#include <algorithm>

namespace carobfall {

const client_account* configuration::find_account(std::string_view name) const
{
    const auto found = accounts.find(name);
    return found == accounts.end() ? nullptr : &found->second;
}

const dispatch_template* configuration::find_template(const std::string& account,
                                                      const std::string& name) const
{
    const auto found = templates.find({account, name});
    return found == templates.end() ? nullptr : &found->second;
}

bool configuration::is_out(std::string_view data_centre) const
{
    return data_centres_out.find(data_centre) != data_centres_out.end();
}

absl::Duration configuration::longest_time_to_deadline(std::string_view account,
                                                       std::string_view region,
                                                       absl::Time now) const
{
    const auto found = deadline_bounds.find(account);
    return found == deadline_bounds.end() ? max_deadline
                                          : std::min(found->second.at(region, now), max_deadline);
}

} // namespace carobfall
