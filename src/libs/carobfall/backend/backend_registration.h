#pragma once

#include "carobfall/backend/announcement.h"
#include "carobfall/base/error.h"

#include <absl/time/time.h>

#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace carobfall {

/// Callbacks into the agent when its backend server announces itself or leaves.
struct backend_events {
    std::function<void(const announcement& backend, absl::Time valid_until)> announced;
    std::function<void()> left;
};

/// Registration of the one backend server of the agent. Thread-safe; the events are called without
/// a lock.
class backend_registration {
public:
    /// An announcement is valid for `validity` and has to be renewed within that time.
    backend_registration(absl::Duration validity, backend_events events);

    /// Error: `conflict` if the announcement of another backend server is still valid at `now`.
    result<void> announce(const announcement& backend, absl::Time now);
    /// Ends the validity of the announcement. Error: `not_found` if the last announcement is not
    /// from `name`.
    result<void> leave(const std::string& name, absl::Time now);

    /// The backend server last announced, also after it has expired or left.
    [[nodiscard]] std::optional<announcement> current() const;
    /// Port of `current`, or 0.
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] absl::Duration validity() const { return validity_; }

private:
    const absl::Duration validity_;
    const backend_events events_;
    mutable std::mutex mutex_;
    std::optional<announcement> current_;
    absl::Time valid_until_{absl::InfinitePast()};
};

} // namespace carobfall
