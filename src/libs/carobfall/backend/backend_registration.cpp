#include "carobfall/backend/backend_registration.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace carobfall {

backend_registration::backend_registration(absl::Duration validity, backend_events events)
    : validity_(validity), events_(std::move(events))
{}

result<void> backend_registration::announce(const announcement& backend, absl::Time now)
{
    const absl::Time valid_until = now + validity_;
    {
        const std::lock_guard lock(mutex_);
        if (current_ && current_->info.name() != backend.info.name() && now < valid_until_) {
            return failure(error_kind::conflict,
                           absl::StrCat("backend server '", current_->info.name(),
                                        "' is registered with this agent"),
                           "run one agent per backend server, or let the other one leave first");
        }
        current_ = backend;
        valid_until_ = valid_until;
    }
    events_.announced(backend, valid_until);
    return success();
}

result<void> backend_registration::leave(const std::string& name, absl::Time now)
{
    {
        const std::lock_guard lock(mutex_);
        if (!current_ || current_->info.name() != name) {
            return failure(error_kind::not_found,
                           absl::StrCat("backend server '", name, "' is not registered here"),
                           "send the name of the announcement to the same agent");
        }
        valid_until_ = now;
    }
    events_.left();
    return success();
}

std::optional<announcement> backend_registration::current() const
{
    const std::lock_guard lock(mutex_);
    return current_;
}

std::uint16_t backend_registration::port() const
{
    const std::lock_guard lock(mutex_);
    return current_ ? current_->port : 0;
}

} // namespace carobfall
