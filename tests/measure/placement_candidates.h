#pragma once

#include "carobfall/dispatch/placement.h"

#include <optional>
#include <string_view>

namespace carobfall::measure {

/// The placement policy of the library (`two_choices`) and alternatives to compare it with.
enum class placement_kind { random, round_robin, two_choices, least_loaded };

[[nodiscard]] std::string_view name_of(placement_kind kind);
[[nodiscard]] std::optional<placement_kind> placement_kind_from_name(std::string_view name);

/// The policies are thread-safe if `random` is.
[[nodiscard]] placement_policy make_placement(placement_kind kind, const random_source& random);

} // namespace carobfall::measure
