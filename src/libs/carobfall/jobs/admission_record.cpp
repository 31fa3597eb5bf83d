#include "carobfall/jobs/admission_record.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace carobfall {
namespace {

// Limits the length of a log line with many routes.
constexpr std::size_t max_logged_routes = 8;
constexpr double ms_per_s = 1000;
// A counter that grows by this much takes days to overflow at a thousand jobs per second.
constexpr double max_counted_room = 1e11;

std::int64_t rounded(double millicores)
{
    return std::llround(std::min(millicores, max_counted_room));
}

} // namespace

void add_shares(log_fields& fields, std::span<const route_share> routes)
{
    if (routes.empty()) {
        return;
    }
    const auto most = std::max_element(routes.begin(), routes.end(),
                                       [](const route_share& left, const route_share& right) {
                                           return left.above_share() < right.above_share();
                                       });
    if (most->above_share() > 0) {
        fields.add("above_share", most->route);
    }
    std::string text;
    for (const route_share& route : routes.first(std::min(routes.size(), max_logged_routes))) {
        absl::StrAppend(&text, text.empty() ? "" : ",", route.route, ":", rounded(route.admitted),
                        "/", rounded(route.share), "/", rounded(route.demanded));
    }
    fields.add("shares", text);
}

void count_admission(metrics_registry& metrics, const std::string& route, double room,
                     bool admitted)
{
    const auto amount =
        static_cast<std::uint64_t>(std::llround(std::min(room * ms_per_s, max_counted_room)));
    const std::string label = absl::StrCat("{route=\"", absl::Utf8SafeCEscape(route), "\"}");
    metrics.add(absl::StrCat("demanded_millicore_ms_total", label), amount);
    metrics.add(absl::StrCat("admitted_millicore_ms_total", label), admitted ? amount : 0);
}

} // namespace carobfall
