#pragma once

#include "carobfall/base/boot_clock.h"
#include "carobfall/base/spawn.h"
#include "platform/operator_state_reader.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace carobfall::platform::test {

/// A reader of the operators' rows in `Store`, which is constructed with the context and has the
/// member function `endpoint`.
template <typename Store>
struct reader_fixture {
    void start(absl::Duration wait) { spawn(context.get_executor(), reader.follow(wait)); }
    bool run_until(const std::function<bool()>& condition, absl::Duration timeout)
    {
        const absl::Time end = boot_now() + timeout;
        while (!condition() && boot_now() < end) {
            context.run_for(std::chrono::milliseconds(5));
        }
        return condition();
    }
    bool run_until_configuration(std::uint64_t version, absl::Duration timeout = absl::Seconds(3))
    {
        return run_until([&] { return view.state().configuration_version() == version; }, timeout);
    }
    void run_for(absl::Duration duration)
    {
        run_until([] { return false; }, duration);
    }

    boost::asio::io_context context{1};
    Store store{context};
    store_client client{context.get_executor(), store.endpoint()};
    operator_view view;
    event_log log{"entry", "mapo"};
    metrics_registry metrics;
    operator_state_reader reader{context.get_executor(), client, view, log, metrics};
};

} // namespace carobfall::platform::test
