#include "carobfall/jobs/admission_settings.h"

#include <absl/strings/str_cat.h>

namespace carobfall {
namespace {

constexpr double max_weight = 1000;
// Limits the time to compute shares. A configuration has far fewer routes.
constexpr std::size_t max_named_routes = 1000;

} // namespace

double admission_settings::weight_of(const std::string& route) const
{
    const auto found = weights.find(route);
    return found == weights.end() ? 1 : found->second;
}

admission_settings_builder& admission_settings_builder::weight(const std::string& route,
                                                               double value)
{
    settings_.weights[route] = value;
    return *this;
}

admission_settings_builder& admission_settings_builder::floor(double value)
{
    settings_.floor = value;
    return *this;
}

result<admission_settings> admission_settings_builder::build() const
{
    // The conditions are written so that they refuse a value that is not a number.
    if (!(settings_.floor >= 0 && settings_.floor <= 1)) {
        return failure(error_kind::invalid_request,
                       "settings: admission.floor is out of its bounds",
                       "give a number from 0 to 1");
    }
    if (settings_.weights.size() > max_named_routes) {
        return failure(error_kind::invalid_request,
                       "settings: admission.shares names too many routes",
                       absl::StrCat("name at most ", max_named_routes, " routes"));
    }
    for (const auto& [route, weight] : settings_.weights) {
        if (route.empty()) {
            return failure(error_kind::invalid_request,
                           "settings: admission.shares has an empty route name",
                           "use the name of the route in the configuration");
        }
        if (!(weight > 0 && weight <= max_weight)) {
            return failure(
                error_kind::invalid_request,
                absl::StrCat("settings: admission.shares.", route, " is out of its bounds"),
                absl::StrCat("give a number above 0 and at most ", max_weight));
        }
    }
    return settings_;
}

} // namespace carobfall
