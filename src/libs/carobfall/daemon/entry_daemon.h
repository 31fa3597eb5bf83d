#pragma once

#include "carobfall/base/clock.h"
#include "carobfall/config/entry_settings.h"
#include "carobfall/dispatch/coordinator_builder.h"

#include <functional>
#include <memory>

namespace carobfall {

/// Adjusts the coordinator before it is built. Used by measurements to compare policies.
using coordinator_hook = std::function<void(coordinator_builder&)>;

/// Creates, connects and runs all components of one entry.
class entry_daemon {
public:
    /// `on_superseded` is called once when this incarnation has been removed from the view and has
    /// to be replaced by a new one.
    entry_daemon(entry_settings settings, clock_function clock,
                 const std::function<void()>& on_superseded,
                 const coordinator_hook& adjust_coordinator = {});
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    /// Opens the ports and begins to join the view. Errors: `unavailable` if a port is taken.
    result<void> start();
    /// Refuses new submissions, finishes the running ones, leaves the view and closes the ports.
    void drain();

private:
    struct components;

    const entry_settings settings_;
    const clock_function clock_;
    std::unique_ptr<components> components_;
};

} // namespace carobfall
