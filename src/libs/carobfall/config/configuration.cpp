#include "carobfall/config/configuration.h"

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

} // namespace carobfall
