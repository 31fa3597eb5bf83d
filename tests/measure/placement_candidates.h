#pragma once

#include "carobfall/dispatch/placement.h"

#include <optional>
#include <string_view>

namespace carobfall::measure {

/// The policy of the library and those it was measured against.
enum class placement_kind { random, round_robin, two_choices, least_loaded };

[[nodiscard]] std::string_view name_of(placement_kind kind);
[[nodiscard]] std::optional<placement_kind> placement_kind_from_name(std::string_view name);

/// The policies may be called by several threads at once if `random` may be.
[[nodiscard]] placement_policy make_placement(placement_kind kind, const random_source& random);

} // namespace carobfall::measure
