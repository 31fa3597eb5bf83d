#pragma once

#include "carobfall/jobs/worker_orders.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobfall {

/// What an announcement has changed.
enum class worker_change {
    none,     ///< the announcement is outdated
    updated,  ///< the present incarnation describes itself anew
    replaced, ///< another worker takes the place of the present one
};

/// The worker of an agent as it has announced itself, and the worker that has left last.
class known_worker {
public:
    [[nodiscard]] const std::optional<worker_announcement>& present() const { return present_; }
    /// Whether the announcement is later than the present one and than the end of the worker that
    /// has left. The first statement that the present worker drains is always current.
    [[nodiscard]] bool is_current(const worker_announcement& worker) const;
    /// Adopts the announcement if it is current. One of another incarnation with the same id is
    /// not, because `begin_incarnation` has to be called first.
    worker_change adopt(const worker_announcement& worker, absl::Time received_at);
    /// Time until which the present worker serves at least, by its latest statement that it drains;
    /// infinite if unknown. A worker may stay longer.
    [[nodiscard]] absl::Time serves_until() const { return serves_until_; }
    /// The process with the id of the present worker has started again at `started_unix_ms`. Its
    /// kind is unknown until it announces itself.
    void begin_incarnation(std::int64_t started_unix_ms);
    /// Removes the worker. Returns false if it isn't the present one.
    bool remove(std::string_view id);

private:
    std::optional<worker_announcement> present_;
    absl::Time serves_until_{absl::InfiniteFuture()};
    std::string left_id_;
    std::int64_t left_started_unix_ms_{0};
};

} // namespace carobfall
