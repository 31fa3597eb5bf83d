#pragma once

#include "carobfall/jobs/worker_orders.h"

#include <string_view>

namespace carobfall {

/// Whether the process at the worker's address is the incarnation that an announcement names.
enum class incarnation_check { confirmed, refuted, unanswered };

/// Name used in logs, for example "refuted".
[[nodiscard]] std::string_view name_of(incarnation_check check);

/// Compares an announcement with the answer of the process at the worker's address to an order for
/// the announced id. `id_in_use`: the present worker has the same id, so that only the start time
/// distinguishes the incarnations.
[[nodiscard]] incarnation_check check_announcement(const worker_announcement& announcement,
                                                   const renewal_reply& reply, bool id_in_use);

} // namespace carobfall
